"""Durations of plain calls by endpoint."""

import random

import pytest

from rhubarblock.exchange import calltimes


def note(times, taken_s, count=20, now_s=0.0):
    """Records calls at endpoints; ``taken_s`` has their duration by id."""
    for _ in range(count):
        for endpoint_id, seconds in taken_s.items():
            times.note("desk", endpoint_id, seconds, now_s)


def find(times, now_s=0.0):
    return [
        times.find_factor("desk", endpoint_id, now_s)
        for endpoint_id in ("e1", "e2", "e3")
    ]


def test_slow_endpoint_is_told_from_equal_ones():
    times = calltimes.CallTimes()
    note(times, {"e1": 0.05, "e2": 0.05, "e3": 0.2})
    factors = find(times)
    assert factors[:2] == [1.0, 1.0]
    assert factors[2] == pytest.approx(4.0, rel=0.2)


@pytest.mark.parametrize("jitter", [0.0, 0.3, 0.8])
def test_equal_endpoints_are_exactly_alike(jitter):
    times = calltimes.CallTimes()
    rng = random.Random(3)
    for count in range(1, 200):
        taken_s = {
            endpoint_id: 0.05 * rng.lognormvariate(0.0, jitter)
            for endpoint_id in ("e1", "e2", "e3")
        }
        note(times, taken_s, 1, count)
        assert find(times, count) == [1.0, 1.0, 1.0]


def test_few_calls_say_nothing():
    times = calltimes.CallTimes()
    note(times, {"e1": 0.05, "e2": 0.05, "e3": 0.5}, 3)
    assert find(times) == [1.0, 1.0, 1.0]


def test_old_calls_are_forgotten():
    times = calltimes.CallTimes()
    note(times, {"e1": 0.05, "e2": 0.05, "e3": 0.2})
    assert find(times, 600.0) == [1.0, 1.0, 1.0]


def test_restarted_and_unlisted_endpoints_are_forgotten():
    times = calltimes.CallTimes()
    note(times, {"e1": 0.05, "e2": 0.05, "e3": 0.2})
    assert find(times)[2] > 1.0
    times.forget("e3")
    assert find(times)[2] == 1.0
    note(times, {"e3": 0.2})
    times.keep_only({"e1", "e2"})
    assert find(times, 1.0)[2] == 1.0
