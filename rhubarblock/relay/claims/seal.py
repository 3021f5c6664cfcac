"""Seals old rows of a shard into segments and deletes expired claims.

Rows of the head are moved to a new segment, and small segments are merged into
a larger one. At any time, every valid row is in the head or in a segment that
the head lists. There are three steps: the head records the id of the new
segment; the two objects of the segment are created; one write of the head lists
the segment and removes what it replaces. An instance that dies in between
leaves the id in the head, and the next one that seals drops that segment.

Objects are deleted only if the head lists their segment as dropped. A dropped
segment is never listed as valid again, so a deletion that is based on an
outdated head removes no valid rows.
"""

import asyncio
import collections
import dataclasses
import random

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay.claims import head as claimhead
from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import settings as claimsettings
from rhubarblock.relay.claims import table as claimtable
from rhubarblock.store import store as stores

# Time after which an unfinished segment is considered abandoned, in seconds.
SEALING_TIMEOUT_S = 60.0
# Seconds between two checks for expired claims of a shard.
EXPIRY_CHECK_INTERVAL_S = 600.0
# Number of segments that are merged into one, and the largest total size of
# their rows in bytes.
MERGE_COUNT = 16
MERGE_BYTES = 600_000
# Attempts to list a segment in the head. After the last one, the next seal
# drops the segment.
PUBLISH_ATTEMPTS = 8
# Seconds between two attempts to list a segment.
PUBLISH_RETRY_WAIT_S = 0.01

_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True)
class _NewSegment:
    """A segment that is being written.

    Attributes:
      segment_id: unique name.
      rows: its rows.
      sources: segments that it replaces; empty if its rows are from the head.
    """

    segment_id: str
    rows: list[claimrow.ClaimRow]
    sources: list[claimtable.Segment]


