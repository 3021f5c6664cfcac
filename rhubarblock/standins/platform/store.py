"""Stand-in for the platform's object API, in memory.

It has the guarantees of the platform (versions, conditional writes, watches)
and its limits (rates, sizes, latency), and violates them only through the
faults that are switched on.
"""

import collections
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins.platform import faults as platformfaults
from rhubarblock.standins.platform import rates as platformrates
from rhubarblock.standins.platform import state as platformstate
from rhubarblock.standins.platform import watch as platformwatch
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Limits and latency of the stand-in.

    Attributes:
      writes_per_s: limit of writes and deletions per second of all clients.
      reads_per_s: limit of reads, listings and watches per second of all
        clients.
      client_writes_per_s: ``writes_per_s`` of each client; 0 means unlimited.
      client_reads_per_s: ``reads_per_s`` of each client; 0 means unlimited.
      watch_reads_per_s: reads per second that an open watch counts as.
      latency_s: mean seconds from a call to its answer.
      events_limit: minimum number of events kept for watches that start from
        an older version.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    client_writes_per_s: float = 0.0
    client_reads_per_s: float = 0.0
    watch_reads_per_s: float = 1.0
    latency_s: float = 0.003
    events_limit: int = 10_000


class MemoryStore(stores.ObjectStore):
    """The object API; direct calls come from the client ``local``.

    Attributes:
      faults: switches for faults.
      state: stored objects, for tests and other stand-ins.
      counters: calls by kind and outcome, e.g. ``write`` or ``write.conflict``.
    """

    __slots__ = (
        "_local",
        "_reads",
        "_writes",
        "counters",
        "faults",
        "rng",
        "settings",
        "state",
        "timers",
    )

    def __init__(
        self,
        timers: timer_service.Timers,
        rng: random.Random,
        settings: PlatformSettings | None = None,
    ):
        """Creates an empty store.

        Args:
          timers: timer service.
          rng: draws latencies and random faults.
          settings: limits, or None for the defaults.
        """
        self.timers = timers
        self.rng = rng
        self.settings = settings or PlatformSettings()
        self.faults = platformfaults.PlatformFaults()
        self.state = platformstate.PlatformState(self.settings.events_limit)
        self.counters: collections.Counter[str] = collections.Counter()
        self._writes = platformrates.TokenBucket(
            timers, self.settings.writes_per_s
        )
        self._reads = platformrates.TokenBucket(
            timers, self.settings.reads_per_s
        )
        self._local = self.connect("local")

    def connect(self, client_id: str) -> "Connection":
        """Returns a connection to the store for one client.

        Args:
          client_id: name by which the client can be cut off.
        """
        return Connection(self, client_id)

    def take_write(self) -> bool:
        """Takes a write from the shared limit; returns if it is allowed."""
        return self._writes.take()

    def take_read(self) -> bool:
        """Takes a read from the shared limit; returns if it is allowed."""
        return self._reads.take()

    def reserve_watch_reads(self, calls_per_s: float) -> None:
        """Changes the reads per second reserved for open watches."""
        self._reads.reserve(calls_per_s)

    async def read(self, name: str) -> stores.StoredObject:
        return await self._local.read(name)

    async def list_objects(self, prefix: str) -> stores.Page:
        return await self._local.list_objects(prefix)

    async def write(
        self, name: str, value: bytes, expected_version: positions.Position
    ) -> stores.StoredObject:
        return await self._local.write(name, value, expected_version)

    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        await self._local.delete(name, expected_version)

    def watch(
        self,
        prefix: str,
        after: positions.Position,
        wait_s: float | None = None,
    ) -> AsyncIterator[stores.Page]:
        return self._local.watch(prefix, after, wait_s)


