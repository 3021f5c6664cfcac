"""An in-memory store, restored from an older copy, with rate limits."""

import asyncio
import bisect
from collections.abc import AsyncIterator
from collections.abc import Iterable
import dataclasses

from rhubarblock.core import position as positions
from rhubarblock.store import store as stores

# Round-trip time of a call in seconds.
ANSWER_S = 0.004
# Seconds over which the store counts calls against its rate limits.
WINDOW_S = 1.0
# The era of the copy, and the one that began when the store was restored.
COPY_ERA = 1
ERA = 2

_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True, frozen=True)
class Rates:
    """Rate limits of the store.

    Attributes:
      writes_per_s: writes a second.
      reads_per_s: reads a second, including lists.
    """

    writes_per_s: int
    reads_per_s: int


class RestoredStore(stores.ObjectStore):
    """The store from its restoration on, which is time zero.

    Attributes:
      reads_s: when reads arrived, including refused ones, in monotonic
        seconds.
      lists_s: the same for lists.
      writes_s: the same for writes.
      written_s: when each object was last written in this era, by name.
      limited: calls refused by the rate limits.
      away: calls refused because the store was not ready.
    """

    def __init__(
        self, rates: Rates, copy: dict[str, bytes], ready_s: float = 0.0
    ):
        """Creates a store.

        Args:
          rates: its rate limits.
          copy: the objects in the copy, by name.
          ready_s: time until which it refuses every call, in monotonic
            seconds.
        """
        self.reads_s: list[float] = []
        self.lists_s: list[float] = []
        self.writes_s: list[float] = []
        self.written_s: dict[str, float] = {}
        self.limited = 0
        self.away = 0
        self._rates = rates
        self._ready_s = ready_s
        self._accepted_reads_s: list[float] = []
        self._accepted_writes_s: list[float] = []
        self._revision = len(copy)
        self._objects = {
            name: stores.StoredObject(
                name, positions.Position(COPY_ERA, number), value
            )
            for number, (name, value) in enumerate(copy.items(), 1)
        }

    def find_missing(self, names: Iterable[str]) -> set[str]:
        """Returns the given names for which there is no object."""
        return set(names) - self._objects.keys()

    async def read(self, name: str) -> stores.StoredObject:
        await self._arrive(self.reads_s)
        self._admit_read()
        stored = self._objects.get(name)
        await asyncio.sleep(ANSWER_S / 2.0)
        if stored is None:
            raise stores.StoreError(_Kind.NOT_FOUND)
        return stored

    async def list_objects(self, prefix: str) -> stores.Page:
        await self._arrive(self.lists_s)
        self._admit_read()
        objects = self._objects
        found = [objects[name] for name in objects if name.startswith(prefix)]
        page = stores.Page(
            tuple(found), positions.Position(ERA, self._revision)
        )
        await asyncio.sleep(ANSWER_S / 2.0)
        return page

    async def write(
        self, name: str, value: bytes, expected_version: positions.Position
    ) -> stores.StoredObject:
        await self._arrive(self.writes_s)
        self._admit(self._accepted_writes_s, self._rates.writes_per_s)
        present = self._objects.get(name)
        version = present.version if present else positions.NOWHERE
        if version != expected_version:
            raise stores.StoreError(_Kind.CONFLICT)
        self._revision += 1
        position = positions.Position(ERA, self._revision)
        stored = stores.StoredObject(name, position, value)
        self._objects[name] = stored
        self.written_s[name] = _read_clock()
        await asyncio.sleep(ANSWER_S / 2.0)
        return stored

    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        raise NotImplementedError("the scenario deletes no entries")

    def watch(
        self,
        prefix: str,
        after: positions.Position,
        wait_s: float | None = None,
    ) -> AsyncIterator[stores.Page]:
        raise NotImplementedError("the scenario uses no watches")

    async def _arrive(self, calls_s: list[float]) -> None:
        """Delays a call by half the round trip and records its arrival."""
        await asyncio.sleep(ANSWER_S / 2.0)
        calls_s.append(_read_clock())

    def _admit_read(self) -> None:
        self._admit(self._accepted_reads_s, self._rates.reads_per_s)

    def _admit(self, accepted_s: list[float], limit: int) -> None:
        """Accepts or refuses a call.

        Args:
          accepted_s: when earlier calls of this kind were accepted.
          limit: most calls that are accepted within ``WINDOW_S``.

        Raises:
          store.StoreError: the store is not ready, or the rate is exceeded.
        """
        now_s = _read_clock()
        if now_s < self._ready_s:
            self.away += 1
            raise stores.StoreError(_Kind.UNAVAILABLE)
        begin_s = now_s - WINDOW_S
        if len(accepted_s) - bisect.bisect_right(accepted_s, begin_s) >= limit:
            self.limited += 1
            raise stores.StoreError(_Kind.RATE_LIMITED)
        accepted_s.append(now_s)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
