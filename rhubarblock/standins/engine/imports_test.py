import asyncio

import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.standins.engine import testing
from rhubarblock.standins.engine import tokens as enginetokens

# Twelve iterations of 4,096 tokens and one of 848.
PREFILL_50K_S = 13 * 0.008 + 50_000 / 40_000
DECODE_S = 0.0081


def run(body):
    return testing.run_bench(body, "a:1 b:1 c:1")


def start_prefill(bench, **fields):
    return bench.start("r/1", 50_000, 1, export=True, **fields, address="a:1")


def start_decode(bench, **fields):
    source = attempts.KvSource("a:1", "r/1", 50_000)
    return bench.start(
        "r/2",
        50_000,
        20,
        resume_from=1,
        sources=(source,),
        **fields,
        address="b:1",
    )


def test_an_import_overlaps_the_prefill():
    async def body(bench):
        # The reader may arrive before its source.
        second = start_decode(bench)
        await asyncio.sleep(0)
        first = start_prefill(bench)
        await bench.clock.sleep(0.5)
        held = bench.list_held()
        answers = [await first, await second]
        return held, answers, bench.list_held(), bench.cluster["b:1"].counters

    held, (first, second), after, counters = run(body)
    assert held == [{"r/1": 50_001}, {"r/2": 50_020}, {}]
    assert first.times_s == pytest.approx([PREFILL_50K_S])
    # Only the 848 tokens of the last iteration are left to copy.
    copied_s = PREFILL_50K_S + 848 / 200_000
    assert second.times_s[0] == pytest.approx(copied_s + DECODE_S)
    assert second.times_s[1] == pytest.approx(copied_s + 2 * DECODE_S)
    assert first.text + second.text == enginetokens.expected_text("r", 0, 20)
    assert counters.prefill_tokens == 0
    assert after == [{}, {}, {}]


def test_an_import_after_the_prefill_takes_the_whole_copy_time():
    async def body(bench):
        await start_prefill(bench)
        await bench.clock.sleep(5.0)
        start_s = bench.clock.read_monotonic()
        second = start_decode(bench)
        await bench.clock.sleep(0.2)
        held = bench.list_held()[0]
        answer = await second
        return held, answer.times_s[0] - start_s

    held, took_s = run(body)
    assert held == {"r/1": 50_001}
    assert took_s == pytest.approx(50_000 / 200_000 + DECODE_S)


def test_an_import_leaves_its_blocks_in_the_cache():
    async def body(bench):
        blocks = testing.make_blocks("b", 97)
        start_prefill(bench, prefix_blocks=blocks)
        await start_decode(bench, prefix_blocks=blocks)
        answer = await bench.start(
            "s/1", 50_000, prefix_blocks=blocks, address="b:1"
        )
        return answer.chunks[-1].cached_tokens

    assert run(body) == 97 * 512


def test_the_prompt_beyond_the_sources_is_prefilled():
    async def body(bench):
        await bench.start("r/1", 4096, 1, export=True, address="a:1")
        start_s = bench.clock.read_monotonic()
        source = attempts.KvSource("a:1", "r/1", 4096)
        answer = await bench.start(
            "r/2", 5096, sources=(source,), address="b:1"
        )
        return answer.times_s[0] - start_s

    copy_s = 4096 / 200_000
    assert run(body) == pytest.approx(copy_s + 0.008 + 1000 / 40_000)


def test_an_export_without_a_reader_is_freed_after_10_s():
    async def body(bench):
        await start_prefill(bench)
        await bench.clock.sleep(9.9)
        held = bench.list_held()[0]
        await bench.clock.sleep(0.2)
        late = await start_decode(bench)
        return held, bench.list_held()[0], late.failure

    held, freed, failure = run(body)
    assert (held, freed) == ({"r/1": 50_001}, {})
    assert failure == failures.Failure(
        failures.FailureCode.ENDPOINT_FAILED,
        "the KV cache r/1 is not held any more",
        verdicts.Verdict.MAY_HAVE_RUN,
    )


def test_an_export_is_freed_by_cancel():
    async def body(bench):
        await start_prefill(bench)
        known = await bench.client.cancel("a:1", "r/1")
        return known, bench.list_held()[0]

    assert run(body) == (True, {})


@pytest.mark.parametrize("moment_s", [0.5, PREFILL_50K_S + 0.001])
@pytest.mark.parametrize("end", ["die", "cancel"])
def test_a_source_lost_during_the_import_fails_the_attempt(moment_s, end):
    async def body(bench):
        start_prefill(bench)
        second = start_decode(bench)
        await bench.clock.sleep(moment_s)
        if end == "die":
            bench.cluster["a:1"].die()
        else:
            await bench.client.cancel("a:1", "r/1")
        failure = (await second).failure
        return failure.code, failure.verdict, bench.list_held()

    assert run(body) == (
        failures.FailureCode.ENDPOINT_FAILED,
        verdicts.Verdict.MAY_HAVE_RUN,
        [{}, {}, {}],
    )


def test_an_aborted_import_leaves_the_export_for_the_next_reader():
    async def body(bench):
        await start_prefill(bench)
        first = start_decode(bench)
        await bench.clock.sleep(0.1)
        first.cancel()
        await bench.clock.sleep(9.0)
        held = bench.list_held()
        return held, (await start_decode(bench)).whole

    held, whole = run(body)
    assert held == [{"r/1": 50_001}, {}, {}]
    assert whole


