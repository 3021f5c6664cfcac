"""Shares of the limits across all instances, without a coordination service.

Each instance owns a static share of every limit. It pledges what it does not
need to a coordinator, which lends it to instances that need more. No instance
ever uses an amount that another may still use, so the sum of all shares stays
within the limit through crashes, pauses and partitions; see
docs/design/limits.md.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import math
import random
import zlib

from google.protobuf import message as protobuf_message

from rhubarblock.core import catalogue as catalogues
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing import limits as limiters
from rhubarblock.routing import limitshare
from rhubarblock.routing.lending import coordinator as lendingcoordinator
from rhubarblock.routing.lending import entry as lendingentry
from rhubarblock.routing.lending import lending_pb2
from rhubarblock.routing.lending import pool as lendingpool

LEND_KIND = "limits.lend"

# Bits of a sequence number that count the calls since the instance started.
_SEQUENCE_BITS = 22


@dataclasses.dataclass(slots=True, frozen=True)
class Coordinator:
    """The instance that coordinates some entries."""

    instance_id: str
    address: str


CoordinatorFinder = Callable[[str], Coordinator | None]


@dataclasses.dataclass(slots=True, frozen=True)
class LendingSettings:
    """Times in seconds, and numbers.

    Attributes:
      interval_s: mean time between two reports.
      call_timeout_s: time to wait for an answer.
      lease_s: time for which a loan lasts.
      pledge_s: time for which a pledge lasts; longer than a lease and two
        reports.
      hold_s: longest time that a long prompt takes.
      self_lease_s: time without a round after which an instance counts as
        paused and stops using its static share.
      join_s: time after which an unconfirmed instance uses its static share; by
        then all reachable instances know of it.
      early_s: delay of the additional report when a share does not suffice.
      shards: number of shards over which the entries are spread.
    """

    interval_s: float = 0.9
    call_timeout_s: float = 0.8
    lease_s: float = 3.0
    pledge_s: float = 6.0
    hold_s: float = 300.0
    self_lease_s: float = 5.0
    join_s: float = 10.0
    early_s: float = 0.3
    shards: int = 1


@dataclasses.dataclass(slots=True)
class LendingCounters:
    """Counters of lending since its start."""

    calls: int = 0
    early_calls: int = 0
    failed_calls: int = 0
    pauses: int = 0


class _Link:
    """The reports of this instance to one coordinator."""

    __slots__ = (
        "coordinator",
        "early_report",
        "epoch",
        "keys",
        "lock",
        "stamp_ms",
        "stamp_received_s",
    )

    def __init__(self, coordinator: Coordinator):
        self.coordinator = coordinator
        self.keys: list[str] = []
        self.lock = asyncio.Lock()
        self.early_report: asyncio.TimerHandle | None = None
        self.epoch = 0
        self.stamp_ms = 0
        self.stamp_received_s = -math.inf


class Lender(limitshare.Shares):
    """Obtains the shares of one instance, and coordinates those of others."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        transport: peertransport.PeerTransport,
        instance_id: str,
        incarnation: int,
        coordinator_for: CoordinatorFinder,
        holders: lendingcoordinator.HoldersProvider,
        catalogue_provider: limiters.CatalogueProvider,
        rng: random.Random,
        settings: LendingSettings | None = None,
    ):
        """Creates a lender without any share; ``run`` obtains them.

        Args:
          timers: the timer service.
          transport: calls to peers.
          instance_id: this instance.
          incarnation: number of its start, higher than that of any earlier
            start.
          coordinator_for: returns the live instance that coordinates a shard.
          holders: returns the ids of the instances that have a static share.
          catalogue_provider: returns the catalogue in force.
          rng: spreads the reports in time.
          settings: times and numbers.
        """
        self._timers = timers
        self._transport = transport
        self._instance_id = instance_id
        self._coordinator_for = coordinator_for
        self._holders = holders
        self._catalogue = catalogue_provider
        self._rng = rng
        self._settings = settings or LendingSettings()
        self._user: limitshare.ShareUser | None = None
        self._entries: dict[str, lendingentry.LentEntry] = {}
        self._links: dict[str, _Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # The incarnation follows the wall clock, so sequence numbers increase
        # across starts.
        self._sequence = incarnation << _SEQUENCE_BITS
        self._self_lease_until_s = -math.inf
        self._join_s = math.inf
        self._joined = False
        self.counters = LendingCounters()
        self._local_coordinator = self._build_coordinator(incarnation)
        transport.register(LEND_KIND, self._handle_report)

    @property
    def is_joined(self) -> bool:
        """Whether this instance uses its static share."""
        return self._joined

    def attach(self, user: limitshare.ShareUser) -> None:
        self._user = user

    def read_share(
        self, key: str, limits: catalogues.Limits, at_s: float
    ) -> limitshare.Share:
        if at_s >= self._self_lease_until_s:
            return limitshare.NO_SHARE
        share = self._find_entry(key).read_share(at_s)
        if share.until_s <= self._self_lease_until_s:
            return share
        return limitshare.Share(
            share.units, share.long_slots, self._self_lease_until_s
        )

    def ask_for_more(self, key: str) -> None:
        entry = self._find_entry(key)
        link = self._links.get(entry.coordinator_id or "")
        if (
            link is None
            or link.early_report is not None
            or not entry.early_left
        ):
            return
        entry.early_left -= 1
        link.early_report = self._timers.call_later(
            self._settings.early_s, lambda: self._report_early(link)
        )

    def find_shard(self, key: str) -> str:
        """Returns the name of the shard in which an entry is coordinated."""
        shard = zlib.crc32(key.encode()) % self._settings.shards
        return f"limits/{shard}"

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Lender"]:
        """Reports and borrows while the context is open.

        Yields:
          This object, after the first round of reports.
        """
        settings = self._settings
        self._join_s = self._timers.read_monotonic() + settings.join_s
        await self._run_round()
        try:
            with self._timers.subscribe(
                settings.interval_s, self._run_round, self._rng
            ):
                yield self
        finally:
            for task in list(self._tasks):
                task.cancel()
            for link in self._links.values():
                _cancel_early_report(link)

    # Rounds of reports.

    async def _run_round(self) -> None:
        now_s = self._timers.read_monotonic()
        self._check_pause(now_s)
        self._self_lease_until_s = now_s + self._settings.self_lease_s
        limits = limiters.list_limited_entries(self._catalogue())
        self._settle_entries(limits, now_s)
        for link in self._links.values():
            # The regular report replaces a pending additional one.
            _cancel_early_report(link)
        was_joined = self._joined
        links = [link for link in self._links.values() if link.keys]
        await asyncio.gather(*(self._report(link) for link in links))
        if self._joined and not was_joined:
            self._settle_entries(limits, self._timers.read_monotonic())
        self._refresh_shares(list(self._entries))

    def _check_pause(self, now_s: float) -> None:
        """Joins anew after a pause, as others may have divided its share."""
        if self._joined and now_s >= self._self_lease_until_s:
            self.counters.pauses += 1
            self._joined = False
            self._join_s = now_s + self._settings.join_s
        if now_s >= self._join_s:
            self._joined = True

    def _settle_entries(
        self, limits: dict[str, catalogues.Limits], now_s: float
    ) -> None:
        for key in [key for key in self._entries if key not in limits]:
            del self._entries[key]
        for link in self._links.values():
            link.keys = []
        holders = self._holders()
        for key, entry_limits in limits.items():
            entry = self._find_entry(key)
            self._set_static_share(entry, entry_limits, holders)
            coordinator = self._coordinator_for(self.find_shard(key))
            if coordinator is None:
                entry.settle(None, now_s)
                continue
            entry.settle(coordinator.instance_id, now_s)
            self._find_link(coordinator).keys.append(key)

    def _set_static_share(
        self,
        entry: lendingentry.LentEntry,
        limits: catalogues.Limits,
        holders: frozenset[str],
    ) -> None:
        own = limitshare.NO_SHARE
        if self._joined:
            own = lendingentry.compute_static_share(
                limits, entry.key, self._instance_id, holders
            )
        entry.set_static_share(own.units, own.long_slots)

    def _find_link(self, coordinator: Coordinator) -> _Link:
        link = self._links.get(coordinator.instance_id)
        if link is None:
            link = self._links[coordinator.instance_id] = _Link(coordinator)
        link.coordinator = coordinator
        return link

    def _find_entry(self, key: str) -> lendingentry.LentEntry:
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = lendingentry.LentEntry(
                key, self._settings.pledge_s, self._settings.hold_s
            )
        return entry

    def _refresh_shares(self, keys: list[str]) -> None:
        if self._user is not None:
            for key in keys:
                self._user.refresh_share(key)

    # Reports to coordinators.

    def _report_early(self, link: _Link) -> None:
        self.counters.early_calls += 1
        task = asyncio.ensure_future(self._report(link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(self, link: _Link) -> None:
        """Reports once, and a second time if others wait for the effect."""
        if link.lock.locked():
            return
        async with link.lock:
            if await self._exchange(link):
                await self._exchange(link)

    async def _exchange(self, link: _Link) -> bool:
        request = self._build_request(link)
        sent_s = self._timers.read_monotonic()
        self.counters.calls += 1
        try:
            answer = await self._call(link.coordinator, request)
        except (peertransport.PeerError, protobuf_message.DecodeError):
            self.counters.failed_calls += 1
            return False
        return self._apply(link, answer, sent_s)

    def _build_request(self, link: _Link) -> lending_pb2.LendRequest:
        demands = self._collect_demands()
        self._sequence += 1
        now_s = self._timers.read_monotonic()
        request = lending_pb2.LendRequest(
            sequence=self._sequence, epoch=link.epoch, stamp_ms=link.stamp_ms
        )
        for key in link.keys:
            entry = self._entries.get(key)
            if entry is None:
                continue
            entry.settle(link.coordinator.instance_id, now_s)
            request.entries.append(
                entry.report(
                    demands.get(key, limitshare.NO_DEMAND),
                    link.stamp_received_s,
                    now_s,
                )
            )
        return request

    async def _call(
        self, coordinator: Coordinator, request: lending_pb2.LendRequest
    ) -> lending_pb2.LendAnswer:
        if coordinator.instance_id == self._instance_id:
            return self._local_coordinator.answer(self._instance_id, request)
        payload = await self._transport.call(
            coordinator.address,
            LEND_KIND,
            request.SerializeToString(),
            self._settings.call_timeout_s,
        )
        return lending_pb2.LendAnswer.FromString(payload)

    def _apply(
        self, link: _Link, answer: lending_pb2.LendAnswer, sent_s: float
    ) -> bool:
        now_s = self._timers.read_monotonic()
        has_restarted = link.epoch not in (0, answer.epoch)
        link.epoch = answer.epoch
        link.stamp_ms = answer.stamp_ms
        link.stamp_received_s = now_s
        report_again = False
        for grant in answer.grants:
            entry = self._entries.get(grant.key)
            if entry is None or entry.coordinator_id != (
                link.coordinator.instance_id
            ):
                continue
            if has_restarted:
                entry.leave_coordinator()
            report_again |= entry.apply(
                grant,
                self._read_long_held(grant.key),
                sent_s + self._settings.lease_s,
                now_s,
            )
            self._joined |= grant.joined
        self._refresh_shares([grant.key for grant in answer.grants])
        return report_again

    def _collect_demands(self) -> dict[str, limitshare.Demand]:
        return self._user.collect_demands() if self._user else {}

    def _read_long_held(self, key: str) -> int:
        return self._user.read_long_held(key) if self._user else 0

    # Reports of other instances.

    def _build_coordinator(
        self, incarnation: int
    ) -> lendingcoordinator.LendingCoordinator:
        settings = self._settings
        return lendingcoordinator.LendingCoordinator(
            self._timers,
            incarnation,
            self._holders,
            lendingpool.PoolSettings(settings.lease_s, 0.0, settings.pledge_s),
            lendingpool.PoolSettings(
                settings.lease_s, settings.hold_s, settings.pledge_s
            ),
        )

    async def _handle_report(self, sender: str, payload: bytes) -> bytes:
        request = lending_pb2.LendRequest.FromString(payload)
        return self._local_coordinator.answer(
            sender, request
        ).SerializeToString()


def _cancel_early_report(link: _Link) -> None:
    if link.early_report is not None:
        link.early_report.cancel()
        link.early_report = None
