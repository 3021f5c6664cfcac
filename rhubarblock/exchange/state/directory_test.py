import dataclasses

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange.state import directory as directories


class Timers:
    def __init__(self):
        self.now_s = 0.0

    def read_monotonic(self):
        return self.now_s

    def call_later(self, delay_s, callback):
        pass


A = listed.ListedEndpoint("a", "10.0.0.1:1", "osu", "pool", 8, False)
B = listed.ListedEndpoint("b", "10.0.0.2:1", "osu", "pool", 8, False)


def usable(directory):
    return sorted(e.endpoint_id for e in directory.list_usable("pool"))


def test_draining_endpoint_gets_no_more_work_and_does_not_come_back():
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.update(dataclasses.replace(A, draining=True))
    assert usable(directory) == ["b"]
    directory.update(A)
    assert usable(directory) == ["b"]


def test_removed_endpoint_is_gone_at_once():
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.remove("a")
    assert usable(directory) == ["b"]


def test_entries_that_lapsed_with_the_store_may_come_back():
    timers = Timers()
    directory = directories.Directory(timers)
    directory.replace([A, B])
    directory.replace([])
    assert usable(directory) == ["a", "b"]
    timers.now_s = 1.9
    directory.update(A)
    timers.now_s = 5.0
    directory.expire()
    assert usable(directory) == ["a"]


def test_entry_that_a_listing_lacks_gets_no_work_while_most_are_there():
    # An instance that was cut off lists anew when endpoints left meanwhile.
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.replace([B])
    assert usable(directory) == ["b"]


def test_entries_that_stay_missing_are_gone_after_two_seconds():
    timers = Timers()
    directory = directories.Directory(timers)
    directory.replace([A, B])
    directory.replace([])
    timers.now_s = 1.0
    directory.replace([])
    assert usable(directory) == ["a", "b"]
    timers.now_s = 2.0
    directory.expire()
    assert usable(directory) == []


def test_address_used_again_by_another_service_is_another_endpoint():
    directory = directories.Directory(Timers())
    directory.replace([A])
    directory.remove("a")
    directory.update(dataclasses.replace(A, endpoint_id="c", service="desk"))
    assert usable(directory) == []
    assert directory.find("a") is None


def test_new_start_under_the_same_id_is_another_endpoint():
    directory = directories.Directory(Timers())
    restarted = []
    directory.on_restart = restarted.append
    first = dataclasses.replace(A, born_ms=1_000)
    directory.update(dataclasses.replace(first, draining=True))
    assert usable(directory) == []
    directory.update(dataclasses.replace(A, born_ms=2_000))
    assert usable(directory) == ["a"]
    assert restarted == ["a"]


def test_entry_of_an_older_start_that_comes_late_changes_nothing():
    directory = directories.Directory(Timers())
    directory.update(dataclasses.replace(A, born_ms=2_000))
    directory.update(dataclasses.replace(A, born_ms=1_000, draining=True))
    assert usable(directory) == ["a"]


def test_same_start_does_not_take_back_that_it_leaves():
    directory = directories.Directory(Timers())
    started = dataclasses.replace(A, born_ms=1_000)
    directory.update(dataclasses.replace(started, draining=True))
    directory.update(started)
    assert usable(directory) == []


@pytest.mark.parametrize("born_ms", [0, 1_000])
def test_endpoint_that_said_that_it_leaves_is_not_brought_back(born_ms):
    timers = Timers()
    directory = directories.Directory(timers)
    started = dataclasses.replace(A, born_ms=born_ms)
    directory.replace([started, B])
    assert directory.note_leaving(started)
    assert not directory.note_leaving(started)
    assert usable(directory) == ["b"]
    # The list lags, or comes from a peer that knows less.
    directory.update(started)
    assert usable(directory) == ["b"]
    # Its entry lapses while the store is away, and comes back.
    directory.replace([B])
    timers.now_s = 3.0
    directory.expire()
    directory.update(started)
    assert usable(directory) == ["b"]
    # Another endpoint had its address for a moment.
    directory.remove("a")
    directory.replace([started, B])
    assert usable(directory) == ["b"]


def test_endpoint_that_the_list_called_draining_is_not_brought_back():
    directory = directories.Directory(Timers())
    directory.replace([dataclasses.replace(A, draining=True), B])
    directory.remove("a")
    directory.update(A)
    assert usable(directory) == ["b"]


def test_late_word_of_an_endpoint_that_is_gone_counts():
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.remove("a")
    assert directory.note_leaving(A)
    directory.update(A)
    assert usable(directory) == ["b"]


def test_new_start_of_an_endpoint_that_left_takes_work():
    directory = directories.Directory(Timers())
    restarted = []
    directory.on_restart = restarted.append
    first = dataclasses.replace(A, born_ms=1_000)
    second = dataclasses.replace(A, born_ms=2_000)
    directory.replace([first, B])
    directory.note_leaving(first)
    directory.remove("a")
    directory.update(second)
    assert usable(directory) == ["a", "b"]
    assert restarted == ["a"]
    # What the first start said, and its entry, come late.
    assert not directory.note_leaving(first)
    directory.remove("a")
    directory.update(first)
    assert usable(directory) == ["b"]


def test_endpoints_that_all_leave_are_used_for_part_of_the_time():
    timers = Timers()
    directory = directories.Directory(timers, drain_s=2.0)
    directory.replace([A, B])
    directory.note_leaving(A)
    assert (usable(directory), directory.is_closed("a")) == (["b"], False)
    timers.now_s = 0.5
    directory.note_leaving(B)
    assert usable(directory) == ["a", "b"]
    timers.now_s = 1.0
    assert (usable(directory), directory.is_closed("a")) == (["b"], True)
    timers.now_s = 1.5
    assert usable(directory) == []


def test_endpoints_that_the_list_calls_draining_are_no_last_resort():
    directory = directories.Directory(Timers(), drain_s=2.0)
    directory.replace([A])
    directory.note_leaving(A)
    directory.update(dataclasses.replace(A, draining=True))
    assert (usable(directory), directory.is_closed("a")) == ([], True)


def test_ended_endpoints_are_forgotten_at_last(monkeypatch):
    monkeypatch.setattr(directories, "KEPT_ENDED", 1)
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.note_leaving(A)
    directory.remove("a")
    directory.remove("b")
    directory.update(A)
    assert usable(directory) == ["a"]


def test_entry_that_was_missing_before_the_store_returned_older_is_not_used():
    timers = Timers()
    directory = directories.Directory(timers)
    directory.replace([A, B])
    directory.replace([B])
    timers.now_s = 0.5
    directory.note_return()
    directory.replace([B])
    assert usable(directory) == ["b"]


def test_entry_that_two_returns_lost_has_the_time_of_the_second_to_come_back():
    timers = Timers()
    directory = directories.Directory(timers)
    directory.replace([A, B])
    for now_s in (0.0, 1.9):
        timers.now_s = now_s
        directory.note_return()
        directory.replace([B])
    timers.now_s = 3.8
    directory.expire()
    assert usable(directory) == ["a", "b"]
    timers.now_s = 3.9
    directory.expire()
    assert usable(directory) == ["b"]
