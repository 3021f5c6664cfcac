"""Table of member records and the updates waiting to be gossiped.

Records are merged by incarnation, state and revision, so that the order in
which updates arrive does not matter. Each change is piggybacked on a limited
number of heartbeats; digests detect tables that still differ.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import math

from rhubarblock.fleet.membership import member as members

# Number of parts of the table that are compared and synced separately.
PARTS = 16
# Gossip needs a number of sends per update that grows with the logarithm of the
# number of members. Multiplying the binary logarithm by this factor includes a
# margin for lost messages.
_RETRANSMIT_FACTOR = 3
_DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class _PendingUpdate:
    member: members.Member
    sends_left: int


class MemberTable:
    """The member records known to one instance, by instance id."""

    __slots__ = ("_members", "_pending", "_digests", "_digest")

    def __init__(self) -> None:
        self._members: dict[str, members.Member] = {}
        self._pending: dict[str, _PendingUpdate] = {}
        self._digests = [0] * PARTS
        self._digest: int | None = None

    def __len__(self) -> int:
        return len(self._members)

    def find(self, instance_id: str) -> members.Member | None:
        """Returns the record of an instance, or None if it is unknown."""
        return self._members.get(instance_id)

    def list_members(self) -> list[members.Member]:
        """Returns the record of every known instance, alive or not."""
        return list(self._members.values())

    def merge(self, member: members.Member) -> members.Member | None:
        """Stores a record if it supersedes the known one.

        Args:
          member: the record, of this instance or from a peer.

        Returns:
          The record that it replaced, the record itself if the instance was
          unknown before, or None if nothing changed.
        """
        before = self._members.get(member.instance_id)
        if before is not None and not member.supersedes(before):
            return None
        self._members[member.instance_id] = member
        if before is not None and not member.differs_in_liveness(before):
            # Revisions are not gossiped: each new revision would cause an
            # update for every instance. Each instance reports its own revision
            # in its heartbeats.
            return before
        if before is not None:
            self._toggle_digest(before)
        self._toggle_digest(member)
        self._pending[member.instance_id] = _PendingUpdate(
            member, self._count_sends()
        )
        return before or member

    def forget(self, instance_id: str) -> None:
        """Removes the record of an instance that is gone for good."""
        member = self._members.pop(instance_id, None)
        if member is not None:
            self._toggle_digest(member)
        self._pending.pop(instance_id, None)

    def take_updates(self, limit: int) -> list[members.Member]:
        """Returns updates to piggyback on a message and counts them as sent.

        Args:
          limit: maximum number of records.

        Returns:
          The records with the most sends left, in that order.
        """
        if not self._pending:
            return []
        waiting = sorted(self._pending.values(), key=_send_order)[:limit]
        for update in waiting:
            update.sends_left -= 1
            if update.sends_left <= 0:
                del self._pending[update.member.instance_id]
        return [update.member for update in waiting]

    def read_digest(self) -> int:
        """Returns the digest of the whole table."""
        if self._digest is None:
            self._digest = hash_bytes(repr(self._digests).encode())
        return self._digest

    def read_part_digests(self) -> list[int]:
        """Returns the digest of each part of the table."""
        return list(self._digests)

    def list_differing(self, digests: Iterable[int]) -> list[members.Member]:
        """Returns the records in the parts whose digests differ."""
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
        return math.ceil(_RETRANSMIT_FACTOR * math.log2(len(self._members) + 1))


def hash_bytes(content: bytes) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _find_part(member: members.Member) -> int:
    return hash_bytes(member.instance_id.encode()) % PARTS


def _send_order(update: _PendingUpdate) -> tuple[int, str]:
    return -update.sends_left, update.member.instance_id
