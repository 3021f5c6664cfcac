"""Tests of the scenario ``store-return`` on a small fleet."""

import asyncio

import pytest

from rhubarblock.core import position as positions
from rhubarblock.experiments.storereturn import fleet as fleets
from rhubarblock.experiments.storereturn import restoredstore
from rhubarblock.experiments.storereturn import scenario
from rhubarblock.kernel import virtualloop
from rhubarblock.store import store as stores

SIZE = 7


@pytest.mark.parametrize("way", fleets.WAYS)
@pytest.mark.parametrize("store", scenario.AWAY_S)
def test_all_lost_entries_are_rewritten(way, store):
    result = scenario.measure(way, SIZE, scenario.ALL, store)
    assert result.lost == SIZE
    assert result.whole_s is not None
    assert result.writes >= SIZE


def test_each_instance_reads_its_entry_and_only_lost_ones_are_written():
    result = scenario.measure(fleets.EACH, SIZE, scenario.TENTH)
    assert (result.lost, result.reads, result.writes) == (1, SIZE, 1)


def test_reader_lists_once_for_each_data_centre():
    result = scenario.measure(fleets.READER, SIZE, scenario.TENTH)
    readers = len(fleets.DATA_CENTRES)
    assert (result.reads, result.lists, result.writes) == (0, readers + 1, 1)


def test_store_refuses_calls_until_it_is_ready():
    result = scenario.measure(fleets.READER, SIZE, store=scenario.AWAY)
    assert result.away > 0
    assert result.whole_s >= scenario.AWAY_S[scenario.AWAY]


def test_times_are_none_if_entries_stay_lost():
    fleet = fleets.ReturnFleet(SIZE, 1.0, restoredstore.Rates(0, 1), 0.0, 1)
    virtualloop.run(fleet.run(fleets.EACH, 1.0))
    assert scenario._compute_times(fleet) == (None, None)


def test_store_limits_the_rate_over_a_sliding_window():
    async def run():
        store = restoredstore.RestoredStore(restoredstore.Rates(2, 2), {})
        for name in "abc":
            try:
                await store.write(name, b"", positions.NOWHERE)
            except stores.StoreError as error:
                assert error.kind is stores.StoreErrorKind.RATE_LIMITED
        await asyncio.sleep(restoredstore.WINDOW_S)
        await store.write("c", b"", positions.NOWHERE)
        return store

    store = virtualloop.run(run())
    assert store.limited == 1
    assert not store.find_missing("abc")


def test_table_is_deterministic_for_a_seed():
    first, second = (
        scenario.make_table([scenario.measure(fleets.READER)]) for _ in "12"
    )
    assert first == second
