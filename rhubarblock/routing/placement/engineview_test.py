"""Each test is who is at an engine, and what a part there takes from them."""

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.routing.placement import enginebook
from rhubarblock.routing.placement import engineview

ENGINE = listed.ListedEndpoint("a", "10.0.0.1:1", "osu", "pool", 8, False)


def add(
    book,
    job_id,
    read_s,
    names=("a",),
    pause_s=0.2,
    objective_s=0.3,
    placed_s=0.0,
):
    parts = tuple(enginebook.Part(name, read_s) for name in names)
    job = enginebook.Job(job_id, parts, pause_s, 12_000, objective_s)
    book.add(job, placed_s)
    return book.find(names[0]).jobs[job_id]


def view(book, now_s):
    outlook = engineview.Outlook(book, now_s)
    for name in ("a", "b"):
        book.find(name).settle(now_s)
    return engineview.view_engine(
        ENGINE, book.find("a"), outlook, fakes.MODEL, "osu", 0.95
    )


def test_idle_engine_costs_nobody_anything():
    idle = view(enginebook.EngineBook(), 1.0)
    assert idle.weigh(5.0) == 0.0
    assert idle.predict_end(0.5) == 0.5


def test_part_costs_a_writer_its_pause():
    book = enginebook.EngineBook()
    add(book, "short", 0.02)
    busy = view(book, 1.0)
    assert busy.weigh(0.05) == 0.0
    assert busy.weigh(0.5) == pytest.approx(0.75 * 2.0)


def test_part_costs_a_writer_nothing_that_allows_a_longer_pause():
    book = enginebook.EngineBook()
    add(book, "long", 0.02, pause_s=0.8)
    assert view(book, 1.0).weigh(0.4) == 0.0


def test_part_costs_a_writer_its_pause_though_it_may_be_late_already():
    book = enginebook.EngineBook()
    add(book, "short", 0.02)
    add(book, "long", 0.5, ("b", "a"), 0.8, 3.0, placed_s=0.95)
    # What was placed a pass ago is read already and leaves the next one free.
    assert view(book, 1.05).weigh_pauses(0.5) == pytest.approx(0.75 * 2.0)


def test_part_goes_before_older_reading_and_delays_it():
    book = enginebook.EngineBook()
    add(book, "reading", 1.0, ("b", "a"), 0.8, 2.0)
    reader = view(book, 0.1)
    assert reader.predict_end(0.5) == pytest.approx(0.53)
    assert reader.weigh(0.2) < 0.1
    assert reader.weigh(2.0) == pytest.approx(1.58)


def test_part_that_ends_before_the_others_delays_nobody():
    book = enginebook.EngineBook()
    add(book, "reading", 0.2, ("b", "a"), 0.8, 2.0)
    add(book, "longer", 1.5, ("b",), 0.8, 9.0)
    # What was placed later at the other engine keeps it waiting in any case.
    reader = view(book, 0.0)
    assert reader.outlook.weigh_later(
        book.find("b").jobs["reading"], 1.7
    ) == pytest.approx(0.0)


def test_answer_written_over_older_reading_pauses_for_it():
    book = enginebook.EngineBook()
    add(book, "giant", 1.8, ("b", "a"), 0.8, 3.0)
    reader = view(book, 0.0)
    assert reader.predict_pause(0.2, 0.2) > 1.8
    # While its other parts are read elsewhere the old reading goes on.
    assert reader.predict_pause(0.2, 1.2) == pytest.approx(0.84, abs=0.05)


def test_engine_that_writes_has_read_the_old_before_a_new_answer():
    book = enginebook.EngineBook()
    add(book, "writer", 0.02)
    add(book, "giant", 1.8, ("b", "a"), 0.8, 3.0, placed_s=0.05)
    writer = view(book, 0.1)
    assert writer.predict_end(0.2) > 1.7 + 0.2
    assert writer.predict_pause(0.2, 2.0) < 0.1
