"""Persists the quarantines in the platform's store, in one bounded object.

A starting instance reads them; a conditional update then adds those that are
known here. If the answer to a write is lost, the next synchronisation reads the
result and writes again if needed.
"""

import dataclasses

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing.quarantine import registry as quarantineregistry
from rhubarblock.routing.quarantine import wire as quarantinewire
from rhubarblock.store import store as stores

OBJECT_NAME = "quarantine/book"

# Attempts of a conditional update; the next synchronisation tries again.
_TRIES = 5


@dataclasses.dataclass(slots=True)
class SyncCounters:
    """Counters of the synchronisation since its start."""

    writes: int = 0
    failures: int = 0


class QuarantineSync:
    """Synchronises one registry with the stored object."""

    __slots__ = ("_registry", "_store", "_timers", "counters")

    def __init__(
        self,
        timers: timers_lib.Timers,
        store: stores.ObjectStore | None,
        registry: quarantineregistry.QuarantineRegistry,
    ):
        """Creates the synchronisation.

        Args:
          timers: the timer service.
          store: the object API, or None to persist nothing.
          registry: the registry of this instance.
        """
        self._timers = timers
        self._store = store
        self._registry = registry
        self.counters = SyncCounters()

    async def sync(self) -> None:
        """Reads the stored quarantines and adds those known here."""
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
        stored, version = b"", positions.NOWHERE
        try:
            found = await store.read(OBJECT_NAME)
            stored, version = found.value, found.version
        except stores.StoreError as error:
            if error.kind is not stores.StoreErrorKind.NOT_FOUND:
                raise
        now_s = self._timers.read_wall()
        self._registry.merge(quarantinewire.decode_facts(stored), now_s)
        facts = quarantineregistry.Facts(
            cleared=self._registry.read_facts().cleared,
            quarantined=self._registry.list_quarantined(now_s),
        )
        wanted = quarantinewire.encode_facts(facts)
        if wanted != stored:
            await store.write(OBJECT_NAME, wanted, version)
            self.counters.writes += 1