class Sealer:
    """Seals the rows of one shard and deletes expired claims."""

    __slots__ = (
        "_counters",
        "_deleted",
        "_deleting",
        "_head",
        "_next_expiry_check_s",
        "_rng",
        "_settings",
        "_store",
        "_timers",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        head: claimhead.HeadObject,
        timers: timer_service.Timers,
        rng: random.Random,
        settings: claimsettings.ClaimSettings,
        counters: "collections.Counter[str]",
    ):
        """Creates a sealer that does nothing until ``seal``."""
        self._store = store
        self._head = head
        self._timers = timers
        self._rng = rng
        self._settings = settings
        self._counters = counters
        self._next_expiry_check_s = float("-inf")
        # Dropped segments whose objects are deleted but that the head still
        # lists as dropped.
        self._deleted: set[str] = set()
        self._deleting: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stops deleting; a later seal continues."""
        if self._deleting is not None:
            self._deleting.cancel()

    def is_due(self, table: claimtable.ClaimTable) -> bool:
        """Returns whether there is something to seal, merge or delete."""
        if self._is_being_sealed(table):
            return False
        if self._find_rows_to_seal(table) or _find_mergeable(table):
            return True
        now_s = self._timers.read_monotonic()
        if now_s < self._next_expiry_check_s:
            return False
        self._next_expiry_check_s = now_s + EXPIRY_CHECK_INTERVAL_S
        return bool(table.dropped or self._has_expired(table))

    async def seal(self) -> None:
        """Seals, merges and deletes; a later call repeats what fails."""
        try:
            await self._seal()
        except stores.StoreError as error:
            self._counters[f"seal.{error.kind.value}"] += 1

    async def _seal(self) -> None:
        table = await self._head.read()
        if self._is_being_sealed(table):
            return
        self._drop_expired(table)
        self._remove_deleted(table)
        rows = self._find_rows_to_seal(table)
        sources = [] if rows else _find_mergeable(table)
        segment_id = ""
        if rows or sources:
            segment_id = self._begin_segment(table)
        if table.changed:
            await self._head.write(table, table.encode())
        if sources:
            rows = await self._read_segments(sources)
        if rows:
            new = _NewSegment(segment_id, rows, sources)
            await self._write_segment(new)
            await self._publish(new)

    def _begin_segment(self, table: claimtable.ClaimTable) -> str:
        segment_id = f"{self._head.shard}-{self._rng.getrandbits(64):016x}"
        if table.sealing is not None:
            table.dropped.append(table.sealing.segment_id)
        table.sealing = claimtable.Sealing(segment_id, self._read_wall())
        table.changed = True
        return segment_id

    async def _read_segments(
        self, sources: list[claimtable.Segment]
    ) -> list[claimrow.ClaimRow]:
        # If a key is in two segments, the row of the later one is valid.
        rows: dict[str, claimrow.ClaimRow] = {}
        for source in sources:
            name = claimtable.ROWS_PREFIX + source.segment_id
            stored = await self._store.read(name)
            for row in claimtable.decode_rows(stored.value):
                rows[row.key_digest] = row
        return list(rows.values())

    async def _write_segment(self, new: _NewSegment) -> None:
        await self._store.write(
            claimtable.ROWS_PREFIX + new.segment_id,
            claimtable.encode_rows(new.rows),
            expected_version=positions.NOWHERE,
        )
        await self._store.write(
            claimtable.KEYS_PREFIX + new.segment_id,
            claimtable.encode_keys(new.rows),
            expected_version=positions.NOWHERE,
        )

    async def _publish(self, new: _NewSegment) -> None:
        for _ in range(PUBLISH_ATTEMPTS):
            table = await self._head.read()
            sealing = table.sealing
            if sealing is None or sealing.segment_id != new.segment_id:
                # The segment is listed already, or another instance dropped it.
                return
            _add_to_head(table, new)
            try:
                await self._head.write(table, table.encode())
            except stores.StoreError as error:
                if error.kind not in (_Kind.CONFLICT, _Kind.UNSURE):
                    raise
                await self._timers.sleep(PUBLISH_RETRY_WAIT_S)
                continue
            self._counters["seal.segments"] += 1
            self._counters["seal.rows"] += len(new.rows)
            return

    def _remove_deleted(self, table: claimtable.ClaimTable) -> None:
        """Removes deleted segments from the head; starts deleting the others.

        Deletion runs in the background, because claims would have to wait for
        it.
        """
        remaining = [i for i in table.dropped if i not in self._deleted]
        if len(remaining) < len(table.dropped):
            table.dropped = remaining
            table.changed = True
        self._deleted.intersection_update(remaining)
        if remaining and self._deleting is None:
            self._deleting = asyncio.ensure_future(self._delete_all(remaining))

    async def _delete_all(self, segment_ids: list[str]) -> None:
        try:
            for segment_id in segment_ids:
                await self._delete(claimtable.ROWS_PREFIX + segment_id)
                await self._delete(claimtable.KEYS_PREFIX + segment_id)
                self._deleted.add(segment_id)
        except stores.StoreError as error:
            self._counters[f"seal.{error.kind.value}"] += 1
        finally:
            self._deleting = None

    async def _delete(self, name: str) -> None:
        try:
            stored = await self._store.read(name)
            await self._store.delete(name, stored.version)
        except stores.StoreError as error:
            if error.kind is not _Kind.NOT_FOUND:
                raise
        self._counters["seal.deleted"] += 1

    def _is_being_sealed(self, table: claimtable.ClaimTable) -> bool:
        if table.sealing is None:
            return False
        age_s = self._read_wall() - table.sealing.started_wall_s
        return age_s < SEALING_TIMEOUT_S

    def _find_rows_to_seal(
        self, table: claimtable.ClaimTable
    ) -> list[claimrow.ClaimRow]:
        if not table.is_full(self._settings.seal_bytes):
            return []
        # A claim whose call may still end stays in the head, where its outcome
        # can be recorded.
        ended_s = self._read_wall() - self._settings.clock_error_s
        return [
            row
            for row in table.list_rows()
            if row.state is not claimrow.RowState.CLAIMED
            or row.until_wall_s < ended_s
        ]

    def _find_expiry(self) -> float:
        """Returns the wall time before which claims have expired.

        The clock error counts twice: the clock of the instance that wrote the
        claim may be slow and the clock of this instance fast.
        """
        max_age_s = (
            self._settings.retention_s + 2 * self._settings.clock_error_s
        )
        return self._read_wall() - max_age_s

    def _has_expired(self, table: claimtable.ClaimTable) -> bool:
        expiry_s = self._find_expiry()
        return any(s.newest_wall_s < expiry_s for s in table.segments) or any(
            row.claimed_wall_s < expiry_s for row in table.list_rows()
        )

    def _drop_expired(self, table: claimtable.ClaimTable) -> None:
        expiry_s = self._find_expiry()
        expired = [s for s in table.segments if s.newest_wall_s < expiry_s]
        if expired:
            table.segments = [s for s in table.segments if s not in expired]
            table.dropped.extend(s.segment_id for s in expired)
            table.changed = True
        for row in table.list_rows():
            if row.claimed_wall_s < expiry_s:
                table.remove_row(row.key_digest)
                self._counters["seal.expired_rows"] += 1

    def _read_wall(self) -> float:
        return self._timers.read_wall()


def _find_mergeable(table: claimtable.ClaimTable) -> list[claimtable.Segment]:
    return table.find_mergeable(MERGE_COUNT, MERGE_BYTES)


def _add_to_head(table: claimtable.ClaimTable, new: _NewSegment) -> None:
    """Lists a written segment in the head and removes what it replaces."""
    segment = claimtable.Segment(
        segment_id=new.segment_id,
        newest_wall_s=max(row.claimed_wall_s for row in new.rows),
        size=len(claimtable.encode_rows(new.rows)),
    )
    table.sealing = None
    table.changed = True
    if new.sources:
        if not table.replace_segments(new.sources, segment):
            # Some of the sources have expired in the meantime. The others are
            # merged later.
            table.dropped.append(new.segment_id)
        return
    for row in new.rows:
        # A row that has changed since stays in the head, where lookups find it
        # before the one in the segment.
        if table.find_row(row.key_digest) == row:
            table.remove_row(row.key_digest)
    table.segments.append(segment)
