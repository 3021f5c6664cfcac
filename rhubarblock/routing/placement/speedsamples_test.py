"""Which times of an answer count as observations of its engine."""

import pytest

from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import speedsamples

MODEL = fakes.MODEL
TOKENS = 45_000
PREFILL_S = MODEL.predict_prefill(TOKENS)


def place(tracker, job_id, engines=("e1",), prefill_s=PREFILL_S, now_s=0.0):
    parts = tuple(
        jobtracker.Part(engine, prefill_s, 0 if n else TOKENS)
        for n, engine in enumerate(engines)
    )
    job = jobtracker.Job(job_id, parts, 0.5, TOKENS, 1.5)
    tracker.add(job, now_s)
    return job


def start(tracker, engines=("e1",)):
    job = place(tracker, "i.1", engines)
    return speedsamples.AnswerSamples(tracker, job, MODEL, 0.0)


def predict_pass(tracker):
    return tracker.find("e1").predict_model_stride(MODEL)


def stream(samples, first_s, pause_s, events=12, between=lambda n: None):
    """Plays an answer; ``between`` is called before each event."""
    for number in range(events):
        between(number)
        samples.note_event(first_s + number * pause_s)


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.5])
def test_pauses_and_first_event_show_the_speed(factor):
    tracker = jobtracker.JobTracker()
    samples = start(tracker)
    stream(samples, factor * PREFILL_S, factor * predict_pass(tracker))
    factors = tracker.speeds.find("e1")
    assert factors.is_known
    assert factors.passes == pytest.approx(factor, rel=0.12)
    assert factors.prefill == pytest.approx(factor, rel=0.2)


def test_prefills_of_others_are_no_sign_of_a_slow_engine():
    tracker = jobtracker.JobTracker()
    samples = start(tracker)

    def prefill_for_other(number):
        if number % 2 == 0:
            place(tracker, f"o.{number}", ("e2", "e1"), 0.05, 0.2 * number)

    stream(samples, PREFILL_S, 0.2, between=prefill_for_other)
    assert not tracker.speeds.find("e1").deviates


def test_prefill_announced_after_its_pass_is_no_sign_of_a_slow_engine():
    tracker = jobtracker.JobTracker()
    samples = start(tracker)
    pass_s = predict_pass(tracker)
    at_s = PREFILL_S
    for number in range(20):
        # In each fourth pass a prompt is prefilled that is told later.
        samples.note_event(at_s)
        at_s += pass_s + (0.2 if number % 4 == 3 else 0.0)
    assert not tracker.speeds.find("e1").deviates


def test_first_event_after_another_placement_does_not_count():
    tracker = jobtracker.JobTracker()
    samples = start(tracker)
    place(tracker, "o.1", now_s=0.01)
    samples.note_event(3 * PREFILL_S)
    samples.note_event(3 * PREFILL_S + 0.05)
    assert not tracker.speeds.find("e1").deviates


def test_placement_announced_after_the_first_event_discards_it():
    tracker = jobtracker.JobTracker()
    samples = start(tracker)
    samples.note_event(3 * PREFILL_S)
    place(tracker, "o.1", now_s=3 * PREFILL_S)
    samples.note_event(3 * PREFILL_S + 0.05)
    assert not tracker.speeds.find("e1").deviates


def test_first_event_behind_a_backlog_does_not_count():
    tracker = jobtracker.JobTracker()
    place(tracker, "o.1")
    samples = start(tracker)
    samples.note_event(5 * PREFILL_S)
    samples.note_event(5 * PREFILL_S + 0.05)
    assert not tracker.speeds.find("e1").deviates


def test_split_prompt_shows_the_only_unknown_engine():
    tracker = jobtracker.JobTracker()
    for engine in ("e1", "e2"):
        for _ in range(4):
            tracker.speeds.note_pass(engine, 1.0, 0.0)
    samples = start(tracker, ("e1", "e2", "e3"))
    samples.note_event(3 * PREFILL_S)
    samples.note_event(3 * PREFILL_S + 0.05)
    deviating = [
        e for e in ("e1", "e2", "e3") if tracker.speeds.find(e).deviates
    ]
    assert deviating == ["e3"]


def test_split_prompt_bounds_an_engine_that_is_taken_for_slow():
    tracker = jobtracker.JobTracker()
    tracker.speeds.note_pass("e2", 3.0, 0.0)
    before = tracker.speeds.find("e2").prefill
    samples = start(tracker, ("e1", "e2"))
    samples.note_event(PREFILL_S)
    samples.note_event(PREFILL_S + 0.05)
    assert tracker.speeds.find("e2").prefill < before


@pytest.mark.parametrize("how", ["disturbed", "several at once"])
def test_pauses_that_the_instance_causes_do_not_count(how):
    tracker = jobtracker.JobTracker()
    samples = start(tracker)
    pass_s = 3 * predict_pass(tracker)
    samples.start(1.0)
    for number in range(12):
        count = 3 if how == "several at once" else 1
        samples.note_event(1.0 + PREFILL_S + number * pass_s, count)
        if how == "disturbed":
            samples.disturb()
    assert not tracker.speeds.find("e1").deviates


def test_nearly_full_engine_is_not_observed():
    tracker = jobtracker.JobTracker()
    samples = start(tracker)
    for number in range(MODEL.slots - 1):
        place(tracker, f"o.{number}", prefill_s=0.0)
    stream(samples, PREFILL_S, 4 * predict_pass(tracker))
    assert not tracker.speeds.find("e1").is_known
