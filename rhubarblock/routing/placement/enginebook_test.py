import hypothesis
from hypothesis import strategies

from rhubarblock.routing.placement import enginebook

JOB = enginebook.Job(
    "j1",
    (enginebook.Part("a", 0.2, 5_000), enginebook.Part("b", 0.2)),
    0.2,
)


def test_parts_keep_their_engines_busy_one_after_the_other():
    book = enginebook.EngineBook()
    book.add(JOB, 10.0)
    book.add(enginebook.Job("j2", (enginebook.Part("b", 0.5),), 0.0), 10.1)
    assert round(book.find("a").predict_wait(10.1), 3) == 0.1
    assert round(book.find("b").predict_wait(10.1), 3) == 0.6
    assert round(book.find("b").predict_wait(10.6), 3) == 0.1
    assert book.find("b").predict_wait(11.0) == 0.0
    # A clock that is read late takes nothing back.
    assert book.find("b").predict_wait(10.0) == 0.0


def test_only_the_first_engine_writes():
    book = enginebook.EngineBook()
    book.add(JOB, 0.0)
    assert list(book.find("a").jobs) == ["j1"]
    assert not book.find("b").jobs
    assert not book.find("a").writes
    book.find("a").settle(0.2)
    book.find("b").settle(0.2)
    assert book.find("a").writes
    assert not book.find("b").writes


def test_memory_is_free_again_after_the_end():
    book = enginebook.EngineBook()
    book.add(JOB, 0.0)
    assert book.find("a").tokens == 5_000
    book.remove("j1")
    book.remove("j1")
    assert book.find("a").tokens == 0
    assert not book.find("a").jobs


def test_job_that_is_told_twice_counts_once():
    book = enginebook.EngineBook()
    book.add(JOB, 0.0)
    book.add(JOB, 0.1)
    assert book.find("a").tokens == 5_000
    assert round(book.find("a").predict_wait(0.0), 3) == 0.2


def test_job_whose_end_nobody_told_is_forgotten():
    book = enginebook.EngineBook()
    book.add(JOB, 0.0)
    book.expire(29.9)
    assert book.find("a").jobs
    book.expire(30.0)
    assert not book.find("a").jobs


def test_watcher_hears_of_each_part_at_its_engine():
    book = enginebook.EngineBook()
    heard = []
    with book.watch("b", lambda: heard.append("b")):
        book.add(JOB, 0.0)
        book.add(enginebook.Job("j2", (enginebook.Part("c", 1.0),), 0.0), 0.0)
    book.add(enginebook.Job("j3", (enginebook.Part("b", 1.0),), 0.0), 0.0)
    assert heard == ["b"]


def test_engines_that_left_are_forgotten_unless_something_runs_there():
    book = enginebook.EngineBook()
    book.add(JOB, 0.0)
    book.keep_only(["c"])
    assert book.find("a").jobs
    book.remove("j1")
    book.keep_only(["c"])
    assert book.find("a").predict_wait(0.0) == 0.0


def add_job(book, job_id, read_s, names, now_s, pause_s=0.8):
    parts = tuple(enginebook.Part(name, read_s) for name in names)
    book.add(enginebook.Job(job_id, parts, pause_s, 1_000, 3.0), now_s)
    return book.find(names[0]).jobs[job_id]


def test_what_comes_last_is_read_first():
    book = enginebook.EngineBook()
    old = add_job(book, "old", 1.0, ["a", "b"], 0.0)
    new = add_job(book, "new", 0.25, ["a"], 0.5)
    assert book.predict_finish(new, 0.5) == 0.25
    # Half of the old one is left, behind the new one.
    assert book.predict_finish(old, 0.5) == 0.75
    assert book.predict_finish(old, 0.75) == 0.5
    assert new.writes
    assert not old.writes


def test_engine_that_writes_reads_all_that_waits_in_one_pass():
    book = enginebook.EngineBook()
    add_job(book, "writer", 0.1, ["a"], 0.0)
    add_job(book, "old", 1.0, ["b", "a"], 0.2)
    new = add_job(book, "new", 0.25, ["c", "a"], 0.2)
    assert book.find("a").writes
    assert book.predict_finish(new, 0.2) == 1.25


def test_end_of_a_job_gives_back_the_time_that_it_would_have_taken():
    book = enginebook.EngineBook()
    old = add_job(book, "old", 1.0, ["a"], 0.0)
    add_job(book, "new", 2.0, ["b", "a"], 0.0)
    assert book.predict_finish(old, 0.0) == 3.0
    book.remove("new")
    assert book.predict_finish(old, 0.0) == 1.0
    assert book.find("b").predict_wait(0.0) == 0.0


def test_engine_that_started_anew_holds_nothing_of_before():
    book = enginebook.EngineBook()
    part = enginebook.Part("a", 1.0, 5_000)
    book.add(enginebook.Job("own", (part,), 0.2), 0.0)
    parts = (enginebook.Part("b", 1.0, 700), enginebook.Part("a", 1.0, 900))
    book.add(enginebook.Job("helped", parts, 0.8), 0.0)
    book.remove_engine("a")
    assert book.find("a").tokens == 0
    assert not book.find("a").jobs
    assert book.find("a").predict_wait(0.0) == 0.0
    assert book.find("b").tokens == 700
    book.remove("own")
    book.remove("helped")
    assert book.find("a").tokens == 0
    assert book.find("b").tokens == 0


NAMES = ("a", "b", "c")
STEPS = strategies.tuples(
    strategies.sampled_from(["add", "end", "restart", "keep", "source"]),
    strategies.integers(0, 3),
    strategies.sets(strategies.sampled_from(NAMES), min_size=1),
    strategies.floats(0.0, 2.0),
)


@hypothesis.given(strategies.lists(STEPS, max_size=12))
def test_book_holds_whatever_comes_in_any_order(steps):
    book = enginebook.EngineBook()
    now_s = 0.0
    for verb, number, names, span_s in steps:
        now_s += span_s / 2
        job_id = f"i{number % 2}.s.{number}"
        if verb == "add":
            parts = tuple(enginebook.Part(n, span_s, 10) for n in sorted(names))
            book.add(enginebook.Job(job_id, parts, 0.2), now_s)
        elif verb == "end":
            book.remove(job_id)
        elif verb == "restart":
            book.remove_engine(min(names))
        elif verb == "keep":
            book.keep_only(names)
        else:
            book.remove_source(job_id.rpartition(".")[0])
        later = book.look_ahead(now_s + 0.5)
        for name in NAMES:
            now_wait_s = book.find(name).predict_wait(now_s)
            assert book.find(name).tokens >= 0
            assert later.find(name).predict_wait(now_s + 0.5) >= 0.0
            assert later.find(name).predict_wait(now_s + 0.5) <= now_wait_s
            for placed in book.find(name).jobs.values():
                assert book.predict_finish(placed, now_s) >= 0.0
