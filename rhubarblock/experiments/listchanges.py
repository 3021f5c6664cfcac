"""The scenario ``list-changes``: an instance that follows a changing list.

An instance that reads the store for its data centre follows a list in memory
on the real clock. Endpoints leave and are replaced by new ones all the time. An
idle task of the same event loop measures for how long callers' requests would
be held up.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import logging
import os
import random
import resource
from typing import Any

import aiohttp

from rhubarblock.core import position as positions
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import follower as followers
from rhubarblock.exchange.state import isolation as isolations
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.experiments import quantiles
from rhubarblock.kernel import logs
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.platform import dialect as dialects
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

SCENARIO = "list-changes"
# Seconds within which a configuration must be in force, and for which changes
# are made.
APPLY_S = 2.0
RUN_S = 5.0
# Seconds between two writes of several changes, and between two ticks of the
# idle task.
WRITE_INTERVAL_S = 0.005
TICK_S = 0.001
# Longest wait in seconds for the last changes.
DRAIN_S = 10.0

_INSTANCE = "reader"
_DATA_CENTRE = "osu-hall"
_SERVICE = "rhubarb-pool"
_READY = "ready"
_DRAINING = "draining"
_KIB_PER_MIB = 1024
_MS_PER_S = 1e3


@dataclasses.dataclass(slots=True, frozen=True)
class ListChangesResult:
    """Results of one run.

    Attributes:
      scenario: name of the measurement.
      seed: seed of the order of changes.
      endpoints: entries of the list.
      offered_per_s: changes that the list makes in a second.
      changes: changes made.
      answers: answers of the store that contained them.
      applied_per_s: changes that the instance applied, over the time from the
        first change until the last one was applied.
      delay_p99_s: 99th percentile of the seconds from a change to its use.
      delay_max_s: longest time from a change to its use.
      lag_p99_ms: 99th percentile of the milliseconds by which the idle task
        ran late.
      lag_max_ms: longest time by which it ran late.
      memory_mb: peak resident memory of the process in MiB.
      differing: number of endpoints that are ready in the list and not used, or
        the reverse, in the end.
    """

    scenario: str
    seed: int
    endpoints: int
    offered_per_s: float
    changes: int
    answers: int
    applied_per_s: float
    delay_p99_s: float | None
    delay_max_s: float
    lag_p99_ms: float | None
    lag_max_ms: float
    memory_mb: float
    differing: int


class ChangingList(stores.ObjectStore):
    """A store whose list of endpoints changes.

    An endpoint begins to leave, and is then replaced by one with another id.

    Attributes:
      made: number of changes so far.
      put: number of changes that wrote an entry; the others removed one.
      answers: number of answers to watches.
      written_s: when each state of an endpoint was written, by its id and
        whether it is leaving, in monotonic seconds.
    """

    def __init__(
        self, size: int, rng: random.Random, timers: timer_service.Timers
    ):
        """Creates a list.

        Args:
          size: number of endpoints, all of them ready.
          rng: chooses the endpoints that change.
          timers: the clock.
        """
        self._rng = rng
        self._timers = timers
        self._revision = 1
        self._generations = [0] * size
        self._is_leaving = [False] * size
        self._events: list[str] = []
        self._changed = asyncio.Event()
        self.made = 0
        self.put = 0
        self.answers = 0
        self.written_s: dict[tuple[str, bool], float] = {}

    def change_one(self) -> None:
        """Makes a drawn endpoint leave, or replaces one that leaves."""
        number = self._rng.randrange(len(self._generations))
        if not self._is_leaving[number]:
            self._is_leaving[number] = True
            self._put(number)
            return
        self._revision += 1
        self._note(self._name(number), None)
        self._generations[number] += 1
        self._is_leaving[number] = False
        self._put(number)

    def list_ready(self) -> set[str]:
        """Returns the ids of the endpoints that are not leaving."""
        return {
            self._name(number)
            for number, is_leaving in enumerate(self._is_leaving)
            if not is_leaving
        }

    def _name(self, number: int) -> str:
        return f"engine-{number:04d}-{self._generations[number]}"

    def _put(self, number: int) -> None:
        self._revision += 1
        name = self._name(number)
        state = name, self._is_leaving[number]
        self.written_s[state] = self._timers.read_monotonic()
        self._note(name, self._describe(number))
        self.put += 1

    def _note(self, name: str, value: dict[str, Any] | None) -> None:
        self._events.append(json.dumps([name, self._revision, value]))
        self.made += 1
        self._changed.set()

    def _describe(self, number: int) -> dict[str, Any]:
        host, port = divmod(number, 100)
        return {
            "state": _DRAINING if self._is_leaving[number] else _READY,
            "sequence": self._revision,
            "address": f"10.9.{host // 256}.{host % 256}:{8_000 + port}",
            "zone": _DATA_CENTRE,
            "service": _SERVICE,
            "slots": 6,
        }

    async def read(self, name: str) -> stores.StoredObject:
        value = b'{"version": 1, "routes": [], "services": []}'
        return stores.StoredObject(name, positions.Position(0, 1), value)

    async def list_objects(self, prefix: str) -> stores.Page:
        version = positions.Position(0, self._revision)
        return stores.Page(
            tuple(
                stores.StoredObject(
                    prefix + self._name(number),
                    version,
                    json.dumps(self._describe(number)).encode(),
                )
                for number in range(len(self._generations))
            ),
            version,
        )

    async def write(
        self, name: str, value: bytes, expected_version: positions.Position
    ) -> stores.StoredObject:
        raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)

    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)

    async def watch(
        self,
        prefix: str,
        after: positions.Position,
        wait_s: float | None = None,
    ) -> AsyncIterator[stores.Page]:
        while True:
            await self._changed.wait()
            self._changed.clear()
            events, self._events = self._events, []
            self.answers += 1
            # Decoded like the body of an answer.
            answer = json.loads(f"[{','.join(events)}]")
            objects = tuple(
                stores.StoredObject(
                    prefix + name,
                    positions.Position(0, revision),
                    json.dumps(value).encode() if value else b"",
                    value is None,
                )
                for name, revision, value in answer
            )
            yield stores.Page(objects, objects[-1].version)


class Reader:
    """The parts of an instance that follow the list.

    Attributes:
      directory: the endpoints that it knows.
      delays_s: seconds from each change to its use.
    """

    def __init__(
        self,
        listing: ChangingList,
        session: aiohttp.ClientSession,
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        dialect = dialects.PlatformDialect()
        config_lease = config_leases.ConfigurationLease(APPLY_S)
        eras = era_lib.EraTracker(metric_store.Metrics())
        self.directory = directories.Directory(timers)
        state = replicas.StateReplica(
            dialect, config_lease, self.directory, timers
        )
        self.follower = followers.StoreFollower(
            listing,
            dialect,
            state,
            config_lease,
            statefeed.StateClient(
                session,
                _INSTANCE,
                _DATA_CENTRE,
                state,
                self.directory,
                config_lease,
                timers,
                eras,
            ),
            peer_table.PeerTable(_INSTANCE, _DATA_CENTRE, timers),
            followers.PollIntervals(APPLY_S),
            timers,
            rng,
            eras,
            isolations.Isolation(),
        )
        self.is_listed = state.listed
        self.delays_s: list[float] = []
        self._listing = listing
        self._timers = timers

    def note_delays(self) -> None:
        """Records the delay of each change from now on."""
        written_s = self._listing.written_s
        read_clock = self._timers.read_monotonic
        self.directory.on_listed = lambda entry, _: self.delays_s.append(
            read_clock() - written_s[entry.endpoint_id, entry.draining]
        )

    def list_ready(self) -> set[str]:
        """Returns the ids of the endpoints that are not leaving."""
        usable = self.directory.list_usable(_SERVICE)
        return {entry.endpoint_id for entry in usable}


class IdleTask:
    """Measures by how much an idle task runs late.

    Attributes:
      lags_s: seconds by which it ran late, for each tick.
    """

    def __init__(self, timers: timer_service.Timers):
        self._timers = timers
        self.lags_s: list[float] = []

    async def run(self) -> None:
        """Ticks until it is cancelled."""
        while True:
            begun_s = self._timers.read_monotonic()
            await self._timers.sleep(TICK_S)
            late_s = self._timers.read_monotonic() - begun_s - TICK_S
            self.lags_s.append(max(0.0, late_s))


async def measure(
    size: int, seed: int, changes_per_s: float
) -> ListChangesResult:
    """Runs the scenario on the running loop.

    Args:
      size: number of endpoints.
      seed: seed of the order of changes.
      changes_per_s: changes that the list makes in a second.
    """
    timers = timer_service.LoopTimers()
    rng = random.Random(seed)
    listing = ChangingList(size, rng, timers)
    idle = IdleTask(timers)
    with _log_like_an_instance():
        async with aiohttp.ClientSession() as session:
            reader = Reader(listing, session, timers, rng)
            async with reader.follower.run():
                await reader.is_listed.wait()
                reader.note_delays()
                ticking = asyncio.create_task(idle.run())
                begun_s = timers.read_monotonic()
                await _make_changes(listing, changes_per_s, timers)
                await _wait_until_applied(reader, listing, timers)
                used_s = timers.read_monotonic() - begun_s
                ticking.cancel()
    return _summarise(size, seed, changes_per_s, listing, reader, idle, used_s)


async def _make_changes(
    listing: ChangingList, changes_per_s: float, timers: timer_service.Timers
) -> None:
    begun_s = timers.read_monotonic()
    while (passed_s := timers.read_monotonic() - begun_s) < RUN_S:
        while listing.made < changes_per_s * passed_s:
            listing.change_one()
        await timers.sleep(WRITE_INTERVAL_S)


async def _wait_until_applied(
    reader: Reader, listing: ChangingList, timers: timer_service.Timers
) -> None:
    deadline_s = timers.read_monotonic() + DRAIN_S
    while len(reader.delays_s) < listing.put:
        if timers.read_monotonic() > deadline_s:
            return
        await timers.sleep(WRITE_INTERVAL_S)


@contextlib.contextmanager
def _log_like_an_instance() -> Iterator[None]:
    """Formats the log lines of an instance and discards them."""
    with open(os.devnull, "w", encoding="utf-8") as sink:
        logger = logs.configure("INFO", sink)
        try:
            yield
        finally:
            for handler in logger.handlers:
                handler.close()
            logger.handlers = []
            logger.setLevel(logging.NOTSET)
            logger.propagate = True


def _summarise(
    size: int,
    seed: int,
    changes_per_s: float,
    listing: ChangingList,
    reader: Reader,
    idle: IdleTask,
    used_s: float,
) -> ListChangesResult:
    lags_ms = [lag_s * _MS_PER_S for lag_s in idle.lags_s]
    applied = len(reader.delays_s) / listing.put
    return ListChangesResult(
        scenario=SCENARIO,
        seed=seed,
        endpoints=size,
        offered_per_s=changes_per_s,
        changes=listing.made,
        answers=listing.answers,
        applied_per_s=round(listing.made * applied / used_s),
        delay_p99_s=quantiles.summarise(reader.delays_s, 3).p99,
        delay_max_s=round(max(reader.delays_s, default=0.0), 3),
        lag_p99_ms=quantiles.summarise(lags_ms, 2).p99,
        lag_max_ms=round(max(lags_ms, default=0.0), 2),
        memory_mb=round(
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KIB_PER_MIB
        ),
        differing=len(reader.list_ready() ^ listing.list_ready()),
    )
