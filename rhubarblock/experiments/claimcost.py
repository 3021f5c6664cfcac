"""Measures what at-most-once calls cost the platform, by claim protocol.

Several instances claim keys at a steady rate against the stand-in platform on
the fake clock. Four protocols are compared: rows in shared objects with group
commit at the coordinator of each shard (the product), the same without
coordinators, one object per claim, and a lease with fencing, where an expired
claim may be taken over. Run as ``python -m
rhubarblock.experiments.claimcost``; the figures in
docs/design/at-most-once.md come from it.
"""

import abc
import asyncio
import collections
import dataclasses
import json
import random

from returns import result

from rhubarblock.core import position as positions
from rhubarblock.core import request as requests
from rhubarblock.fleet import rendezvous
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.relay.claims import ledger as claims
from rhubarblock.relay.claims import route as claimroute
from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import settings as claimsettings
from rhubarblock.standins import memorypeers
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import backoff as backoffs
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

# An answer of the size that a typical service sends.
ANSWER = requests.ServiceAnswer(200, b'{"notice": "' + b"7" * 100 + b'"}')
WALL_S = 1_000_000.0
RETRY_BACKOFF = backoffs.BackoffSettings(first_s=0.05, max_s=1.0)


@dataclasses.dataclass(slots=True, frozen=True)
class CostPlan:
    """Parameters of one measurement.

    Attributes:
      way: claim protocol: ``forward`` (the product), ``group`` (the product
        without coordinators), ``object`` or ``lease``.
      claims_per_s: new keys a second over all instances.
      instances: entry instances.
      seconds: length of the measurement.
      call_s: seconds between a claim and its answer.
      lease_s: duration of a lease in seconds.
      pause_share: share of calls whose holder is paused for ``pause_s`` after
        the claim and before the call is sent, while the caller retries.
      pause_s: length of such a pause in seconds.
      settings: settings of the ledger.
      seed: seed of arrivals and latency.
    """

    way: str
    claims_per_s: float
    instances: int = 7
    seconds: float = 60.0
    call_s: float = 0.1
    lease_s: float = 10.0
    pause_share: float = 0.0
    pause_s: float = 15.0
    settings: claimsettings.ClaimSettings = claimsettings.ClaimSettings()
    seed: int = 1


@dataclasses.dataclass(slots=True)
class ClaimCost:
    """Results of one measurement.

    Attributes:
      claims: claims that were requested.
      refused: claims that the platform did not confirm.
      unrecorded: answers that the platform did not accept.
      double_runs: keys whose call ran more than once.
      added_ms_p50: median milliseconds that a claim adds to a call.
      added_ms_p99: the same, 99th percentile.
      writes_per_claim: platform writes, per claim.
      writes_per_s: platform writes a second.
      reads_per_s: platform reads a second.
      bytes_per_claim: bytes written and read, per claim.
    """

    claims: int
    refused: int
    unrecorded: int
    double_runs: int
    added_ms_p50: float
    added_ms_p99: float
    writes_per_claim: float
    writes_per_s: float
    reads_per_s: float
    bytes_per_claim: float


class Claimer(abc.ABC):
    """The claim protocol as one instance runs it."""

    @abc.abstractmethod
    async def claim(self, key: str, deadline_s: float) -> object | None:
        """Returns the granted claim, or None if the call may not run.

        Raises:
          store.StoreError: the platform did not confirm the claim.
        """

    @abc.abstractmethod
    async def finish(self, granted: object) -> None:
        """Records the answer."""

    def may_send(self, granted: object) -> bool:
        """Says whether the holder believes that it may still send the call."""
        return True


class GroupClaimer(Claimer):
    """The product's protocol: rows in shared objects."""

    def __init__(self, ledger: claims.ClaimLedger):
        """Wraps the ledger of one instance."""
        self._ledger = ledger

    async def claim(self, key: str, deadline_s: float) -> object | None:
        outcome = await self._ledger.claim("adwoa", key, "d1", "r1", deadline_s)
        if isinstance(outcome, result.Success):
            granted = outcome.unwrap()
            return granted if isinstance(granted, claims.Claim) else None
        if outcome.failure().verdict.value == "NOT_RUN":
            raise stores.StoreError(_Kind.UNAVAILABLE)
        return None

    async def finish(self, granted: object) -> None:
        assert isinstance(granted, claims.Claim)
        await self._ledger.finish(granted, ANSWER)


@dataclasses.dataclass(slots=True, frozen=True)
class _HeldClaim:
    stored: stores.StoredObject
    until_s: float


