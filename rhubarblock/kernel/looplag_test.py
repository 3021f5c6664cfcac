"""Delays of the event loop: single ones and standing ones."""

import asyncio
import time

from rhubarblock.kernel import looplag
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service


def make_lag():
    return looplag.LoopLag(timer_service.LoopTimers(), metric_store.Metrics())


def test_single_long_pass_is_no_standing_lag():
    lag = make_lag()
    heard = []
    lag.add_listener(heard.append)
    for delay_s in (0.5, 0.0, 0.5, 0.5, 0.4):
        lag.note(delay_s)
    assert heard == [0.0, 0.0, 0.0, 0.5, 0.4]


def test_busy_loop_is_measured_late():
    async def main():
        lag = make_lag()
        loop = asyncio.get_running_loop()

        def work():
            time.sleep(0.06)
            loop.call_soon(work)

        with lag.measure():
            work()
            await asyncio.sleep(2.0)
        return lag.standing_s

    assert asyncio.run(main()) > 0.0
