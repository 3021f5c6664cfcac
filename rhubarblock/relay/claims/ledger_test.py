"""Tests of at-most-once calls while the platform or an instance fails.

Two or three instances share a stand-in platform and a stand-in service that
logs every run.
"""

import asyncio
import random

import pytest
from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import position as positions
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.relay import servicecalls
from rhubarblock.relay.claims import ledger as claims
from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import settings as claimsettings
from rhubarblock.relay.claims import table as claimtable
from rhubarblock.standins import service
from rhubarblock.standins import service_test
from rhubarblock.standins.platform import store as platform

_Code = failures.FailureCode
_Verdict = verdicts.Verdict

# Wall time at the start of the tests; an arbitrary value.
WALL_S = 1_000_000.0
DAY_S = 86_400.0


class Cluster:
    """Instances that share a platform and a service."""

    def __init__(self, instances: int = 2, wall_offsets=(), **settings):
        self.timers = timer_service.LoopTimers(WALL_S)
        self.store = platform.MemoryStore(self.timers, random.Random(1))
        self.service = service.PlainService("desk-1", self.timers)
        self.client = service.MemoryServiceClient(
            {"desk:1": self.service}, self.timers, random.Random(2)
        )
        self.connections = []
        self.ledgers = []
        self.callers = []
        for number in range(instances):
            offset_s = wall_offsets[number] if wall_offsets else 0.0
            self._add(f"i{number}", offset_s, settings)

    def _add(self, name: str, offset_s: float, settings) -> None:
        connection = self.store.connect(name)
        ledger = claims.ClaimLedger(
            connection,
            timer_service.LoopTimers(WALL_S + offset_s),
            name,
            random.Random(name),
            claimsettings.ClaimSettings(**settings),
        )
        self.connections.append(connection)
        self.ledgers.append(ledger)
        self.callers.append(
            servicecalls.ServiceCaller(
                ledger,
                self.client,
                lambda call, failed: "desk:1" if not failed else None,
                self.timers,
                random.Random(3),
            )
        )

    async def call(self, number: int, key: str = "k1", **fields):
        """Calls through one instance; returns what the caller sees."""
        now_s = self.timers.read_monotonic()
        call = service_test.make_call(
            key=key, **{"deadline_s": now_s + 30.0, **fields}
        )
        outcome = await self.callers[number].call(call)
        if isinstance(outcome, result.Success):
            answer = outcome.unwrap()
            return "replayed" if answer.replayed else "ran"
        failure = outcome.failure()
        return failure.code, failure.verdict

    async def drain(self) -> None:
        for caller, ledger in zip(self.callers, self.ledgers, strict=True):
            await caller.drain()
            await ledger.drain()

    @property
    def runs(self) -> int:
        return len(self.service.log.runs)


UNAVAILABLE = (_Code.PLATFORM_UNAVAILABLE, _Verdict.NOT_RUN)
UNKNOWN = (_Code.OUTCOME_UNKNOWN, _Verdict.MAY_HAVE_RUN)
CONFLICT = (_Code.KEY_CONFLICT, _Verdict.NOT_RUN)
CUT = (_Code.ENDPOINT_FAILED, _Verdict.MAY_HAVE_RUN)


def test_concurrent_calls_with_a_key_at_two_instances_run_once() -> None:
    async def main() -> None:
        cluster = Cluster()
        seen = await asyncio.gather(cluster.call(0), cluster.call(1))
        assert sorted(seen) == ["ran", "replayed"]
        assert cluster.runs == 1

    virtualloop.run(main())


def test_concurrent_calls_with_a_key_at_one_instance_run_once() -> None:
    async def main() -> None:
        cluster = Cluster(instances=1)
        seen = await asyncio.gather(*[cluster.call(0) for _ in range(5)])
        assert sorted(seen) == ["ran"] + ["replayed"] * 4
        assert cluster.runs == 1

    virtualloop.run(main())


def test_key_sent_again_after_an_hour_gets_the_stored_answer() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0) == "ran"
        await asyncio.sleep(3600)
        assert await cluster.call(1) == "replayed"
        assert cluster.runs == 1

    virtualloop.run(main())


def test_key_with_another_body_is_a_conflict() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0) == "ran"
        assert await cluster.call(1, digest="d2") == CONFLICT
        assert cluster.runs == 1

    virtualloop.run(main())


def test_institutions_have_separate_keys() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0) == "ran"
        assert await cluster.call(1, institution="hofbauer") == "ran"

    virtualloop.run(main())


def test_digest_separates_institution_and_key() -> None:
    first = claimrow.digest_key("ab", "c")
    assert first != claimrow.digest_key("a", "bc")


