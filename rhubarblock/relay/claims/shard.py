"""Group commit of operations on one shard.

Operations that arrive during a write, or within a few milliseconds of each
other, share the next write. After a write that failed or whose reply was lost,
the head is read again and all operations are applied to it; those that already
took effect change nothing. An operation is resolved only when a head that
contains its effect has been read or written.
"""

import asyncio
import collections
import random

from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay.claims import head as claimhead
from rhubarblock.relay.claims import index as claimindex
from rhubarblock.relay.claims import ops as claimops
from rhubarblock.relay.claims import seal as claimseal
from rhubarblock.relay.claims import settings as claimsettings
from rhubarblock.relay.claims import table as claimtable
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import store as stores

# Waits after a conflict. They are short, because a conflict only means that
# another instance wrote the head in between.
CONFLICT_BACKOFF = backoffs.BackoffSettings(first_s=0.004, max_s=0.1)

_Kind = stores.StoreErrorKind

# Consecutive commits without another writer after which the head is no longer
# read before each write.
SOLE_WRITER_COMMITS = 2


class ShardFullError(Exception):
    """The head has no room for another claim; nothing was written."""


class ShardCommitter:
    """Applies the operations of this instance to one shard."""

    __slots__ = (
        "_backoff",
        "_cached_head",
        "_conflict_backoff",
        "_counters",
        "_failing_since_s",
        "_head",
        "_index",
        "_pending",
        "_sealer",
        "_settings",
        "_sole_writer_commits",
        "_task",
        "_timers",
        "_urgent",
    )

    def __init__(
        self,
        head: claimhead.HeadObject,
        index: claimindex.SegmentIndex,
        sealer: claimseal.Sealer,
        timers: timer_service.Timers,
        rng: random.Random,
        settings: claimsettings.ClaimSettings,
        counters: "collections.Counter[str]",
    ):
        """Creates a committer that does nothing until ``submit``."""
        self._head = head
        self._index = index
        self._sealer = sealer
        self._timers = timers
        self._settings = settings
        self._counters = counters
        self._backoff = backoffs.Backoff(rng, settings.backoff)
        self._conflict_backoff = backoffs.Backoff(rng, CONFLICT_BACKOFF)
        self._cached_head: claimtable.ClaimTable | None = None
        self._sole_writer_commits = 0
        self._pending: list[claimops.Operation] = []
        self._urgent = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._failing_since_s: float | None = None

    @property
    def failing_s(self) -> float:
        """Seconds since the platform began to fail; 0 while it works."""
        if self._failing_since_s is None:
            return 0.0
        return self._timers.read_monotonic() - self._failing_since_s

    def submit(self, operation: claimops.Operation) -> None:
        """Queues an operation, whose ``done`` is resolved later."""
        self._pending.append(operation)
        if operation.urgent:
            self._urgent.set()
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())

    async def drain(self) -> None:
        """Waits until no operation is left."""
        while self._task is not None:
            await asyncio.wait([self._task])

    def close(self) -> None:
        """Stops at once; queued operations are not written."""
        self._sealer.close()
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            while self._pending:
                await self._wait_for_batch()
                await self._try_commit()
        finally:
            self._task = None

    async def _wait_for_batch(self) -> None:
        if not self._urgent.is_set():
            try:
                async with asyncio.timeout(self._settings.finish_window_s):
                    await self._urgent.wait()
            except TimeoutError:
                pass
        if self._urgent.is_set():
            await self._timers.sleep(self._settings.batch_window_s)
        self._urgent.clear()

    async def _try_commit(self) -> None:
        try:
            await self._commit()
        except stores.StoreError as error:
            self._counters[f"commit.{error.kind.value}"] += 1
            await self._wait_after(error)
            self._urgent.set()

    async def _wait_after(self, error: stores.StoreError) -> None:
        if error.kind is _Kind.CONFLICT:
            delay_s = self._conflict_backoff.take_delay()
        else:
            if self._failing_since_s is None:
                self._failing_since_s = self._timers.read_monotonic()
            delay_s = self._backoff.take_delay()
        await self._timers.sleep(delay_s)

    async def _commit(self) -> None:
        self._replace_abandoned()
        batch = list(self._pending)
        if not batch:
            return
        table = await self._prepare(batch)
        if table.changed:
            value = table.encode()
            exceeds_limit = len(value) > self._settings.head_limit
            if exceeds_limit and self._reject_claims(batch):
                await self._seal()
                return
            await self._write(table, value, batch)
        self._note_success(table)
        self._resolve(batch)
        if self._sealer.is_due(table):
            await self._seal()

    async def _prepare(
        self, batch: list[claimops.Operation]
    ) -> claimtable.ClaimTable:
        """Returns the head with a batch applied to it, not yet written.

        An instance that has been the only writer of a shard for a while starts
        from the head that it wrote, unless a result depends on what another
        instance may have written since. If the cached head is outdated, its
        conditional write fails.
        """
        cached = self._cached_head
        self._cached_head = None
        if (
            cached is not None
            and self._sole_writer_commits >= SOLE_WRITER_COMMITS
        ):
            table = cached.copy()
            await self._apply(batch, table)
            if all(operation.is_certain() for operation in batch):
                return table
        table = await self._head.read()
        if cached is None or cached.version != table.version:
            self._sole_writer_commits = 0
        await self._apply(batch, table)
        return table

    async def _seal(self) -> None:
        self._cached_head = None
        await self._sealer.seal()

    async def _apply(
        self,
        batch: list[claimops.Operation],
        table: claimtable.ClaimTable,
    ) -> None:
        await self._index.load(table.segments)
        for operation in batch:
            key_digest = operation.key_digest
            current = table.find_row(key_digest)
            if current is None:
                current = await self._index.find(table.segments, key_digest)
            operation.apply(table, current)

    async def _write(
        self,
        table: claimtable.ClaimTable,
        value: bytes,
        batch: list[claimops.Operation],
    ) -> None:
        try:
            await self._head.write(table, value)
        except stores.StoreError as error:
            if error.kind is _Kind.UNSURE:
                for operation in batch:
                    operation.unsure = True
            raise
        self._sole_writer_commits += 1
        self._counters["commit.written"] += 1
        self._counters["commit.operations"] += len(batch)

    def _note_success(self, table: claimtable.ClaimTable) -> None:
        self._cached_head = table
        self._failing_since_s = None
        self._backoff.reset()
        self._conflict_backoff.reset()

    def _resolve(self, batch: list[claimops.Operation]) -> None:
        resolved = set(batch)
        self._pending = [o for o in self._pending if o not in resolved]
        for operation in batch:
            if not operation.done.done():
                operation.done.set_result(operation.found)
            if operation.abandoned:
                self._submit_release(operation)

    def _replace_abandoned(self) -> None:
        abandoned = [o for o in self._pending if o.abandoned]
        self._pending = [o for o in self._pending if not o.abandoned]
        for operation in abandoned:
            self._submit_release(operation)

    def _submit_release(self, operation: claimops.Operation) -> None:
        release = operation.make_release()
        if release is not None:
            self._pending.append(release)

    def _reject_claims(self, batch: list[claimops.Operation]) -> bool:
        """Fails the claims of a batch; returns whether there were any."""
        claims = [o for o in batch if isinstance(o, claimops.Claim)]
        self._pending = [o for o in self._pending if o not in claims]
        for claim in claims:
            if not claim.done.done():
                claim.done.set_exception(ShardFullError())
            # An earlier write of the claim may still take effect.
            if claim.unsure:
                self._submit_release(claim)
        self._counters["commit.full"] += len(claims)
        return bool(claims)
