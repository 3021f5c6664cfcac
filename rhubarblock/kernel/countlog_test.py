import logging

from rhubarblock.kernel import countlog
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop


def test_counters_since_the_start_are_logged_at_each_interval(caplog):
    metrics = metric_store.Metrics()

    async def main():
        timers = timer_service.LoopTimers()
        with countlog.log_counts(metrics, lambda: 7, timers, 2.0):
            metrics.count("news.received", 3)
            await timers.sleep(2.5)
            metrics.count("news.received")
            await timers.sleep(2.0)

    with caplog.at_level(logging.INFO, countlog.__name__):
        virtualloop.run(main())
    assert [(r.up_s, r.counts) for r in caplog.records] == [
        (2.0, {"timers.wakeups": 7, "news.received": 3}),
        (4.0, {"timers.wakeups": 7, "news.received": 4}),
    ]
