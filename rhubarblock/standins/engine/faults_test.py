import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.standins.engine import testing
from rhubarblock.standins.engine import tokens as enginetokens

CUT = failures.Failure(
    failures.FailureCode.STREAM_CUT,
    "the engine died",
    verdicts.Verdict.MAY_HAVE_RUN,
)
NO_CONNECTION = failures.Failure(
    failures.FailureCode.ENDPOINT_FAILED,
    "no connection to a:1",
    verdicts.Verdict.NOT_RUN,
)


def list_steps(answer):
    """Returns the times between consecutive chunks."""
    times_s = answer.times_s
    return [
        second - first
        for first, second in zip(times_s, times_s[1:], strict=False)
    ]


def test_a_killed_engine_breaks_its_streams_and_loses_its_memory():
    async def body(bench):
        start_id = bench.engine.start_id
        blocks = testing.make_blocks("b", 1)
        await bench.run("warm/1", 600, prefix_blocks=blocks)
        task = bench.start("r/1", 1000, 100)
        await bench.clock.sleep(0.1)
        bench.engine.die()
        answer = await task
        refused = (await bench.run("s/1", 10)).failure
        held = bench.engine.kv_held()
        bench.engine.restart()
        again = await bench.run("warm/2", 600, prefix_blocks=blocks)
        return answer, refused, held, again, start_id, bench.engine.start_id

    answer, refused, held, again, old_id, new_id = testing.run_bench(body)
    assert answer.chunks
    assert not answer.whole
    assert (answer.failure, refused) == (CUT, NO_CONNECTION)
    assert held == {}
    assert again.chunks[-1].cached_tokens == 0
    assert old_id != new_id


def test_a_restart_resets_cache_events_and_load_reports():
    async def body(bench):
        blocks = testing.make_blocks("b", 1)
        await bench.run("r/1", 600, prefix_blocks=blocks)
        await bench.clock.sleep(2.0)
        bench.engine.restart()
        report = await bench.client.fetch_load("a:1")
        return await bench.client.fetch_cache_events("a:1", 0), report.sequence

    assert testing.run_bench(body) == ([], 1)


def test_a_paused_engine_makes_no_progress_and_answers_afterwards():
    async def body(bench):
        task = bench.start("r/1", 1000, 50)
        await bench.clock.sleep(0.1)
        bench.engine.pause(2.0)
        await bench.clock.sleep(0.5)
        second = bench.start("s/1", 1000)
        report = await bench.client.fetch_load("a:1")
        answered_s = bench.clock.read_monotonic()
        return await task, await second, report, answered_s

    answer, second, report, answered_s = testing.run_bench(body)
    assert max(list_steps(answer)) == pytest.approx(2.0081)
    assert answer.whole
    assert answered_s == pytest.approx(2.1)
    assert report.measured_s == pytest.approx(1.6)
    assert second.times_s[0] > 2.1


def test_a_stream_closed_during_a_pause_is_cancelled_after_it():
    async def body(bench):
        task = bench.start("r/1", 1000, 500)
        await bench.clock.sleep(0.1)
        bench.engine.pause(2.0)
        task.cancel()
        await bench.clock.sleep(1.0)
        during = bench.engine.kv_held()
        await bench.clock.sleep(1.1)
        return during, bench.engine.kv_held()

    assert testing.run_bench(body) == ({"r/1": 1500}, {})


def test_the_slow_factor_multiplies_iteration_times():
    async def body(bench):
        bench.engine.faults.slow_factor = 10.0
        return (await bench.run("r/1", 1000, 2)).times_s

    assert testing.run_bench(body) == pytest.approx([0.33, 0.411])


def test_crossed_chunks_arrive_on_each_others_stream():
    async def body(bench):
        first = bench.start("a/1", 1000, 10)
        second = bench.start("b/1", 1000, 10)
        await bench.clock.sleep(0.08)
        bench.engine.faults.cross_next = 1
        return await first, await second

    first, second = testing.run_bench(body)
    crossed = [
        [chunk for chunk in answer.chunks if chunk.attempt_id != own]
        for answer, own in ((first, "a/1"), (second, "b/1"))
    ]
    assert [chunk.attempt_id for chunk in crossed[0]] == ["b/1"]
    assert [chunk.attempt_id for chunk in crossed[1]] == ["a/1"]
    index = crossed[0][0].index
    assert crossed[0][0].text == enginetokens.make_token("b", index)
    assert (len(first.chunks), len(second.chunks)) == (10, 10)


