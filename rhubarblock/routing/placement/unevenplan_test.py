"""Plans on engines of different learned speeds."""

import collections

from rhubarblock.core import listed
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts

MODEL = fakes.MODEL
INSTANCES = 33
ENGINES = [
    listed.ListedEndpoint(f"e{n:02}", f"e{n}", "osu", "p", 8, False)
    for n in range(45)
]


def make_tracker(factors):
    """Returns a tracker that knows the factors of some engines by id."""
    tracker = jobtracker.JobTracker()
    for endpoint_id, factor in factors.items():
        found = tracker.speeds.find(endpoint_id)
        found.prefill = found.passes = factor
        found.is_known = True
    return tracker


def spread_factors():
    """Returns the factors of all engines, from 0.5 to 2."""
    return {
        engine.endpoint_id: 0.5 * 4 ** (n / (len(ENGINES) - 1))
        for n, engine in enumerate(ENGINES)
    }


def plan(tracker, tokens, job_id="i.1", objective_s=0.3):
    prompt = prompts.Prompt(job_id, tokens, 1_600, 0.5, objective_s)
    return partplan.choose_plan(tracker, "osu", prompt, ENGINES, MODEL, 0.0)


def plan_at_once(factors, tokens, objective_s):
    """Returns how often engines are used when all instances place at once."""
    used = collections.Counter()
    for number in range(INSTANCES):
        chosen = plan(
            make_tracker(factors), tokens, f"i{number}.1", objective_s
        )
        used.update(part.endpoint.endpoint_id for part in chosen.parts)
    return used


def test_short_prompts_placed_at_once_spread_over_fast_engines():
    used = plan_at_once(spread_factors(), 5_000, 0.3)
    assert max(used.values()) <= 5
    assert len(used) >= 10
    factors = spread_factors()
    assert max(factors[endpoint_id] for endpoint_id in used) <= 1.0


def test_long_prompts_placed_at_once_do_not_all_take_the_fastest_engine():
    equal = plan_at_once({}, 150_000, 3.0)
    uneven = plan_at_once(spread_factors(), 150_000, 3.0)
    # Engines of equal speed are taken in the same order by all instances.
    assert max(equal.values()) == INSTANCES
    assert max(uneven.values()) <= 0.85 * INSTANCES


def test_long_prompt_avoids_slow_engines():
    factors = {engine.endpoint_id: 1.0 for engine in ENGINES}
    slow = {f"e{n:02}": 4.0 for n in range(0, 45, 3)}
    chosen = plan(make_tracker(factors | slow), 150_000, objective_s=1.0)
    ids = {part.endpoint.endpoint_id for part in chosen.parts}
    assert len(ids) > 1
    assert not ids & slow.keys()


def test_long_prompt_prefers_engines_of_known_speed():
    known = {f"e{n:02}": 1.0 for n in range(0, 45, 2)} | {"e01": 2.0}
    chosen = plan(make_tracker(known), 150_000, objective_s=1.0)
    ids = {part.endpoint.endpoint_id for part in chosen.parts}
    assert ids <= known.keys() - {"e01"}


def test_short_prompt_prefers_a_known_fast_engine():
    chosen = plan(make_tracker({"e07": 1.0, "e08": 2.0}), 5_000)
    assert chosen.parts[0].endpoint.endpoint_id == "e07"


def test_expected_time_is_that_of_the_slowest_engine():
    tracker = make_tracker({engine.endpoint_id: 2.0 for engine in ENGINES})
    chosen = plan(tracker, 5_000)
    expected_s = 2 * MODEL.predict_prefill(5_000)
    assert abs(chosen.expected_s - expected_s) < 1e-9


def test_backlog_of_a_slow_engine_lasts_longer():
    tracker = make_tracker({"e01": 3.0})
    part = jobtracker.Part("e01", 0.5)
    tracker.add(jobtracker.Job("i.1", (part,), 0.5, 90_000, 1.5), 0.0)
    assert tracker.find("e01").predict_wait(0.0) == 1.5
    assert tracker.look_ahead(1.0).find("e01").predict_wait(1.0) == 0.5


def test_known_engines_without_deviation_change_no_plan():
    known = make_tracker({engine.endpoint_id: 1.0 for engine in ENGINES[::2]})
    for tokens in (5_000, 45_000, 300_000):
        before = plan(jobtracker.JobTracker(), tokens)
        after = plan(known, tokens)
        assert after.cost == before.cost
        assert [p.endpoint for p in after.parts] == [
            p.endpoint for p in before.parts
        ]
