"""The operator, who evacuates data centres by objects in the store."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import random

from rhubarblock.platform import names
from tools.soak import evacuationwatch
from tools.soak import store as stores

# Shortest and longest evacuation in seconds; most are longer than the time
# within which an evacuation must be in force.
LENGTHS_S = (5.0, 11.0)
# Share of the evacuations that also name a data centre that does not exist.
UNKNOWN_SHARE = 0.2
UNKNOWN = "elsewhere"
# Seconds between two attempts to write.
RETRY_S = 0.1


class Operator:
    """Writes and removes the objects that ask for evacuations."""

    def __init__(
        self,
        store: stores.SoakStore,
        watch: evacuationwatch.EvacuationWatch,
        data_centres: Sequence[str],
        rng: random.Random,
    ):
        self._store = store
        self._watch = watch
        self._data_centres = data_centres
        self._rng = rng
        # The data centres of each evacuation; they may overlap.
        self._wanted: list[set[str]] = []

    async def evacuate_some(self) -> None:
        """Evacuates some or all data centres for a time."""
        count = self._rng.randint(1, len(self._data_centres))
        chosen = set(self._rng.sample(self._data_centres, count))
        if self._rng.random() < UNKNOWN_SHARE:
            chosen.add(UNKNOWN)
        async with self.evacuate(chosen):
            await asyncio.sleep(self._rng.uniform(*LENGTHS_S))

    @contextlib.asynccontextmanager
    async def evacuate(self, chosen: set[str]) -> AsyncIterator[None]:
        """Evacuates data centres until the end of the context.

        Evacuations may overlap; a data centre is evacuated until all of them
        have ended.
        """
        self._wanted.append(chosen)
        await self._write_when_possible()
        yield
        self._wanted = [other for other in self._wanted if other is not chosen]
        await self._write_when_possible()

    def end_all(self) -> None:
        """Ends all evacuations, also those that are not yet written."""
        self._wanted.clear()
        self.write()

    async def _write_when_possible(self) -> None:
        while self._store.is_down or self._store.is_read_only:
            await asyncio.sleep(RETRY_S)
        self.write()

    def write(self) -> None:
        """Writes what is wanted; the store may have lost or regained some."""
        wanted = set[str]().union(*self._wanted)
        listed = {
            name.removeprefix(names.EVACUATION_KIND)
            for name in self._store.list_names(names.EVACUATION_KIND)
        }
        for data_centre in sorted(wanted - (listed & self._watch.data_centres)):
            self._store.put(names.EVACUATION_KIND + data_centre, {})
            self._watch.note_written(data_centre)
        for data_centre in sorted(listed - wanted):
            self._watch.note_removed(data_centre)
            self._store.remove(names.EVACUATION_KIND + data_centre)
        for data_centre in self._watch.data_centres - wanted:
            self._watch.note_removed(data_centre)
