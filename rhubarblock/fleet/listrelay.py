"""Shares the platform's list of instances within a data centre.

Two readers fetch the list from the platform and all other instances fetch it
from a reader, so that the platform's read load does not grow with the number
of entry instances. Readers notify the others when the list changes, and an
unchanged list is not sent again.
"""

import asyncio
import contextlib
import random
import zlib

from google.protobuf import message as protobuf_message

from rhubarblock.fleet import assignment
from rhubarblock.fleet import listrelay_pb2
from rhubarblock.fleet import peertransport
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.fleet.membership import table as membertable
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import instances
from rhubarblock.store import store as stores

FETCH_KIND = "instances.fetch"
NOTICE_KIND = "instances.notice"

# Instances of a data centre that read the list from the platform.
READERS = 2
_CALL_TIMEOUT_S = 0.5
# Age in seconds up to which a reader returns its cached list.
_READER_MAX_AGE_S = 0.9
# The same for other instances, which are notified of changes.
_OTHER_MAX_AGE_S = 10.0


class ListRelay(instances.InstanceSource):
    """Source of the list, from the platform or through a reader."""

    __slots__ = (
        "_source",
        "_membership",
        "_transport",
        "_timers",
        "_rng",
        "_listed",
        "_content",
        "_digest",
        "_refreshed_s",
        "_tasks",
    )

    def __init__(
        self,
        source: instances.InstanceSource,
        membership: memberships.Membership,
        transport: peertransport.PeerTransport,
        timers: timers_lib.Timers,
        rng: random.Random,
    ):
        """Creates a relay without a list.

        Args:
          source: the platform's list.
          membership: the instances that share it.
          transport: carries calls to peers.
          timers: the timer service.
          rng: chooses between the readers.
        """
        self._source = source
        self._membership = membership
        self._transport = transport
        self._timers = timers
        self._rng = rng
        self._listed: list[instances.ListedInstance] = []
        self._content = b""
        self._digest = 0
        self._refreshed_s = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()
        transport.register(NOTICE_KIND, self._handle_notice)
        transport.register(FETCH_KIND, self._handle_fetch)

    async def fetch_instances(self) -> list[instances.ListedInstance]:
        readers = self._choose_readers()
        own_id = self._membership.own.instance_id
        if any(reader.instance_id == own_id for reader in readers):
            if self._is_older(_READER_MAX_AGE_S):
                await self._read_as_reader()
            return list(self._listed)
        if self._is_older(_OTHER_MAX_AGE_S):
            await self._fetch_from_readers(readers)
        return list(self._listed)

    async def _read_as_reader(self) -> None:
        """Reads the platform; on failure without a list, tries any peer."""
        try:
            await self._read_platform()
        except stores.StoreError:
            if self._digest or not await self._fetch_from_any_peer():
                raise

    async def _fetch_from_any_peer(self) -> bool:
        own_id = self._membership.own.instance_id
        for member in self._membership.list_live_instances():
            if member.instance_id != own_id and await self._fetch_from(member):
                return bool(self._listed)
        return False

    def _is_older(self, age_s: float) -> bool:
        return self._timers.read_monotonic() - self._refreshed_s >= age_s

    async def _fetch_from_readers(self, readers: list[members.Member]) -> None:
        """Fetches from a reader, or from the platform if none answers."""
        self._rng.shuffle(readers)
        for reader in readers:
            if await self._fetch_from(reader):
                return
        await self._read_platform()

    def _choose_readers(self) -> list[members.Member]:
        own = self._membership.own
        return assignment.choose_subset(
            f"instances/read/{own.data_centre}",
            self._membership.list_live_instances(own.data_centre),
            READERS,
        )

    async def _read_platform(self) -> None:
        listed = await self._source.fetch_instances()
        if self._digest and listed == self._listed:
            self._refreshed_s = self._timers.read_monotonic()
            return
        lines = b"\n".join(map(instances.encode_instance, listed))
        if self._store_list(listed, lines):
            self._notify_peers()

    def _store_list(
        self, listed: list[instances.ListedInstance], lines: bytes
    ) -> bool:
        """Stores a list; returns whether it differs from the last one."""
        self._refreshed_s = self._timers.read_monotonic()
        digest = membertable.hash_bytes(lines)
        if digest == self._digest:
            return False
        self._listed = listed
        self._content = zlib.compress(lines)
        self._digest = digest
        return True

    def _notify_peers(self) -> None:
        own = self._membership.own
        notice = listrelay_pb2.ListRequest(digest=self._digest)
        payload = notice.SerializeToString()
        for member in self._membership.list_live_instances(own.data_centre):
            if member.instance_id == own.instance_id:
                continue
            task = asyncio.ensure_future(self._notify(member, payload))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _notify(self, receiver: members.Member, payload: bytes) -> None:
        # A peer that misses the notice refreshes its list by age.
        with contextlib.suppress(peertransport.PeerError):
            await self._transport.call(
                receiver.address, NOTICE_KIND, payload, _CALL_TIMEOUT_S
            )

    async def _handle_notice(self, sender: str, payload: bytes) -> bytes:
        notice = listrelay_pb2.ListRequest.FromString(payload)
        if notice.digest != self._digest:
            self._refreshed_s = float("-inf")
        return b""

    async def _fetch_from(self, peer: members.Member) -> bool:
        """Fetches the list from a peer; returns whether that succeeded."""
        request = listrelay_pb2.ListRequest(digest=self._digest)
        try:
            payload = await self._transport.call(
                peer.address,
                FETCH_KIND,
                request.SerializeToString(),
                _CALL_TIMEOUT_S,
            )
            answer = listrelay_pb2.ListAnswer.FromString(payload)
            self._apply_answer(answer)
        except (
            peertransport.PeerError,
            protobuf_message.DecodeError,
            zlib.error,
            ValueError,
        ):
            return False
        return True

    def _apply_answer(self, answer: listrelay_pb2.ListAnswer) -> None:
        if answer.digest == self._digest:
            self._refreshed_s = self._timers.read_monotonic()
            return
        lines = zlib.decompress(answer.content)
        listed = list(map(instances.decode_instance, lines.splitlines()))
        self._store_list(listed, lines)

    async def _handle_fetch(self, sender: str, payload: bytes) -> bytes:
        request = listrelay_pb2.ListRequest.FromString(payload)
        if self._is_older(_READER_MAX_AGE_S):
            # A request is never forwarded to another peer, even if this
            # instance does not count itself among the readers. During a
            # platform outage an old list is better than none.
            try:
                await self._read_platform()
            except stores.StoreError:
                if not self._digest:
                    raise
        is_known = request.digest == self._digest
        answer = listrelay_pb2.ListAnswer(
            digest=self._digest,
            content=b"" if is_known else self._content,
        )
        return answer.SerializeToString()
