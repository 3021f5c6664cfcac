import asyncio

import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.standins.engine import testing
from rhubarblock.standins.engine import tokens as enginetokens


def test_an_iteration_costs_its_prefill_and_each_decode():
    async def body(bench):
        answer = await bench.run("r/1", 1000, 3)
        return answer.times_s

    # The first iteration takes 8 ms plus 1,000 tokens at 40,000 per second, the
    # next ones 8 ms plus one decode.
    assert testing.run_bench(body) == pytest.approx([0.033, 0.0411, 0.0492])


def test_a_long_prompt_takes_chunks_of_4096_while_nothing_decodes():
    async def body(bench):
        return (await bench.run("r/1", 10_000)).times_s

    assert testing.run_bench(body) == pytest.approx(
        [3 * 0.008 + 10_000 / 40_000]
    )


async def _prefill_beside_a_decode(bench):
    first = bench.start("d/1", 1000, 500)
    await bench.clock.sleep(0.02)
    second = await bench.run("p/1", 1024)
    first.cancel()
    return second.times_s


def test_a_decode_limits_prefill_to_512_tokens_an_iteration():
    # The second prompt waits for the prefill of the first, then takes two
    # iterations of 8 ms, one decode and 512 tokens each.
    expected = 0.033 + 2 * (0.008 + 0.0001 + 512 / 40_000)

    assert testing.run_bench(_prefill_beside_a_decode) == pytest.approx(
        [expected]
    )


def test_the_prefill_role_keeps_chunks_of_4096():
    expected = 0.033 + 0.008 + 0.0001 + 1024 / 40_000
    times_s = testing.run_bench(
        _prefill_beside_a_decode, role=endpoints.Role.PREFILL
    )

    assert times_s == pytest.approx([expected])


def test_prompts_share_an_iteration():
    async def body(bench):
        tasks = [bench.start(f"{name}/1", 1000) for name in "ab"]
        return [answer.times_s for answer in await asyncio.gather(*tasks)]

    end_s = pytest.approx(0.008 + 2000 / 40_000)
    assert testing.run_bench(body) == [[end_s], [end_s]]


def test_a_short_prompt_of_smaller_priority_number_overtakes_a_long_one():
    async def body(bench):
        long = bench.start("long/1", 100_000, priority=1)
        await bench.clock.sleep(0.05)
        short = await bench.run("short/1", 1000, priority=0)
        return short.times_s, (await long).times_s

    short_s, long_s = testing.run_bench(body)
    # The short prompt shares the second iteration with the long one.
    assert short_s == pytest.approx([2 * (0.008 + 4096 / 40_000)])
    assert long_s == pytest.approx([25 * 0.008 + 101_000 / 40_000])


def test_the_text_depends_on_digest_and_index_alone():
    async def body(bench):
        whole = await bench.run("r/1", 100, 30)
        resumed = await bench.run("r/2", 100, 30, resume_from=12)
        return whole, resumed

    whole, resumed = testing.run_bench(body)
    assert whole.text == enginetokens.expected_text("r", 0, 30)
    assert resumed.text == enginetokens.expected_text("r", 12, 30)
    assert [chunk.index for chunk in resumed.chunks] == list(range(12, 30))
    assert (whole.whole, resumed.whole) == (True, True)
    assert whole.chunks[-1].finish_reason == "length"


def test_a_stream_interval_groups_tokens_into_chunks():
    async def body(bench):
        return await bench.run("r/1", 100, 10)

    answer = testing.run_bench(body, stream_interval=4)
    assert [chunk.count for chunk in answer.chunks] == [1, 4, 4, 1]
    assert answer.text == enginetokens.expected_text("r", 0, 10)


def test_resuming_a_complete_answer_ends_at_once():
    async def body(bench):
        return (await bench.run("r/1", 100, 5, resume_from=5)).chunks

    end = attempts.Chunk("r/1", 5, 0, "", end=True, finish_reason="length")
    assert testing.run_bench(body) == [end]


