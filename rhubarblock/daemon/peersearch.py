"""Finds the other instances at a start, by the store's list of them."""

import logging

from rhubarblock.daemon import listing
from rhubarblock.exchange.peering import news as news_lib
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import instances
from rhubarblock.store import store as stores

# Seconds between two tries until the store answered once.
RETRY_S = 1.0

_logger = logging.getLogger(__name__)


class PeerSearch:
    """Enters the list of instances and greets the others in it."""

    __slots__ = ("_news", "_peers", "_settings", "_store", "_timers")

    def __init__(
        self,
        settings: settings_lib.ExchangeSettings,
        store: stores.ObjectStore,
        peers: peer_table.PeerTable,
        news: news_lib.News,
        timers: timer_service.Timers,
    ):
        """Creates a search; ``run`` makes it.

        Args:
          settings: who this instance is.
          store: has the list.
          peers: takes who is there.
          news: greets them.
          timers: sleeps.
        """
        self._settings = settings
        self._store = store
        self._peers = peers
        self._news = news
        self._timers = timers

    async def run(self) -> None:
        """Ends once the store answered and the others were greeted."""
        page = await self._enter_list()
        for stored in page.objects:
            self._take_line(stored)
        await self._news.greet()

    async def _enter_list(self) -> stores.Page:
        """Returns the list once this instance stands in it."""
        settings = self._settings
        own = listing.Listing(
            self._store,
            listing.describe_entry(
                settings.instance_id,
                str(settings.peers),
                settings.data_centre,
                settings.capacity,
            ),
        )
        while True:
            try:
                return await own.enter(settings.is_first_start)
            except stores.StoreError as error:
                _logger.debug("peers can't be listed: %s", error)
                await self._timers.sleep(RETRY_S)

    def _take_line(self, stored: stores.StoredObject) -> None:
        line = instances.decode_instance(stored.value)
        host, _, port = line.address.rpartition(":")
        self._peers.add(
            host, int(port), line.instance_id, line.data_centre, line.capacity
        )
