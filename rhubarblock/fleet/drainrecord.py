"""The operators' drains in the platform, so that they outlast every instance.

One small object holds all of them. It is written when an operator orders or
ends a drain, and read by instances that start.
"""

import dataclasses
import json

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

RECORD_OBJECT = "drains/endpoints"

_TRIES = 4
_PAUSE_S = 0.1
# An ended drain is kept this long, so that older news of it does not count.
_KEEP_ENDED_MS = 3_600_000
# Endpoints get new ids when they are replaced, so old drains mean nothing.
_KEEP_MS = 30 * 24 * 3_600_000

_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """An operator's order about one endpoint; the latest one counts.

    Attributes:
      endpoint_id: the endpoint.
      is_drained: whether it gets no new work from then on.
      ordered_ms: wall clock of the order in milliseconds.
    """

    endpoint_id: str
    is_drained: bool
    ordered_ms: int


class DrainRecord:
    """Reads and writes the record."""

    __slots__ = ("_store", "_timers")

    def __init__(self, store: stores.ObjectStore, timers: timers_lib.Timers):
        """Creates a client of the record.

        Args:
          store: the platform's object API.
          timers: the timer service.
        """
        self._store = store
        self._timers = timers

    async def load(self) -> list[Drain]:
        """Returns the drains that are kept.

        Raises:
          store.StoreError: the platform did not answer.
        """
        return (await self._read())[1]

    async def keep(self, drain: Drain) -> bool:
        """Adds a drain to the record unless a later one is there.

        Args:
          drain: the order.

        Returns:
          Whether it is known to be kept.
        """
        for attempt in range(_TRIES):
            if attempt:
                await self._timers.sleep(_PAUSE_S * attempt)
            try:
                if await self._try_keep(drain):
                    return True
            except stores.StoreError:
                # What happened shows when it is read again.
                continue
        return False

    async def _try_keep(self, drain: Drain) -> bool:
        version, drains = await self._read()
        known = {item.endpoint_id: item for item in drains}
        last = known.get(drain.endpoint_id)
        if last is not None and last.ordered_ms >= drain.ordered_ms:
            return True
        known[drain.endpoint_id] = drain
        now_ms = drain.ordered_ms
        kept = [item for item in known.values() if _is_kept(item, now_ms)]
        await self._store.write(RECORD_OBJECT, _encode(kept), version)
        return True

    async def _read(self) -> tuple[positions.Position, list[Drain]]:
        try:
            stored = await self._store.read(RECORD_OBJECT)
        except stores.StoreError as error:
            if error.kind is not _Kind.NOT_FOUND:
                raise
            return positions.NOWHERE, []
        drains = [Drain(**item) for item in json.loads(stored.value)]
        return stored.version, drains


def _is_kept(drain: Drain, now_ms: int) -> bool:
    age_ms = now_ms - drain.ordered_ms
    return age_ms < (_KEEP_MS if drain.is_drained else _KEEP_ENDED_MS)


def _encode(drains: list[Drain]) -> bytes:
    items = [dataclasses.asdict(drain) for drain in drains]
    return json.dumps(items, sort_keys=True).encode()
