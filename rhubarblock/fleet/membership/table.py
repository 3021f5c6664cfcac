"""The table of entry instances that one of them keeps, and its news.

Records are merged by incarnation, state and revision, so that the order in
which news arrives does not matter. Each change is passed on a few times with
the heartbeats; tables that still differ are found by their digests.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import math

from rhubarblock.fleet.membership import member as members

# Parts of the table that are compared and repaired on their own.
PARTS = 16
# Times that a piece of news is sent, as a multiple of the logarithm of the
# number of members: what epidemic spreading needs, with room for losses.
_SENDS_PER_LOG = 3
_DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class _News:
    member: members.Member
    sends_left: int


class MemberTable:
    """What one instance knows of all instances."""

    __slots__ = ("_members", "_news", "_digests", "_digest")

    def __init__(self) -> None:
        self._members: dict[str, members.Member] = {}
        self._news: dict[str, _News] = {}
        self._digests = [0] * PARTS
        self._digest: int | None = None

    def __len__(self) -> int:
        return len(self._members)

    def find(self, instance_id: str) -> members.Member | None:
        """Returns what is known of an instance, or None."""
        return self._members.get(instance_id)

    def list_members(self) -> list[members.Member]:
        """Returns every instance known, alive or not."""
        return list(self._members.values())

    def merge(self, member: members.Member) -> members.Member | None:
        """Takes in a record if it is later knowledge.

        Args:
          member: the record, own or from a peer.

        Returns:
          The record that it took the place of, the record itself when the
          instance was not known before, or None when nothing changed.
        """
        before = self._members.get(member.instance_id)
        if before is not None and not member.supersedes(before):
            return None
        self._members[member.instance_id] = member
        if before is not None and not member.differs_in_life(before):
            # The revision is heard from the instance itself, as it would
            # otherwise be news of every instance with each change.
            return before
        if before is not None:
            self._toggle_digest(before)
        self._toggle_digest(member)
        self._news[member.instance_id] = _News(member, self._count_sends())
        return before or member

    def forget(self, instance_id: str) -> None:
        """Drops an instance that is gone for good."""
        member = self._members.pop(instance_id, None)
        if member is not None:
            self._toggle_digest(member)
        self._news.pop(instance_id, None)

    def take_news(self, limit: int) -> list[members.Member]:
        """Returns the records to send along with a message.

        Args:
          limit: most records to return.

        Returns:
          Those that were sent least often first.
        """
        if not self._news:
            return []
        waiting = sorted(self._news.values(), key=_order_news)[:limit]
        for news in waiting:
            news.sends_left -= 1
            if news.sends_left <= 0:
                del self._news[news.member.instance_id]
        return [news.member for news in waiting]

    def read_digest(self) -> int:
        """Returns a digest of the whole table."""
        if self._digest is None:
            self._digest = hash_bytes(repr(self._digests).encode())
        return self._digest

    def read_part_digests(self) -> list[int]:
        """Returns the digest of each part of the table."""
        return list(self._digests)

    def list_differing(self, digests: Iterable[int]) -> list[members.Member]:
        """Returns the records of the parts whose digest is another one."""
        differing = {
            part
            for part, digest in enumerate(digests)
            if part < PARTS and digest != self._digests[part]
        }
        return [
            member
            for member in self._members.values()
            if _find_part(member) in differing
        ]

    def _toggle_digest(self, member: members.Member) -> None:
        text = f"{member.instance_id} {member.incarnation} {member.state.value}"
        self._digest = None
        self._digests[_find_part(member)] ^= hash_bytes(text.encode())

    def _count_sends(self) -> int:
        return math.ceil(_SENDS_PER_LOG * math.log2(len(self._members) + 1))


def hash_bytes(content: bytes) -> int:
    """Returns a digest of 64 bits that is the same on every instance."""
    digest = hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _find_part(member: members.Member) -> int:
    return hash_bytes(member.instance_id.encode()) % PARTS


def _order_news(news: _News) -> tuple[int, str]:
    return -news.sends_left, news.member.instance_id
