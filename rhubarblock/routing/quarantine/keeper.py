"""Keeps the quarantines in the platform, in one bounded object.

An instance that starts reads them, and a conditional update adds what is
known here; a write whose answer was lost is made good by the next reading.
"""

import dataclasses

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing.quarantine import registry as quarantineregistry
from rhubarblock.routing.quarantine import wire as quarantinewire
from rhubarblock.store import store as stores

OBJECT_NAME = "quarantine/book"

# Tries of a conditional update; the next reading tries again.
_TRIES = 5


@dataclasses.dataclass(slots=True)
class KeeperCounters:
    """What the keeper counted since its start."""

    writes: int = 0
    failures: int = 0


class QuarantineKeeper:
    """Brings one book and the platform's object together."""

    __slots__ = ("_book", "_store", "_timers", "counters")

    def __init__(
        self,
        timers: timers_lib.Timers,
        store: stores.ObjectStore | None,
        book: quarantineregistry.QuarantineRegistry,
    ):
        """Creates a keeper.

        Args:
          timers: the timer service.
          store: the object API, or None to keep nothing.
          book: the book of this instance.
        """
        self._timers = timers
        self._store = store
        self._book = book
        self.counters = KeeperCounters()

    async def sync(self) -> None:
        """Reads what is kept and adds what is known here."""
        if self._store is None:
            return
        for _ in range(_TRIES):
            try:
                await self._sync_once(self._store)
                return
            except stores.StoreError as error:
                if error.kind is not stores.StoreErrorKind.CONFLICT:
                    self.counters.failures += 1
                    return

    async def _sync_once(self, store: stores.ObjectStore) -> None:
        kept, version = b"", positions.NOWHERE
        try:
            found = await store.read(OBJECT_NAME)
            kept, version = found.value, found.version
        except stores.StoreError as error:
            if error.kind is not stores.StoreErrorKind.NOT_FOUND:
                raise
        now_s = self._timers.read_wall()
        self._book.merge(quarantinewire.decode_facts(kept), now_s)
        facts = quarantineregistry.Facts(
            cleared=self._book.read_facts().cleared,
            quarantined=self._book.list_quarantined(now_s),
        )
        wanted = quarantinewire.encode_facts(facts)
        if wanted != kept:
            await store.write(OBJECT_NAME, wanted, version)
            self.counters.writes += 1
