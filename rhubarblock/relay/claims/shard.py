"""Group commit of the claims of one shard.

Operations that arrive while a write is on its way, or within a few
milliseconds, share the next write. A write that fails, or whose answer is
lost, is followed by a new read: what took effect is then seen in the head, and
what did not is applied again. An operation is resolved only by a head that
was written, or read, with its effect in it.
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

# Another instance wrote the head in between: the next try can follow soon.
CONFLICT_BACKOFF = backoffs.BackoffSettings(first_s=0.004, max_s=0.1)

_Kind = stores.StoreErrorKind

# Commits in a row without another writer after which a shard's head is not
# read again before each write.
ALONE_WRITES = 2


class ShardFullError(Exception):
    """The head has no room for another claim; nothing was written."""


class ShardCommitter:
    """Applies the operations of this instance to one shard."""

    __slots__ = (
        "_alone_writes",
        "_backoff",
        "_conflict_backoff",
        "_counters",
        "_failing_since_s",
        "_head",
        "_index",
        "_known_head",
        "_pending",
        "_sealer",
        "_settings",
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
        self._known_head: claimtable.ClaimTable | None = None
        self._alone_writes = 0
        self._pending: list[claimops.Operation] = []
        self._urgent = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._failing_since_s: float | None = None

    @property
    def failing_s(self) -> float:
        """Seconds for which the platform has refused every try; 0 if none."""
        if self._failing_since_s is None:
            return 0.0
        return self._timers.read_monotonic() - self._failing_since_s

    def submit(self, operation: claimops.Operation) -> None:
        """Queues an operation; its ``done`` is resolved later."""
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
        """Stops at once; what was not written yet stays unwritten."""
        self._sealer.close()
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            while self._pending:
                await self._collect()
                await self._try_commit()
        finally:
            self._task = None

    async def _collect(self) -> None:
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
            is_over = len(value) > self._settings.head_limit
            if is_over and self._refuse_claims(batch):
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

        An instance that has been the only one to write a shard for a while
        goes on from what it wrote, as long as nothing depends on what another
        may have written since. A head that is outdated cannot be written.
        """
        known = self._known_head
        self._known_head = None
        if known is not None and self._alone_writes >= ALONE_WRITES:
            table = known.copy()
            await self._apply(batch, table)
            if all(operation.is_certain() for operation in batch):
                return table
        table = await self._head.read()
        if known is None or known.version != table.version:
            self._alone_writes = 0
        await self._apply(batch, table)
        return table

    async def _seal(self) -> None:
        self._known_head = None
        await self._sealer.seal()

    async def _apply(
        self,
        batch: list[claimops.Operation],
        table: claimtable.ClaimTable,
    ) -> None:
        await self._index.load(table.segments)
        for operation in batch:
            key_digest = operation.key_digest
            present = table.find_row(key_digest)
            if present is None:
                present = await self._index.find(table.segments, key_digest)
            operation.apply(table, present)

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
        self._alone_writes += 1
        self._counters["commit.written"] += 1
        self._counters["commit.operations"] += len(batch)

    def _note_success(self, table: claimtable.ClaimTable) -> None:
        self._known_head = table
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

    def _refuse_claims(self, batch: list[claimops.Operation]) -> bool:
        """Fails the claims of a batch; says whether there were any."""
        claims = [o for o in batch if isinstance(o, claimops.Claim)]
        self._pending = [o for o in self._pending if o not in claims]
        for claim in claims:
            if not claim.done.done():
                claim.done.set_exception(ShardFullError())
            # An earlier write of it may still be on its way.
            if claim.unsure:
                self._submit_release(claim)
        self._counters["commit.full"] += len(claims)
        return bool(claims)
