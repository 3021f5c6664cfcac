import asyncio

from rhubarblock.exchange import silence
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop


def run(patience_s, free_s=0.0, may_leave=lambda reason: True, signs=()):
    """Returns when and why an attempt is given up that never ends."""

    async def main():
        timers = timer_service.LoopTimers(0.0)
        watch = None
        try:
            async with asyncio.timeout(None) as limit:
                with silence.watch_silence(
                    limit, lambda: free_s, may_leave, timers
                ) as watch:
                    watch.expect(patience_s)
                    for moment_s in signs:
                        await timers.sleep(moment_s - timers.read_monotonic())
                        watch.expect(patience_s)
                    await timers.sleep(20.0)
        except TimeoutError:
            pass
        return round(timers.read_monotonic(), 2), watch.reason

    return virtualloop.run(main())


def test_silent_endpoint_is_left():
    assert run(0.8) == (0.8, silence.Reason.SILENT)


def test_each_sign_starts_the_patience_anew():
    assert run(0.8, signs=(0.5, 1.0, 1.7)) == (2.5, silence.Reason.SILENT)


def test_short_silence_that_reading_explains_is_waited_out():
    assert run(0.8, free_s=1.2) == (1.5, silence.Reason.SILENT)


def test_long_silence_that_reading_explains_is_no_failure():
    assert run(0.8, free_s=5.0) == (0.8, silence.Reason.BUSY)


def test_attempt_that_nothing_can_follow_goes_on():
    assert run(0.8, may_leave=lambda reason: False) == (20.0, None)


def test_attempt_is_left_once_another_one_is_granted():
    answers = iter([False, False, True])
    assert run(0.8, may_leave=lambda reason: next(answers)) == (
        1.3,
        silence.Reason.SILENT,
    )


def test_attempt_is_paid_for_once():
    async def main():
        paid = []
        timers = timer_service.LoopTimers(0.0)
        watch = silence.SilenceWatch(
            asyncio.timeout(None),
            lambda: 0.0,
            lambda reason: paid.append(1) or True,
            timers,
        )
        watch._limit.reschedule = lambda when_s: None
        assert watch.leave(silence.Reason.BUSY)
        assert not watch.leave(silence.Reason.BUSY)
        return len(paid)

    assert virtualloop.run(main()) == 1
