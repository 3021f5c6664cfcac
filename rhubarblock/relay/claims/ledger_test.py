"""Tests of at-most-once calls under the faults of the platform.

Two or three instances share a stand-in platform and a stand-in service that
counts the runs of each key.
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

# Wall time of the clock's zero; any day will do.
WALL_S = 1_000_000.0
DAY_S = 86_400.0


class Desk:
    """Instances of the system before one service."""

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
        """Calls through one instance and says what the caller sees."""
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

    async def settle(self) -> None:
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


def test_same_key_at_two_instances_at_once_runs_once() -> None:
    async def main() -> None:
        desk = Desk()
        seen = await asyncio.gather(desk.call(0), desk.call(1))
        assert sorted(seen) == ["ran", "replayed"]
        assert desk.runs == 1

    virtualloop.run(main())


def test_same_key_many_times_at_one_instance_runs_once() -> None:
    async def main() -> None:
        desk = Desk(instances=1)
        seen = await asyncio.gather(*[desk.call(0) for _ in range(5)])
        assert sorted(seen) == ["ran"] + ["replayed"] * 4
        assert desk.runs == 1

    virtualloop.run(main())


def test_same_key_after_an_hour_has_the_first_answer() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0) == "ran"
        await asyncio.sleep(3600)
        assert await desk.call(1) == "replayed"
        assert desk.runs == 1

    virtualloop.run(main())


def test_same_key_with_another_body_is_a_conflict() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0) == "ran"
        assert await desk.call(1, digest="d2") == CONFLICT
        assert desk.runs == 1

    virtualloop.run(main())


def test_keys_of_two_institutions_are_apart() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0) == "ran"
        assert await desk.call(1, institution="hofbauer") == "ran"

    virtualloop.run(main())


def test_keys_cannot_run_into_the_institution() -> None:
    first = claimrow.digest_key("ab", "c")
    assert first != claimrow.digest_key("a", "bc")


def test_platform_down_is_refused_and_back_soon_after() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0, key="k0") == "ran"
        await desk.settle()
        desk.store.faults.start_outage()
        assert await desk.call(0) == UNAVAILABLE
        assert await desk.call(1) == UNAVAILABLE
        await asyncio.sleep(3600)
        assert await desk.call(0) == UNAVAILABLE
        desk.store.faults.end_outage()
        assert await desk.call(0) == "ran"
        assert await desk.call(1) == "replayed"
        assert desk.runs == 2

    virtualloop.run(main())


def test_outage_is_not_hammered_and_return_makes_no_herd() -> None:
    async def main() -> None:
        desk = Desk(instances=1)
        assert await desk.call(0, key="k0") == "ran"
        await desk.settle()
        desk.store.faults.start_outage()
        desk.store.counters.clear()
        calls = [
            asyncio.ensure_future(desk.call(0, key=f"k{n}", deadline_s=1e9))
            for n in range(1, 401)
        ]
        outcomes = await asyncio.gather(*calls)
        assert set(outcomes) == {UNAVAILABLE}
        # 16 shards that try about once a second for five seconds.
        assert desk.store.counters["read"] < 16 * 20
        # Only a shard that this instance writes alone is not read first.
        assert desk.store.counters["write"] <= 16
        desk.store.faults.end_outage()
        desk.store.counters.clear()
        outcomes = await asyncio.gather(
            *[desk.call(0, key=f"k{n}") for n in range(1, 401)]
        )
        assert set(outcomes) == {"ran"}
        assert desk.store.counters["write"] < 150

    virtualloop.run(main())


def test_slow_platform_still_grants() -> None:
    async def main() -> None:
        desk = Desk()
        desk.store.faults.slow_s = 0.8
        seen = await asyncio.gather(desk.call(0), desk.call(1))
        assert sorted(seen) == ["ran", "replayed"]
        desk.store.faults.slow_s = 60.0
        assert await desk.call(0, key="k2") == UNAVAILABLE
        assert desk.runs == 1

    virtualloop.run(main())


@pytest.mark.parametrize("fault", ["lose_answers_next", "lose_before_next"])
def test_lost_answer_of_a_claim(fault) -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0, key="k0") == "ran"
        await desk.settle()
        setattr(desk.store.faults, fault, 1)
        seen = await asyncio.gather(desk.call(0), desk.call(1))
        assert sorted(seen) == ["ran", "replayed"]
        assert desk.runs == 2

    virtualloop.run(main())


def test_claim_whose_caller_was_refused_is_freed() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0, key="k0") == "ran"
        await desk.settle()
        desk.store.faults.lose_answers_next = 1
        desk.store.faults.unsure_after_s = 20.0
        assert await desk.call(0) == UNAVAILABLE
        assert desk.runs == 1
        # The claim is there, and so the other caller waits until the first
        # instance, which never used it, has taken it back.
        assert await desk.call(1) == "ran"
        assert desk.runs == 2

    virtualloop.run(main())


def test_lost_answer_of_a_finish_is_recorded_later() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0) == "ran"
        desk.store.faults.lose_before_next = 2
        assert await desk.call(1) == "replayed"

    virtualloop.run(main())


def test_call_that_may_have_run_stays_unknown() -> None:
    async def main() -> None:
        desk = Desk()
        desk.service.faults.cut_after_run_next = 1
        assert await desk.call(0) == CUT
        await desk.settle()
        assert await desk.call(1) == UNKNOWN
        await asyncio.sleep(3600)
        assert await desk.call(0) == UNKNOWN
        assert desk.runs == 1

    virtualloop.run(main())


def test_holder_that_dies_leaves_the_outcome_unknown() -> None:
    async def main() -> None:
        desk = Desk()
        desk.service.pause()
        first = asyncio.ensure_future(desk.call(0))
        await asyncio.sleep(1)
        desk.callers[0].close()
        desk.ledgers[0].close()
        assert await desk.call(1) == UNKNOWN
        # Nobody waits for an answer that can no longer come.
        await asyncio.sleep(3600)
        before_s = desk.timers.read_monotonic()
        assert await desk.call(1) == UNKNOWN
        assert desk.timers.read_monotonic() - before_s < 1.0
        desk.service.resume()
        await asyncio.sleep(1)
        assert desk.runs == 1
        await asyncio.gather(first, return_exceptions=True)

    virtualloop.run(main())


def test_second_caller_waits_for_the_first_answer() -> None:
    async def main() -> None:
        desk = Desk()
        desk.service.faults.slow_s = 20.0
        first = asyncio.ensure_future(desk.call(0))
        await asyncio.sleep(1)
        assert await desk.call(1, deadline_s=5.0) == UNKNOWN
        assert await desk.call(1) == "replayed"
        assert await first == "ran"
        assert desk.runs == 1

    virtualloop.run(main())


def test_refused_call_frees_its_key() -> None:
    async def main() -> None:
        desk = Desk()
        desk.service.faults.draining = True
        refused = (_Code.NO_ENDPOINT, _Verdict.NOT_RUN)
        assert await desk.call(0) == refused
        desk.service.faults.draining = False
        assert await desk.call(1) == "ran"
        assert desk.runs == 1

    virtualloop.run(main())


def test_caller_that_goes_away_finds_the_answer_later() -> None:
    async def main() -> None:
        desk = Desk()
        first = asyncio.ensure_future(desk.call(0))
        await asyncio.sleep(0.001)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert await desk.call(1) == "replayed"
        assert desk.runs == 1

    virtualloop.run(main())


def test_holder_paused_between_claim_and_send_does_not_send() -> None:
    async def main() -> None:
        desk = Desk()
        granted = desk.ledgers[0].claim

        async def claim_and_pause(*args):
            outcome = await granted(*args)
            await asyncio.sleep(3600)
            return outcome

        class PausingLedger:
            claim = staticmethod(claim_and_pause)
            release = desk.ledgers[0].release

        desk.callers[0]._claims = PausingLedger()
        paused = asyncio.ensure_future(desk.call(0))
        await asyncio.sleep(1)
        assert await desk.call(1) == UNKNOWN
        late = (_Code.DEADLINE_EXCEEDED, _Verdict.NOT_RUN)
        assert await paused == late
        assert desk.runs == 0
        assert await desk.call(1) == "ran"

    virtualloop.run(main())


def test_instance_cut_off_from_the_platform_refuses() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0, key="k0") == "ran"
        assert await desk.call(1, key="k00") == "ran"
        await desk.settle()
        desk.connections[0].cut_off()
        seen = await asyncio.gather(desk.call(0), desk.call(1))
        assert seen == [UNAVAILABLE, "ran"]
        desk.connections[0].join()
        assert await desk.call(0) == "replayed"

    virtualloop.run(main())


def test_older_state_of_the_platform_grants_nothing_twice() -> None:
    async def main() -> None:
        desk = Desk()
        assert await desk.call(0) == "ran"
        await desk.settle()
        desk.store.faults.stale_s = 60.0
        assert await desk.call(1) == UNAVAILABLE
        desk.store.faults.stale_s = 0.0
        assert await desk.call(1) == "replayed"
        assert desk.runs == 1

    virtualloop.run(main())


def test_answer_too_large_to_keep() -> None:
    async def main() -> None:
        desk = Desk(answer_limit=10)
        assert await desk.call(0) == "ran"
        assert await desk.call(1) == (_Code.OUTCOME_UNKNOWN, _Verdict.RAN)
        assert desk.runs == 1

    virtualloop.run(main())


def count_heads(desk: Desk) -> dict[str, int]:
    kinds = (
        claimtable.HEAD_PREFIX,
        claimtable.KEYS_PREFIX,
        claimtable.ROWS_PREFIX,
    )
    return {kind: len(desk.store.state.find_all(kind)) for kind in kinds}


def test_old_claims_are_sealed_and_still_found() -> None:
    async def main() -> None:
        desk = Desk(shards=1, seal_bytes=4000)
        for number in range(40):
            assert await desk.call(number % 2, key=f"k{number}") == "ran"
            await desk.settle()
        counts = count_heads(desk)
        assert counts["claimkeys/"] == counts["claimrows/"] > 0
        head = desk.store.state.find("claims/0000")
        assert head is not None and len(head.value) < 5000
        # An instance that starts now has to read the segments.
        desk._add("i2", 0.0, {"shards": 1})
        for number in range(40):
            assert await desk.call(2, key=f"k{number}") == "replayed"
        assert desk.runs == 40

    virtualloop.run(main())


def test_small_segments_become_one() -> None:
    async def main() -> None:
        desk = Desk(shards=1, seal_bytes=1000)
        for number in range(60):
            assert await desk.call(number % 2, key=f"k{number}") == "ran"
            await desk.settle()
        await asyncio.sleep(700)
        for number in range(60, 64):
            assert await desk.call(0, key=f"k{number}") == "ran"
            await desk.settle()
        counts = count_heads(desk)
        assert counts["claimkeys/"] == counts["claimrows/"] < 20
        desk._add("i2", 0.0, {"shards": 1})
        for number in range(64):
            assert await desk.call(2, key=f"k{number}") == "replayed"

    virtualloop.run(main())


def test_claims_are_collected_after_the_retention_only() -> None:
    async def main() -> None:
        # The first instance's clock is five minutes ahead, the other behind.
        desk = Desk(
            wall_offsets=(300.0, -300.0),
            shards=1,
            seal_bytes=2000,
            clock_error_s=300.0,
        )
        for number in range(20):
            assert await desk.call(1, key=f"k{number}") == "ran"
            await desk.settle()
        segments = count_heads(desk)["claimkeys/"]
        assert segments > 0
        await asyncio.sleep(DAY_S - 60.0)
        assert await desk.call(0, key="new1") == "ran"
        await desk.settle()
        for number in range(20):
            assert await desk.call(0, key=f"k{number}") == "replayed"
        assert count_heads(desk)["claimkeys/"] >= segments
        await asyncio.sleep(3600)
        for number in range(3):
            assert await desk.call(0, key=f"new2-{number}") == "ran"
            await desk.settle()
            await asyncio.sleep(700)
        counts = count_heads(desk)
        assert counts["claimkeys/"] == counts["claimrows/"] <= 1
        assert desk.runs == 24

    virtualloop.run(main())


def test_sealing_that_was_given_up_is_cleared_away() -> None:
    async def main() -> None:
        desk = Desk(shards=1, seal_bytes=2000)
        number = 0
        while not desk.store.state.find_all("claimrows/"):
            number += 1
            desk.store.faults.lose_answers_share = 0.3
            assert await desk.call(0, key=f"k{number}") == "ran"
            await desk.settle()
        desk.store.faults.lose_answers_share = 0.0
        for extra in range(10):
            await asyncio.sleep(70)
            assert await desk.call(1, key=f"x{extra}") == "ran"
            await desk.settle()
        value = desk.store.state.find("claims/0000").value
        table = claimtable.decode_table(value, positions.Position(0, 1))
        listed = {s.segment_id for s in table.segments}
        stored = desk.store.state.find_all("claimrows/")
        names = {o.name.removeprefix("claimrows/") for o in stored}
        assert names == listed
        for past in range(1, number + 1):
            assert await desk.call(1, key=f"k{past}") == "replayed"

    virtualloop.run(main())


def test_full_shard_refuses_and_keeps_what_it_has() -> None:
    async def main() -> None:
        desk = Desk(shards=1, seal_bytes=10**9, head_limit=2000)
        seen = [await desk.call(0, key=f"k{n}") for n in range(12)]
        assert "ran" in seen and UNAVAILABLE in seen
        await desk.settle()
        assert await desk.call(1, key="k0") == "replayed"
        assert desk.runs == seen.count("ran")

    virtualloop.run(main())


def test_many_claims_share_writes_within_the_budget() -> None:
    async def main() -> float:
        desk = Desk(instances=1, shards=4, writes_per_s=10.0)
        before_s = desk.timers.read_monotonic()
        seen = await asyncio.gather(
            *[desk.call(0, key=f"k{n}") for n in range(200)]
        )
        await desk.settle()
        assert set(seen) == {"ran"}
        writes = desk.store.counters["write"]
        seconds = desk.timers.read_monotonic() - before_s
        # The budget is a rate with a burst of half a second and one write to
        # agree on the shards.
        assert writes <= 10.0 * (seconds + 0.5) + 2
        return writes

    assert virtualloop.run(main()) < 30


def test_ledger_records_what_is_queued_when_it_closes() -> None:
    async def main() -> None:
        desk = Desk()
        async with claims.open_ledger(
            desk.store.connect("i9"), desk.timers, "i9", random.Random(9)
        ) as ledger:
            caller = servicecalls.ServiceCaller(
                ledger,
                desk.client,
                lambda call, failed: "desk:1",
                desk.timers,
                random.Random(3),
            )
            async with servicecalls.open_caller(caller):
                await caller.call(service_test.make_call())
        assert await desk.call(0) == "replayed"

    virtualloop.run(main())


def test_head_is_read_as_it_was_written() -> None:
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
