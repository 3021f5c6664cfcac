import asyncio

from rhubarblock.exchange import stalls
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop


def run(
    timeout_s, prefill_end_s=0.0, may_abandon=lambda reason: True, data_s=()
):
    """Returns when and why an endless attempt is abandoned."""

    async def main():
        timers = timer_service.LoopTimers(0.0)
        detector = None
        try:
            async with asyncio.timeout(None) as timeout:
                with stalls.detect_stalls(
                    timeout, lambda: prefill_end_s, may_abandon, timers
                ) as detector:
                    detector.expect_data(timeout_s)
                    for moment_s in data_s:
                        await timers.sleep(moment_s - timers.read_monotonic())
                        detector.expect_data(timeout_s)
                    await timers.sleep(20.0)
        except TimeoutError:
            pass
        return round(timers.read_monotonic(), 2), detector.reason

    return virtualloop.run(main())


def test_attempt_at_a_silent_endpoint_is_abandoned():
    assert run(0.8) == (0.8, stalls.Reason.SILENT)


def test_data_restarts_the_timeout():
    assert run(0.8, data_s=(0.5, 1.0, 1.7)) == (2.5, stalls.Reason.SILENT)


def test_short_stall_that_prefill_explains_is_waited_out():
    assert run(0.8, prefill_end_s=1.2) == (1.5, stalls.Reason.SILENT)


def test_long_stall_that_prefill_explains_is_reported_as_busy():
    assert run(0.8, prefill_end_s=5.0) == (0.8, stalls.Reason.BUSY)


def test_attempt_without_an_alternative_continues():
    assert run(0.8, may_abandon=lambda reason: False) == (20.0, None)


def test_attempt_is_abandoned_once_a_retry_is_granted():
    answers = iter([False, False, True])
    assert run(0.8, may_abandon=lambda reason: next(answers)) == (
        1.3,
        stalls.Reason.SILENT,
    )


def test_retry_budget_is_charged_once_per_attempt():
    async def main():
        charged = []
        timers = timer_service.LoopTimers(0.0)
        detector = stalls.StallDetector(
            asyncio.timeout(None),
            lambda: 0.0,
            lambda reason: charged.append(1) or True,
            timers,
        )
        detector._timeout.reschedule = lambda when_s: None
        assert detector.abandon(stalls.Reason.BUSY)
        assert not detector.abandon(stalls.Reason.BUSY)
        return len(charged)

    assert virtualloop.run(main()) == 1
