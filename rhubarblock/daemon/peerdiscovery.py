"""Discovers peers at the start, through the instance list in the store."""

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

# Seconds between two attempts to register at the start.
REGISTER_RETRY_S = 1.0
# After the store was restored from an older copy: seconds over which the
# instances spread the checks of their own records, and seconds between two
# attempts of a check.
RESTORE_SPREAD_S = 1.0
RESTORE_RETRY_S = 0.25

_logger = logging.getLogger(__name__)


class PeerDiscovery:
    """Registers an instance and sends heartbeats to the listed peers."""

    __slots__ = (
        "_eras",
        "_metrics",
        "_peers",
        "_record",
        "_settings",
        "_store",
        "_timers",
        "_updates",
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
        """Creates a discovery; ``run`` starts it.

        Args:
          settings: settings of this instance.
          store: store with the instance list.
          peers: table to which the listed peers are added.
          updates: sends heartbeats to the peers.
          timers: timer service.
          eras: notifies of a new era, which begins when the store is restored
            from an older copy.
          metrics: counts records that were written again.
        """
        self._eras = eras
        self._metrics = metrics
        self._record = listing.InstanceRecord(
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
        """Registers the instance and sends a heartbeat to the listed peers.

        Retries until the store answers.
        """
        await self._announce_to_listed(await self._register())

    async def _register(self) -> stores.Page:
        """Returns the list once this instance is registered in it."""
        while True:
            try:
                return await self._record.register(
                    self._settings.is_first_start
                )
            except stores.StoreError as error:
                _logger.debug("cannot register in the instance list: %s", error)
                await self._timers.sleep(REGISTER_RETRY_S)

    async def _announce_to_listed(self, page: stores.Page) -> None:
        for stored in page.objects:
            self._add_peer(stored)
        await self._updates.send_heartbeat()

    async def keep_listed(self) -> None:
        """Writes the record again when a restored store lacks it.

        Runs until it is cancelled. Afterwards it sends heartbeats to the listed
        peers, since a peer that started while the record was missing could not
        find this instance in the list.
        """
        era_changed = asyncio.Event()
        self._eras.add_listener(era_changed.set)
        while True:
            await era_changed.wait()
            era_changed.clear()
            await self._timers.sleep(self._compute_delay())
            await self._rewrite_record(era_changed)

    async def _rewrite_record(self, era_changed: asyncio.Event) -> None:
        while not era_changed.is_set():
            try:
                if await self._record.ensure_written():
                    self._metrics.count("store.written_again")
                    _logger.warning(
                        "own line was lost and is written again",
                        extra={"era": self._eras.current},
                    )
                    await self._announce_to_listed(
                        await self._record.register(False)
                    )
            except stores.StoreError as error:
                _logger.info(
                    "cannot check the own record in the instance list",
                    extra={"reason": str(error)},
                )
                await self._timers.sleep(RESTORE_RETRY_S)
                continue
            return

    def _compute_delay(self) -> float:
        """Returns the seconds after which this instance checks its record."""
        name = self._settings.instance_id.encode()
        return RESTORE_SPREAD_S * zlib.crc32(name) / (1 << 32)

    def _add_peer(self, stored: stores.StoredObject) -> None:
        record = instances.decode_instance(stored.value)
        host, _, port = record.address.rpartition(":")
        self._peers.add(
            host,
            int(port),
            record.instance_id,
            record.data_centre,
            record.capacity,
        )
