"""Tests of the idle model, the drawn workload and the percentiles."""

import random
import statistics

import pytest

from rhubarblock.experiments import idle
from rhubarblock.experiments import quantiles
from rhubarblock.experiments import smallfleet_test as smallfleet
from rhubarblock.experiments import workload

_TENANTS = [
    workload.Tenant("adwoa", "adwoa/a", 3),
    workload.Tenant("adwoa", "adwoa/b", 1),
]
# Bound on the round trip to an engine plus a placement, in seconds.
_ROUND_TRIP_S = 0.01


@pytest.mark.parametrize("policy", ["naive", "length_aware"])
def test_idle_model_predicts_the_real_code_on_an_idle_fleet(policy):
    """Sends prompts one after the other, each alone on the fleet."""
    with smallfleet.open_fleet(policy=policy, engines=2) as fleet:
        for tokens in (16, 1_000, 5_000, 20_000, 150_000):
            caller = fleet.ask(f"of {tokens}", tokens, 30)
            fleet.finish(caller)
            first_s = idle.predict_first_token(tokens)
            total_s = idle.predict_total(tokens, 30)
            assert caller.complete
            assert (
                0 <= caller.first_s - caller.asked_s - first_s < _ROUND_TRIP_S
            )
            assert (
                0 <= caller.ended_s - caller.asked_s - total_s < _ROUND_TRIP_S
            )
            fleet.advance(0.5)


def test_prefill_handover_adds_only_the_last_copy_to_the_idle_model():
    with smallfleet.open_fleet(engines=2, decoders=1) as fleet:
        caller = fleet.ask(tokens=20_000, output=30)
        fleet.finish(caller)
        total_s = idle.predict_total(20_000, 30)
        # Only the last slice is copied after prefill has ended.
        copied_s = 4_096 / 200_000
        assert (
            caller.ended_s - caller.asked_s < total_s + copied_s + _ROUND_TRIP_S
        )


def test_capacity_is_that_of_an_engine_with_both_roles():
    assert idle.predict_capacity() == pytest.approx(512 / (0.008 + 0.0128))


def draw(seed, rate=200.0, duration_s=50.0):
    return list(
        workload.draw_requests(
            random.Random(seed), _TENANTS, rate, duration_s, "reader"
        )
    )


def test_workload_has_the_specified_length_distribution():
    requests = [arrival.request for arrival in draw(1)]
    lengths = [request.prompt_tokens for request in requests]
    outputs = [request.max_tokens for request in requests]
    long = sum(tokens > workload.LONG_PROMPT for tokens in lengths)
    shared = sum(bool(request.prefix_blocks) for request in requests)
    large = sum(request.workspace == "adwoa/a" for request in requests)
    n = len(requests)
    assert n == pytest.approx(10_000, rel=0.05)
    assert statistics.median(lengths) == pytest.approx(3_000, rel=0.05)
    assert statistics.median(outputs) == pytest.approx(150, rel=0.05)
    assert long / n == pytest.approx(1 / 50, rel=0.2)
    assert statistics.mean(lengths) == pytest.approx(
        workload.mean_prompt(), rel=0.1
    )
    assert max(lengths) <= 1_000_000 and min(lengths) >= 16
    assert shared / n == pytest.approx(0.45, abs=0.08)
    assert large / n == pytest.approx(0.75, rel=0.05)


def test_workload_is_deterministic_for_a_seed():
    assert draw(1, 5.0, 10.0) == draw(1, 5.0, 10.0)
    assert draw(1, 5.0, 10.0) != draw(2, 5.0, 10.0)


def test_prompts_of_a_workspace_share_its_prefix_only():
    blocks = {}
    for arrival in draw(3, 20.0, 20.0):
        request = arrival.request
        assert len(request.prefix_blocks) * 512 <= request.prompt_tokens
        previous = blocks.setdefault(request.workspace, request.prefix_blocks)
        shorter, longer = sorted((previous, request.prefix_blocks), key=len)
        assert longer[: len(shorter)] == shorter
        blocks[request.workspace] = longer
    assert blocks["adwoa/a"][0] != blocks["adwoa/b"][0]


@pytest.mark.parametrize(
    ("samples", "expected"),
    [
        ([], (None, None, None, 0)),
        ([7.0], (7.0, 7.0, 7.0, 1)),
        (range(1, 101), (50, 95, 99, 100)),
        ([3, 1, 2], (2, 3, 3, 3)),
        ([0.123456], (0.1235, 0.1235, 0.1235, 1)),
    ],
)
def test_percentiles_are_nearest_rank_samples(samples, expected):
    assert quantiles.summarise(list(samples)) == quantiles.Quantiles(*expected)
