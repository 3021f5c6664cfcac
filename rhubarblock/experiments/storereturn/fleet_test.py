"""A small fleet before a store that came back without lines."""

import asyncio

import pytest

from rhubarblock.core import position as positions
from rhubarblock.experiments.storereturn import backstore
from rhubarblock.experiments.storereturn import fleet as fleets
from rhubarblock.experiments.storereturn import scenario
from rhubarblock.kernel import virtualloop
from rhubarblock.store import store as stores

SIZE = 7


@pytest.mark.parametrize("way", fleets.WAYS)
@pytest.mark.parametrize("store", scenario.AWAY_S)
def test_all_lines_are_there_again(way, store):
    result = scenario.measure(way, SIZE, scenario.ALL, store)
    assert result.lost == SIZE
    assert result.whole_s is not None
    assert result.writes >= SIZE


def test_each_reads_its_line_and_only_lost_ones_are_written():
    result = scenario.measure(fleets.EACH, SIZE, scenario.TENTH)
    assert (result.lost, result.reads, result.writes) == (1, SIZE, 1)


def test_reader_lists_once_for_each_data_centre():
    result = scenario.measure(fleets.READER, SIZE, scenario.TENTH)
    readers = len(fleets.DATA_CENTRES)
    assert (result.reads, result.lists, result.writes) == (0, readers + 1, 1)


def test_calls_while_the_store_is_away_are_refused():
    result = scenario.measure(fleets.READER, SIZE, store=scenario.AWAY)
    assert result.away > 0
    assert result.whole_s >= scenario.AWAY_S[scenario.AWAY]


def test_lines_that_were_never_written_are_no_return():
    fleet = fleets.ReturnFleet(SIZE, 1.0, backstore.Rates(0, 1), 0.0, 1)
    virtualloop.run(fleet.play(fleets.EACH, 1.0))
    assert scenario._find_times(fleet) == (None, None)


def test_store_refuses_calls_over_its_rate_until_a_second_is_over():
    async def play():
        store = backstore.BackStore(backstore.Rates(2, 2), {})
        for name in "abc":
            try:
                await store.write(name, b"", positions.NOWHERE)
            except stores.StoreError as error:
                assert error.kind is stores.StoreErrorKind.RATE_LIMITED
        await asyncio.sleep(backstore.WINDOW_S)
        await store.write("c", b"", positions.NOWHERE)
        return store

    store = virtualloop.run(play())
    assert store.limited == 1
    assert not store.find_missing("abc")


def test_same_seed_gives_the_same_table():
    first, second = (
        scenario.make_table([scenario.measure(fleets.READER)]) for _ in "12"
    )
    assert first == second
