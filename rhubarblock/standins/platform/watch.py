"""A watch of the stand-in platform."""

import asyncio
from collections.abc import AsyncGenerator
import random

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins.platform import faults as platformfaults
from rhubarblock.standins.platform import state as platformstate
from rhubarblock.store import store as stores

# A watch with more unread events than this fails; its client then has to list
# the objects again.
BUFFER_LIMIT = 1000


class Watch:
    """Queue of the events with a name prefix for one reader."""

    __slots__ = (
        "_client_id",
        "_delayed",
        "_faults",
        "_prefix",
        "_queue",
        "_rng",
        "_state",
        "_was_cut_off",
    )

    def __init__(
        self,
        state: platformstate.PlatformState,
        faults: platformfaults.PlatformFaults,
        rng: random.Random,
        client_id: str,
        prefix: str,
    ):
        """Creates a watch; it gets events only while ``read_events`` runs.

        Args:
          state: state to watch.
          faults: faults that may lose or reorder events or close the watch.
          rng: draws which events are lost or reordered.
          client_id: client that watches.
          prefix: prefix of the names to watch.
        """
        self._state = state
        self._faults = faults
        self._rng = rng
        self._client_id = client_id
        self._prefix = prefix
        self._queue: asyncio.Queue[stores.StoredObject | None] = asyncio.Queue()
        self._delayed: stores.StoredObject | None = None
        self._was_cut_off = False

    async def read_events(
        self,
        after: positions.Position,
        timers: timer_service.Timers,
        latency_s: float,
    ) -> AsyncGenerator[stores.StoredObject, None]:
        """Yields object states newer than a version, until the watch is closed.

        Raises:
          StoreError: NOT_FOUND if events are missing or the reader lags.
        """
        missed = self._state.find_events(self._prefix, after)
        if missed is None:
            raise stores.StoreError(
                stores.StoreErrorKind.NOT_FOUND,
                f"events after version {after} are gone, list anew",
            )
        for past in missed:
            self._queue.put_nowait(past)
        self._state.add_listener(self._handle_event)
        self._faults.add_listener(self._close)
        try:
            while True:
                stored = await self._queue.get()
                if stored is None:
                    return
                await timers.sleep(latency_s)
                yield stored
                self._check_lag()
        finally:
            self._state.remove_listener(self._handle_event)
            self._faults.remove_listener(self._close)

    def _check_lag(self) -> None:
        if self._queue.qsize() > BUFFER_LIMIT:
            raise stores.StoreError(
                stores.StoreErrorKind.NOT_FOUND,
                "the watch lags too far behind, list anew",
            )

    def _handle_event(self, event: platformstate.Event) -> None:
        if not event.after.name.startswith(self._prefix):
            return
        if self._faults.is_cut_off(self._client_id):
            self._was_cut_off = True
            return
        if self._draw(self._faults.drop_events_share):
            return
        if self._delayed is None and self._draw(
            self._faults.reorder_events_share
        ):
            self._delayed = event.after
            return
        self._queue.put_nowait(event.after)
        if self._delayed is not None:
            self._queue.put_nowait(self._delayed)
            self._delayed = None

    def _draw(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _close(self) -> None:
        if self._faults.outage or self._was_cut_off:
            self._queue.put_nowait(None)
