import asyncio

from rhubarblock.core import route as routes
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.engine import passes as passengine

# A step takes 10 ms, a stride has four steps, and 100 tokens are prefilled in a
# millisecond.
MODEL = routes.EngineCostModel(
    slots=2,
    kv_capacity_tokens=10_000,
    stride=4,
    step_ms=10.0,
    sequence_ms=0.0,
    context_ms=0.0,
    prefill_tokens_per_ms=100.0,
    pair_ms=0.0,
    chunk_tokens=1_000,
    hop_ms=0.0,
)


class Bench:
    """One engine and its events as (name, event, milliseconds)."""

    def __init__(self):
        self.engine = passengine.PassEngine(MODEL)
        self.events = []

    def record(self, *fields):
        now_s = asyncio.get_running_loop().time()
        self.events.append((*fields, round(now_s * 1e3)))

    def submit(self, name, tokens, events):
        count = 0

        def on_event(is_last):
            nonlocal count
            count += 1
            self.record(name, count)

        request = passengine.DecodeRequest(tokens, events, on_event)
        part = passengine.PrefillPart(
            tokens,
            MODEL.predict_prefill(tokens),
            lambda: self.engine.start_decode(request),
        )
        self.engine.submit(request, part)

    def prefill_for_peer(self, name, tokens):
        part = passengine.PrefillPart(
            tokens,
            MODEL.predict_prefill(tokens),
            lambda: self.record(name, "read"),
        )
        self.engine.prefill_for_peer(part)


def run_scenario(scenario, seconds=10.0):
    async def main():
        bench = Bench()
        working = asyncio.create_task(bench.engine.run())
        await scenario(bench)
        await asyncio.sleep(seconds)
        working.cancel()
        return bench

    return virtualloop.run(main())


def test_prompt_is_prefilled_and_then_decoded_in_passes():
    async def scenario(bench):
        bench.submit("a", 500, 3)

    # 5 ms of prefill, then passes of four steps.
    assert run_scenario(scenario).events == [
        ("a", 1, 5),
        ("a", 2, 45),
        ("a", 3, 85),
    ]


def test_prefill_delays_the_next_event_of_a_decoding_request():
    async def scenario(bench):
        bench.submit("a", 500, 4)
        await asyncio.sleep(0.05)
        bench.prefill_for_peer("b", 3_000)

    events = run_scenario(scenario).events
    assert events == [
        ("a", 1, 5),
        ("a", 2, 45),
        ("a", 3, 85),
        ("b", "read", 155),
        ("a", 4, 155),
    ]


def test_pass_prefills_at_most_one_chunk_per_step():
    async def scenario(bench):
        bench.submit("a", 500, 5)
        await asyncio.sleep(0.05)
        bench.prefill_for_peer("b", 5_000)

    reads = [
        entry for entry in run_scenario(scenario).events if entry[1] == "read"
    ]
    # Four chunks in the pass that ends at 165 ms, the fifth in the next.
    assert reads == [("b", "read", 215)]


def test_later_part_for_another_engine_is_prefilled_first():
    async def scenario(bench):
        bench.submit("a", 1_000, 1)
        bench.prefill_for_peer("b", 1_000)

    assert run_scenario(scenario).events[0] == ("b", "read", 10)


def test_new_prompt_preempts_a_prefill_under_way():
    async def scenario(bench):
        bench.prefill_for_peer("old", 3_000)
        await asyncio.sleep(0.005)
        bench.submit("new", 1_000, 1)

    # One chunk of the old part is prefilled when the new prompt arrives.
    assert run_scenario(scenario).events == [
        ("new", 1, 20),
        ("old", "read", 40),
    ]


def test_first_decoding_pass_prefills_the_waiting_part():
    async def scenario(bench):
        bench.prefill_for_peer("old", 3_000)
        await asyncio.sleep(0.005)
        bench.submit("new", 1_000, 2)

    # The next event of the new prompt comes after four steps and the remaining
    # prefill of the old part.
    assert run_scenario(scenario).events[1:] == [
        ("old", "read", 80),
        ("new", 2, 80),
    ]


def test_request_waits_for_a_free_slot():
    async def scenario(bench):
        for name in ("a", "b", "c"):
            bench.submit(name, 100, 2)
        assert bench.engine.requests == 3

    bench = run_scenario(scenario)
    ends = {name: at for name, event, at in bench.events if event == 2}
    assert ends["c"] > ends["a"]
    assert bench.engine.requests == 0


def test_request_waits_for_free_memory():
    async def scenario(bench):
        bench.submit("a", 6_000, 2)
        bench.submit("b", 6_000, 1)

    names = [name for name, _, _ in run_scenario(scenario).events]
    assert names == ["a", "a", "b"]


def test_slowdown_multiplies_the_time_of_a_pass():
    async def scenario(bench):
        bench.engine.slowdown = 3.0
        bench.submit("a", 500, 1)
        assert bench.engine.prefill_left_s == 0.005

    assert run_scenario(scenario).events == [("a", 1, 15)]


def test_slow_engine_takes_longer_for_prefill_and_passes():
    async def scenario(bench):
        bench.engine = passengine.PassEngine(MODEL, speed=0.5)
        bench.submit("a", 500, 2)
        bench.working = asyncio.create_task(bench.engine.run())

    events = run_scenario(scenario).events
    assert events == [("a", 1, 10), ("a", 2, 90)]


def test_nearly_full_engine_is_slower():
    async def scenario(bench):
        bench.engine = passengine.PassEngine(MODEL, full_slowdown=3.0)
        bench.submit("a", 500, 3)
        bench.working = asyncio.create_task(bench.engine.run())
        await asyncio.sleep(0.02)
        bench.submit("b", 500, 1)

    # The second request takes the last slot for one pass.
    events = [e for e in run_scenario(scenario).events if e[0] == "a"]
    assert events == [("a", 1, 5), ("a", 2, 45), ("a", 3, 180)]
