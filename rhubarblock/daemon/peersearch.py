"""Finds the other instances at a start, by the store's list of them."""

import asyncio
import logging
import zlib

from rhubarblock.daemon import listing
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import era as era_lib
from rhubarblock.store import instances
from rhubarblock.store import store as stores

# Seconds between two tries until the store answered once.
RETRY_S = 1.0
# Seconds over which the instances look at their lines after the store came back
# older, each at a moment of its own, and between two tries then.
SPREAD_S = 1.0
AGAIN_S = 0.25

_logger = logging.getLogger(__name__)


class PeerSearch:
    """Enters the list of instances and greets the others in it."""

    __slots__ = (
        "_eras",
        "_line",
        "_metrics",
        "_updates",
        "_peers",
        "_settings",
        "_store",
        "_timers",
    )

    def __init__(
        self,
        settings: settings_lib.ExchangeSettings,
        store: stores.ObjectStore,
        peers: peer_table.PeerTable,
        updates: peer_updates.PeerUpdates,
        timers: timer_service.Timers,
        eras: era_lib.EraTracker,
        metrics: metric_store.Metrics,
    ):
        """Creates a search; ``run`` makes it.

        Args:
          settings: who this instance is.
          store: has the list.
          peers: takes who is there.
          updates: greets them.
          timers: sleeps.
          eras: tells when the store came back older.
          metrics: counts lines that were written again.
        """
        self._eras = eras
        self._metrics = metrics
        self._line = listing.Listing(
            store,
            listing.describe_entry(
                settings.instance_id,
                str(settings.peers),
                settings.data_centre,
                settings.capacity,
            ),
        )
        self._settings = settings
        self._store = store
        self._peers = peers
        self._updates = updates
        self._timers = timers

    async def run(self) -> None:
        """Ends once the store answered and the others were greeted."""
        await self._greet_listed(await self._enter_list())

    async def _enter_list(self) -> stores.Page:
        """Returns the list once this instance stands in it."""
        while True:
            try:
                return await self._line.enter(self._settings.is_first_start)
            except stores.StoreError as error:
                _logger.debug("peers can't be listed: %s", error)
                await self._timers.sleep(RETRY_S)

    async def _greet_listed(self, page: stores.Page) -> None:
        for stored in page.objects:
            self._take_line(stored)
        await self._updates.send_heartbeat()

    async def keep_listed(self) -> None:
        """Writes the line again when the store came back without it.

        Runs until it is cancelled. The others that are listed then are greeted,
        as one that started meanwhile may not know this one.
        """
        changed = asyncio.Event()
        self._eras.listen(changed.set)
        while True:
            await changed.wait()
            changed.clear()
            await self._timers.sleep(self._choose_delay())
            await self._enter_again(changed)

    async def _enter_again(self, changed: asyncio.Event) -> None:
        while not changed.is_set():
            try:
                if await self._line.claim():
                    self._metrics.count("store.written_again")
                    _logger.warning(
                        "own line was lost and is written again",
                        extra={"era": self._eras.current},
                    )
                    await self._greet_listed(await self._line.enter(False))
            except stores.StoreError as error:
                _logger.info(
                    "own line can't be checked", extra={"reason": str(error)}
                )
                await self._timers.sleep(AGAIN_S)
                continue
            return

    def _choose_delay(self) -> float:
        """Returns the seconds after which this instance looks at its line."""
        name = self._settings.instance_id.encode()
        return SPREAD_S * zlib.crc32(name) / (1 << 32)

    def _take_line(self, stored: stores.StoredObject) -> None:
        line = instances.decode_instance(stored.value)
        host, _, port = line.address.rpartition(":")
        self._peers.add(
            host, int(port), line.instance_id, line.data_centre, line.capacity
        )
