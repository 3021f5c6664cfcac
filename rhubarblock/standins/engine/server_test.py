import asyncio
import contextlib
import random

import aiohttp
import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import httpengine
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import server as engineserver
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import testing
from rhubarblock.standins.engine import tokens as enginetokens

WALL_S = 1_800_000_000.0


class FixedTimers(timers.LoopTimers):
    """Real timers with a fixed wall clock."""

    def read_wall(self):
        return WALL_S


class HttpBench:
    """Engines behind HTTP and a client of them."""

    def __init__(self, session, clock, fleet):
        self.session = session
        self.clock = clock
        self.fleet = fleet
        self.client = httpengine.HttpEngineClient(session)

    def start(self, number, attempt):
        address = self.fleet[number].address
        return asyncio.ensure_future(
            testing.collect(self.client, self.clock, address, attempt)
        )

    async def set_fault(self, **fault):
        url = f"http://{self.fleet[0].address}/v1/faults"
        async with self.session.post(url, json=fault) as response:
            return response.status, await response.read()

    async def wait_for(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)


def run(body, count=1, **settings):
    async def main():
        clock = FixedTimers()
        async with contextlib.AsyncExitStack() as stack:
            fleet = []
            for number in range(count):
                engine = engines.Engine(
                    f"e{number}",
                    "",
                    clock,
                    random.Random(number),
                    enginesettings.EngineSettings(**settings),
                )
                fleet.append(engine)
                await stack.enter_async_context(
                    engineserver.run_engine_server(engine, clock)
                )
            session = aiohttp.ClientSession()
            await stack.enter_async_context(session)
            return await body(HttpBench(session, clock, fleet))

    return asyncio.run(main())


def make_event(offset, text, tail="null}]}"):
    return (
        f'data: {{"id":"r","attempt":"r/1","offset":{offset},'
        '"object":"text_completion","created":1800000000,"model":"default",'
        f'"choices":[{{"index":0,"text":"{text}","logprobs":null,'
        f'"finish_reason":{tail}\n\n'
    ).encode()


def test_the_answer_has_the_documented_bytes():
    async def body(bench):
        attempt = testing.make_attempt("r/1", 1000, 3)
        blocks = []
        address = bench.fleet[0].address
        async with bench.client.open_raw(address, attempt) as answer:
            async for block in answer.read_events():
                blocks.append(block)
        return b"".join(blocks), answer.complete

    tokens = [enginetokens.make_token("r", index) for index in range(3)]
    usage = (
        '"length"}],"usage":{"prompt_tokens":1000,"completion_tokens":3,'
        '"total_tokens":1003,"prompt_tokens_details":{"cached_tokens":0}}}'
    )
    expected = (
        make_event(0, tokens[0])
        + make_event(1, tokens[1])
        + make_event(2, tokens[2], usage)
        + b"data: [DONE]\n\n"
    )
    assert run(body) == (expected, True)


@pytest.mark.parametrize("interval", [1, 4])
def test_each_event_carries_one_token(interval):
    async def body(bench):
        return await bench.start(0, testing.make_attempt("r/1", 100, 10))

    answer = run(body, stream_interval=interval)
    assert [chunk.index for chunk in answer.chunks] == list(range(10))
    assert answer.text == enginetokens.expected_text("r", 0, 10)
    assert answer.chunks[-1].finish_reason == "length"


