"""Keeps an instance's state up to date, from the store or from a peer.

One instance of each data centre, the reader, reads the store; the others poll
the reader, so the number of calls to the store does not grow with the number of
instances. An instance that finds the reader's state too old reads the store
itself, and one that cannot reach the store asks any peer: an instance that the
store rejects continues to serve as long as some peer can read.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import dataclasses
import enum
import logging
import random

from rhubarblock.core import position as positions
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import evacuationfollower
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import isolation as isolations
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

# Fractions of the time within which a configuration must be in force
# everywhere: the interval between reads, the time for which a peer's answer
# waits for a change, and the age from which an instance reads the store itself.
# A reader that lost the store is detected after the sum of the last two, which
# leaves time for the instance's own read.
READ_FRACTION = 0.35
WAIT_FRACTION = 0.2
STALE_FRACTION = 0.65
# Longest interval between reads in seconds: the lease outlasts three failed
# reads.
MAX_READ_INTERVAL_S = 1.4
# Seconds between two checks whether this instance is the reader.
ROLE_INTERVAL_S = 1.0
# Seconds by which instances that are not the reader wait longer after a failed
# read of their own: in an outage they would make most calls, and each call is
# charged.
NON_READER_WAIT_S = 1.0
# Fraction of the time within which a configuration must be in force for which
# the watch pauses after changes of the list. Every endpoint registers when all
# start, a rolling replacement changes some entries each second, and each answer
# of the store is charged.
CHANGES_FRACTION = 0.1
# Longest time in seconds in which changes are applied without a pause: callers'
# requests wait meanwhile.
SLICE_S = 0.003
# Number of readers that are polled in turn before the store is read: after a
# restart of all instances the preferred ones may not be up yet, and each call
# to the store is charged. Polling an instance that is down takes a quarter of a
# second.
MAX_READERS_POLLED = 3
# Seconds after which peers are asked while a read of the store goes on.
SLOW_READ_S = 0.5
# Backoff after failed calls.
BACKOFF = backoffs.BackoffSettings(first_s=0.1, max_s=1.0)

_logger = logging.getLogger(__name__)


class _Answer(enum.Enum):
    """Result of a state request to a peer."""

    YOUNG = "young"  # The state is fresh enough.
    OLD = "old"  # The peer lost the store.
    NONE = "none"  # The peer is down or has no state.


@dataclasses.dataclass(slots=True, frozen=True)
class _PollResult:
    """The last poll of a reader and its result.

    Attributes:
      reader: address of the reader; empty if this instance is the reader.
      answer: the result.
    """

    reader: str
    answer: _Answer


class PollIntervals:
    """Intervals and age limits of polling.

    Attributes:
      read_s: seconds between two reads of the store.
      wait_s: seconds for which a peer's answer waits for a change.
      max_age_s: age in seconds from which a peer's state is not used.
      changes_s: seconds for which the watch pauses after changes.
    """

    __slots__ = ("changes_s", "max_age_s", "read_s", "wait_s")

    def __init__(self, apply_s: float):
        """Derives the intervals from a bound.

        Args:
          apply_s: seconds within which a configuration must be in force.
        """
        self.read_s = min(MAX_READ_INTERVAL_S, READ_FRACTION * apply_s)
        self.wait_s = min(statefeed.WAIT_S, WAIT_FRACTION * apply_s)
        self.max_age_s = STALE_FRACTION * apply_s
        self.changes_s = CHANGES_FRACTION * apply_s


class StoreFollower:
    """Keeps the state of one instance up to date."""

    __slots__ = (
        "_config_lease",
        "_replica",
        "_client",
        "_dialect",
        "_eras",
        "_evacuations",
        "_peers",
        "_intervals",
        "_isolation",
        "_may_list",
        "_must_list",
        "_reachable",
        "_reads_store",
        "_rng",
        "_store",
        "_timers",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        dialect: dialects.Dialect,
        replica: replicas.StateReplica,
        config_lease: config_leases.ConfigurationLease,
        client: statefeed.StateClient,
        peers: peer_table.PeerTable,
        intervals: PollIntervals,
        timers: timer_service.Timers,
        rng: random.Random,
        eras: era_lib.EraTracker,
        isolation: isolations.Isolation,
        evacuations: evacuationfollower.EvacuationFollower | None = None,
    ):
        """Creates a follower; ``run`` starts it.

        Args:
          store: the object API.
          dialect: names of the objects.
          replica: receives the state.
          config_lease: age of the state.
          client: requests state from peers.
          peers: the other instances.
          intervals: intervals and age limits of polling.
          timers: the clock, and sleeps.
          rng: jitter of backoffs.
          eras: reports when the store was restored from an older copy.
          isolation: learns who answers.
          evacuations: reads the evacuations, None without evacuations.
        """
        self._eras = eras
        self._isolation = isolation
        self._evacuations = evacuations
        # Set when the list must be read again: the store came back older, or a
        # read failed, after which the connection of the watch may be silent.
        self._must_list = asyncio.Event()
        eras.add_listener(self._begin_era)
        self._store = store
        self._dialect = dialect
        self._replica = replica
        self._config_lease = config_lease
        self._client = client
        self._peers = peers
        self._intervals = intervals
        self._timers = timers
        self._rng = rng
        self._reachable = True
        self._reads_store = False
        # Set while the list may be read: a store that returned no configuration
        # returns no list either.
        self._may_list = asyncio.Event()

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["StoreFollower"]:
        """Keeps the state up to date while the context is open."""
        tasks = [
            asyncio.create_task(self._follow_configuration()),
            asyncio.create_task(self._follow_endpoints()),
        ]
        if self._evacuations is not None:
            tasks.append(asyncio.create_task(self._evacuations.follow()))
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow_configuration(self) -> None:
        backoff = backoffs.Backoff(self._rng, BACKOFF)
        while True:
            result = await self._poll_readers()
            if result.answer is _Answer.YOUNG:
                self._isolation.note_confirmed()
                self._set_role(False)
                continue
            # This instance reads for its data centre, or no reader has fresh
            # state.
            self._set_role(True)
            if await self._read_store_or_ask():
                self._isolation.note_confirmed()
                if result.answer is _Answer.OLD:
                    # The reader lost the store, which this instance reaches.
                    # Until the backoff ends, the next candidate is the reader.
                    self._peers.back_off_from(result.reader)
                backoff.reset()
                await self._timers.sleep(self._intervals.read_s)
                await self._ask_for_evacuations()
                continue
            await self._poll_any_peer()
            extra_wait_s = NON_READER_WAIT_S if result.reader else 0.0
            await self._timers.sleep(extra_wait_s + backoff.take_delay())

    async def _poll_readers(self) -> _PollResult:
        """Polls the reader, and the next candidates if it is down.

        Returns:
          The last poll and its result.
        """
        result = _PollResult("", _Answer.NONE)
        for _ in range(MAX_READERS_POLLED):
            reader = self._peers.find_reader()
            if reader is None:
                break
            result = _PollResult(reader, await self._poll(reader))
            if result.answer is not _Answer.NONE:
                break
        return result

    async def _poll(self, address: str) -> _Answer:
        """Requests state from a peer.

        State that is too old is not applied: its list may still contain
        endpoints of which this instance has already read that they left.
        """
        try:
            await self._client.poll(
                address, self._intervals.wait_s, self._intervals.max_age_s
            )
        except statefeed.StaleStateError as error:
            _logger.info(
                "a peer's state is too old",
                extra={"peer": address, "reason": str(error)},
            )
            return _Answer.OLD
        except statefeed.FeedError as error:
            _logger.info(
                "a peer gave no state",
                extra={"peer": address, "reason": str(error)},
            )
            self._peers.back_off_from(address)
            return _Answer.NONE
        return _Answer.YOUNG

    async def _read_store_or_ask(self) -> bool:
        """Reads the store, and asks peers meanwhile if it takes long.

        Returns:
          Whether the store answered.
        """
        reading = asyncio.create_task(self._read_store())
        try:
            await asyncio.wait({reading}, timeout=SLOW_READ_S)
            if not reading.done():
                await self._poll_any_peer()
            return await reading
        finally:
            reading.cancel()

    async def _poll_any_peer(self) -> None:
        """Polls some peers; state fresher than that held here is applied."""
        age_s = self._config_lease.age_s
        replies = await asyncio.gather(
            *(
                self._ask_peer(address, age_s)
                for address in self._peers.list_peers()
            )
        )
        if self._config_lease.age_s < min(age_s, self._intervals.max_age_s):
            self._isolation.note_confirmed()
        elif self._config_lease.table is not None:
            # At a start peers may not listen yet.
            self._isolation.note_replies(len(replies), sum(replies))

    async def _ask_peer(self, address: str, max_age_s: float) -> bool:
        """Polls a peer and returns whether it answered."""
        try:
            await self._client.poll(address, 0.0, max_age_s)
        except statefeed.StaleStateError:
            return True
        except statefeed.FeedError:
            return False
        return True

    async def _ask_for_evacuations(self) -> None:
        """Asks peers for evacuations that the store did not give at a start."""
        held = self._replica.evacuations
        if held is None or held.known.is_known:
            return
        for address in self._peers.list_peers()[:MAX_READERS_POLLED]:
            with contextlib.suppress(statefeed.FeedError):
                await self._client.poll_evacuations(address)
            if held.known.is_known:
                return

    async def _read_store(self) -> bool:
        sent_s = self._config_lease.read_clock()
        try:
            stored = await self._store.read(self._dialect.configuration_name)
            era = stored.version.era
            await self._read_evacuations_after_pause()
            self._replica.apply_configuration(stored.value, sent_s, era)
        except (stores.StoreError, ValueError) as error:
            if self._reachable:
                self._reachable = False
                self._must_list.set()
                self._update_may_list()
                _logger.warning("store lost", extra={"reason": str(error)})
            return False
        if not self._reachable:
            self._reachable = True
            self._update_may_list()
            _logger.warning("store regained")
        return True

    async def _read_evacuations_after_pause(self) -> None:
        """Reads the evacuations before an expired lease becomes valid again.

        After a pause of the process, the set held here may be outdated.
        """
        if (
            self._evacuations is not None
            and self._config_lease.table is not None
            and self._config_lease.find_valid() is None
        ):
            await self._evacuations.read_once()

    def _begin_era(self) -> None:
        """Keeps the state in force and reads everything again."""
        self._replica.begin_era()
        self._client.forget()
        self._must_list.set()

    def _set_role(self, reads_store: bool) -> None:
        self._update_evacuations(reads_store)
        if reads_store == self._reads_store:
            return
        self._reads_store = reads_store
        self._update_may_list()
        # A list read from the store has no position in a peer's change log.
        self._client.forget()
        _logger.info("role changed", extra={"reads_store": reads_store})

    def _update_may_list(self) -> None:
        """Updates the event that allows the list to be read."""
        if self._reads_store and self._reachable:
            self._may_list.set()
        else:
            self._may_list.clear()
        self._update_evacuations(self._reads_store)

    def _update_evacuations(self, reads_store: bool) -> None:
        """Lets the evacuations be read where no reader sends them."""
        held = self._replica.evacuations
        if self._evacuations is None or held is None:
            return
        may_read = self._reachable if reads_store else not held.is_fed
        self._evacuations.set_active(may_read)

    async def _follow_endpoints(self) -> None:
        backoff = backoffs.Backoff(self._rng, BACKOFF)
        while True:
            await self._may_list.wait()
            try:
                page = await self._store.list_objects(
                    self._dialect.endpoint_prefix
                )
                self._must_list.clear()
                if page.version.era != self._eras.current:
                    continue
                self._replica.apply_listing(page.objects, at=page.version)
                backoff.reset()
                await self._watch_while_reading(page.version)
            except stores.StoreError as error:
                _logger.info(
                    "endpoints are listed anew", extra={"reason": str(error)}
                )
                await self._timers.sleep(backoff.take_delay())

    async def _watch_while_reading(self, after: positions.Position) -> None:
        """Watches the list until it must be read again or the role changes."""
        watch = asyncio.create_task(self._watch(after))
        outdated = asyncio.create_task(self._must_list.wait())
        try:
            while self._reads_store and not watch.done() | outdated.done():
                await asyncio.wait(
                    {watch, outdated},
                    timeout=ROLE_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if watch.done():
                watch.result()
        finally:
            for task in (watch, outdated):
                task.cancel()
            await asyncio.gather(watch, outdated, return_exceptions=True)

    async def _watch(self, after: positions.Position) -> None:
        answers = self._store.watch(self._dialect.endpoint_prefix, after)
        async for answer in answers:
            await self._apply(answer.objects)
            # Changes during the pause arrive with the next answer.
            await self._timers.sleep(self._intervals.changes_s)

    async def _apply(self, changes: Iterable[stores.StoredObject]) -> None:
        """Applies the changes of one answer in slices."""
        begun_s = self._timers.read_monotonic()
        for stored in changes:
            self._replica.apply_change(stored)
            if self._timers.read_monotonic() - begun_s > SLICE_S:
                await self._timers.sleep(0.0)
                begun_s = self._timers.read_monotonic()
