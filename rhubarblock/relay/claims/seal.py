"""Moves old claims out of a shard's head and collects what has expired.

Rows of the head become a segment, and small segments become a larger one. At
each moment every row that still counts is in the head or in a segment that
the head lists. Steps: the head names the segment to come; its two objects are
created; the head lists it, in place of what went into it, in one write.
Whoever dies in between leaves a name in the head, which the next one clears
away.

Objects are deleted only when the head lists their segment as dropped. A
segment never comes back from there, so that acting on an older state of the
head deletes nothing that still counts.
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

# Seconds after which a segment that is being written counts as given up.
SEALING_TIMEOUT_S = 60.0
# Seconds between two looks for expired claims of a shard.
COLLECT_INTERVAL_S = 600.0
# Segments that are made into one, and the most bytes of rows in it.
MERGE_COUNT = 16
MERGE_BYTES = 600_000
# Tries to list a segment before it is left to the next one to clear away.
INSTALL_TRIES = 8
# Seconds between two such tries.
INSTALL_WAIT_S = 0.01

_Kind = stores.StoreErrorKind


@dataclasses.dataclass(slots=True)
class _NewSegment:
    """A segment that is being written.

    Attributes:
      segment_id: unique name.
      rows: its rows.
      sources: segments that it replaces; empty when its rows are the head's.
    """

    segment_id: str
    rows: list[claimrow.ClaimRow]
    sources: list[claimtable.Segment]


class Sealer:
    """Seals and collects the claims of one shard."""

    __slots__ = (
        "_counters",
        "_deleted",
        "_deleting",
        "_head",
        "_next_collect_s",
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
        """Creates a sealer; it acts only when asked."""
        self._store = store
        self._head = head
        self._timers = timers
        self._rng = rng
        self._settings = settings
        self._counters = counters
        self._next_collect_s = float("-inf")
        # Dropped segments whose objects are gone, until the head says so.
        self._deleted: set[str] = set()
        self._deleting: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stops deleting; another seal goes on with it."""
        if self._deleting is not None:
            self._deleting.cancel()

    def is_due(self, table: claimtable.ClaimTable) -> bool:
        """Says whether a head has something to seal or to collect."""
        if self._is_being_sealed(table):
            return False
        if self._find_rows_to_seal(table) or _find_run(table):
            return True
        now_s = self._timers.read_monotonic()
        if now_s < self._next_collect_s:
            return False
        self._next_collect_s = now_s + COLLECT_INTERVAL_S
        return bool(table.dropped or self._has_expired(table))

    async def seal(self) -> None:
        """Seals, collects and deletes; what fails is left to the next time."""
        try:
            await self._seal()
        except stores.StoreError as error:
            self._counters[f"seal.{error.kind.value}"] += 1

    async def _seal(self) -> None:
        table = await self._head.read()
        if self._is_being_sealed(table):
            return
        self._drop_expired(table)
        self._clear_deleted(table)
        rows = self._find_rows_to_seal(table)
        sources = [] if rows else _find_run(table)
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
            await self._install(new)

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
        # Where a key stands in two segments, the later one counts.
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

    async def _install(self, new: _NewSegment) -> None:
        for _ in range(INSTALL_TRIES):
            table = await self._head.read()
            sealing = table.sealing
            if sealing is None or sealing.segment_id != new.segment_id:
                # It is listed already, or another one has cleared it away.
                return
            _list_segment(table, new)
            try:
                await self._head.write(table, table.encode())
            except stores.StoreError as error:
                if error.kind not in (_Kind.CONFLICT, _Kind.UNSURE):
                    raise
                await self._timers.sleep(INSTALL_WAIT_S)
                continue
            self._counters["seal.segments"] += 1
            self._counters["seal.rows"] += len(new.rows)
            return

    def _clear_deleted(self, table: claimtable.ClaimTable) -> None:
        """Takes out of a head what is deleted and starts deleting the rest.

        Deleting takes long enough to keep claims waiting, so it goes on beside
        them.
        """
        left = [i for i in table.dropped if i not in self._deleted]
        if len(left) < len(table.dropped):
            table.dropped = left
            table.changed = True
        self._deleted.intersection_update(left)
        if left and self._deleting is None:
            self._deleting = asyncio.ensure_future(self._delete_all(left))

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
        # A claim whose call may still end stays where its answer is recorded.
        ended_s = self._read_wall() - self._settings.clock_error_s
        return [
            row
            for row in table.list_rows()
            if row.state is not claimrow.RowState.CLAIMED
            or row.until_wall_s < ended_s
        ]

    def _find_expiry(self) -> float:
        """Returns the wall time up to which claims have expired.

        The clock that wrote a claim may be behind and the one read here ahead.
        """
        kept_s = self._settings.retention_s + 2 * self._settings.clock_error_s
        return self._read_wall() - kept_s

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


def _find_run(table: claimtable.ClaimTable) -> list[claimtable.Segment]:
    return table.find_small_run(MERGE_COUNT, MERGE_BYTES)


def _list_segment(table: claimtable.ClaimTable, new: _NewSegment) -> None:
    """Lists a written segment in the head in place of what went into it."""
    segment = claimtable.Segment(
        segment_id=new.segment_id,
        newest_wall_s=max(row.claimed_wall_s for row in new.rows),
        size=len(claimtable.encode_rows(new.rows)),
    )
    table.sealing = None
    table.changed = True
    if new.sources:
        if not table.replace_run(new.sources, segment):
            # A part of it has expired meanwhile; the rest is merged later.
            table.dropped.append(new.segment_id)
        return
    for row in new.rows:
        # A row that changed since stays in the head, where it is found before
        # the one in the segment.
        if table.find_row(row.key_digest) == row:
            table.remove_row(row.key_digest)
    table.segments.append(segment)