class ObjectClaimer(Claimer):
    """One object per claim: created, overwritten and finally deleted."""

    def __init__(self, store: stores.ObjectStore, timers: timer_service.Timers):
        """Creates the protocol for one instance."""
        self._store = store
        self._timers = timers

    async def claim(self, key: str, deadline_s: float) -> object | None:
        name = "claims/" + claimrow.digest_key("adwoa", key)
        row = self._make_row(key, claimrow.RowState.CLAIMED)
        try:
            stored = await _retry(
                self._timers,
                lambda: self._store.write(name, row, positions.NOWHERE),
            )
        except stores.StoreError as error:
            if error.kind is _Kind.CONFLICT:
                return None
            raise
        return _HeldClaim(stored, deadline_s)

    async def finish(self, granted: object) -> None:
        assert isinstance(granted, _HeldClaim)
        stored = granted.stored
        row = self._make_row(stored.name, claimrow.RowState.DONE)
        done = await _retry(
            self._timers,
            lambda: self._store.write(stored.name, row, stored.version),
        )
        # In production the object is collected a day later, at the same cost.
        await _retry(
            self._timers, lambda: self._store.delete(done.name, done.version)
        )

    def _make_row(self, key: str, state: claimrow.RowState) -> bytes:
        done = state is claimrow.RowState.DONE
        row = claimrow.ClaimRow(
            key_digest=claimrow.digest_key("adwoa", key),
            body_digest="d1",
            claim_id="i0.0123456789abcdef.1",
            attempt_id="r1",
            state=state,
            claimed_wall_s=self._timers.read_wall(),
            until_wall_s=self._timers.read_wall() + 30.0,
            answer=claimrow.make_answer(ANSWER, 2000) if done else None,
        )

        return claimrow.encode_row(row)


class LeaseClaimer(Claimer):
    """One object per claim that others may take over after it has expired."""

    def __init__(
        self,
        store: stores.ObjectStore,
        timers: timer_service.Timers,
        lease_s: float,
    ):
        """Creates the protocol for one instance."""
        self._store = store
        self._timers = timers
        self._lease_s = lease_s

    async def claim(self, key: str, deadline_s: float) -> object | None:
        name = "claims/" + claimrow.digest_key("adwoa", key)
        try:
            return await self._take(
                name, generation=1, version=positions.NOWHERE
            )
        except stores.StoreError as error:
            if error.kind is not _Kind.CONFLICT:
                raise
        found = await self._store.read(name)
        fields = json.loads(found.value)
        left_s = fields["until_s"] - self._timers.read_wall()
        if fields["done"] or left_s > 0:
            return None
        return await self._take(name, fields["generation"] + 1, found.version)

    async def finish(self, granted: object) -> None:
        assert isinstance(granted, _HeldClaim)
        value = json.dumps({"done": True, "until_s": 0, "answer": "7" * 120})
        stored = granted.stored
        try:
            done = await _retry(
                self._timers,
                lambda: self._store.write(
                    stored.name, value.encode(), stored.version
                ),
            )
        except stores.StoreError as error:
            # Fenced: another instance has taken the claim over.
            if error.kind is not _Kind.CONFLICT:
                raise
            return
        await _retry(
            self._timers, lambda: self._store.delete(done.name, done.version)
        )

    def may_send(self, granted: object) -> bool:
        assert isinstance(granted, _HeldClaim)
        return self._timers.read_wall() < granted.until_s

    async def _take(
        self, name: str, generation: int, version: positions.Position
    ) -> _HeldClaim:
        until_s = self._timers.read_wall() + self._lease_s
        fields = {"done": False, "until_s": until_s, "generation": generation}
        value = json.dumps(fields).encode()
        stored = await _retry(
            self._timers, lambda: self._store.write(name, value, version)
        )
        return _HeldClaim(stored, until_s)


async def _retry(timers, call):  # type: ignore[no-untyped-def]
    """Retries a rate-limited call for up to five seconds."""
    end_s = timers.read_monotonic() + 5.0
    backoff = backoffs.Backoff(random.Random(1), RETRY_BACKOFF)
    while True:
        try:
            return await call()
        except stores.StoreError as error:
            is_expired = timers.read_monotonic() >= end_s
            if error.kind is not _Kind.RATE_LIMITED or is_expired:
                raise
        await timers.sleep(backoff.take_delay())


