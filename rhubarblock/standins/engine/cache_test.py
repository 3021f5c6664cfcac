import random

import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.engine import cache as enginecache
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import testing


def test_events_become_visible_after_the_lag():
    async def main():
        clock = timers.LoopTimers(wall_offset_s=0.0)
        settings = enginesettings.EngineSettings(event_loss=0.0)
        log = enginecache.CacheEventLog(clock, random.Random(1), settings)
        log.append("b0", True)
        await clock.sleep(0.5)
        log.append("b0", False)
        await clock.sleep(0.6)
        early = log.read(0)
        await clock.sleep(0.5)
        return early, log.read(0), log.read(1), log.read(2)

    stored = attempts.CacheEvent(1, "b0", True)
    evicted = attempts.CacheEvent(2, "b0", False)
    assert virtualloop.run(main()) == (
        [stored],
        [stored, evicted],
        [evicted],
        [],
    )


def test_about_one_event_in_a_hundred_is_lost_and_leaves_a_gap():
    async def main():
        clock = timers.LoopTimers(wall_offset_s=0.0)
        settings = enginesettings.EngineSettings()
        log = enginecache.CacheEventLog(clock, random.Random(7), settings)
        for number in range(10_000):
            log.append(f"b{number}", True)
        await clock.sleep(1.0)
        return log.read(0)

    events = virtualloop.run(main())
    lost = 10_000 - len(events)
    assert 70 < lost < 130
    assert all(event.block == f"b{event.sequence - 1}" for event in events)


def test_an_engine_publishes_stored_and_evicted_blocks():
    async def body(bench):
        for name in "ab":
            blocks = testing.make_blocks(name, 2)
            await bench.run(f"{name}/1", 1100, prefix_blocks=blocks)
        early = await bench.client.fetch_cache_events("a:1", 0)
        await bench.clock.sleep(1.0)
        return early, await bench.client.fetch_cache_events("a:1", 0)

    early, late = testing.run_bench(body, kv_tokens=1500)
    assert early == []
    assert [event.sequence for event in late] == [1, 2, 3, 4, 5, 6]
    assert [(event.block, event.stored) for event in late] == [
        ("a0", True),
        ("a1", True),
        ("a1", False),
        ("a0", False),
        ("b0", True),
        ("b1", True),
    ]


@pytest.mark.parametrize(
    ("prompt_tokens", "cached"), [(1024, 1023), (1100, 1024), (700, 512)]
)
def test_cached_leading_blocks_skip_all_but_the_last_position(
    prompt_tokens, cached
):
    async def body(bench):
        blocks = testing.make_blocks("b", 2)
        await bench.run("r/1", prompt_tokens, prefix_blocks=blocks)
        answer = await bench.run("r/2", prompt_tokens, prefix_blocks=blocks)
        return answer.chunks[-1].cached_tokens

    assert testing.run_bench(body) == cached
