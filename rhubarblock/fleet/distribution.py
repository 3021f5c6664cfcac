"""Distributes the catalogue to all instances; revisions never decrease.

In each data centre a few watchers watch the platform. A new revision is
announced to the other instances along a broadcast tree. An instance that
misses the announcement sees the revision in its peers' heartbeats and fetches
the catalogue from one of them. Responses of the platform or of peers with an
older revision than the one in force are ignored.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import dataclasses
import logging
import random
from typing import Any
import zlib

from google.protobuf import message as protobuf_message

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import position as positions
from rhubarblock.fleet import assignment
from rhubarblock.fleet import distribution_pb2
from rhubarblock.fleet import peertransport
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.kernel import logs
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import backoff
from rhubarblock.store import store as stores

NOTICE_KIND = "catalogue.notice"
FETCH_KIND = "catalogue.fetch"

# Fan-out of the broadcast tree.
_FAN_OUT = 4
# Maximum number of peers whose revision is queried at a time.
_MAX_CONCURRENT_QUERIES = 32

Listener = Callable[[catalogues.Catalogue], None]

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class DistributionSettings:
    """Settings of the follower; times are in seconds.

    Attributes:
      watchers: number of instances of a data centre that watch the platform.
      role_interval_s: time between two checks of whether this instance is a
        watcher.
      watcher_poll_s: time between two reads by a watcher, which cover lost
        watch events.
      poll_s: time between two reads by every other instance.
      call_timeout_s: timeout of a call to a peer.
      pull_interval_s: time between two checks for a peer with a newer
        revision.
      bootstrap_peers: number of peers from which a starting instance fetches.
    """

    watchers: int = 2
    role_interval_s: float = 0.5
    watcher_poll_s: float = 1.5
    poll_s: float = 30.0
    call_timeout_s: float = 1.0
    pull_interval_s: float = 0.5
    bootstrap_peers: int = 3


@dataclasses.dataclass(slots=True)
class DistributionCounters:
    """Counters of the follower since its start."""

    platform_reads: int = 0
    platform_failures: int = 0
    watches: int = 0
    older_ignored: int = 0
    fetches: int = 0
    fetch_failures: int = 0
    notices_sent: int = 0
    bad_contents: int = 0


class CatalogueFollower:
    """Keeps the newest known catalogue in force at one instance."""

    def __init__(
        self,
        membership: memberships.Membership,
        transport: peertransport.PeerTransport,
        store: stores.ObjectStore,
        timers: timers_lib.Timers,
        rng: random.Random,
        settings: DistributionSettings | None = None,
    ):
        """Creates a follower with the empty catalogue in force.

        Args:
          membership: the instances; also announces the revision in force.
          transport: carries calls to peers.
          store: the platform's object API.
          timers: the timer service.
          rng: adds jitter and chooses peers.
          settings: times and counts.
        """
        self._membership = membership
        self._transport = transport
        self._store = store
        self._timers = timers
        self._rng = rng
        self._settings = settings or DistributionSettings()
        self._catalogue = catalogues.Catalogue()
        self._compressed = b""
        self._listeners: list[Listener] = []
        self._watch: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._polled_s = float("-inf")
        self.counters = DistributionCounters()
        transport.register(NOTICE_KIND, self._handle_notice)
        transport.register(FETCH_KIND, self._handle_fetch)

    @property
    def catalogue(self) -> catalogues.Catalogue:
        """The catalogue in force."""
        return self._catalogue

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        return self._catalogue.revision

    def get(self) -> catalogues.Catalogue:
        """Returns the catalogue in force."""
        return self._catalogue

    def get_revision(self) -> int:
        """Returns the revision in force."""
        return self._catalogue.revision

    def subscribe(self, listener: Listener) -> None:
        """Calls a listener with each new catalogue; there is no unsubscribe."""
        self._listeners.append(listener)

    def accept(self, catalogue: catalogues.Catalogue) -> None:
        """Puts in force a catalogue that the platform has just accepted.

        Args:
          catalogue: the result of a change made through this instance.
        """
        content = codec.encode(catalogue)
        if self._put_in_force(catalogue, content):
            self._start(self._start_broadcast())

    async def collect_revisions(self) -> dict[str, int | None]:
        """Queries every live instance for its revision in force.

        Returns:
          The revision by instance id; None for instances that do not respond.
        """
        limit = asyncio.Semaphore(_MAX_CONCURRENT_QUERIES)
        live = self._membership.list_live_instances()
        revisions = await asyncio.gather(
            *(self._query_revision(member, limit) for member in live)
        )
        ids = [member.instance_id for member in live]
        return dict(zip(ids, revisions, strict=True))

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["CatalogueFollower"]:
        """Follows the catalogue while the context is open.

        It fetches from peers first and from the platform second, so that a
        lagging platform cannot put an older revision in force at a new
        instance.

        Yields:
          This follower, with a catalogue in force if one could be fetched.
        """
        settings = self._settings
        with contextlib.ExitStack() as stack:
            stack.callback(self._cancel_tasks)
            await self._bootstrap_from_peers()
            await self._read_platform()
            for interval_s, tick in (
                (settings.role_interval_s, self._update_role),
                (settings.pull_interval_s, self._pull_newer),
            ):
                stack.enter_context(self._timers.subscribe(interval_s, tick))
            yield self

    # Catalogue in force.

    def _apply_content(self, content: bytes) -> bool:
        """Decodes a catalogue and puts it in force if it is newer."""
        try:
            catalogue = codec.decode(content)
        except codec.CodecError:
            self.counters.bad_contents += 1
            return False
        return self._put_in_force(catalogue, content)

    def _put_in_force(
        self, catalogue: catalogues.Catalogue, content: bytes
    ) -> bool:
        before = self._catalogue.revision
        if catalogue.revision <= before:
            self.counters.older_ignored += catalogue.revision < before
            return False
        self._catalogue = catalogue
        self._compressed = zlib.compress(content)
        self._membership.set_revision(catalogue.revision)
        logs.log_state_change(
            _logger, "catalogue", str(before), str(catalogue.revision)
        )
        for listener in self._listeners:
            listener(catalogue)
        return True

    # Platform.

    def is_watcher(self) -> bool:
        """Returns whether this instance is a watcher of the platform."""
        own = self._membership.own
        watchers = assignment.choose_subset(
            f"catalogue/watch/{own.data_centre}",
            self._membership.list_live_instances(own.data_centre),
            self._settings.watchers,
        )
        return any(member.instance_id == own.instance_id for member in watchers)

    async def _update_role(self) -> None:
        """Starts or stops the watch by role, and polls when due."""
        settings = self._settings
        is_watcher = self.is_watcher()
        if is_watcher and (self._watch is None or self._watch.done()):
            self._watch = self._start(self._watch_platform())
        elif not is_watcher and self._watch is not None:
            self._watch.cancel()
            self._watch = None
        interval_s = settings.watcher_poll_s if is_watcher else settings.poll_s
        if self._timers.read_monotonic() - self._polled_s >= interval_s:
            self._start(self._read_platform())

    async def _watch_platform(self) -> None:
        retry_delay = backoff.Backoff(self._rng, backoff.BackoffSettings())
        while True:
            try:
                version = await self._read_current()
                self.counters.watches += 1
                await self._read_events(version)
                retry_delay.reset()
            except stores.StoreError:
                self.counters.platform_failures += 1
            await self._timers.sleep(retry_delay.take_delay())

    async def _read_events(self, version: positions.Position) -> None:
        name = archive.CURRENT_OBJECT
        async for answer in self._store.watch(name, version):
            for stored in answer.objects:
                if not stored.deleted and self._apply_content(stored.value):
                    self._start(self._start_broadcast())

    async def _read_platform(self) -> None:
        try:
            await self._read_current()
        except stores.StoreError:
            self.counters.platform_failures += 1

    async def _read_current(self) -> positions.Position:
        """Reads the object; returns its version, NOWHERE if it is missing."""
        # Jitter spreads the polls of instances that started together.
        spread_s = self._rng.random() * self._settings.role_interval_s
        self._polled_s = self._timers.read_monotonic() + spread_s
        self.counters.platform_reads += 1
        try:
            stored = await self._store.read(archive.CURRENT_OBJECT)
        except stores.StoreError as error:
            if error.kind is not stores.StoreErrorKind.NOT_FOUND:
                raise
            return positions.NOWHERE
        if self._apply_content(stored.value):
            self._start(self._start_broadcast())
        return stored.version

    # Peers.

    async def _start_broadcast(self) -> None:
        """Notifies the top of the tree and this instance's own children."""
        await self._notify_from(0)
        await self._forward_notice()

    async def _forward_notice(self) -> None:
        """Notifies this instance's children in the tree."""
        ids = [member.instance_id for member in self._order_peers()]
        own_id = self._membership.own.instance_id
        if own_id in ids:
            await self._notify_from(_FAN_OUT * (ids.index(own_id) + 1))

    async def _notify_from(self, start: int) -> None:
        own_id = self._membership.own.instance_id
        receivers = [
            member
            for member in self._order_peers()[start : start + _FAN_OUT]
            if member.instance_id != own_id
        ]
        await asyncio.gather(
            *(self._send_notice(member, self.revision) for member in receivers)
        )

    def _order_peers(self) -> list[members.Member]:
        """Returns the data centre's instances in an order keyed by revision."""
        own = self._membership.own
        live = self._membership.list_live_instances(own.data_centre)
        key = f"catalogue/tree/{self.revision}"
        return assignment.choose_subset(key, live, len(live))

    async def _send_notice(
        self, receiver: members.Member, revision: int
    ) -> int | None:
        """Announces a revision; returns the receiver's, or None on failure."""
        self.counters.notices_sent += 1
        notice = distribution_pb2.RevisionNotice(revision=revision)
        try:
            payload = await self._transport.call(
                receiver.address,
                NOTICE_KIND,
                notice.SerializeToString(),
                self._settings.call_timeout_s,
            )
            return distribution_pb2.RevisionNotice.FromString(payload).revision
        except (peertransport.PeerError, protobuf_message.DecodeError):
            return None

    async def _handle_notice(self, sender: str, payload: bytes) -> bytes:
        notice = distribution_pb2.RevisionNotice.FromString(payload)
        member = self._membership.find(sender)
        if member is not None and notice.revision > self.revision:
            self._start(self._fetch(member))
        own = distribution_pb2.RevisionNotice(revision=self.revision)
        return own.SerializeToString()

    async def _query_revision(
        self, member: members.Member, limit: asyncio.Semaphore
    ) -> int | None:
        if member.instance_id == self._membership.own.instance_id:
            return self.revision
        async with limit:
            return await self._send_notice(member, 0)

    async def _bootstrap_from_peers(self) -> None:
        """Fetches from a few peers, those of this data centre first."""
        own = self._membership.own
        others = [
            member
            for member in self._membership.list_live_instances()
            if member.instance_id != own.instance_id
        ]
        self._rng.shuffle(others)
        others.sort(key=lambda member: member.data_centre != own.data_centre)
        for member in others[: self._settings.bootstrap_peers]:
            await self._fetch(member)

    async def _pull_newer(self) -> None:
        """Fetches from a peer whose heartbeats show a newer revision."""
        ahead = [
            member
            for member in self._membership.list_live_instances()
            if member.revision > self.revision
        ]
        if ahead:
            await self._fetch(self._rng.choice(ahead))

    async def _fetch(self, member: members.Member) -> None:
        self.counters.fetches += 1
        request = distribution_pb2.CatalogueRequest(revision=self.revision)
        try:
            payload = await self._transport.call(
                member.address,
                FETCH_KIND,
                request.SerializeToString(),
                self._settings.call_timeout_s,
            )
            answer = distribution_pb2.CatalogueAnswer.FromString(payload)
            content = zlib.decompress(answer.content) if answer.content else b""
        except (
            peertransport.PeerError,
            protobuf_message.DecodeError,
            zlib.error,
        ):
            self.counters.fetch_failures += 1
            return
        if not content or not self._apply_content(content):
            return
        if member.data_centre == self._membership.own.data_centre:
            self._start(self._forward_notice())
        else:
            # No other instance of this data centre may have this revision yet.
            self._start(self._start_broadcast())

    async def _handle_fetch(self, sender: str, payload: bytes) -> bytes:
        request = distribution_pb2.CatalogueRequest.FromString(payload)
        is_later = self.revision > request.revision
        answer = distribution_pb2.CatalogueAnswer(
            revision=self.revision,
            content=self._compressed if is_later else b"",
        )
        return answer.SerializeToString()

    # Tasks.

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
