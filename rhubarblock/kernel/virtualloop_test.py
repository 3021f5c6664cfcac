import asyncio

import pytest

from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop


def test_clock_jumps_to_the_next_timer():
    async def main():
        clock = timers.LoopTimers(wall_offset_s=100.0)
        await clock.sleep(3600)
        return clock.read_monotonic(), clock.read_wall()

    assert virtualloop.run(main()) == (3600.0, 3700.0)


def test_waiting_without_a_timer_is_an_error():
    async def main():
        await asyncio.Event().wait()

    with pytest.raises(virtualloop.DeadlockError):
        virtualloop.run(main())


def test_subscription_calls_back_until_its_context_ends():
    async def main():
        clock = timers.LoopTimers(wall_offset_s=0.0)
        ticks = []

        async def tick():
            ticks.append(clock.read_monotonic())

        with clock.subscribe(2.0, tick):
            await clock.sleep(5.0)
        await clock.sleep(5.0)
        return ticks

    assert virtualloop.run(main()) == [2.0, 4.0]


def test_subscription_continues_after_a_failed_call(caplog):
    async def main():
        clock = timers.LoopTimers(wall_offset_s=0.0)
        calls = []

        async def fail_first():
            calls.append(clock.read_monotonic())
            if len(calls) == 1:
                raise ValueError("once")

        with clock.subscribe(2.0, fail_first):
            await clock.sleep(5.0)
        return calls

    assert virtualloop.run(main()) == [2.0, 4.0]
    assert [x.message for x in caplog.records] == ["a regular call failed"]
