import hypothesis
from hypothesis import strategies

from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import speeds

JOB = jobtracker.Job(
    "j1",
    (jobtracker.Part("a", 0.2, 5_000), jobtracker.Part("b", 0.2)),
    0.2,
)


def test_prefills_add_up_and_shrink_with_time():
    tracker = jobtracker.JobTracker()
    tracker.add(JOB, 10.0)
    tracker.add(jobtracker.Job("j2", (jobtracker.Part("b", 0.5),), 0.0), 10.1)
    assert round(tracker.find("a").predict_wait(10.1), 3) == 0.1
    assert round(tracker.find("b").predict_wait(10.1), 3) == 0.6
    assert round(tracker.find("b").predict_wait(10.6), 3) == 0.1
    assert tracker.find("b").predict_wait(11.0) == 0.0
    # An earlier time does not restore the backlog.
    assert tracker.find("b").predict_wait(10.0) == 0.0


def test_only_the_first_engine_decodes():
    tracker = jobtracker.JobTracker()
    tracker.add(JOB, 0.0)
    assert list(tracker.find("a").jobs) == ["j1"]
    assert not tracker.find("b").jobs
    assert not tracker.find("a").is_decoding
    tracker.find("a").settle(0.2)
    tracker.find("b").settle(0.2)
    assert tracker.find("a").is_decoding
    assert not tracker.find("b").is_decoding


def test_memory_is_freed_when_the_job_ends():
    tracker = jobtracker.JobTracker()
    tracker.add(JOB, 0.0)
    assert tracker.find("a").tokens == 5_000
    tracker.remove("j1")
    tracker.remove("j1")
    assert tracker.find("a").tokens == 0
    assert not tracker.find("a").jobs


def test_job_that_is_announced_twice_counts_once():
    tracker = jobtracker.JobTracker()
    tracker.add(JOB, 0.0)
    tracker.add(JOB, 0.1)
    assert tracker.find("a").tokens == 5_000
    assert round(tracker.find("a").predict_wait(0.0), 3) == 0.2


def test_job_whose_end_was_never_announced_expires():
    tracker = jobtracker.JobTracker()
    tracker.add(JOB, 0.0)
    tracker.expire(29.9)
    assert tracker.find("a").jobs
    tracker.expire(30.0)
    assert not tracker.find("a").jobs


def test_watcher_is_called_for_each_part_at_its_engine():
    tracker = jobtracker.JobTracker()
    called = []
    with tracker.watch("b", lambda: called.append("b")):
        tracker.add(JOB, 0.0)
        tracker.add(
            jobtracker.Job("j2", (jobtracker.Part("c", 1.0),), 0.0), 0.0
        )
    tracker.add(jobtracker.Job("j3", (jobtracker.Part("b", 1.0),), 0.0), 0.0)
    assert called == ["b"]


def test_unlisted_engines_are_forgotten_once_their_jobs_ended():
    tracker = jobtracker.JobTracker()
    tracker.add(JOB, 0.0)
    tracker.keep_only(["c"])
    assert tracker.find("a").jobs
    tracker.remove("j1")
    tracker.keep_only(["c"])
    assert tracker.find("a").predict_wait(0.0) == 0.0


def add_job(tracker, job_id, prefill_s, names, now_s, pause_s=0.8):
    parts = tuple(jobtracker.Part(name, prefill_s) for name in names)
    tracker.add(jobtracker.Job(job_id, parts, pause_s, 1_000, 3.0), now_s)
    return tracker.find(names[0]).jobs[job_id]


def test_latest_arrival_is_prefilled_first():
    tracker = jobtracker.JobTracker()
    old = add_job(tracker, "old", 1.0, ["a", "b"], 0.0)
    new = add_job(tracker, "new", 0.25, ["a"], 0.5)
    assert tracker.predict_finish(new, 0.5) == 0.25
    # Half of the old prefill remains, and the new one goes first.
    assert tracker.predict_finish(old, 0.5) == 0.75
    assert tracker.predict_finish(old, 0.75) == 0.5
    assert new.is_decoding
    assert not old.is_decoding


def test_decoding_engine_prefills_all_waiting_parts_in_one_pass():
    tracker = jobtracker.JobTracker()
    add_job(tracker, "writer", 0.1, ["a"], 0.0)
    add_job(tracker, "old", 1.0, ["b", "a"], 0.2)
    new = add_job(tracker, "new", 0.25, ["c", "a"], 0.2)
    assert tracker.find("a").is_decoding
    assert tracker.predict_finish(new, 0.2) == 1.25


