import dataclasses

from rhubarblock.core import listed
from rhubarblock.exchange.state import directory as directories


class Timers:
    def __init__(self):
        self.now_s = 0.0

    def read_monotonic(self):
        return self.now_s


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
