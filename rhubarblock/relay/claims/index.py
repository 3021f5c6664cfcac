"""Finds keys in the sealed segments of a shard."""

import asyncio

from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import table as claimtable
from rhubarblock.store import store as stores

# Most segments that are read concurrently. After a start none is cached, so all
# are read.
MAX_CONCURRENT_READS = 8


class SegmentIndex:
    """Caches the key digests of segments, which are immutable."""

    __slots__ = ("_keys", "_store")

    def __init__(self, store: stores.ObjectStore):
        """Creates an empty index."""
        self._store = store
        self._keys: dict[str, bytes] = {}

    async def load(self, segments: list[claimtable.Segment]) -> None:
        """Loads the digests of these segments and drops those of all others.

        Raises:
          store.StoreError: a segment could not be read. A segment that is not
            found is an error too, since the platform may have served an older
            state.
        """
        wanted = [segment.segment_id for segment in segments]
        self._keys = {i: self._keys[i] for i in wanted if i in self._keys}
        missing = [i for i in wanted if i not in self._keys]
        for start in range(0, len(missing), MAX_CONCURRENT_READS):
            part = missing[start : start + MAX_CONCURRENT_READS]
            await asyncio.gather(*[self._load_one(i) for i in part])

    async def find(
        self, segments: list[claimtable.Segment], key_digest: str
    ) -> claimrow.ClaimRow | None:
        """Returns the row of a key, or None; call ``load`` first."""
        for segment in reversed(segments):
            keys = self._keys[segment.segment_id]
            if claimtable.has_key(keys, key_digest):
                return await self._read_row(segment.segment_id, key_digest)
        return None

    async def _load_one(self, segment_id: str) -> None:
        name = claimtable.KEYS_PREFIX + segment_id
        self._keys[segment_id] = (await self._store.read(name)).value

    async def _read_row(
        self, segment_id: str, key_digest: str
    ) -> claimrow.ClaimRow:
        name = claimtable.ROWS_PREFIX + segment_id
        stored = await self._store.read(name)
        rows = claimtable.decode_rows(stored.value)
        return next(row for row in rows if row.key_digest == key_digest)
