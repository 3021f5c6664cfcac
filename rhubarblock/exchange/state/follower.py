"""Follows the state of the store, directly or through a peer.

One instance of each data centre reads the store; the others ask it, so that
calls to the store don't grow with the instances. Whoever finds the state too
old reads the store itself, and whoever can't reach the store asks any peer: an
instance that the store turns away goes on serving as long as a peer is not.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import enum
import logging
import random

from rhubarblock.core import position as positions
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

# Parts of the time in which a configuration must be in force everywhere: how
# often it is read, how long a peer's answer waits for news, and the age from
# which an instance reads the store itself. A reader that lost the store is
# noticed after the last two together, which leaves time for the own read.
READ_PART = 0.35
WAIT_PART = 0.2
OLD_PART = 0.65
# Longest seconds between two reads: the lease outlasts three that fail.
READ_MOST_S = 1.4
# Seconds between two looks at whether this instance is to read the store.
ROLE_INTERVAL_S = 1.0
# Seconds by which instances that have a reader wait longer after a failed read
# of their own: in an outage most calls would be theirs, and all are charged.
OTHERS_WAIT_S = 1.0
# Part of the same time for which nothing is asked after changes of the list: at
# a start of all every endpoint enters it, a rolling replacement changes some
# each second, and each answer is charged.
CHANGES_PART = 0.1
# Longest seconds in which the changes of one answer are taken in: a question
# and its answer take longer.
SAME_ANSWER_S = 0.003
# Readers that are asked one after the other before the store is: after a loss
# of all the best ones may not be up yet, and each call to the store is
# charged. Asking one that is gone takes a quarter of a second.
READERS_ASKED = 3
# How waits after failed calls grow.
BACKOFF = backoffs.BackoffSettings(first_s=0.1, max_s=1.0)

_logger = logging.getLogger(__name__)


class _Answer(enum.Enum):
    """What a peer said when it was asked for state."""

    YOUNG = "young"  # It is relied on.
    OLD = "old"  # The peer lost the store.
    NONE = "none"  # The peer is not up, or has no state itself.


@dataclasses.dataclass(slots=True, frozen=True)
class _Asked:
    """A peer that was asked for state.

    Attributes:
      reader: its address; empty where this instance is to read the store.
      answer: what it said.
    """

    reader: str
    answer: _Answer


class PollIntervals:
    """How often the state is looked at.

    Attributes:
      read_s: seconds between two reads of the store.
      wait_s: seconds for which a peer's answer waits for news.
      old_s: age in seconds from which a peer's state is not relied on.
      changes_s: seconds without a question after changes of the list.
    """

    __slots__ = ("changes_s", "old_s", "read_s", "wait_s")

    def __init__(self, apply_s: float):
        """Derives the pace from a bound.

        Args:
          apply_s: seconds in which a configuration must be in force.
        """
        self.read_s = min(READ_MOST_S, READ_PART * apply_s)
        self.wait_s = min(statefeed.WAIT_S, WAIT_PART * apply_s)
        self.old_s = OLD_PART * apply_s
        self.changes_s = CHANGES_PART * apply_s


class StoreFollower:
    """Keeps the state of one instance up to date."""

    __slots__ = (
        "_config_lease",
        "_replica",
        "_client",
        "_dialect",
        "_eras",
        "_peers",
        "_pace",
        "_has_new_era",
        "_may_list",
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
        pace: PollIntervals,
        timers: timer_service.Timers,
        rng: random.Random,
        eras: era_lib.EraTracker,
    ):
        """Creates a follower; ``run`` sets it going.

        Args:
          store: the object API.
          dialect: names of the objects.
          replica: takes the state.
          config_lease: age of the state.
          client: asks peers.
          peers: the other instances.
          pace: how often the state is looked at.
          timers: clock and sleeps.
          rng: spreads waits.
          eras: tells when the store came back older.
        """
        self._eras = eras
        # Set when a list must be read anew.
        self._has_new_era = asyncio.Event()
        eras.listen(self._begin_era)
        self._store = store
        self._dialect = dialect
        self._replica = replica
        self._config_lease = config_lease
        self._client = client
        self._peers = peers
        self._pace = pace
        self._timers = timers
        self._rng = rng
        self._reachable = True
        self._reads_store = False
        # Set while a list can be had: a store that gave no configuration gives
        # none either.
        self._may_list = asyncio.Event()

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["StoreFollower"]:
        """Follows the store while the context is open."""
        tasks = [
            asyncio.create_task(self._follow_configuration()),
            asyncio.create_task(self._follow_endpoints()),
        ]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow_configuration(self) -> None:
        backoff = backoffs.Backoff(self._rng, BACKOFF)
        while True:
            asked = await self._ask_readers()
            if asked.answer is _Answer.YOUNG:
                self._set_role(False)
                continue
            # The store's answer is for all of this data centre, so this one
            # reads it, or there is nobody better to ask.
            self._set_role(True)
            if await self._read_store():
                if asked.answer is _Answer.OLD:
                    # It lost the store, which others still reach: until it is
                    # asked again the next best one reads for all.
                    self._peers.distrust(asked.reader)
                backoff.reset()
                await self._timers.sleep(self._pace.read_s)
                continue
            await self._ask_anybody()
            others = OTHERS_WAIT_S if asked.reader else 0.0
            await self._timers.sleep(others + backoff.take_delay())

    async def _ask_readers(self) -> _Asked:
        """Asks the reader, and the next ones while those before are not up.

        Returns:
          The last one that was asked and what it said.
        """
        asked = _Asked("", _Answer.NONE)
        for _ in range(READERS_ASKED):
            reader = self._peers.find_reader()
            if reader is None:
                break
            asked = _Asked(reader, await self._ask(reader))
            if asked.answer is not _Answer.NONE:
                break
        return asked

    async def _ask(self, address: str) -> _Answer:
        """Asks a peer.

        State that is too old is not taken in: its list may still name endpoints
        whose leaving this instance has read of itself.
        """
        try:
            await self._client.ask(address, self._pace.wait_s, self._pace.old_s)
        except statefeed.OldStateError as error:
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
            self._peers.distrust(address)
            return _Answer.NONE
        return _Answer.YOUNG

    async def _ask_anybody(self) -> None:
        """Asks peers, near ones first, until one has younger state."""
        before_s = self._config_lease.age_s
        for address in self._peers.list_peers():
            with contextlib.suppress(statefeed.FeedError):
                await self._client.ask(address, 0.0)
                if self._config_lease.age_s < min(before_s, self._pace.old_s):
                    return

    async def _read_store(self) -> bool:
        asked_s = self._config_lease.read_clock()
        try:
            stored = await self._store.read(self._dialect.configuration_name)
            era = stored.version.era
            self._replica.take_configuration(stored.value, asked_s, era)
        except (stores.StoreError, ValueError) as error:
            if self._reachable:
                self._reachable = False
                self._allow_lists()
                _logger.warning("store lost", extra={"reason": str(error)})
            return False
        if not self._reachable:
            self._reachable = True
            self._allow_lists()
            _logger.warning("store regained")
        return True

    def _begin_era(self) -> None:
        """Keeps what is in force, and looks at everything anew."""
        self._replica.begin_era()
        self._client.forget()
        self._has_new_era.set()

    def _set_role(self, reads_store: bool) -> None:
        if reads_store == self._reads_store:
            return
        self._reads_store = reads_store
        self._allow_lists()
        # What was read from the store is not in the log of any peer.
        self._client.forget()
        _logger.info("role changed", extra={"reads_store": reads_store})

    def _allow_lists(self) -> None:
        """Wakes whoever waits until the list can be read."""
        if self._reads_store and self._reachable:
            self._may_list.set()
        else:
            self._may_list.clear()

    async def _follow_endpoints(self) -> None:
        backoff = backoffs.Backoff(self._rng, BACKOFF)
        while True:
            await self._may_list.wait()
            try:
                page = await self._store.list_objects(
                    self._dialect.endpoint_prefix
                )
                self._has_new_era.clear()
                if page.version.era != self._eras.current:
                    continue
                self._replica.take_listing(page.objects, at=page.version)
                backoff.reset()
                await self._watch_while_reading(page.version)
            except stores.StoreError as error:
                _logger.info(
                    "endpoints are listed anew", extra={"reason": str(error)}
                )
                await self._timers.sleep(backoff.take_delay())

    async def _watch_while_reading(self, after: positions.Position) -> None:
        """Watches the list until it is to be read anew, or by another one."""
        watch = asyncio.create_task(self._watch(after))
        new_era = asyncio.create_task(self._has_new_era.wait())
        try:
            while self._reads_store and not watch.done() | new_era.done():
                await asyncio.wait(
                    {watch, new_era},
                    timeout=ROLE_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if watch.done():
                watch.result()
        finally:
            for task in (watch, new_era):
                task.cancel()
            await asyncio.gather(watch, new_era, return_exceptions=True)

    async def _watch(self, after: positions.Position) -> None:
        changes = self._store.watch(self._dialect.endpoint_prefix, after)
        resumed_s = float("-inf")
        async for stored in changes:
            self._replica.take_change(stored)
            # What changes meanwhile comes with the next answer. The changes of
            # one answer are taken in without a pause between them.
            if self._timers.read_monotonic() - resumed_s > SAME_ANSWER_S:
                await self._timers.sleep(self._pace.changes_s)
                resumed_s = self._timers.read_monotonic()
