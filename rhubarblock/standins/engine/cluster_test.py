import asyncio

import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import testing

ORDER = attempts.Order(1, 1, "both", ("default@1",))


def make_far_client(bench):
    return enginecluster.MemoryEngineClient(
        bench.cluster, bench.clock, 0.5, {"b:1": 0.25}
    )


def test_latency_comes_before_the_first_chunk_and_around_each_call():
    async def body(bench):
        client = make_far_client(bench)
        attempt = testing.make_attempt("r/1", 1000, 2)
        answer = await testing.collect(client, bench.clock, "a:1", attempt)
        start_s = bench.clock.read_monotonic()
        await client.cancel("a:1", "r/1")
        cancelled_s = bench.clock.read_monotonic()
        await client.fetch_load("b:1")
        loaded_s = bench.clock.read_monotonic()
        return answer.times_s, cancelled_s - start_s, loaded_s - cancelled_s

    times_s, cancel_s, load_s = testing.run_bench(body, "a:1 b:1")
    assert times_s == pytest.approx([1.033, 1.0411])
    assert (cancel_s, load_s) == pytest.approx((1.0, 0.5))


def test_a_call_to_a_blocked_or_unknown_address_is_not_run():
    async def body(bench):
        bench.client.block("a:1")
        found = []
        for address in ("a:1", "z:1"):
            answer = await bench.start("r/1", 10, address=address)
            found.append((answer.failure.code, answer.failure.verdict))
        return found, bench.engine.counters.accepted

    expected = (
        failures.FailureCode.ENDPOINT_FAILED,
        verdicts.Verdict.NOT_RUN,
    )
    assert testing.run_bench(body) == ([expected, expected], 0)


def test_a_blocked_stream_stalls_and_continues_when_unblocked():
    async def body(bench):
        task = bench.start("r/1", 1000, 50)
        await bench.clock.sleep(0.1)
        bench.client.block("a:1")
        await bench.clock.sleep(3.0)
        bench.client.unblock("a:1")
        return await task

    answer = testing.run_bench(body)
    assert answer.whole
    early = [time_s for time_s in answer.times_s if time_s < 0.1]
    assert answer.times_s[len(early) :] == pytest.approx(
        [3.1] * (50 - len(early))
    )


def test_closing_a_blocked_stream_does_not_cancel_its_attempt():
    async def body(bench):
        task = bench.start("r/1", 1000, 500)
        await bench.clock.sleep(0.1)
        bench.client.block("a:1")
        task.cancel()
        await bench.clock.sleep(0.1)
        during = bench.engine.kv_held()
        await bench.clock.sleep(5.0)
        return during, bench.engine.kv_held()

    assert testing.run_bench(body) == ({"r/1": 1500}, {})


def test_a_call_whose_answer_is_lost_may_have_run():
    async def body(bench):
        client = make_far_client(bench)
        task = asyncio.ensure_future(client.give_order("a:1", ORDER))
        await bench.clock.sleep(0.7)
        client.block("a:1")
        with pytest.raises(failures.FailureError) as caught:
            await task
        return caught.value.failure.verdict, bench.engine.fence

    assert testing.run_bench(body) == (verdicts.Verdict.MAY_HAVE_RUN, 1)


def test_two_runs_with_the_same_seeds_are_the_same():
    async def body(bench):
        tasks = [
            bench.start(
                f"r{number}/1", 997 * number + 1, 20, priority=number % 3
            )
            for number in range(30)
        ]
        return [answer.times_s for answer in await asyncio.gather(*tasks)]

    first = testing.run_bench(body, kv_tokens=60_000)
    assert first == testing.run_bench(body, kv_tokens=60_000)
