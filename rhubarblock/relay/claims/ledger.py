"""The ledger of claims: which idempotency keys were used, and for which call.

A call that must not run twice is claimed before it is sent. The claim is a row
in the platform's store, written by a conditional update. An instance that finds
the row of another claim never sends the call, but waits for its outcome.

A claim is not a lease: a holder that resumes after an hour's pause still holds
its claim, and nobody else has run the call in the meantime.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay.claims import failures as claimfailures
from rhubarblock.relay.claims import head as claimhead
from rhubarblock.relay.claims import index as claimindex
from rhubarblock.relay.claims import layout as claimlayout
from rhubarblock.relay.claims import ops as claimops
from rhubarblock.relay.claims import pacer as claimpacer
from rhubarblock.relay.claims import route as claimroute
from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import seal as claimseal
from rhubarblock.relay.claims import settings as claimsettings
from rhubarblock.relay.claims import shard as claimshard
from rhubarblock.relay.claims import wire as claimwire
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import store as stores

# Claim timeout in seconds once the platform has been failing for longer than
# the regular timeout. It allows one more attempt, so that not every caller
# waits for the whole regular timeout.
FAILING_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class Claim:
    """The right of one request to run a call once.

    Attributes:
      key_digest: digest of the claimed key.
      claim_id: unique id of the claim.
      deadline_s: latest time to send the call, in monotonic seconds.
    """

    key_digest: str
    claim_id: str
    deadline_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class StoredAnswer:
    """The stored answer of an earlier call with the key.

    Attributes:
      answer: the answer, marked as replayed.
    """

    answer: requests.ServiceAnswer


Shard = claimshard.ShardCommitter | claimroute.ShardRoute

ClaimOutcome = result.Result[Claim | StoredAnswer, failures.Failure]


class ClaimLedger:
    """Claims keys on behalf of one entry instance.

    Attributes:
      counters: counts commits and the outcomes of commits and claims.
    """

    __slots__ = (
        "_claims_made",
        "_find_coordinator",
        "_instance_id",
        "_layout",
        "_peers",
        "_rng",
        "_routes",
        "_settings",
        "_shards",
        "_start_id",
        "_store",
        "_timers",
        "counters",
    )

    def __init__(
        self,
        store: stores.ObjectStore,
        timers: timer_service.Timers,
        instance_id: str,
        rng: random.Random,
        settings: claimsettings.ClaimSettings | None = None,
        peers: peertransport.PeerTransport | None = None,
        find_coordinator: claimroute.CoordinatorFinder | None = None,
    ):
        """Creates a ledger; ``open_ledger`` also shuts it down gracefully.

        Args:
          store: object API.
          timers: clock and sleeps.
          instance_id: name of this entry instance.
          rng: draws jitter, and ids that must be unique across all starts of
            all instances. Daemons pass a generator seeded by the system.
          settings: how claims are written, or None for the defaults.
          peers: transport to the coordinators of shards; without it this
            instance writes all shards itself.
          find_coordinator: returns the address of the coordinator of
            ``claims/<shard>``.
        """
        self._store = store
        self._timers = timers
        self._instance_id = instance_id
        self._rng = rng
        self._settings = settings or claimsettings.ClaimSettings()
        # The time distinguishes starts that were given the same seed.
        started_ms = round(1000 * timers.read_wall())
        self._start_id = f"{started_ms:x}-{rng.getrandbits(64):016x}"
        self._claims_made = 0
        self._layout = claimlayout.Layout(
            store,
            timers,
            backoffs.Backoff(rng, self._settings.backoff),
            self._settings.shards,
        )
        self._shards: dict[str, claimshard.ShardCommitter] = {}
        self._routes: dict[str, claimroute.ShardRoute] = {}
        self._peers = peers
        self._find_coordinator = find_coordinator
        self.counters: collections.Counter[str] = collections.Counter()
        if peers is not None:
            peers.register(claimroute.MESSAGE_KIND, self._commit_forwarded)

    async def claim(
        self,
        institution: str,
        key: str,
        digest: str,
        attempt_id: str,
        deadline_s: float,
    ) -> ClaimOutcome:
        """Claims a key, or waits for the outcome of the claim that holds it.

        Args:
          institution: owner of the key.
          key: idempotency key of the caller.
          digest: digest of the call that the key is bound to.
          attempt_id: id of the request, for diagnosis only.
          deadline_s: deadline of the call, in monotonic seconds.

        Returns:
          A claim that allows exactly one run, or the stored answer of an
          earlier run, or a failure whose verdict says whether the call may
          have run.
        """
        key_digest = claimrow.digest_key(institution, key)
        while True:
            row = self._make_row(key_digest, digest, attempt_id, deadline_s)
            claimed = await self._try_claim(row, deadline_s)
            if not isinstance(claimed, claimrow.ClaimRow):
                return result.Failure(claimed)
            if claimed.claim_id == row.claim_id:
                self.counters["claim.granted"] += 1
                return result.Success(
                    Claim(key_digest, row.claim_id, deadline_s)
                )
            if claimed.body_digest != digest:
                self.counters["claim.conflict"] += 1
                return result.Failure(claimfailures.make_conflict())
            ended = await self._await_outcome(claimed, deadline_s)
            if ended is not None:
                return self._make_outcome(ended)
            # The other claim was released without running the call.

    async def finish(
        self, claim: Claim, answer: requests.ServiceAnswer
    ) -> None:
        """Records the answer of the run; returns when it is stored.

        Args:
          claim: the claim that was used.
          answer: the answer of the service.
        """
        stored = claimrow.make_answer(answer, self._settings.answer_limit)
        await self._record(claim, claimrow.RowState.DONE, stored)

    async def finish_unknown(self, claim: Claim) -> None:
        """Records that the call was sent and its answer was lost."""
        await self._record(claim, claimrow.RowState.UNKNOWN, None)

    async def release(self, claim: Claim) -> None:
        """Releases the key of a claim that was not used and never will be."""
        self.counters["claim.released"] += 1
        release = claimops.Release(claim.key_digest, claim.claim_id)
        await self._submit_and_wait(release)

    async def drain(self) -> None:
        """Waits until all queued operations are written."""
        await asyncio.gather(*[r.drain() for r in self._routes.values()])
        await asyncio.gather(*[s.drain() for s in self._shards.values()])

    def close(self) -> None:
        """Stops at once; the outcome of unrecorded claims stays unknown."""
        self._layout.close()
        for route in self._routes.values():
            route.close()
        for shard in self._shards.values():
            shard.close()

    async def _try_claim(
        self, row: claimrow.ClaimRow, deadline_s: float
    ) -> claimrow.ClaimRow | failures.Failure:
        """Submits a claim and returns the row that the key then has."""
        now_s = self._timers.read_monotonic()
        end_s = min(deadline_s, now_s + self._settings.claim_timeout_s)
        shard = await self._find_shard(row.key_digest, end_s)
        if shard is None:
            return self._make_unavailable()
        if shard.failing_s > self._settings.claim_timeout_s:
            end_s = min(end_s, now_s + FAILING_TIMEOUT_S)
        operation = claimops.Claim(row)
        shard.submit(operation)
        left_s = end_s - self._timers.read_monotonic()
        await asyncio.wait([operation.done], timeout=left_s)
        if not operation.done.done():
            # The row may still be written, but the call must not be sent.
            operation.abandoned = True
            return self._make_unavailable()
        if operation.done.exception() is not None:
            return self._make_unavailable()
        found = operation.done.result()
        assert found is not None
        return found

    async def _await_outcome(
        self, row: claimrow.ClaimRow, deadline_s: float
    ) -> claimrow.ClaimRow | None:
        """Waits for the outcome of the claim that holds a key.

        Returns:
          The row at its outcome, or at the deadline if there is none yet, or
          None if the claim was released.
        """
        poll_s = self._settings.poll_s
        while row.state is claimrow.RowState.CLAIMED:
            last_s = row.until_wall_s + self._settings.clock_error_s
            if self._timers.read_wall() > last_s:
                return row
            left_s = deadline_s - self._timers.read_monotonic()
            if left_s <= 0:
                return row
            delay_s = poll_s * (0.5 + 0.5 * self._rng.random())
            await self._timers.sleep(min(delay_s, left_s))
            poll_s = min(2 * poll_s, self._settings.poll_max_s)
            found = await self._look_up(row, deadline_s)
            if found is None or found.claim_id != row.claim_id:
                return None
            row = found
        return row

    async def _look_up(
        self, row: claimrow.ClaimRow, deadline_s: float
    ) -> claimrow.ClaimRow | None:
        """Returns the current row of a key, or `row` if it can't be read."""
        shard = await self._find_shard(row.key_digest, deadline_s)
        if shard is None:
            return row
        operation = claimops.Lookup(row.key_digest)
        shard.submit(operation)
        left_s = max(0.0, deadline_s - self._timers.read_monotonic())
        await asyncio.wait([operation.done], timeout=left_s)
        if not operation.done.done():
            operation.abandoned = True
            return row
        return operation.done.result()

    def _make_outcome(self, row: claimrow.ClaimRow) -> ClaimOutcome:
        if row.state is not claimrow.RowState.DONE or row.answer is None:
            self.counters["claim.outcome_unknown"] += 1
            return result.Failure(claimfailures.make_unknown())
        self.counters["claim.replayed"] += 1
        if row.answer.body is None:
            return result.Failure(
                claimfailures.make_answer_not_stored(row.answer)
            )
        answer = requests.ServiceAnswer(
            status=row.answer.status,
            body=row.answer.body,
            content_type=row.answer.content_type,
            replayed=True,
        )
        return result.Success(StoredAnswer(answer))

    async def _record(
        self,
        claim: Claim,
        state: claimrow.RowState,
        answer: claimrow.RowAnswer | None,
    ) -> None:
        self.counters[f"claim.{state.value}"] += 1
        operation = claimops.Finish(
            claim.key_digest, claim.claim_id, state, answer
        )
        await self._submit_and_wait(operation)

    async def _submit_and_wait(self, operation: claimops.Operation) -> None:
        # The layout is loaded, since a claim was granted before.
        self._get_shard(operation.key_digest).submit(operation)
        await operation.done

    async def _find_shard(self, key_digest: str, end_s: float) -> Shard | None:
        """Returns the shard of a key, or None if no layout loads in time."""
        left_s = end_s - self._timers.read_monotonic()
        if not await self._layout.wait_loaded(left_s):
            return None
        return self._get_shard(key_digest)

    def _get_shard(self, key_digest: str) -> Shard:
        name = self._layout.get_shard_name(key_digest)
        if self._peers is None or self._find_coordinator is None:
            return self._get_committer(name)
        if name not in self._routes:
            self._routes[name] = claimroute.ShardRoute(
                name,
                self._get_committer(name),
                self._peers,
                self._find_coordinator,
                self._timers,
                self._settings,
                self.counters,
            )
        return self._routes[name]

    def _get_committer(self, shard: str) -> claimshard.ShardCommitter:
        if shard not in self._shards:
            self._shards[shard] = self._make_shard(shard)
        return self._shards[shard]

    async def _commit_forwarded(self, sender_id: str, message: bytes) -> bytes:
        """Applies a batch of another instance.

        After any error the sender writes the operations itself.
        """
        batch = claimwire.decode_batch(message)
        if not await self._layout.wait_loaded(batch.left_s):
            raise TimeoutError
        self.counters["forward.received"] += len(batch.operations)
        name = self._layout.get_shard_name(batch.operations[0].key_digest)
        return await claimroute.commit_batch(batch, self._get_committer(name))

    def _make_shard(self, shard: str) -> claimshard.ShardCommitter:
        rate_per_s = self._settings.writes_per_s / self._layout.shards
        pacer = claimpacer.WritePacer(self._timers, rate_per_s)
        head = claimhead.HeadObject(self._store, pacer, shard)
        sealer = claimseal.Sealer(
            self._store,
            head,
            self._timers,
            self._rng,
            self._settings,
            self.counters,
        )
        return claimshard.ShardCommitter(
            head,
            claimindex.SegmentIndex(self._store),
            sealer,
            self._timers,
            self._rng,
            self._settings,
            self.counters,
        )

    def _make_row(
        self,
        key_digest: str,
        body_digest: str,
        attempt_id: str,
        deadline_s: float,
    ) -> claimrow.ClaimRow:
        # The claim id does not depend on the request id: two requests with the
        # same id must not take each other's claim for their own.
        self._claims_made += 1
        claim_id = f"{self._instance_id}.{self._start_id}.{self._claims_made}"
        now_wall_s = self._timers.read_wall()
        left_s = max(0.0, deadline_s - self._timers.read_monotonic())
        return claimrow.ClaimRow(
            key_digest=key_digest,
            body_digest=body_digest,
            claim_id=claim_id,
            attempt_id=attempt_id,
            state=claimrow.RowState.CLAIMED,
            claimed_wall_s=round(now_wall_s, 3),
            until_wall_s=round(now_wall_s + left_s, 3),
        )

    def _make_unavailable(self) -> failures.Failure:
        self.counters["claim.unavailable"] += 1
        return claimfailures.make_unavailable()


@contextlib.asynccontextmanager
async def open_ledger(
    store: stores.ObjectStore,
    timers: timer_service.Timers,
    instance_id: str,
    rng: random.Random,
    settings: claimsettings.ClaimSettings | None = None,
    peers: peertransport.PeerTransport | None = None,
    find_coordinator: claimroute.CoordinatorFinder | None = None,
) -> AsyncIterator[ClaimLedger]:
    """Opens a ledger; drains and closes it when the context ends.

    Args:
      store: object API.
      timers: clock and sleeps.
      instance_id: name of this entry instance.
      rng: draws unique ids and jitter.
      settings: how claims are written, or None for the defaults.
      peers: transport to the coordinators of shards, or None.
      find_coordinator: returns the address of the coordinator of
        ``claims/<shard>``, or None.

    Yields:
      The ledger.
    """
    settings = settings or claimsettings.ClaimSettings()
    ledger = ClaimLedger(
        store, timers, instance_id, rng, settings, peers, find_coordinator
    )
    try:
        yield ledger
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(settings.drain_s):
                await ledger.drain()
    finally:
        ledger.close()
