"""Rests of endpoints, kept by instances of a small fleet."""

import pytest

from rhubarblock.experiments.endpointrests import scenario
from rhubarblock.experiments.endpointrests import ways

# Seconds of a run: a shedding begins and several rests end.
LENGTH_S = 10.0


def measure(way, variant=scenario.QUARTER):
    return scenario.measure(way, 7, variant, 1, LENGTH_S)


@pytest.mark.parametrize("variant", scenario.SHED_RATES)
def test_no_instance_sends_within_a_rest_that_was_asked_of_it(variant):
    result = measure(ways.ALONE, variant)
    assert result.turned > 0
    assert result.in_rest == 0
    assert result.most_in_rest == 0


def test_requests_in_rests_are_seen_where_nobody_reads_rests():
    assert measure(ways.NONE).in_rest > 0


def test_same_seed_gives_the_same_table():
    first, second = (
        scenario.make_table([measure(ways.HINTED)]) for _ in range(2)
    )
    assert first == second
