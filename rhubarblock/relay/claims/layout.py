"""The assignment of idempotency keys to shards.

All instances must use the same number of shards: two instances that looked for
a key in different shards would both find it unused. The number is therefore
written to the platform once and never changes; the setting only applies to the
very first start.
"""

import asyncio
import json

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay.claims import table as claimtable
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import store as stores

LAYOUT_NAME = claimtable.HEAD_PREFIX + "layout"

_Kind = stores.StoreErrorKind


class Layout:
    """The number of shards in force."""

    __slots__ = (
        "_backoff",
        "_initial_shards",
        "_loading",
        "_shards",
        "_store",
        "_timers",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        timers: timer_service.Timers,
        backoff: backoffs.Backoff,
        initial_shards: int,
    ):
        """Creates a layout that is not loaded yet.

        Args:
          store: object API.
          timers: sleeps.
          backoff: waits between attempts to load the layout.
          initial_shards: number of shards to write if the platform holds no
            layout yet.
        """
        self._store = store
        self._timers = timers
        self._backoff = backoff
        self._initial_shards = initial_shards
        self._shards = 0
        self._loading: asyncio.Task[None] | None = None

    @property
    def shards(self) -> int:
        """Number of shards; 0 until the layout is loaded."""
        return self._shards

    async def wait_loaded(self, timeout_s: float) -> bool:
        """Waits until the layout is loaded; returns whether it is.

        All waiting calls share one task that reads it from the platform.

        Args:
          timeout_s: longest wait in seconds.
        """
        if self._shards > 0:
            return True
        if self._loading is None:
            self._loading = asyncio.ensure_future(self._load())
        await asyncio.wait([self._loading], timeout=max(0.0, timeout_s))
        return self._shards > 0

    def get_shard_name(self, key_digest: str) -> str:
        """Returns the name of the shard that holds a key."""
        number = int(key_digest[:8], 16) % self._shards
        return f"{number:04d}"

    def close(self) -> None:
        """Stops loading the layout."""
        if self._loading is not None:
            self._loading.cancel()

    async def _load(self) -> None:
        while self._shards == 0:
            try:
                stored = await self._read_or_write()
            except stores.StoreError:
                await self._timers.sleep(self._backoff.take_delay())
            else:
                self._shards = json.loads(stored.value)["shards"]

    async def _read_or_write(self) -> stores.StoredObject:
        try:
            return await self._store.read(LAYOUT_NAME)
        except stores.StoreError as error:
            if error.kind is not _Kind.NOT_FOUND:
                raise
        # An instance whose write conflicts, or gets no reply, reads the stored
        # layout on its next attempt.
        value = json.dumps({"shards": self._initial_shards}).encode()
        return await self._store.write(LAYOUT_NAME, value, positions.NOWHERE)