def test_a_paused_source_delays_the_copy():
    async def body(bench):
        await start_prefill(bench)
        start_s = bench.clock.read_monotonic()
        second = start_decode(bench)
        await bench.clock.sleep(0.1)
        bench.cluster["a:1"].pause(3.0)
        return (await second).times_s[0] - start_s

    assert run(body) == pytest.approx(3.0 + 50_000 / 200_000 + DECODE_S)


MILLION = 1_000_000
SEGMENTS = (350_000, 700_000)


def start_group(bench, max_tokens=5):
    """Starts a prompt of one million tokens on three engines."""
    sources = ()
    tasks = []
    for number, (address, end) in enumerate(
        zip(("a:1", "b:1"), SEGMENTS, strict=True)
    ):
        handle = f"g/{number}"
        tasks.append(
            bench.start(
                handle,
                MILLION,
                address=address,
                sources=sources,
                segment_end=end,
            )
        )
        sources += (attempts.KvSource(address, handle, 350_000),)
    last = bench.start(
        "g/2",
        MILLION,
        max_tokens,
        sources=sources,
        windowed=True,
        address="c:1",
    )
    return tasks, last


def test_a_group_serves_a_million_tokens_in_about_the_prefill_time():
    async def body(bench):
        segments, last = start_group(bench)
        await bench.clock.sleep(12.0)
        during = bench.list_held()
        ends = [(await task).chunks for task in segments]
        answer = await last
        return during, ends, answer, bench.list_held()

    during, ends, answer, after = run(body)
    # Each engine holds its segment; those that read others also hold a window.
    assert during == [
        {"g/0": 350_000},
        {"g/1": 350_000 + 4096},
        {"g/2": 300_000 + 5 + 4096},
    ]
    for number, chunks in enumerate(ends):
        assert chunks == [
            attempts.Chunk(
                f"g/{number}", 0, 0, "", end=True, finish_reason="length"
            )
        ]
    iterations = 86 + 86 + 74
    assert answer.times_s[0] == pytest.approx(iterations * 0.008 + 25.0)
    assert answer.text == enginetokens.expected_text("g", 0, 5)
    assert after == [{"g/0": 350_000}, {"g/1": 350_000}, {}]


def test_a_short_last_part_waits_until_its_sources_are_read():
    async def body(bench):
        source = attempts.KvSource("a:1", "g/0", 200_000)
        await bench.start("g/0", 201_000, segment_end=200_000, address="a:1")
        start_s = bench.clock.read_monotonic()
        answer = await bench.start(
            "g/1", 201_000, 2, sources=(source,), windowed=True, address="b:1"
        )
        return [time_s - start_s for time_s in answer.times_s]

    assert run(body) == pytest.approx([1.0, 1.0 + DECODE_S])


def test_a_source_counts_one_decode_while_its_reader_decodes():
    async def body(bench):
        source = attempts.KvSource("a:1", "g/0", 8192)
        await bench.start("g/0", 9000, segment_end=8192, address="a:1")
        own = bench.start("own/1", 1000, 200, address="a:1")
        await bench.clock.sleep(0.1)
        last = bench.start(
            "g/1", 9000, 100, sources=(source,), windowed=True, address="b:1"
        )
        await last
        after_s = bench.clock.read_monotonic()
        times_s = (await own).times_s
        return after_s, times_s

    after_s, times_s = run(body)
    steps = [
        (second - first, second)
        for first, second in zip(times_s, times_s[1:], strict=False)
    ]
    during = [step for step, end in steps if after_s - 0.5 < end < after_s]
    later = [step for step, end in steps if end > after_s + 0.02]
    assert during == pytest.approx([0.0082] * len(during))
    assert later == pytest.approx([0.0081] * len(later))
    assert during
    assert later


def test_segments_are_held_until_cancelled_or_60_s_after_the_last_read():
    async def body(bench):
        segments, last = start_group(bench)
        await last
        await bench.clock.sleep(59.0)
        held = bench.list_held()
        await bench.client.cancel("a:1", "g/0")
        cancelled = bench.list_held()
        await bench.clock.sleep(2.0)
        return held, cancelled, bench.list_held()

    held, cancelled, expired = run(body)
    assert held == [{"g/0": 350_000}, {"g/1": 350_000}, {}]
    assert cancelled == [{}, {"g/1": 350_000}, {}]
    assert expired == [{}, {}, {}]


def test_a_segment_lost_while_its_reader_decodes_fails_the_attempt():
    async def body(bench):
        _, last = start_group(bench, max_tokens=1000)
        await bench.clock.sleep(30.0)
        bench.cluster["b:1"].die()
        answer = await last
        return answer.failure.code, len(answer.chunks) > 1, bench.list_held()

    assert run(body) == (
        failures.FailureCode.ENDPOINT_FAILED,
        True,
        [{"g/0": 350_000}, {}, {}],
    )


def test_a_paused_segment_stalls_the_decode_of_its_reader():
    async def body(bench):
        _, last = start_group(bench, max_tokens=1000)
        await bench.clock.sleep(30.0)
        bench.cluster["a:1"].pause(5.0)
        answer = await last
        gaps = [
            second - first
            for first, second in zip(
                answer.times_s, answer.times_s[1:], strict=False
            )
        ]
        return max(gaps), answer.whole

    longest_s, whole = run(body)
    assert longest_s == pytest.approx(5.0, abs=2 * DECODE_S)
    assert whole
