"""Stores operators' drains in the platform, so that they survive a restart.

One small object holds all drains. It is written when an operator orders or
ends a drain, and read by starting instances.
"""

import dataclasses
import json

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.store import store as stores

RECORD_OBJECT = "drains/endpoints"

_MAX_ATTEMPTS = 4
_RETRY_DELAY_S = 0.1
# An ended drain is kept this long, so that a delayed older order for the
# endpoint is still recognised as outdated.
_ENDED_RETENTION_MS = 3_600_000
# Older drains are removed. A replaced endpoint gets a new id, so a drain this
# old no longer applies to any endpoint.
_DRAIN_RETENTION_MS = 30 * 24 * 3_600_000

_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """An operator's drain order for one endpoint; the latest one wins.

    Attributes:
      endpoint_id: the endpoint.
      is_drained: whether it gets no new requests from then on.
      ordered_ms: wall-clock time of the order in milliseconds.
    """

    endpoint_id: str
    is_drained: bool
    ordered_ms: int


class DrainRecordClient:
    """Client of the drain record in the platform."""

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
        """Returns the stored drains.

        Raises:
          store.StoreError: the platform did not respond.
        """
        return (await self._read())[1]

    async def save(self, drain: Drain) -> bool:
        """Adds a drain to the record unless a newer one is stored.

        Args:
          drain: the order.

        Returns:
          Whether the drain is known to be stored.
        """
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                await self._timers.sleep(_RETRY_DELAY_S * attempt)
            try:
                if await self._try_save(drain):
                    return True
            except stores.StoreError:
                # The read of the next attempt shows whether the write took
                # effect.
                continue
        return False

    async def _try_save(self, drain: Drain) -> bool:
        version, drains = await self._read()
        known = {item.endpoint_id: item for item in drains}
        last = known.get(drain.endpoint_id)
        if last is not None and last.ordered_ms >= drain.ordered_ms:
            return True
        known[drain.endpoint_id] = drain
        now_ms = drain.ordered_ms
        retained = [
            item for item in known.values() if _is_retained(item, now_ms)
        ]
        await self._store.write(RECORD_OBJECT, _encode(retained), version)
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


def _is_retained(drain: Drain, now_ms: int) -> bool:
    age_ms = now_ms - drain.ordered_ms
    return age_ms < (
        _DRAIN_RETENTION_MS if drain.is_drained else _ENDED_RETENTION_MS
    )


def _encode(drains: list[Drain]) -> bytes:
    items = [dataclasses.asdict(drain) for drain in drains]
    return json.dumps(items, sort_keys=True).encode()