def test_claims_are_refused_in_an_outage_and_granted_after_it() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0, key="k0") == "ran"
        await cluster.drain()
        cluster.store.faults.start_outage()
        assert await cluster.call(0) == UNAVAILABLE
        assert await cluster.call(1) == UNAVAILABLE
        await asyncio.sleep(3600)
        assert await cluster.call(0) == UNAVAILABLE
        cluster.store.faults.end_outage()
        assert await cluster.call(0) == "ran"
        assert await cluster.call(1) == "replayed"
        assert cluster.runs == 2

    virtualloop.run(main())


def test_outage_and_recovery_cause_few_platform_calls() -> None:
    async def main() -> None:
        cluster = Cluster(instances=1)
        assert await cluster.call(0, key="k0") == "ran"
        await cluster.drain()
        cluster.store.faults.start_outage()
        cluster.store.counters.clear()
        calls = [
            asyncio.ensure_future(cluster.call(0, key=f"k{n}", deadline_s=1e9))
            for n in range(1, 401)
        ]
        outcomes = await asyncio.gather(*calls)
        assert set(outcomes) == {UNAVAILABLE}
        # A shard retries about once a second for five seconds. The bound leaves
        # room for 16 shards with 20 reads each.
        assert cluster.store.counters["read"] < 16 * 20
        # Only a sole writer writes a shard without reading it first.
        assert cluster.store.counters["write"] <= 16
        cluster.store.faults.end_outage()
        cluster.store.counters.clear()
        outcomes = await asyncio.gather(
            *[cluster.call(0, key=f"k{n}") for n in range(1, 401)]
        )
        assert set(outcomes) == {"ran"}
        assert cluster.store.counters["write"] < 150

    virtualloop.run(main())


def test_slow_platform_still_confirms_claims() -> None:
    async def main() -> None:
        cluster = Cluster()
        cluster.store.faults.slow_s = 0.8
        seen = await asyncio.gather(cluster.call(0), cluster.call(1))
        assert sorted(seen) == ["ran", "replayed"]
        cluster.store.faults.slow_s = 60.0
        assert await cluster.call(0, key="k2") == UNAVAILABLE
        assert cluster.runs == 1

    virtualloop.run(main())


@pytest.mark.parametrize("fault", ["lose_answers_next", "lose_before_next"])
def test_claim_with_a_lost_reply_runs_the_call_once(fault) -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0, key="k0") == "ran"
        await cluster.drain()
        setattr(cluster.store.faults, fault, 1)
        seen = await asyncio.gather(cluster.call(0), cluster.call(1))
        assert sorted(seen) == ["ran", "replayed"]
        assert cluster.runs == 2

    virtualloop.run(main())


def test_claim_of_a_refused_caller_is_released() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0, key="k0") == "ran"
        await cluster.drain()
        cluster.store.faults.lose_answers_next = 1
        cluster.store.faults.unsure_after_s = 20.0
        assert await cluster.call(0) == UNAVAILABLE
        assert cluster.runs == 1
        # The claim was written, so the other caller waits until the first
        # instance, which never used it, has released it.
        assert await cluster.call(1) == "ran"
        assert cluster.runs == 2

    virtualloop.run(main())


def test_outcome_is_recorded_after_lost_writes() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0) == "ran"
        cluster.store.faults.lose_before_next = 2
        assert await cluster.call(1) == "replayed"

    virtualloop.run(main())


def test_outcome_of_a_call_that_may_have_run_stays_unknown() -> None:
    async def main() -> None:
        cluster = Cluster()
        cluster.service.faults.cut_after_run_next = 1
        assert await cluster.call(0) == CUT
        await cluster.drain()
        assert await cluster.call(1) == UNKNOWN
        await asyncio.sleep(3600)
        assert await cluster.call(0) == UNKNOWN
        assert cluster.runs == 1

    virtualloop.run(main())


def test_outcome_is_unknown_if_the_claiming_instance_dies() -> None:
    async def main() -> None:
        cluster = Cluster()
        cluster.service.pause()
        first = asyncio.ensure_future(cluster.call(0))
        await asyncio.sleep(1)
        cluster.callers[0].close()
        cluster.ledgers[0].close()
        assert await cluster.call(1) == UNKNOWN
        # After the deadline of the call, no caller waits for its outcome.
        await asyncio.sleep(3600)
        before_s = cluster.timers.read_monotonic()
        assert await cluster.call(1) == UNKNOWN
        assert cluster.timers.read_monotonic() - before_s < 1.0
        cluster.service.resume()
        await asyncio.sleep(1)
        assert cluster.runs == 1
        await asyncio.gather(first, return_exceptions=True)

    virtualloop.run(main())


def test_second_caller_waits_for_the_answer_of_the_first() -> None:
    async def main() -> None:
        cluster = Cluster()
        cluster.service.faults.slow_s = 20.0
        first = asyncio.ensure_future(cluster.call(0))
        await asyncio.sleep(1)
        assert await cluster.call(1, deadline_s=5.0) == UNKNOWN
        assert await cluster.call(1) == "replayed"
        assert await first == "ran"
        assert cluster.runs == 1

    virtualloop.run(main())


