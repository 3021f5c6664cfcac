"""Tests of the scenario ``endpoint-rests`` on a small fleet."""

import pytest

from rhubarblock.experiments.endpointrests import policies
from rhubarblock.experiments.endpointrests import scenario

# Long enough for a shedding to begin and several cool-downs to end.
LENGTH_S = 10.0


def measure(way, variant=scenario.QUARTER):
    return scenario.measure(way, 7, variant, 1, LENGTH_S)


@pytest.mark.parametrize("variant", scenario.SHED_RATES)
def test_instances_send_nothing_during_their_own_cooldowns(variant):
    result = measure(policies.ALONE, variant)
    assert result.turned > 0
    assert result.in_rest == 0
    assert result.most_in_rest == 0


def test_requests_during_cooldowns_are_counted_when_they_are_ignored():
    assert measure(policies.NONE).in_rest > 0


def test_table_is_deterministic_for_a_seed():
    first, second = (
        scenario.make_table([measure(policies.HINTED)]) for _ in range(2)
    )
    assert first == second
