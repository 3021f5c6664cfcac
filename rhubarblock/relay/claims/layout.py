"""How claims are spread over shards.

All instances must agree on it: two that looked for one key in two shards would
both find it unused. It is therefore written once to the platform and never
changes; the setting only serves the very first start.
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
        "_first_shards",
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
        first_shards: int,
    ):
        """Creates a layout that is not known yet.

        Args:
          store: object API.
          timers: sleeps.
          backoff: waits between tries to read it.
          first_shards: number of shards if the platform holds none yet.
        """
        self._store = store
        self._timers = timers
        self._backoff = backoff
        self._first_shards = first_shards
        self._shards = 0
        self._loading: asyncio.Task[None] | None = None

    @property
    def shards(self) -> int:
        """Number of shards; 0 while it is not known."""
        return self._shards

    async def wait_known(self, timeout_s: float) -> bool:
        """Waits until the layout is known and says whether it is.

        However many calls wait, one task asks the platform.

        Args:
          timeout_s: most seconds to wait.
        """
        if self._shards > 0:
            return True
        if self._loading is None:
            self._loading = asyncio.ensure_future(self._load())
        await asyncio.wait([self._loading], timeout=max(0.0, timeout_s))
        return self._shards > 0

    def name_shard(self, key_digest: str) -> str:
        """Returns the name of the shard that holds a key."""
        number = int(key_digest[:8], 16) % self._shards
        return f"{number:04d}"

    def close(self) -> None:
        """Stops asking the platform."""
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
        # Whoever loses, or gets no answer, reads what is there next time.
        value = json.dumps({"shards": self._first_shards}).encode()
        return await self._store.write(LAYOUT_NAME, value, positions.NOWHERE)