def test_every_call_round_trips_over_http():
    async def body(bench):
        blocks = testing.make_blocks("b", 1)
        attempt = testing.make_attempt("r/1", 600, 1, prefix_blocks=blocks)
        await bench.start(0, attempt)
        address = bench.fleet[0].address
        order = attempts.Order(3, 1, "decode", ("default@1",))
        state = await bench.client.give_order(address, order)
        with pytest.raises(failures.FailureError) as caught:
            await bench.client.give_order(
                address, attempts.Order(2, 1, "both", ())
            )
        report = await bench.client.fetch_load(address)
        events = await bench.client.fetch_cache_events(address, 0)
        known = await bench.client.cancel(address, "r/1")
        return state, caught.value.failure, report, events, known

    state, failure, report, events, known = run(
        body, load_lag_s=0.0, event_lag_s=0.0, event_loss=0.0
    )
    assert (state.fence, state.role.value) == (3, "decode")
    assert failure.code is failures.FailureCode.FORBIDDEN
    assert failure.verdict is verdicts.Verdict.NOT_RUN
    assert (report.endpoint_id, report.fence) == ("e0", 3)
    assert events == [attempts.CacheEvent(1, "b0", True)]
    assert known is False


def test_refusals_are_json_errors():
    async def body(bench):
        url = f"http://{bench.fleet[0].address}/v1/"
        found = []
        for method, path, data in (
            ("POST", "generate", b"{"),
            ("POST", "orders", b'{"fence":1}'),
            ("POST", "faults", b'{"kind":"fire"}'),
            ("POST", "faults", b'{"kind":"pause"}'),
            ("GET", "cache_events?after=x", None),
            ("GET", "kv/r%2F1?mode=steal", None),
        ):
            async with bench.session.request(
                method, url + path, data=data
            ) as response:
                error = (await response.json())["error"]
                found.append((response.status, error["verdict"]))
        return found

    assert run(body) == [(400, "NOT_RUN")] * 6


def test_a_body_over_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(engineserver, "MAX_BODY_BYTES", 100)

    async def body(bench):
        attempt = testing.make_attempt("r/1", 10, prompt="x" * 100)
        return (await bench.start(0, attempt)).failure

    assert run(body) == failures.Failure(
        failures.FailureCode.BODY_TOO_LARGE,
        "the body is larger than 100 bytes",
    )


def test_closing_the_stream_cancels_the_attempt():
    async def body(bench):
        engine = bench.fleet[0]
        task = bench.start(0, testing.make_attempt("r/1", 1000, 100_000))
        await bench.wait_for(engine.kv_held)
        task.cancel()
        await bench.wait_for(lambda: not engine.kv_held())
        return engine.counters.cancelled

    assert run(body) == 1


def test_kv_cache_is_copied_between_servers():
    async def body(bench):
        first, second = bench.fleet
        source = attempts.KvSource(first.address, "r/1", 5000)
        tasks = [
            bench.start(0, testing.make_attempt("r/1", 5000, 1, export=True)),
            bench.start(
                1,
                testing.make_attempt(
                    "r/2", 5000, 20, resume_from=1, sources=(source,)
                ),
            ),
        ]
        answers = await asyncio.gather(*tasks)
        text = "".join(answer.text for answer in answers)
        return text, second.counters.prefill_tokens, first.kv_held()

    text = enginetokens.expected_text("r", 0, 20)
    assert run(body, count=2) == (text, 0, {})


def test_a_group_of_servers_serves_a_prompt_too_large_for_one():
    async def body(bench):
        sources = ()
        tasks = []
        for number, end in enumerate((6000, 12_000)):
            attempt = testing.make_attempt(
                f"g/{number}", 15_000, sources=sources, segment_end=end
            )
            tasks.append(bench.start(number, attempt))
            address = bench.fleet[number].address
            sources += (attempts.KvSource(address, f"g/{number}", 6000),)
        last = testing.make_attempt(
            "g/2", 15_000, 10, sources=sources, windowed=True
        )
        answer = await bench.start(2, last)
        held = [engine.kv_held() for engine in bench.fleet]
        return answer.text, [(await task).whole for task in tasks], held

    text, ends, held = run(body, count=3, kv_tokens=11_000)
    assert text == enginetokens.expected_text("g", 0, 10)
    assert ends == [True, True]
    assert held == [{"g/0": 6000}, {"g/1": 6000}, {}]