class Connection(stores.ObjectStore):
    """Connection of one client to the store."""

    __slots__ = ("_client_id", "_reads", "_store", "_writes")

    def __init__(self, store: MemoryStore, client_id: str):
        """Creates a connection; use ``MemoryStore.connect``."""
        settings = store.settings
        self._store = store
        self._client_id = client_id
        self._writes = platformrates.TokenBucket(
            store.timers, settings.client_writes_per_s
        )
        self._reads = platformrates.TokenBucket(
            store.timers, settings.client_reads_per_s
        )

    @property
    def client_id(self) -> str:
        """Name by which the client can be cut off."""
        return self._client_id

    def cut_off(self) -> None:
        """Cuts this client off until ``join``."""
        self._store.faults.cut_off(self._client_id)

    def join(self) -> None:
        """Reconnects this client."""
        self._store.faults.join(self._client_id)

    async def read(self, name: str) -> stores.StoredObject:
        await self._begin_read("read")
        found = self._find(name)
        await self._wait_one_way()
        if found is None:
            raise self._make_error("read", _Kind.NOT_FOUND, name)
        self._count("read.bytes", len(found.value))
        return found

    async def list_objects(self, prefix: str) -> stores.Page:
        await self._begin_read("list")
        state = self._store.state
        if self._store.faults.stale_s > 0:
            version = self._find_stale_version()
            found = state.find_all_at(prefix, version)
        else:
            version = state.version
            found = state.find_all(prefix)
        page = stores.Page(tuple(found), version)
        self._count("read.bytes", sum(len(o.value) for o in found))
        await self._wait_one_way()
        return page

    async def check_list_call(self) -> None:
        """Counts a call to the instance list like a read, with its limits."""
        await self._begin_read("instances")
        await self._wait_one_way()

    async def write(
        self, name: str, value: bytes, expected_version: positions.Position
    ) -> stores.StoredObject:
        await self._begin_write("write")
        if len(value) > stores.VALUE_LIMIT:
            raise self._make_error("write", _Kind.TOO_LARGE, name)
        now_s = self._store.timers.read_monotonic()
        try:
            written = self._store.state.write(
                name, value, expected_version, now_s
            )
        except stores.StoreError as error:
            await self._wait_one_way()
            raise self._make_error("write", error.kind, str(error)) from error
        self._count("write.bytes", len(value))
        await self._answer_write("write")
        return written

    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        await self._begin_write("delete")
        now_s = self._store.timers.read_monotonic()
        try:
            self._store.state.delete(name, expected_version, now_s)
        except stores.StoreError as error:
            await self._wait_one_way()
            raise self._make_error("delete", error.kind, str(error)) from error
        await self._answer_write("delete")

    async def watch(
        self,
        prefix: str,
        after: positions.Position,
        wait_s: float | None = None,
    ) -> AsyncGenerator[stores.Page, None]:
        store = self._store
        await self._begin_read("watch")
        opened = platformwatch.Watch(
            store.state, store.faults, store.rng, self._client_id, prefix
        )
        reserved_per_s = store.settings.watch_reads_per_s
        store.reserve_watch_reads(reserved_per_s)
        try:
            latency_s = store.settings.latency_s / 2
            events = opened.read_events(after, store.timers, latency_s)
            async with contextlib.aclosing(events):
                async for stored in events:
                    self._count("watch.event")
                    yield stores.Page((stored,), stored.version)
        finally:
            store.reserve_watch_reads(-reserved_per_s)

    def _find(self, name: str) -> stores.StoredObject | None:
        state = self._store.state
        if self._store.faults.stale_s > 0:
            return state.find_at(name, self._find_stale_version())
        return state.find(name)

    def _find_stale_version(self) -> positions.Position:
        now_s = self._store.timers.read_monotonic()
        return self._store.state.find_version(
            now_s - self._store.faults.stale_s
        )

    async def _begin_read(self, call: str) -> None:
        self._count(call)
        await self._wait_one_way()
        faults = self._store.faults
        if faults.is_cut_off(self._client_id):
            await self._store.timers.sleep(faults.unsure_after_s)
            raise self._make_error(call, _Kind.UNAVAILABLE, "cut off")
        self._check_outage(call)
        if not (self._reads.take() and self._store.take_read()):
            raise self._make_error(call, _Kind.RATE_LIMITED)

    async def _begin_write(self, call: str) -> None:
        self._count(call)
        await self._wait_one_way()
        faults = self._store.faults
        cut_off = faults.is_cut_off(self._client_id)
        if cut_off or faults.draw_lost_call(self._store.rng):
            await self._store.timers.sleep(faults.unsure_after_s)
            raise self._make_error(call, _Kind.UNSURE, "lost on the way")
        self._check_outage(call)
        if not (self._writes.take() and self._store.take_write()):
            raise self._make_error(call, _Kind.RATE_LIMITED)

    async def _answer_write(self, call: str) -> None:
        faults = self._store.faults
        await self._wait_one_way()
        cut_off = faults.is_cut_off(self._client_id)
        if cut_off or faults.draw_lost_answer(self._store.rng):
            await self._store.timers.sleep(faults.unsure_after_s)
            raise self._make_error(call, _Kind.UNSURE, "answer lost")

    def _check_outage(self, call: str) -> None:
        if self._store.faults.outage:
            raise self._make_error(call, _Kind.UNAVAILABLE, "outage")

    async def _wait_one_way(self) -> None:
        # Each call waits once for its request and once for its answer, so its
        # effect can occur between the two waits of a concurrent call.
        spread = 0.5 + self._store.rng.random()
        half_s = self._store.settings.latency_s * spread / 2
        half_s += self._store.faults.slow_s / 2
        await self._store.timers.sleep(half_s)

    def _count(self, name: str, amount: int = 1) -> None:
        self._store.counters[name] += amount

    def _make_error(
        self, call: str, kind: stores.StoreErrorKind, message: str = ""
    ) -> stores.StoreError:
        self._count(f"{call}.{kind.value}")
        return stores.StoreError(kind, message)
