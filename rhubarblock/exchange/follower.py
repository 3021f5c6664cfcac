"""Follows the store: the configuration and the list of endpoints."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import logging
import random

from rhubarblock.exchange import authority as authorities
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import directory as directories
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import store as stores

# Seconds between two reads of the configuration. A change is in force after
# one of them, and the lease outlasts four that fail.
READ_INTERVAL_S = 1.0
# How waits after failed calls grow.
BACKOFF = backoffs.BackoffSettings(first_s=0.1, max_s=1.0)

_logger = logging.getLogger(__name__)


class StoreFollower:
    """Keeps authority and directory up to date from the store."""

    __slots__ = (
        "_authority",
        "_dialect",
        "_directory",
        "_reachable",
        "_rng",
        "_store",
        "_timers",
        "listed",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        dialect: dialects.Dialect,
        authority: authorities.Authority,
        directory: directories.Directory,
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        """Creates a follower; ``run`` sets it going.

        Args:
          store: the object API.
          dialect: decodes what the store holds.
          authority: takes configurations.
          directory: takes endpoints.
          timers: clock and sleeps.
          rng: spreads waits.
        """
        self._store = store
        self._dialect = dialect
        self._authority = authority
        self._directory = directory
        self._timers = timers
        self._rng = rng
        self._reachable = True
        self.listed = asyncio.Event()

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
            try:
                await self._read_configuration()
            except (stores.StoreError, ValueError) as error:
                self._note_lost(error)
                await self._timers.sleep(backoff.take_delay())
                continue
            self._note_reached()
            backoff.reset()
            await self._timers.sleep(READ_INTERVAL_S)

    async def _read_configuration(self) -> None:
        asked_s = self._authority.read_clock()
        stored = await self._store.read(self._dialect.configuration_name)
        table = self._dialect.decode_table(stored.value)
        before = self._authority.version
        if self._authority.install(table, asked_s):
            _logger.info(
                "configuration in force",
                extra={"version": table.version, "before": before},
            )

    async def _follow_endpoints(self) -> None:
        backoff = backoffs.Backoff(self._rng, BACKOFF)
        while True:
            try:
                page = await self._store.list_objects(
                    self._dialect.endpoint_prefix
                )
                self._take_listing(page)
                backoff.reset()
                await self._watch(page.version)
            except stores.StoreError as error:
                _logger.info(
                    "endpoints are listed anew", extra={"reason": str(error)}
                )
                await self._timers.sleep(backoff.take_delay())

    def _take_listing(self, page: stores.Page) -> None:
        listing = []
        for stored in page.objects:
            try:
                listing.append(self._dialect.decode_endpoint(stored))
            except ValueError as error:
                _logger.warning("an entry can't be read: %s", error)
        self._directory.replace(listing)
        self._timers.call_later(
            directories.RETURN_S + 0.1, self._directory.expire
        )
        self.listed.set()

    async def _watch(self, after: int) -> None:
        changes = self._store.watch(self._dialect.endpoint_prefix, after)
        async for stored in changes:
            if stored.deleted:
                self._directory.remove(stored.name.partition("/")[2])
                continue
            try:
                self._directory.update(self._dialect.decode_endpoint(stored))
            except ValueError as error:
                _logger.warning("an entry can't be read: %s", error)

    def _note_lost(self, error: Exception) -> None:
        if self._reachable:
            self._reachable = False
            _logger.warning("store lost", extra={"reason": str(error)})

    def _note_reached(self) -> None:
        if not self._reachable:
            self._reachable = True
            _logger.warning("store regained")