def test_end_of_a_job_removes_its_remaining_prefill():
    tracker = jobtracker.JobTracker()
    old = add_job(tracker, "old", 1.0, ["a"], 0.0)
    add_job(tracker, "new", 2.0, ["b", "a"], 0.0)
    assert tracker.predict_finish(old, 0.0) == 3.0
    tracker.remove("new")
    assert tracker.predict_finish(old, 0.0) == 1.0
    assert tracker.find("b").predict_wait(0.0) == 0.0


def test_restarted_engine_has_no_jobs_and_no_memory_in_use():
    tracker = jobtracker.JobTracker()
    part = jobtracker.Part("a", 1.0, 5_000)
    tracker.add(jobtracker.Job("own", (part,), 0.2), 0.0)
    parts = (jobtracker.Part("b", 1.0, 700), jobtracker.Part("a", 1.0, 900))
    tracker.add(jobtracker.Job("helped", parts, 0.8), 0.0)
    tracker.remove_engine("a")
    assert tracker.find("a").tokens == 0
    assert not tracker.find("a").jobs
    assert tracker.find("a").predict_wait(0.0) == 0.0
    assert tracker.find("b").tokens == 700
    tracker.remove("own")
    tracker.remove("helped")
    assert tracker.find("a").tokens == 0
    assert tracker.find("b").tokens == 0


NAMES = ("a", "b", "c")
STEPS = strategies.tuples(
    strategies.sampled_from(["add", "end", "restart", "keep", "source"]),
    strategies.integers(0, 3),
    strategies.sets(strategies.sampled_from(NAMES), min_size=1),
    strategies.floats(0.0, 2.0),
)


@hypothesis.given(strategies.lists(STEPS, max_size=12))
def test_predictions_stay_consistent_after_any_sequence_of_events(steps):
    tracker = jobtracker.JobTracker()
    now_s = 0.0
    for verb, number, names, span_s in steps:
        now_s += span_s / 2
        job_id = f"i{number % 2}.s.{number}"
        if verb == "add":
            parts = tuple(jobtracker.Part(n, span_s, 10) for n in sorted(names))
            tracker.add(jobtracker.Job(job_id, parts, 0.2), now_s)
        elif verb == "end":
            tracker.remove(job_id)
        elif verb == "restart":
            tracker.remove_engine(min(names))
        elif verb == "keep":
            tracker.keep_only(names)
        else:
            tracker.remove_source(job_id.rpartition(".")[0])
        later = tracker.look_ahead(now_s + 0.5)
        for name in NAMES:
            now_wait_s = tracker.find(name).predict_wait(now_s)
            assert tracker.find(name).tokens >= 0
            assert later.find(name).predict_wait(now_s + 0.5) >= 0.0
            assert later.find(name).predict_wait(now_s + 0.5) <= now_wait_s
            for placed in tracker.find(name).jobs.values():
                assert tracker.predict_finish(placed, now_s) >= 0.0


def test_each_part_counts_for_a_second_although_its_job_ended():
    tracker = jobtracker.JobTracker()
    tracker.add(JOB, 10.0)
    tracker.add(JOB, 10.1)
    tracker.remove("j1")
    for name in ("a", "b"):
        assert tracker.recent.count(name, 10.5) == 1
    tracker.remove_engine("a")
    assert tracker.recent.count("a", 10.5) == 0
    assert tracker.recent.count("b", 11.2) == 0


def test_end_of_a_peers_job_is_learned_from_and_frees_its_engine():
    noted = []

    class Recorder(speeds.EngineSpeeds):
        def note_duration(self, *fields):
            noted.append(fields)

    tracker = jobtracker.JobTracker(Recorder())
    part = jobtracker.Part("e1", 0.1, 500)
    tracker.add(jobtracker.Job("p.1", (part,), 0.2, 5_000, 0.3), 1.0)
    tracker.end("p.1", 3.5)
    tracker.end("p.1", 4.0)
    assert noted == [("e1", 5_000, 2.5, 3.5)]
    assert tracker.find("e1").tokens == 0


def test_utilisation_counts_only_the_engines_that_may_be_used():
    # What runs beyond an evacuation or a cut is no load of those that are left.
    tracker = jobtracker.JobTracker()
    busy = jobtracker.Part("busy", 4.0, 1_000)
    tracker.add(jobtracker.Job("p.1", (busy,), 0.2, 5_000, 0.3), 1.0)
    assert tracker.measure_utilisation(["idle"], 8, 1.0) == 0.0
    assert tracker.measure_utilisation(["busy", "idle"], 8, 1.0) == 1.0
    assert tracker.measure_utilisation(["busy"], 8, 4.0) == 0.5
    assert tracker.measure_utilisation(["busy"], 8, 6.0) == 0.125
