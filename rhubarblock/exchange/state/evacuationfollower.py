"""Reads the evacuations of data centres from the store.

Only the instance that reads the store for its data centre does so; the others
get the set with the state of their reader. The prefix is listed and then
watched: a waiting watch takes fewer calls than a listing with each read of the
configuration, and reports a change at once. A connection may go silent without
a reset, so a watch waits only for a part of the time within which an evacuation
must be in force.
"""

import asyncio
import logging
import random

from rhubarblock.core import position as positions
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange.state import evacuationreplica
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

# Fraction of the time within which an evacuation must be in force for which a
# watch waits. After a silent watch, time is left for its timeout, another
# listing by a slow store and the way to the other instances.
WATCH_FRACTION = 0.3
# Longest time in seconds for a listing on which other steps wait.
READ_TIMEOUT_S = 1.0
# Seconds after the end of the time for which entries are kept until the list is
# read again.
KEPT_MARGIN_S = 0.01
# Backoff after failed calls.
BACKOFF = backoffs.BackoffSettings(first_s=0.1, max_s=1.0)

_logger = logging.getLogger(__name__)


class EvacuationFollower:
    """Keeps the evacuations of one instance up to date while it is active."""

    __slots__ = (
        "_active",
        "_dialect",
        "_eras",
        "_interrupted",
        "_replica",
        "_rng",
        "_store",
        "_timers",
        "_wait_s",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        dialect: dialects.Dialect,
        replica: evacuationreplica.EvacuationReplica,
        evacuate_s: float,
        timers: timer_service.Timers,
        rng: random.Random,
        eras: era_lib.EraTracker,
    ):
        """Creates an inactive follower.

        Args:
          store: the object API.
          dialect: names of the objects.
          replica: receives the evacuations.
          evacuate_s: seconds within which an evacuation must be in force.
          timers: the clock, and sleeps.
          rng: jitter of backoffs.
          eras: reports when the store was restored from an older copy.
        """
        self._store = store
        self._dialect = dialect
        self._replica = replica
        self._wait_s = WATCH_FRACTION * evacuate_s
        self._timers = timers
        self._rng = rng
        self._eras = eras
        self._active = asyncio.Event()
        # Set when a watch must end: the era changed, or the role did.
        self._interrupted = asyncio.Event()
        eras.add_listener(self._interrupted.set)

    def set_active(self, active: bool) -> None:
        """Starts or stops reading the store."""
        if active:
            self._active.set()
        else:
            self._active.clear()
            self._interrupted.set()

    async def read_once(self) -> None:
        """Reads the list before a step that depends on it.

        The present set stays in force if the list can't be read in time.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self._list()
        except (stores.StoreError, TimeoutError) as error:
            _log_failure(error)

    async def follow(self) -> None:
        """Lists and watches while active; runs until it is cancelled."""
        backoff = backoffs.Backoff(self._rng, BACKOFF)
        while True:
            await self._active.wait()
            try:
                at = await self._list()
                if at.era != self._eras.current:
                    continue
                backoff.reset()
                await self._watch_until_interrupted(at)
            except stores.StoreError as error:
                _log_failure(error)
                await self._timers.sleep(backoff.take_delay())

    async def _list(self) -> positions.Position:
        sent_s = self._timers.read_monotonic()
        page = await self._store.list_objects(self._dialect.evacuation_prefix)
        self._replica.apply_listing(page.objects, page.version, sent_s)
        return page.version

    async def _watch_until_interrupted(self, after: positions.Position) -> None:
        """Watches until the list must be read again or the role changes."""
        self._interrupted.clear()
        if not self._active.is_set():
            return
        kept_s = self._replica.kept_s
        watch = asyncio.create_task(self._watch(after))
        interrupted = asyncio.create_task(self._interrupted.wait())
        try:
            await asyncio.wait(
                {watch, interrupted},
                timeout=None if kept_s is None else kept_s + KEPT_MARGIN_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if watch.done():
                watch.result()
        finally:
            for task in (watch, interrupted):
                task.cancel()
            await asyncio.gather(watch, interrupted, return_exceptions=True)

    async def _watch(self, after: positions.Position) -> None:
        answers = self._store.watch(
            self._dialect.evacuation_prefix, after, self._wait_s
        )
        async for answer in answers:
            self._replica.apply_changes(answer.objects, answer.version)


def _log_failure(error: Exception) -> None:
    _logger.info("evacuations are listed anew", extra={"reason": str(error)})
