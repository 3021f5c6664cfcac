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


def test_draining_endpoint_stays_unusable():
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.update(dataclasses.replace(A, draining=True))
    assert usable(directory) == ["b"]
    directory.update(A)
    assert usable(directory) == ["b"]


def test_removed_endpoint_is_unusable_at_once():
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.remove("a")
    assert usable(directory) == ["b"]


def test_expired_entries_may_reappear_after_a_store_outage():
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


def test_missing_entry_is_unusable_while_most_are_present():
    # An instance that was cut off reads a new list; the endpoint has left
    # meanwhile.
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.replace([B])
    assert usable(directory) == ["b"]


def test_missing_entries_are_removed_after_two_seconds():
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


def test_reused_address_is_another_endpoint():
    directory = directories.Directory(Timers())
    directory.replace([A])
    directory.remove("a")
    directory.update(dataclasses.replace(A, endpoint_id="c", service="desk"))
    assert usable(directory) == []
    assert directory.find("a") is None


def report_reused(directory, known=A):
    return directory.remove_reused(
        known.endpoint_id, known.address, known.born_ms
    )


def test_report_of_a_reused_address_removes_the_endpoint():
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    assert report_reused(directory)
    assert not report_reused(directory)
    assert usable(directory) == ["b"]
    directory.update(A)
    assert usable(directory) == ["a", "b"]


@pytest.mark.parametrize(
    "later", [{"address": "10.0.0.3:1"}, {"address": A.address, "born_ms": 9}]
)
def test_report_of_a_reused_address_keeps_a_later_start(later):
    directory = directories.Directory(Timers())
    directory.replace([A])
    directory.update(dataclasses.replace(A, **later))
    assert not report_reused(directory)
    assert usable(directory) == ["a"]


def test_late_report_keeps_an_endpoint_that_a_list_named_again():
    # A list that does not change later would not name it once more.
    timers = Timers()
    directory = directories.Directory(timers)
    directory.replace([A])
    directory.remove("a")
    directory.update(A)
    timers.now_s = directories.REPORT_DELAY_S - 0.1
    assert not report_reused(directory)
    timers.now_s = directories.REPORT_DELAY_S
    assert report_reused(directory)


def test_restart_under_the_same_id_clears_the_drain():
    directory = directories.Directory(Timers())
    restarted = []
    directory.on_restart = restarted.append
    first = dataclasses.replace(A, born_ms=1_000)
    directory.update(dataclasses.replace(first, draining=True))
    assert usable(directory) == []
    directory.update(dataclasses.replace(A, born_ms=2_000))
    assert usable(directory) == ["a"]
    assert restarted == ["a"]


def test_late_entry_of_an_older_start_is_ignored():
    directory = directories.Directory(Timers())
    directory.update(dataclasses.replace(A, born_ms=2_000))
    directory.update(dataclasses.replace(A, born_ms=1_000, draining=True))
    assert usable(directory) == ["a"]


def test_drain_of_one_start_is_never_reset():
    directory = directories.Directory(Timers())
    started = dataclasses.replace(A, born_ms=1_000)
    directory.update(dataclasses.replace(started, draining=True))
    directory.update(started)
    assert usable(directory) == []


@pytest.mark.parametrize("born_ms", [0, 1_000])
def test_announced_leave_outranks_later_lists(born_ms):
    timers = Timers()
    directory = directories.Directory(timers)
    started = dataclasses.replace(A, born_ms=born_ms)
    directory.replace([started, B])
    assert directory.note_leaving(started)
    assert not directory.note_leaving(started)
    assert usable(directory) == ["b"]
    # The list lags, or is of a peer that is behind.
    directory.update(started)
    assert usable(directory) == ["b"]
    # Its entry expires while the store is down, and reappears.
    directory.replace([B])
    timers.now_s = 3.0
    directory.expire()
    directory.update(started)
    assert usable(directory) == ["b"]
    # Another endpoint had its address for a moment.
    directory.remove("a")
    directory.replace([started, B])
    assert usable(directory) == ["b"]


def test_listed_drain_outlasts_a_removal():
    directory = directories.Directory(Timers())
    directory.replace([dataclasses.replace(A, draining=True), B])
    directory.remove("a")
    directory.update(A)
    assert usable(directory) == ["b"]


def test_leave_announced_after_the_removal_counts():
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.remove("a")
    assert directory.note_leaving(A)
    directory.update(A)
    assert usable(directory) == ["b"]


def test_restart_of_an_endpoint_that_left_is_usable():
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
    # The announcement and the entry of the first start arrive late.
    assert not directory.note_leaving(first)
    directory.remove("a")
    directory.update(first)
    assert usable(directory) == ["b"]


