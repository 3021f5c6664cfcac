"""Estimates of engine speeds: confidence, age, threshold, restart."""

import random

import pytest

from rhubarblock.routing.placement import speeds


def observe(ratio, count=3, now_s=0.0):
    learned = speeds.EngineSpeeds()
    for _ in range(count):
        learned.note_pass("e1", ratio, now_s)
    return learned


def test_unknown_engine_is_as_fast_as_the_model():
    factors = speeds.EngineSpeeds().find("e1")
    assert (factors.prefill, factors.passes) == (1.0, 1.0)
    assert not factors.is_known


@pytest.mark.parametrize("ratio", [0.85, 1.0, 1.2])
def test_noise_has_no_effect_at_all(ratio):
    factors = observe(ratio, 20).find("e1")
    assert (factors.prefill, factors.passes) == (1.0, 1.0)
    assert factors.is_known


@pytest.mark.parametrize("ratio", [0.5, 2.0, 3.5])
def test_factor_approaches_the_observed_ratio(ratio):
    assert observe(ratio, 8).find("e1").passes == pytest.approx(ratio, rel=0.1)


def test_few_observations_count_less_than_many():
    once, often = (observe(3.0, n).find("e1").passes for n in (1, 8))
    assert 1.5 < once < often


def test_prefill_is_taken_to_be_as_slow_as_passes_until_it_is_seen():
    learned = observe(2.0, 4)
    assert learned.find("e1").prefill > 1.7
    for _ in range(8):
        learned.note_prefill("e1", 1.0, 1.0, 0.0)
    assert learned.find("e1").prefill < 1.2
    assert learned.find("e1").passes > 1.7


def test_one_short_prefill_that_another_job_delayed_is_no_deviation():
    learned = speeds.EngineSpeeds()
    learned.note_prefill("e1", 1.45, 0.07, 0.0)
    assert not learned.find("e1").deviates


def test_engine_returns_to_the_model_when_it_is_no_longer_observed():
    learned = observe(2.0)
    changes = []
    learned.on_change = changes.append
    factors = learned.find("e1")
    seen = []
    for minutes in range(1, 31):
        learned.refresh(60.0 * minutes)
        seen.append(factors.passes)
    assert seen == sorted(seen, reverse=True)
    assert factors.passes == 1.0
    assert not factors.is_known
    assert [change.deviates for change in changes] == [False]
    assert changes[0].age_s > speeds.HALF_LIFE_S


def test_engine_that_recovers_is_followed_within_seconds():
    learned = observe(4.0, 20)
    for second in range(8):
        learned.note_pass("e1", 1.0, float(second))
    assert learned.find("e1").passes < 1.25


def test_restart_forgets_an_engine_also_for_who_holds_its_factors():
    learned = observe(2.0)
    held = learned.find("e1")
    learned.forget("e1")
    assert not held.deviates
    assert not held.is_known
    learned.note_pass("e1", 2.0, 1.0)
    assert held.deviates


def test_unlisted_engines_are_dropped():
    learned = observe(2.0)
    learned.keep_only(["e2"])
    assert not learned.find("e1").deviates


def test_change_is_announced_once_with_its_inputs():
    learned = speeds.EngineSpeeds()
    changes = []
    learned.on_change = changes.append
    for _ in range(5):
        learned.note_pass("e1", 2.0, 7.0)
    assert [c.endpoint_id for c in changes] == ["e1"]
    assert changes[0].deviates
    assert changes[0].deviating == 1
    assert changes[0].age_s == 0.0
    assert changes[0].passes > 1.5


def run_peer_jobs(learned, factors, count=60):
    """Lets peers' jobs run that take 1 s at an engine like the model."""
    rng = random.Random(5)
    now_s = 0.0
    for _ in range(count):
        for endpoint_id, factor in factors.items():
            now_s += 0.05
            taken_s = factor * rng.lognormvariate(0.0, 0.6)
            learned.note_duration(endpoint_id, 5_000, taken_s, now_s)
            learned.refresh(now_s)
    learned.refresh(now_s + speeds.REFRESH_S)
    return now_s


UNEVEN = {"e1": 0.5, "e2": 1.0, "e3": 1.0, "e4": 2.0}


def test_peers_jobs_alone_show_no_deviation():
    """Lengths of answers are unknown, so chance must not change placement."""
    learned = speeds.EngineSpeeds()
    run_peer_jobs(learned, UNEVEN)
    assert not any(learned.find(e).deviates for e in UNEVEN)


def test_peers_jobs_show_other_engines_once_one_was_seen_to_deviate():
    learned = speeds.EngineSpeeds()
    for _ in range(4):
        learned.note_pass("e4", 2.0, 0.0)
    run_peer_jobs(learned, UNEVEN)
    assert learned.find("e1").passes == pytest.approx(0.5, rel=0.35)
    assert learned.find("e1").is_known
    assert not learned.find("e2").deviates


def test_peers_jobs_are_measured_by_engines_that_were_seen():
    """In a pool that is slow as a whole, an average engine is a slow one."""
    learned = speeds.EngineSpeeds()
    for _ in range(4):
        for endpoint_id in ("e1", "e2", "e3"):
            learned.note_pass(endpoint_id, 3.0, 0.0)
    run_peer_jobs(learned, dict.fromkeys(UNEVEN, 3.0))
    assert learned.find("e4").passes > 1.8


def test_pools_are_not_compared_with_each_other():
    learned = speeds.EngineSpeeds()
    learned.find_pool = lambda endpoint_id: endpoint_id[0]
    for _ in range(4):
        learned.note_pass("f1", 2.0, 0.0)
    run_peer_jobs(learned, UNEVEN)
    assert learned.find("f1").deviates
    assert not any(learned.find(e).deviates for e in UNEVEN)
