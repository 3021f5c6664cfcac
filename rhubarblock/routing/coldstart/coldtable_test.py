"""When an endpoint begins and ceases to count as cold."""

import dataclasses

import pytest

from rhubarblock.core import listed as lists
from rhubarblock.routing.coldstart import coldtable

Arrival = coldtable.Arrival
START_S = 15.0
ENTRY = lists.ListedEndpoint("e1", "127.0.0.1:1", "dc", "desk", 6, False)


def note(table, now_s, arrival=Arrival.KNOWN, left_s=None):
    entry = dataclasses.replace(ENTRY, cold_remaining_s=left_s)
    table.note_entry(entry, arrival, START_S, now_s)


def find_end(table):
    """Returns the end of the latest cold period."""
    period = table.find("e1")
    return period.find_end(START_S) if period else None


def restart(now_s=100.0, left_s=None):
    table = coldtable.ColdTable()
    note(table, 0.0, Arrival.FIRST)
    note(table, now_s, Arrival.RESTARTED, left_s)
    return table


@pytest.mark.parametrize(
    ("arrival", "left_s", "end_s"),
    [
        (Arrival.FIRST, None, None),
        (Arrival.FIRST, 0.0, None),
        (Arrival.FIRST, 4.0, 104.0),
        (Arrival.NEW, None, 115.0),
        (Arrival.NEW, 0.0, None),
        (Arrival.NEW, 4.0, 104.0),
        (Arrival.RESTARTED, None, 115.0),
        (Arrival.RESTARTED, 0.0, None),
        (Arrival.KNOWN, 4.0, 104.0),
        (Arrival.KNOWN, None, None),
        # An entry of any writer can't make an endpoint cold for good.
        (Arrival.FIRST, 1e9, 115.0),
    ],
)
def test_entry_decides_on_the_begin(arrival, left_s, end_s):
    table = coldtable.ColdTable()
    note(table, 100.0, arrival, left_s)
    assert find_end(table) == end_s


def test_entry_or_answer_that_says_warm_ends_it():
    table = restart()
    note(table, 103.0, left_s=0.0)
    assert not table.is_cold("e1", START_S, 103.0)
    table = restart()
    table.note_answer("e1", 0.0, 102.9, START_S, 103.0)
    assert not table.is_cold("e1", START_S, 103.0)


def test_answer_of_the_earlier_start_does_not_end_it():
    table = restart()
    table.note_answer("e1", 0.0, 99.0, START_S, 101.0)
    assert find_end(table) == 115.0


def test_answer_begins_and_shortens_it_but_does_not_restart_it():
    table = coldtable.ColdTable()
    table.note_answer("e1", 9.0, 99.9, START_S, 100.0)
    assert find_end(table) == 109.0
    table.note_answer("e1", 7.0, 101.0, START_S, 101.0)
    assert find_end(table) == 108.0
    # A slow answer states no later end.
    table.note_answer("e1", 7.0, 101.5, START_S, 101.8)
    assert find_end(table) == 108.0
    # An endpoint that states much more has started again.
    table.note_answer("e1", 15.0, 105.0, START_S, 105.0)
    assert find_end(table) == 120.0
    # Answers may overtake each other.
    table.note_answer("e1", 0.0, 104.0, START_S, 106.0)
    assert find_end(table) == 120.0


def test_late_entry_does_not_make_a_warm_endpoint_cold_again():
    table = restart(left_s=15.0)
    table.note_answer("e1", 0.0, 110.0, START_S, 110.0)
    note(table, 111.0, left_s=12.0)
    assert not table.is_cold("e1", START_S, 111.0)
    note(table, 112.0, left_s=14.0)
    assert table.is_cold("e1", START_S, 112.0)


def test_end_of_an_evacuation_makes_it_cold():
    table = coldtable.ColdTable()
    note(table, 0.0, Arrival.FIRST, 0.0)
    table.note_return("e1", 100.0)
    # The entry said so before; only news ends it.
    assert find_end(table) == 115.0


def test_endpoint_that_was_unreachable_is_cold_once_for_each_absence():
    table = coldtable.ColdTable()
    table.note_reached_again("e1", 95.0, 100.0)
    assert find_end(table) == 115.0
    # Another request notices the same absence later.
    table.note_reached_again("e1", 96.0, 120.0)
    assert find_end(table) == 115.0
    table.note_reached_again("e1", 121.0, 125.0)
    assert find_end(table) == 140.0


def test_peers_report_never_restarts_the_ramp():
    """Guards against instances that keep an endpoint cold in turn."""
    table = coldtable.ColdTable()
    note(table, 0.0, Arrival.FIRST)
    table.note_peer_cold("e1", 100.0, 115.0, True, START_S)
    for at_s in range(101, 115):
        # Each peer counts from its own observation, slightly later.
        begun_s = 100.0 + (at_s - 100) * 0.05
        table.note_peer_cold("e1", begun_s, begun_s + 15.0, True, START_S)
    assert find_end(table) == 115.0
    table.note_peer_cold("e1", 114.9, 115.9, True, START_S)
    assert not table.is_cold("e1", START_S, 115.0)


def test_list_of_this_instance_outranks_a_peers_list():
    table = coldtable.ColdTable()
    note(table, 50.0, Arrival.FIRST)
    table.note_peer_cold("e1", 60.0, 75.0, False, START_S)
    assert find_end(table) is None
    # Before its first list it can't have seen the start.
    table.note_peer_cold("e1", 45.0, 60.0, False, START_S)
    assert find_end(table) == 60.0


def test_peers_observation_of_a_second_start_counts():
    table = restart()
    table.note_peer_cold("e1", 110.0, 125.0, True, START_S)
    assert find_end(table) == 125.0


def test_peers_observation_of_the_end_counts_for_this_start_only():
    table = restart()
    table.note_peer_warm("e1", 99.0)
    assert find_end(table) == 115.0
    table.note_peer_warm("e1", 104.0)
    assert not table.is_cold("e1", START_S, 104.1)
    # A report that was under way does not restore it.
    table.note_peer_cold("e1", 100.0, 115.0, True, START_S)
    assert not table.is_cold("e1", START_S, 104.1)


def test_unlisted_endpoints_are_forgotten():
    table = restart()
    table.keep_only({"e2"})
    assert table.list_ids() == []