def test_leaving_endpoints_are_a_last_resort_for_a_while():
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


def test_listed_drain_is_no_last_resort():
    directory = directories.Directory(Timers(), drain_s=2.0)
    directory.replace([A])
    directory.note_leaving(A)
    directory.update(dataclasses.replace(A, draining=True))
    assert (usable(directory), directory.is_closed("a")) == ([], True)


def test_records_of_ended_endpoints_are_limited(monkeypatch):
    monkeypatch.setattr(directories, "MAX_ENDED", 1)
    directory = directories.Directory(Timers())
    directory.replace([A, B])
    directory.note_leaving(A)
    directory.remove("a")
    directory.remove("b")
    directory.update(A)
    assert usable(directory) == ["a"]


def test_entry_missing_before_a_restore_is_unusable():
    timers = Timers()
    directory = directories.Directory(timers)
    directory.replace([A, B])
    directory.replace([B])
    timers.now_s = 0.5
    directory.note_store_restore()
    directory.replace([B])
    assert usable(directory) == ["b"]


def test_entry_lost_in_two_restores_may_reappear_after_the_second():
    timers = Timers()
    directory = directories.Directory(timers)
    directory.replace([A, B])
    for now_s in (0.0, 1.9):
        timers.now_s = now_s
        directory.note_store_restore()
        directory.replace([B])
    timers.now_s = 3.8
    directory.expire()
    assert usable(directory) == ["a", "b"]
    timers.now_s = 3.9
    directory.expire()
    assert usable(directory) == ["b"]


C = listed.ListedEndpoint("c", "10.0.0.3:1", "mill", "pool", 8, False)


def test_endpoints_of_an_evacuated_data_centre_are_unusable():
    directory = directories.Directory(Timers())
    returned = []
    directory.on_return = returned.append
    directory.replace([A, C])
    before = directory.number
    directory.set_evacuated(frozenset({"osu", "elsewhere"}))
    assert directory.number > before
    assert (usable(directory), directory.is_closed("a")) == (["c"], True)
    assert not directory.is_closed("c")
    directory.update(B)
    directory.set_evacuated(frozenset({"mill"}))
    assert usable(directory) == ["a", "b"]
    assert returned == ["elsewhere", "osu"]


def test_evacuated_endpoints_are_not_used_if_most_entries_are_missing():
    directory = directories.Directory(Timers())
    directory.replace([A, B, C])
    directory.replace([])
    directory.set_evacuated(frozenset({"osu"}))
    assert usable(directory) == ["c"]


def test_evacuated_endpoint_is_no_last_resort():
    directory = directories.Directory(Timers(), drain_s=2.0)
    directory.replace([A])
    directory.note_leaving(A)
    assert (usable(directory), directory.is_closed("a")) == (["a"], False)
    directory.set_evacuated(frozenset({"osu"}))
    assert (usable(directory), directory.is_closed("a")) == ([], True)


def test_withheld_endpoints_are_unusable_until_evacuations_are_set():
    directory = directories.Directory(Timers())
    directory.withhold()
    directory.replace([A])
    assert (usable(directory), directory.is_closed("a")) == ([], True)
    directory.set_evacuated(frozenset())
    assert (usable(directory), directory.is_closed("a")) == (["a"], False)


def test_evacuated_endpoints_count_only_in_the_sizes_for_peers():
    directory = directories.Directory(Timers())
    directory.replace([A, B, C])
    directory.set_evacuated(frozenset({"osu"}))
    assert directory.count("pool") == directory.count("pool", "mill") == 1
    assert directory.count("pool", "osu") == 0
    assert directory.count_services() == {"pool": {"osu": 2, "mill": 1}}


def test_entries_are_reported_with_how_they_relate_to_what_was_known():
    directory = directories.Directory(Timers())
    seen = []
    directory.on_listed = lambda entry, arrival: seen.append(
        (entry.endpoint_id, arrival.value)
    )
    first = dataclasses.replace(A, born_ms=1_000)
    directory.replace([first])
    directory.replace([first, B])
    directory.update(dataclasses.replace(first, cold_remaining_s=1.0))
    directory.update(dataclasses.replace(first, born_ms=2_000))
    directory.update(first)
    # An entry that was gone for a while is no new start.
    directory.remove("a")
    directory.update(dataclasses.replace(first, born_ms=2_000))
    assert seen == [
        ("a", "first list"),
        ("b", "new entry"),
        ("a", "known"),
        ("a", "later start"),
        ("a", "known"),
    ]
