import asyncio

from rhubarblock.core import route as routes
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.engine import passes as passengine

# A step takes 10 ms, a stride has four, 100 tokens are read in a millisecond.
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
    """One engine and what it did, as (name, event, milliseconds)."""

    def __init__(self):
        self.engine = passengine.PassEngine(MODEL)
        self.seen = []

    def note(self, *fields):
        now_s = asyncio.get_running_loop().time()
        self.seen.append((*fields, round(now_s * 1e3)))

    def submit(self, name, tokens, events):
        count = 0

        def wrote(is_last):
            nonlocal count
            count += 1
            self.note(name, count)

        writer = passengine.Writer(tokens, events, wrote)
        part = passengine.Part(
            tokens,
            MODEL.predict_prefill(tokens),
            lambda: self.engine.start(writer),
        )
        self.engine.submit(writer, part)

    def help(self, name, tokens):
        part = passengine.Part(
            tokens,
            MODEL.predict_prefill(tokens),
            lambda: self.note(name, "read"),
        )
        self.engine.help(part)


def play(step, seconds=10.0):
    async def main():
        bench = Bench()
        working = asyncio.create_task(bench.engine.run())
        await step(bench)
        await asyncio.sleep(seconds)
        working.cancel()
        return bench

    return virtualloop.run(main())


def test_prompt_is_read_and_then_written_in_passes():
    async def step(bench):
        bench.submit("a", 500, 3)

    # Five milliseconds of reading, then passes of four steps.
    assert play(step).seen == [("a", 1, 5), ("a", 2, 45), ("a", 3, 85)]


def test_reading_makes_the_pause_of_a_writer_longer():
    async def step(bench):
        bench.submit("a", 500, 4)
        await asyncio.sleep(0.05)
        bench.help("b", 3_000)

    seen = play(step).seen
    assert seen == [
        ("a", 1, 5),
        ("a", 2, 45),
        ("a", 3, 85),
        ("b", "read", 155),
        ("a", 4, 155),
    ]


def test_pass_reads_a_chunk_a_step_and_leaves_the_rest():
    async def step(bench):
        bench.submit("a", 500, 5)
        await asyncio.sleep(0.05)
        bench.help("b", 5_000)

    reads = [entry for entry in play(step).seen if entry[1] == "read"]
    # Four chunks in the pass that ends at 165 ms, the fifth in the next.
    assert reads == [("b", "read", 215)]


def test_part_for_another_engine_is_read_before_own_prompts():
    async def step(bench):
        bench.submit("a", 1_000, 1)
        bench.help("b", 1_000)

    assert play(step).seen[0] == ("b", "read", 10)


def test_new_prompt_goes_before_what_is_being_read():
    async def step(bench):
        bench.help("old", 3_000)
        await asyncio.sleep(0.005)
        bench.submit("new", 1_000, 1)

    # The old one has a chunk read when the new one comes.
    assert play(step).seen == [("new", 1, 20), ("old", "read", 40)]


def test_first_writer_reads_all_that_waits_in_its_first_pass():
    async def step(bench):
        bench.help("old", 3_000)
        await asyncio.sleep(0.005)
        bench.submit("new", 1_000, 2)

    # Its next event comes after four steps and the rest of the old part.
    assert play(step).seen[1:] == [("old", "read", 80), ("new", 2, 80)]


def test_request_without_a_slot_waits_for_one():
    async def step(bench):
        for name in ("a", "b", "c"):
            bench.submit(name, 100, 2)
        assert bench.engine.requests == 3

    bench = play(step)
    ends = {name: at for name, event, at in bench.seen if event == 2}
    assert ends["c"] > ends["a"]
    assert bench.engine.requests == 0


def test_request_without_memory_waits_for_it():
    async def step(bench):
        bench.submit("a", 6_000, 2)
        bench.submit("b", 6_000, 1)

    names = [name for name, _, _ in play(step).seen]
    assert names == ["a", "a", "b"]


def test_slow_engine_takes_longer():
    async def step(bench):
        bench.engine.pace = 3.0
        bench.submit("a", 500, 1)
        assert bench.engine.read_left_s == 0.005

    assert play(step).seen == [("a", 1, 15)]
