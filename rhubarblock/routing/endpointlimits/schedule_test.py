"""Tests of which permits are reserved and when they are valid."""

import pytest

from rhubarblock.routing.endpointlimits import schedule as schedules


def reserve(schedule, wanted, rate, now_s):
    slots = schedule.reserve(wanted, rate, now_s)
    return slots.count, round(slots.delay_s, 3), round(slots.retry_after_s, 3)


def test_permits_are_spaced_at_the_rate():
    schedule = schedules.PermitSchedule(0.0)
    assert reserve(schedule, 1, 2.0, 0.0) == (1, 0.5, 0.4)
    assert reserve(schedule, 1, 2.0, 0.0) == (0, 1.0, 0.4)
    assert reserve(schedule, 1, 2.0, 0.4) == (1, 0.6, 0.5)


def test_permit_that_would_be_too_late_is_not_reserved():
    schedule = schedules.PermitSchedule(0.0)
    assert schedule.reserve(1, 2.0, 0.0, 0.4).count == 0
    assert schedule.reserve(1, 2.0, 0.0, 0.5).count == 1


def test_idle_time_accumulates_one_permit_at_a_low_rate():
    schedule = schedules.PermitSchedule(0.0)
    assert reserve(schedule, 9, 1.0, 100.0) == (1, 0.0, 0.4)


def test_permit_of_a_slow_limit_is_reserved_only_within_the_horizon():
    schedule = schedules.PermitSchedule(0.0)
    assert reserve(schedule, 1, 0.2, 0.0) == (0, 5.0, 4.4)
    assert reserve(schedule, 1, 0.2, 4.4) == (1, 0.6, 5.0)


@pytest.mark.parametrize("rate", [0.1, 1.0, 7.5, 400.0])
def test_reserved_permits_never_exceed_the_rate(rate):
    schedule = schedules.PermitSchedule(0.0)
    length_s = 20.0
    moments = []
    steps = 4_000
    for step in range(steps):
        now_s = step * length_s / steps
        slots = schedule.reserve(3, rate, now_s)
        moments += [
            now_s + slots.delay_s + n * slots.spacing_s
            for n in range(slots.count)
        ]
    burst = max(1.0, schedules.BURST_S * rate)
    for at_s in moments:
        window = [x for x in moments if at_s <= x < at_s + 4.0]
        assert len(window) <= 4.0 * rate + burst + 1