def test_a_resumed_attempt_recomputes_all_but_the_cached_blocks():
    async def body(bench):
        blocks = testing.make_blocks("b", 2)
        await bench.run("r/1", 1100, 50, prefix_blocks=blocks)
        start_s = bench.clock.read_monotonic()
        answer = await bench.run(
            "r/2", 1100, 50, resume_from=40, prefix_blocks=blocks
        )
        return answer.times_s[0] - start_s, answer.chunks[-1].cached_tokens

    took_s, cached = testing.run_bench(body)
    assert took_s == pytest.approx(0.008 + (1140 - 1024) / 40_000)
    assert cached == 1024


def test_waiting_attempts_get_memory_by_priority_then_arrival():
    async def body(bench):
        ends = []

        async def run_attempt(name, priority):
            await bench.run(f"{name}/1", 900, 100, priority=priority)
            ends.append(name)

        tasks = [asyncio.ensure_future(run_attempt("first", 1))]
        await bench.clock.sleep(0.001)
        for name, priority in (("low", 2), ("mid", 1), ("high", 0)):
            tasks.append(asyncio.ensure_future(run_attempt(name, priority)))
        await bench.clock.sleep(0.001)
        held = bench.engine.kv_held()
        await asyncio.gather(*tasks)
        return held, ends

    held, ends = testing.run_bench(body, kv_tokens=1500)
    assert held == {"first/1": 1000}
    assert ends == ["first", "high", "mid", "low"]


def test_a_prompt_larger_than_the_memory_is_refused():
    async def body(bench):
        return (await bench.run("r/1", 1000, 501)).failure

    failure = testing.run_bench(body, kv_tokens=1500)
    assert failure == failures.Failure(
        failures.FailureCode.PROMPT_TOO_LONG,
        "1501 tokens of KV memory are needed, the engine has 1500",
        verdicts.Verdict.NOT_RUN,
    )


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"prompt_tokens": 0}, "prompt_tokens and max_tokens must be at least"),
        ({"resume_from": -1}, "resume_from must not be negative"),
        ({"segment_end": 11}, "segment_end must lie within the prompt"),
        ({"model": "other"}, "model other is not loaded"),
        ({"attempt_id": ""}, "attempt_id is empty"),
    ],
)
def test_malformed_attempts_are_refused_as_not_run(fields, message):
    async def body(bench):
        values = {"attempt_id": "r/1", "prompt_tokens": 10, **fields}
        return (await bench.run(**values)).failure, bench.engine.counters

    failure, counters = testing.run_bench(body)
    assert message in failure.message
    assert failure.verdict is verdicts.Verdict.NOT_RUN
    assert (counters.refused, counters.accepted) == (1, 0)


def test_a_second_attempt_with_a_running_id_is_refused():
    async def body(bench):
        first = bench.start("r/1", 1000)
        await bench.clock.sleep(0.001)
        second = await bench.run("r/1", 1000)
        return (await first).whole, second.failure.message

    assert testing.run_bench(body) == (True, "attempt r/1 is here already")


def test_cancelling_frees_memory_at_once_and_admits_the_next():
    async def body(bench):
        first = bench.start("first/1", 900, 600)
        second = bench.start("second/1", 900, 100)
        await bench.clock.sleep(1.0)
        known = await bench.client.cancel("a:1", "first/1")
        held = bench.engine.kv_held()
        answer = await first
        again = await bench.client.cancel("a:1", "first/1")
        return known, again, held, answer.failure.code, (await second).whole

    known, again, held, code, second_whole = testing.run_bench(
        body, kv_tokens=1500
    )
    assert (known, again) == (True, False)
    assert held == {}
    assert code is failures.FailureCode.CANCELLED
    assert second_whole


def test_closing_the_stream_cancels_in_every_phase():
    async def body(bench):
        held = []
        for moment_s in (0.01, 0.2, 0.4):
            task = bench.start("r/1", 10_000, 500)
            await bench.clock.sleep(moment_s)
            task.cancel()
            await bench.clock.sleep(0)
            held.append((bench.engine.kv_held(), bench.engine.kv_used()))
            await bench.clock.sleep(1.0)
        return held, bench.engine.counters.cancelled

    assert testing.run_bench(body) == ([({}, 0)] * 3, 3)