class _Measurement:
    """One run of a plan."""

    def __init__(self, plan: CostPlan):
        self.plan = plan
        self.timers = timer_service.LoopTimers(WALL_S)
        self.rng = random.Random(plan.seed)
        self.store = platform.MemoryStore(
            self.timers, random.Random(plan.seed + 1)
        )
        self.network = memorypeers.MemoryPeerNetwork(
            random.Random(plan.seed + 2)
        )
        self.claimers = [self._make(n) for n in range(plan.instances)]
        self.added_s: list[float] = []
        self.refused = 0
        self.unrecorded = 0
        self.runs: collections.Counter[str] = collections.Counter()

    def _make(self, number: int) -> Claimer:
        store = self.store.connect(f"i{number}")
        if self.plan.way == "object":
            return ObjectClaimer(store, self.timers)
        if self.plan.way == "lease":
            return LeaseClaimer(store, self.timers, self.plan.lease_s)
        forwards = self.plan.way == "forward"
        address = f"10.0.0.{number}:1"
        ledger = claims.ClaimLedger(
            store,
            self.timers,
            f"i{number}",
            random.Random(1000 + number),
            self.plan.settings,
            self.network.join(address, f"i{number}", f"dc{number % 3}"),
            self._make_finder(number) if forwards else None,
        )
        return GroupClaimer(ledger)

    def _make_finder(self, number: int) -> claimroute.CoordinatorFinder:
        ids = [f"i{n}" for n in range(self.plan.instances)]

        def find(duty: str) -> str | None:
            scores = [rendezvous.compute_score(duty, i) for i in ids]
            holder = scores.index(max(scores))
            return f"10.0.0.{holder}:1" if holder != number else None

        return find

    async def run(self) -> ClaimCost:
        tasks = []
        count = round(self.plan.claims_per_s * self.plan.seconds)
        for number in range(count):
            await self.timers.sleep(
                self.rng.expovariate(self.plan.claims_per_s)
            )
            tasks.append(asyncio.ensure_future(self._call(f"k{number}")))
        await asyncio.gather(*tasks)
        return self._summarise(count)

    async def _call(self, key: str) -> None:
        first, second = self.rng.sample(self.claimers, 2)
        paused = self.rng.random() < self.plan.pause_share
        started_s = self.timers.read_monotonic()
        try:
            granted = await first.claim(key, started_s + 30.0)
        except stores.StoreError:
            self.refused += 1
            return
        self.added_s.append(self.timers.read_monotonic() - started_s)
        if granted is None:
            return
        sends = [self._send(first, key, granted, paused)]
        if paused:
            sends.append(self._send_again(second, key))
        await asyncio.gather(*sends)

    async def _send(
        self, claimer: Claimer, key: str, granted: object, paused: bool
    ) -> None:
        if not claimer.may_send(granted):
            return
        if paused:
            # The pause lies between the last check and the first byte sent.
            await self.timers.sleep(self.plan.pause_s)
        self.runs[key] += 1
        await self.timers.sleep(self.plan.call_s)
        try:
            await claimer.finish(granted)
        except stores.StoreError:
            self.unrecorded += 1

    async def _send_again(self, claimer: Claimer, key: str) -> None:
        await self.timers.sleep(self.plan.lease_s + 1.0)
        try:
            deadline_s = self.timers.read_monotonic() + 30.0
            granted = await claimer.claim(key, deadline_s)
        except stores.StoreError:
            return
        if granted is not None:
            await self._send(claimer, key, granted, paused=False)

    def _summarise(self, count: int) -> ClaimCost:
        counters = self.store.counters
        writes = counters["write"] + counters["delete"]
        reads = counters["read"] + counters["list"]
        byte_count = counters["write.bytes"] + counters["read.bytes"]
        seconds = self.timers.read_monotonic()
        added_s = sorted(self.added_s)
        return ClaimCost(
            claims=count,
            refused=self.refused,
            unrecorded=self.unrecorded,
            double_runs=sum(runs > 1 for runs in self.runs.values()),
            added_ms_p50=1000 * _pick_quantile(added_s, 0.50),
            added_ms_p99=1000 * _pick_quantile(added_s, 0.99),
            writes_per_claim=writes / count,
            writes_per_s=writes / seconds,
            reads_per_s=reads / seconds,
            bytes_per_claim=byte_count / count,
        )


def _pick_quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure(plan: CostPlan) -> ClaimCost:
    """Runs one measurement on the fake clock."""

    async def run() -> ClaimCost:
        return await _Measurement(plan).run()

    return virtualloop.run(run())


def list_plans() -> list[CostPlan]:
    """Returns the measurements that docs/design/at-most-once.md shows."""
    plans = []
    for rate, seconds in (
        (1.0, 60.0),
        (10.0, 60.0),
        (100.0, 20.0),
        (300.0, 20.0),
    ):
        for shards in (4, 16):
            settings = claimsettings.ClaimSettings(shards=shards)
            plans.append(
                CostPlan("forward", rate, seconds=seconds, settings=settings)
            )
        for way in ("group", "object", "lease"):
            plans.append(CostPlan(way, rate, seconds=seconds))
    for way in ("forward", "object", "lease"):
        plans.append(CostPlan(way, 10.0, pause_share=0.01))
    return plans


def main() -> None:
    """Prints one line for each measurement."""
    print(
        "way     shards claims/s paused refused unrecorded double  p50 ms  "
        "p99 ms writes/claim writes/s reads/s bytes/claim"
    )
    for plan in list_plans():
        cost = measure(plan)
        shared = plan.way in ("forward", "group")
        shards = str(plan.settings.shards) if shared else "-"
        print(
            f"{plan.way:7} {shards:>6} {plan.claims_per_s:8.0f} "
            f"{plan.pause_share:6.0%} {cost.refused:7} "
            f"{cost.unrecorded:10} {cost.double_runs:6} "
            f"{cost.added_ms_p50:7.1f} {cost.added_ms_p99:7.1f} "
            f"{cost.writes_per_claim:12.2f} {cost.writes_per_s:8.1f} "
            f"{cost.reads_per_s:7.1f} {cost.bytes_per_claim:11.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