def test_call_refused_by_the_service_releases_its_key() -> None:
    async def main() -> None:
        cluster = Cluster()
        cluster.service.faults.draining = True
        refused = (_Code.NO_ENDPOINT, _Verdict.NOT_RUN)
        assert await cluster.call(0) == refused
        cluster.service.faults.draining = False
        assert await cluster.call(1) == "ran"
        assert cluster.runs == 1

    virtualloop.run(main())


def test_answer_is_stored_if_the_caller_disconnects() -> None:
    async def main() -> None:
        cluster = Cluster()
        first = asyncio.ensure_future(cluster.call(0))
        await asyncio.sleep(0.001)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert await cluster.call(1) == "replayed"
        assert cluster.runs == 1

    virtualloop.run(main())


def test_instance_paused_after_the_claim_does_not_send_late() -> None:
    async def main() -> None:
        cluster = Cluster()
        granted = cluster.ledgers[0].claim

        async def claim_and_pause(*args):
            outcome = await granted(*args)
            await asyncio.sleep(3600)
            return outcome

        class PausingLedger:
            claim = staticmethod(claim_and_pause)
            release = cluster.ledgers[0].release

        cluster.callers[0]._claims = PausingLedger()
        paused = asyncio.ensure_future(cluster.call(0))
        await asyncio.sleep(1)
        assert await cluster.call(1) == UNKNOWN
        late = (_Code.DEADLINE_EXCEEDED, _Verdict.NOT_RUN)
        assert await paused == late
        assert cluster.runs == 0
        assert await cluster.call(1) == "ran"

    virtualloop.run(main())


def test_instance_without_a_platform_connection_refuses_claims() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0, key="k0") == "ran"
        assert await cluster.call(1, key="k00") == "ran"
        await cluster.drain()
        cluster.connections[0].cut_off()
        seen = await asyncio.gather(cluster.call(0), cluster.call(1))
        assert seen == [UNAVAILABLE, "ran"]
        cluster.connections[0].join()
        assert await cluster.call(0) == "replayed"

    virtualloop.run(main())


def test_stale_reads_grant_no_second_claim() -> None:
    async def main() -> None:
        cluster = Cluster()
        assert await cluster.call(0) == "ran"
        await cluster.drain()
        cluster.store.faults.stale_s = 60.0
        assert await cluster.call(1) == UNAVAILABLE
        cluster.store.faults.stale_s = 0.0
        assert await cluster.call(1) == "replayed"
        assert cluster.runs == 1

    virtualloop.run(main())


def test_answer_too_large_to_store_is_not_replayed() -> None:
    async def main() -> None:
        cluster = Cluster(answer_limit=10)
        assert await cluster.call(0) == "ran"
        assert await cluster.call(1) == (_Code.OUTCOME_UNKNOWN, _Verdict.RAN)
        assert cluster.runs == 1

    virtualloop.run(main())


def count_objects(cluster: Cluster) -> dict[str, int]:
    kinds = (
        claimtable.HEAD_PREFIX,
        claimtable.KEYS_PREFIX,
        claimtable.ROWS_PREFIX,
    )
    return {kind: len(cluster.store.state.find_all(kind)) for kind in kinds}


def test_sealed_claims_are_still_found() -> None:
    async def main() -> None:
        cluster = Cluster(shards=1, seal_bytes=4000)
        for number in range(40):
            assert await cluster.call(number % 2, key=f"k{number}") == "ran"
            await cluster.drain()
        counts = count_objects(cluster)
        assert counts["claimkeys/"] == counts["claimrows/"] > 0
        head = cluster.store.state.find("claims/0000")
        assert head is not None and len(head.value) < 5000
        # A new instance must read the segments.
        cluster._add("i2", 0.0, {"shards": 1})
        for number in range(40):
            assert await cluster.call(2, key=f"k{number}") == "replayed"
        assert cluster.runs == 40

    virtualloop.run(main())


def test_small_segments_are_merged() -> None:
    async def main() -> None:
        cluster = Cluster(shards=1, seal_bytes=1000)
        for number in range(60):
            assert await cluster.call(number % 2, key=f"k{number}") == "ran"
            await cluster.drain()
        await asyncio.sleep(700)
        for number in range(60, 64):
            assert await cluster.call(0, key=f"k{number}") == "ran"
            await cluster.drain()
        counts = count_objects(cluster)
        assert counts["claimkeys/"] == counts["claimrows/"] < 20
        cluster._add("i2", 0.0, {"shards": 1})
        for number in range(64):
            assert await cluster.call(2, key=f"k{number}") == "replayed"

    virtualloop.run(main())