def test_a_lost_source_fails_the_attempt_with_an_error():
    async def body(bench):
        source = attempts.KvSource(bench.fleet[0].address, "r/1", 50_000)
        first = testing.make_attempt("r/1", 50_000, 1, export=True)
        second = testing.make_attempt("r/2", 50_000, sources=(source,))
        tasks = [bench.start(0, first), bench.start(1, second)]
        await bench.wait_for(bench.fleet[1].kv_held)
        bench.fleet[0].die()
        return [(await task).failure for task in tasks]

    lost, failed = run(body, count=2)
    assert failed.code is failures.FailureCode.ENDPOINT_FAILED
    for failure in (lost, failed):
        assert failure.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_a_killed_engine_breaks_streams_refuses_calls_and_restarts():
    async def body(bench):
        engine = bench.fleet[0]
        old_id = engine.start_id
        task = bench.start(0, testing.make_attempt("r/1", 1000, 100_000))
        await bench.wait_for(lambda: engine.counters.tokens > 3)
        await bench.set_fault(kind="die", restart_after_s=0.2)
        broken = (await task).failure
        refused = await bench.start(0, testing.make_attempt("s/1", 10))
        await bench.wait_for(lambda: engine.alive)
        await asyncio.sleep(0.05)
        again = await bench.start(0, testing.make_attempt("s/2", 10))
        return broken, refused.failure, again.whole, old_id != engine.start_id

    broken, refused, whole, restarted = run(body)
    assert broken.code is failures.FailureCode.STREAM_CUT
    assert broken.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert refused.verdict is verdicts.Verdict.NOT_RUN
    assert (whole, restarted) == (True, True)


def test_a_paused_engine_accepts_calls_and_answers_afterwards():
    async def body(bench):
        engine = bench.fleet[0]
        await bench.set_fault(kind="pause", seconds=0.3)
        await bench.wait_for(lambda: engine.paused)
        end_s = engine.faults.pause_until_s
        answer = await bench.start(0, testing.make_attempt("r/1", 10))
        return answer.whole, answer.times_s[0] > end_s

    assert run(body) == (True, True)


def test_refusing_connections_does_not_affect_open_streams():
    async def body(bench):
        task = bench.start(0, testing.make_attempt("r/1", 100, 40))
        await bench.wait_for(bench.fleet[0].kv_held)
        bench.fleet[0].refuse_connections(60.0)
        refused = await bench.start(0, testing.make_attempt("s/1", 10))
        return refused.failure.verdict, (await task).whole

    assert run(body) == (verdicts.Verdict.NOT_RUN, True)


def test_a_cut_stream_has_no_end_event():
    async def body(bench):
        await bench.set_fault(kind="cut")
        attempt = testing.make_attempt("r/1", 100, 5)
        address = bench.fleet[0].address
        async with bench.client.open_raw(address, attempt) as answer:
            blocks = [block async for block in answer.read_events()]
        return blocks, answer.complete

    assert run(body) == ([], False)


@pytest.mark.parametrize(
    ("fault", "name", "value"),
    [
        ({"kind": "slow", "factor": 2}, "slow_factor", 2.0),
        ({"kind": "late", "seconds": 1}, "late_s", 1.0),
        ({"kind": "cross"}, "cross_next", 1),
        ({"kind": "duplicate", "count": 3}, "duplicate_next", 3),
        ({"kind": "crash", "digests": ["d"]}, "crash_digests", {"d"}),
        (
            {"kind": "bad_versions", "versions": ["m@1"]},
            "bad_versions",
            {"m@1"},
        ),
    ],
)
def test_faults_are_switched_on_and_off(fault, name, value):
    async def body(bench):
        faults = bench.fleet[0].faults
        default = getattr(faults, name)
        status = await bench.set_fault(**fault)
        found = getattr(faults, name)
        await bench.set_fault(kind="clear")
        return status, found, getattr(faults, name) == default

    assert run(body) == ((200, b"{}"), value, True)