def test_crossed_ends_still_end_both_streams():
    async def body(bench):
        bench.engine.faults.cross_next = 1
        first = bench.start("a/1", 1000)
        second = bench.start("b/1", 1000)
        return await first, await second

    first, second = testing.run_bench(body)
    assert [chunk.attempt_id for chunk in first.chunks] == ["b/1"]
    assert [chunk.attempt_id for chunk in second.chunks] == ["a/1"]
    assert (first.failure, second.failure) == (None, None)


def test_delayed_chunks_keep_their_order_when_the_fault_ends():
    async def body(bench):
        bench.engine.faults.late_s = 1.0
        task = bench.start("r/1", 1000, 200)
        await bench.clock.sleep(0.5)
        bench.engine.faults.late_s = 0.0
        return await task

    answer = testing.run_bench(body)
    assert answer.times_s[0] == pytest.approx(1.033)
    assert [chunk.index for chunk in answer.chunks] == list(range(200))
    assert answer.text == enginetokens.expected_text("r", 0, 200)
    assert answer.whole


def test_a_cut_stream_has_no_end_chunk_and_frees_its_memory():
    async def body(bench):
        task = bench.start("r/1", 1000, 100)
        await bench.clock.sleep(0.1)
        bench.engine.faults.cut_next = 1
        return await task, bench.engine.kv_held()

    answer, held = testing.run_bench(body)
    assert answer.chunks
    assert (answer.whole, answer.failure) == (False, None)
    assert held == {}


def test_a_duplicated_chunk_arrives_twice():
    async def body(bench):
        task = bench.start("r/1", 1000, 10)
        await bench.clock.sleep(0.04)
        bench.engine.faults.duplicate_next = 1
        return await task

    answer = testing.run_bench(body)
    assert [chunk.index for chunk in answer.chunks] == [
        0,
        1,
        1,
        *range(2, 10),
    ]


def test_a_body_with_a_crash_digest_kills_the_engine_at_its_prefill():
    async def body(bench):
        bench.engine.faults.crash_digests.add("bad")
        good = bench.start("good/1", 4096, 100)
        bad = bench.start("bad/1", 4096, 100)
        await bench.clock.sleep(0.1)
        alive = bench.engine.alive
        await bench.clock.sleep(0.1)
        counts = [bench.engine.count_runs(name) for name in ("good", "bad")]
        return alive, bench.engine.alive, await good, await bad, counts

    before, after, good, bad, counts = testing.run_bench(body)
    # The first iteration only computes the good attempt.
    assert (before, after) == (True, False)
    assert (good.failure, bad.failure) == (CUT, CUT)
    assert counts == [1, 1]


def test_a_bad_version_loads_but_fails_every_attempt():
    async def body(bench):
        bench.engine.faults.bad_versions.add("default@1")
        answer = await bench.run("r/1", 1000)
        return answer.failure, bench.engine.kv_held()

    assert testing.run_bench(body) == (
        failures.Failure(
            failures.FailureCode.ENDPOINT_FAILED,
            "model default@1 fails",
            verdicts.Verdict.MAY_HAVE_RUN,
        ),
        {},
    )


def test_refusing_connections_does_not_affect_open_streams():
    async def body(bench):
        task = bench.start("r/1", 1000, 100)
        await bench.clock.sleep(0.1)
        bench.engine.refuse_connections(5.0)
        refused = (await bench.run("s/1", 10)).failure
        whole = (await task).whole
        await bench.clock.sleep(5.0)
        return refused, whole, (await bench.run("s/2", 10)).whole

    assert testing.run_bench(body) == (NO_CONNECTION, True, True)


def test_clearing_the_faults_restores_normal_operation():
    async def body(bench):
        bench.engine.faults.slow_factor = 10.0
        bench.engine.faults.crash_digests.add("r")
        bench.engine.refuse_connections()
        bench.engine.clear_faults()
        return (await bench.run("r/1", 1000)).times_s

    assert testing.run_bench(body) == pytest.approx([0.033])