def test_claims_are_deleted_only_after_the_retention() -> None:
    async def main() -> None:
        # One clock is five minutes fast and the other five minutes slow.
        cluster = Cluster(
            wall_offsets=(300.0, -300.0),
            shards=1,
            seal_bytes=2000,
            clock_error_s=300.0,
        )
        for number in range(20):
            assert await cluster.call(1, key=f"k{number}") == "ran"
            await cluster.drain()
        segments = count_objects(cluster)["claimkeys/"]
        assert segments > 0
        await asyncio.sleep(DAY_S - 60.0)
        assert await cluster.call(0, key="new1") == "ran"
        await cluster.drain()
        for number in range(20):
            assert await cluster.call(0, key=f"k{number}") == "replayed"
        assert count_objects(cluster)["claimkeys/"] >= segments
        await asyncio.sleep(3600)
        for number in range(3):
            assert await cluster.call(0, key=f"new2-{number}") == "ran"
            await cluster.drain()
            await asyncio.sleep(700)
        counts = count_objects(cluster)
        assert counts["claimkeys/"] == counts["claimrows/"] <= 1
        assert cluster.runs == 24

    virtualloop.run(main())


def test_abandoned_segments_are_deleted() -> None:
    async def main() -> None:
        cluster = Cluster(shards=1, seal_bytes=2000)
        number = 0
        while not cluster.store.state.find_all("claimrows/"):
            number += 1
            cluster.store.faults.lose_answers_share = 0.3
            assert await cluster.call(0, key=f"k{number}") == "ran"
            await cluster.drain()
        cluster.store.faults.lose_answers_share = 0.0
        for extra in range(10):
            await asyncio.sleep(70)
            assert await cluster.call(1, key=f"x{extra}") == "ran"
            await cluster.drain()
        value = cluster.store.state.find("claims/0000").value
        table = claimtable.decode_table(value, positions.Position(0, 1))
        listed = {s.segment_id for s in table.segments}
        stored = cluster.store.state.find_all("claimrows/")
        names = {o.name.removeprefix("claimrows/") for o in stored}
        assert names == listed
        for past in range(1, number + 1):
            assert await cluster.call(1, key=f"k{past}") == "replayed"

    virtualloop.run(main())


def test_full_shard_refuses_claims_and_keeps_its_rows() -> None:
    async def main() -> None:
        cluster = Cluster(shards=1, seal_bytes=10**9, head_limit=2000)
        seen = [await cluster.call(0, key=f"k{n}") for n in range(12)]
        assert "ran" in seen and UNAVAILABLE in seen
        await cluster.drain()
        assert await cluster.call(1, key="k0") == "replayed"
        assert cluster.runs == seen.count("ran")

    virtualloop.run(main())


def test_many_claims_share_writes_within_the_write_rate() -> None:
    async def main() -> float:
        cluster = Cluster(instances=1, shards=4, writes_per_s=10.0)
        before_s = cluster.timers.read_monotonic()
        seen = await asyncio.gather(
            *[cluster.call(0, key=f"k{n}") for n in range(200)]
        )
        await cluster.drain()
        assert set(seen) == {"ran"}
        writes = cluster.store.counters["write"]
        seconds = cluster.timers.read_monotonic() - before_s
        # The rate allows a burst of half a second; the layout takes one write
        # more.
        assert writes <= 10.0 * (seconds + 0.5) + 2
        return writes

    assert virtualloop.run(main()) < 30


def test_closing_ledger_records_queued_outcomes() -> None:
    async def main() -> None:
        cluster = Cluster()
        async with claims.open_ledger(
            cluster.store.connect("i9"), cluster.timers, "i9", random.Random(9)
        ) as ledger:
            caller = servicecalls.ServiceCaller(
                ledger,
                cluster.client,
                lambda call, failed: "desk:1",
                cluster.timers,
                random.Random(3),
            )
            async with servicecalls.open_caller(caller):
                await caller.call(service_test.make_call())
        assert await cluster.call(0) == "replayed"

    virtualloop.run(main())


def test_head_survives_encoding() -> None:
    answer = claimrow.RowAnswer(200, "text/plain", b"\xff", "a1")
    row = claimrow.ClaimRow(
        "00ff" * 8, "b1", "c1", "r1", claimrow.RowState.DONE, 1.5, 2.5, answer
    )
    version = positions.Position(0, 7)
    table = claimtable.ClaimTable(version=version)
    table.put_row(row)
    table.segments.append(claimtable.Segment("s1", 9.5, 3))
    table.sealing = claimtable.Sealing("s2", 8.5)
    table.dropped.append("s0")
    read = claimtable.decode_table(table.encode(), version)
    table.changed = False
    assert read == table
    assert read.find_row("00ff" * 8) == row
