"""Each test is who is at an engine, and what a part there takes from them."""

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.routing.placement import engineview
from rhubarblock.routing.placement import jobtracker

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
    outlook = engineview.Outlook(tracker, now_s)
    for name in ("a", "b"):
        tracker.find(name).settle(now_s)
    return engineview.view_engine(
        ENGINE, tracker.find("a"), outlook, fakes.MODEL, "osu", 0.95
    )


def test_idle_engine_costs_nobody_anything():
    idle = view(jobtracker.JobTracker(), 1.0)
    assert idle.weigh(5.0) == 0.0
    assert idle.predict_end(0.5) == 0.5


def test_part_costs_a_writer_its_pause():
    tracker = jobtracker.JobTracker()
    add(tracker, "short", 0.02)
    busy = view(tracker, 1.0)
    assert busy.weigh(0.05) == 0.0
    assert busy.weigh(0.5) == pytest.approx(0.75 * 2.0)


def test_part_costs_a_writer_nothing_that_allows_a_longer_pause():
    tracker = jobtracker.JobTracker()
    add(tracker, "long", 0.02, pause_s=0.8)
    assert view(tracker, 1.0).weigh(0.4) == 0.0


def test_part_costs_a_writer_its_pause_though_it_may_be_late_already():
    tracker = jobtracker.JobTracker()
    add(tracker, "short", 0.02)
    add(tracker, "long", 0.5, ("b", "a"), 0.8, 3.0, placed_s=0.95)
    # What was placed a pass ago is read already and leaves the next one free.
    assert view(tracker, 1.05).weigh_pauses(0.5) == pytest.approx(0.75 * 2.0)


def test_part_goes_before_older_reading_and_delays_it():
    tracker = jobtracker.JobTracker()
    add(tracker, "reading", 1.0, ("b", "a"), 0.8, 2.0)
    reader = view(tracker, 0.1)
    assert reader.predict_end(0.5) == pytest.approx(0.53)
    assert reader.weigh(0.2) < 0.1
    assert reader.weigh(2.0) == pytest.approx(1.58)


def test_part_that_ends_before_the_others_delays_nobody():
    tracker = jobtracker.JobTracker()
    add(tracker, "reading", 0.2, ("b", "a"), 0.8, 2.0)
    add(tracker, "longer", 1.5, ("b",), 0.8, 9.0)
    # What was placed later at the other engine keeps it waiting in any case.
    reader = view(tracker, 0.0)
    assert reader.outlook.weigh_later(
        tracker.find("b").jobs["reading"], 1.7
    ) == pytest.approx(0.0)


def test_answer_written_over_older_reading_pauses_for_it():
    tracker = jobtracker.JobTracker()
    add(tracker, "giant", 1.8, ("b", "a"), 0.8, 3.0)
    reader = view(tracker, 0.0)
    assert reader.predict_pause(0.2, 0.2) > 1.8
    # While its other parts are read elsewhere the old reading goes on.
    assert reader.predict_pause(0.2, 1.2) == pytest.approx(0.84, abs=0.05)


def test_engine_that_writes_has_read_the_old_before_a_new_answer():
    tracker = jobtracker.JobTracker()
    add(tracker, "writer", 0.02)
    add(tracker, "giant", 1.8, ("b", "a"), 0.8, 3.0, placed_s=0.05)
    writer = view(tracker, 0.1)
    assert writer.predict_end(0.2) > 1.7 + 0.2
    assert writer.predict_pause(0.2, 2.0) < 0.1
