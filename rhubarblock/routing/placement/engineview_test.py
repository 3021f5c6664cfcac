"""Tests of what a further part costs the jobs at an engine."""

import random

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.routing.placement import engineview
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import latencycost

ENGINE = listed.ListedEndpoint("a", "10.0.0.1:1", "osu", "pool", 8, False)


def add(
    tracker,
    job_id,
    prefill_s,
    names=("a",),
    pause_s=0.2,
    objective_s=0.3,
    placed_s=0.0,
):
    parts = tuple(jobtracker.Part(name, prefill_s) for name in names)
    job = jobtracker.Job(job_id, parts, pause_s, 12_000, objective_s)
    tracker.add(job, placed_s)
    return tracker.find(names[0]).jobs[job_id]


def view(tracker, now_s):
    forecast = engineview.PrefillForecast(tracker, now_s)
    for name in ("a", "b"):
        tracker.find(name).settle(now_s)
    return engineview.view_engine(
        ENGINE, tracker.find("a"), forecast, fakes.MODEL, "osu", 0.95
    )


def test_part_on_an_idle_engine_costs_nothing():
    idle = view(jobtracker.JobTracker(), 1.0)
    assert idle.compute_cost(5.0) == 0.0
    assert idle.predict_end(0.5) == 0.5


def test_part_lengthens_the_pause_of_a_decoding_job():
    tracker = jobtracker.JobTracker()
    add(tracker, "short", 0.02)
    busy = view(tracker, 1.0)
    assert busy.compute_cost(0.05) == 0.0
    assert busy.compute_cost(0.5) == pytest.approx(0.75 * 2.0)


def test_part_costs_nothing_within_the_allowed_pause():
    tracker = jobtracker.JobTracker()
    add(tracker, "long", 0.02, pause_s=0.8)
    assert view(tracker, 1.0).compute_cost(0.4) == 0.0


def test_pause_cost_counts_for_a_job_that_may_be_late_anyway():
    tracker = jobtracker.JobTracker()
    add(tracker, "short", 0.02)
    add(tracker, "long", 0.5, ("b", "a"), 0.8, 3.0, placed_s=0.95)
    # The part placed one pass ago is done and does not lengthen the next one.
    assert view(tracker, 1.05).compute_pause_cost(0.5) == pytest.approx(
        0.75 * 2.0
    )


def test_part_preempts_an_older_prefill_and_delays_it():
    tracker = jobtracker.JobTracker()
    add(tracker, "reading", 1.0, ("b", "a"), 0.8, 2.0)
    prefilling = view(tracker, 0.1)
    assert prefilling.predict_end(0.5) == pytest.approx(0.53)
    assert prefilling.compute_cost(0.2) < 0.1
    assert prefilling.compute_cost(2.0) == pytest.approx(1.58)


def test_part_that_is_done_before_the_other_parts_costs_nothing():
    tracker = jobtracker.JobTracker()
    add(tracker, "reading", 0.2, ("b", "a"), 0.8, 2.0)
    add(tracker, "longer", 1.5, ("b",), 0.8, 9.0)
    # The later job at the other engine delays it in any case.
    prefilling = view(tracker, 0.0)
    assert prefilling.forecast.compute_delay_cost(
        tracker.find("b").jobs["reading"], 1.7
    ) == pytest.approx(0.0)


def test_answer_pauses_for_an_older_prefill_at_its_engine():
    tracker = jobtracker.JobTracker()
    add(tracker, "giant", 1.8, ("b", "a"), 0.8, 3.0)
    prefilling = view(tracker, 0.0)
    assert prefilling.predict_pause(0.2, 0.2) > 1.8
    # The old prefill goes on while the other parts are prefilled elsewhere.
    assert prefilling.predict_pause(0.2, 1.2) == pytest.approx(0.84, abs=0.05)


def test_decoding_engine_finishes_old_prefills_before_a_new_answer():
    tracker = jobtracker.JobTracker()
    add(tracker, "writer", 0.02)
    add(tracker, "giant", 1.8, ("b", "a"), 0.8, 3.0, placed_s=0.05)
    decoding = view(tracker, 0.1)
    assert decoding.predict_end(0.2) > 1.7 + 0.2
    assert decoding.predict_pause(0.2, 2.0) < 0.1


def compute_naive_pause_cost(busy, prefill_s):
    """Sums up what each answer loses, one after the other."""
    cost = 0.0
    for placed in busy.load.jobs.values():
        before_s = busy.decode_pass_s + busy.same_pass_s
        after_s = before_s + prefill_s
        if not placed.is_decoding:
            finish_s = busy.forecast.predict_finish(placed)
            before_s = busy.decode_pass_s
            after_s = before_s + max(0.0, prefill_s - finish_s)
        job = placed.job
        loss = latencycost.compute_pause_loss(after_s, job.pause_s)
        loss -= latencycost.compute_pause_loss(before_s, job.pause_s)
        cost += loss * latencycost.compute_value(job.prompt_tokens)
    return cost


@pytest.mark.parametrize("seed", range(20))
def test_pause_cost_is_the_sum_of_what_each_answer_loses(seed):
    rng = random.Random(seed)
    tracker = jobtracker.JobTracker()
    for number in range(12):
        names = ("a", "b") if rng.random() < 0.3 else ("a",)
        prefill_s = rng.choice((0.02, 0.3, 2.0))
        pause_s = rng.choice((0.0, 0.2, 0.8))
        placed_s = rng.random()
        add(tracker, f"{number}", prefill_s, names, pause_s, 0.3, placed_s)
    busy = view(tracker, 1.0)
    for prefill_s in (0.01, 0.1, 0.5, 3.0):
        naive = compute_naive_pause_cost(busy, prefill_s)
        assert busy.compute_pause_cost(prefill_s) == pytest.approx(naive)
