"""Compares the plan of a short prompt with a search over every engine."""

import random

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.routing.placement import engineview
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import partplan
from rhubarblock.routing.placement import prompt as prompts

MODEL = fakes.MODEL
ENGINES = [
    listed.ListedEndpoint(
        f"e{n}", f"e{n}", "osu" if n % 3 else "tema", "p", 8, False
    )
    for n in range(9)
]


def draw_tracker(rng):
    """Returns a tracker with random jobs on the engines."""
    tracker = jobtracker.JobTracker()
    for engine in ENGINES:
        for number in range(rng.choice((0, 1, 5, 6, 7, 8, 9))):
            part = jobtracker.Part(
                engine.endpoint_id, 0.0, rng.choice((5_000, 50_000))
            )
            job_id = f"{engine.endpoint_id}.{number}"
            tracker.add(jobtracker.Job(job_id, (part,), 0.2, 5_000, 0.3), 0.0)
        if rng.random() < 0.5:
            part = jobtracker.Part(engine.endpoint_id, rng.uniform(0.0, 0.5))
            job_id = f"{engine.endpoint_id}.long"
            tracker.add(jobtracker.Job(job_id, (part,), 0.8, 90_000, 3.0), 0.0)
    return tracker


def plan_by_full_search(tracker, prompt, now_s):
    """Returns the plan that a search over every engine prefers."""
    forecast = engineview.PrefillForecast(tracker, now_s)
    for engine in ENGINES:
        tracker.find(engine.endpoint_id).settle(now_s)
    views = [
        engineview.view_engine(
            engine,
            tracker.find(engine.endpoint_id),
            forecast,
            MODEL,
            "osu",
            partplan.MEMORY_PART,
        )
        for engine in ENGINES
    ]
    return partplan._PlanBuilder(prompt, views, MODEL, 1).plan()


@pytest.mark.parametrize("seed", range(60))
def test_early_stop_finds_the_same_plan_as_a_full_search(seed):
    tracker = draw_tracker(random.Random(seed))
    prompt = prompts.Prompt(f"j{seed}", 6_000, 1_600, 0.2, 0.3, False)
    full_plan = plan_by_full_search(tracker, prompt, 0.05)
    plan = partplan.choose_plan(tracker, "osu", prompt, ENGINES, MODEL, 0.05)
    if full_plan is None:
        assert plan is None
        return
    assert plan.parts[0].endpoint == full_plan.parts[0].endpoint
    assert plan.cost == full_plan.cost