def test_the_load_report_describes_the_state_500_ms_ago():
    async def body(bench):
        await bench.clock.sleep(1.0)
        task = bench.start("r/1", 1000, 500)
        await bench.clock.sleep(0.4)
        early = await bench.client.fetch_load("a:1")
        await bench.clock.sleep(0.5)
        late = await bench.client.fetch_load("a:1")
        task.cancel()
        await bench.clock.sleep(0.4)
        still = await bench.client.fetch_load("a:1")
        await bench.clock.sleep(0.5)
        free = await bench.client.fetch_load("a:1")
        return early, late, still, free

    early, late, still, free = testing.run_bench(body)
    assert (early.running, early.kv_used, early.attempts) == (0, 0, ())
    assert early.measured_s == pytest.approx(0.9)
    assert (late.running, late.decoding, late.kv_used) == (1, 1, 1500)
    assert late.attempts == ("r/1",)
    assert (still.running, free.running, free.kv_used) == (1, 0, 0)
    assert [report.sequence for report in (early, late, still, free)] == [
        1,
        2,
        3,
        4,
    ]


def test_the_backlog_counts_prompt_tokens_not_yet_computed():
    async def body(bench):
        tasks = [bench.start(f"{name}/1", 10_000) for name in "ab"]
        await bench.clock.sleep(0.15)
        backlog = (await bench.client.fetch_load("a:1")).prefill_tokens
        await asyncio.gather(*tasks)
        remaining = (await bench.client.fetch_load("a:1")).prefill_tokens
        return backlog, remaining

    assert testing.run_bench(body, load_lag_s=0.0) == (20_000 - 4096, 0)


def make_order(fence, models=("default@1",), **fields):
    values = {"revision": 1, "role": "both", **fields}
    return attempts.Order(fence=fence, models=models, **values)


def test_an_old_fencing_number_is_refused():
    async def body(bench):
        await bench.client.give_order("a:1", make_order(5))
        with pytest.raises(failures.FailureError) as caught:
            await bench.client.give_order("a:1", make_order(4, role="decode"))
        state = await bench.client.give_order("a:1", make_order(5, role="both"))
        return caught.value.failure, state

    failure, state = testing.run_bench(body)
    assert failure == failures.Failure(
        failures.FailureCode.FORBIDDEN, "fencing number 4 is older than 5"
    )
    assert (state.fence, state.role) == (5, endpoints.Role.BOTH)


def test_an_old_fencing_number_is_accepted_without_the_check():
    async def body(bench):
        await bench.client.give_order("a:1", make_order(5))
        return await bench.client.give_order(
            "a:1", make_order(4, role="decode")
        )

    state = testing.run_bench(body, checks_fencing=False)
    assert (state.fence, state.role) == (5, endpoints.Role.DECODE)


def test_an_unknown_role_is_refused():
    async def body(bench):
        with pytest.raises(failures.FailureError) as caught:
            await bench.client.give_order("a:1", make_order(1, role="cook"))
        return caught.value.failure.message, bench.engine.fence

    assert testing.run_bench(body) == ("unknown role 'cook'", 0)


def test_a_draining_engine_finishes_its_attempts_and_refuses_new_ones():
    async def body(bench):
        task = bench.start("r/1", 1000, 10)
        await bench.clock.sleep(0.01)
        await bench.client.give_order("a:1", make_order(1, drain=True))
        refused = await bench.run("s/1", 10)
        return (await task).whole, refused.failure

    whole, failure = testing.run_bench(body)
    assert whole
    assert failure == failures.Failure(
        failures.FailureCode.DRAINING, "the engine takes no new work"
    )


def test_a_model_is_served_only_once_it_is_loaded():
    async def body(bench):
        order = make_order(1, ("default@1", "new@2"), adapters=("fine",))
        await bench.client.give_order("a:1", order)
        await bench.clock.sleep(19.9)
        early = (await bench.run("r/1", 10, model="new")).failure
        old = (await bench.run("r/2", 10)).whole
        await bench.clock.sleep(0.2)
        answers = [
            (await bench.run(f"s/{model}", 10, model=model)).whole
            for model in ("new", "new@2", "fine")
        ]
        return early, old, answers

    early, old, answers = testing.run_bench(body)
    assert early == failures.Failure(
        failures.FailureCode.UNKNOWN_MODEL, "model new is not loaded"
    )
    assert old
    assert answers == [True, True, True]
