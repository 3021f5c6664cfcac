"""Which permits are booked, and when they hold."""

import pytest

from rhubarblock.routing.endpointlimits import schedule as schedules


def book(schedule, wanted, rate, now_s):
    slots = schedule.book(wanted, rate, now_s)
    return slots.count, round(slots.delay_s, 3), round(slots.retry_after_s, 3)


def test_permits_come_one_after_the_other():
    schedule = schedules.PermitSchedule(0.0)
    assert book(schedule, 1, 2.0, 0.0) == (1, 0.5, 0.4)
    assert book(schedule, 1, 2.0, 0.0) == (0, 1.0, 0.4)
    assert book(schedule, 1, 2.0, 0.4) == (1, 0.6, 0.5)


def test_permit_that_would_come_too_late_is_left_to_others():
    schedule = schedules.PermitSchedule(0.0)
    assert schedule.book(1, 2.0, 0.0, 0.4).count == 0
    assert schedule.book(1, 2.0, 0.0, 0.5).count == 1


def test_idle_time_saves_one_permit_and_no_more():
    schedule = schedules.PermitSchedule(0.0)
    assert book(schedule, 9, 1.0, 100.0) == (1, 0.0, 0.4)


def test_slow_limit_is_booked_when_its_permit_is_near():
    schedule = schedules.PermitSchedule(0.0)
    assert book(schedule, 1, 0.2, 0.0) == (0, 5.0, 4.4)
    assert book(schedule, 1, 0.2, 4.4) == (1, 0.6, 5.0)


@pytest.mark.parametrize("rate", [0.1, 1.0, 7.5, 400.0])
def test_booked_permits_never_exceed_the_rate(rate):
    schedule = schedules.PermitSchedule(0.0)
    length_s = 20.0
    moments = []
    steps = 4_000
    for step in range(steps):
        now_s = step * length_s / steps
        slots = schedule.book(3, rate, now_s)
        moments += [
            now_s + slots.delay_s + n * slots.spacing_s
            for n in range(slots.count)
        ]
    saved = max(1.0, schedules.SAVED_S * rate)
    for at_s in moments:
        window = [x for x in moments if at_s <= x < at_s + 4.0]
        assert len(window) <= 4.0 * rate + saved + 1
