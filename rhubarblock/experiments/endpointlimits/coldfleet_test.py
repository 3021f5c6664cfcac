"""Tests that a cold endpoint gets no more than its bound from all instances."""

import asyncio

import pytest

from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.experiments.endpointlimits import coldfleet as coldfleets
from rhubarblock.experiments.endpointlimits import fleet as fleets
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.endpointlimits import peers as limitpeers

COLD_S = 15.0
ENDPOINT_ID = fleets.ENDPOINT.endpoint_id
# Seconds until the last instance knows a change of the list.
LIST_S = 1.0


def run(step):
    return virtualloop.run(step())


def count_worst(fleet):
    return fleet.count_worst_window(0.0, coldfleets.WINDOW_S)


def count_later(fleet, from_s):
    return sum(at_s >= from_s for at_s in fleet.arrived_s)


async def load(fleet, length_s, per_s=100.0, names=None):
    """Offers load; returns the requests a second that were sent."""
    names = list(names or fleet.instances)
    before = len(fleet.arrived_s)
    await fleet.load(names, per_s / len(names), length_s, waits=True)
    return (len(fleet.arrived_s) - before) / length_s


@pytest.mark.parametrize("count", [7, 82, 300])
@pytest.mark.parametrize("per_s", [1.0, 26.0])
def test_restarted_endpoint_gets_its_rate_and_never_over_the_bound(
    count, per_s
):
    async def step():
        fleet = coldfleets.ColdFleet(count, per_s, COLD_S)
        fleet.restart(LIST_S)
        await load(fleet, 2.0)
        used = await load(fleet, 10.0)
        return fleet, used

    fleet, used = run(step)
    assert count_worst(fleet) <= fleet.bound
    assert 0.8 * per_s <= used <= 1.1 * per_s


def test_endpoint_that_turns_cold_unnoticed_stays_within_the_bound():
    """No entry, header or failure tells of it."""

    async def step():
        fleet = coldfleets.ColdFleet(82, 26.0, COLD_S)
        await load(fleet, 5.0, 200.0)
        return fleet

    fleet = run(step)
    assert not fleet.list_cold()
    assert 0.7 * fleet.bound <= count_worst(fleet) <= fleet.bound


def test_bound_holds_while_the_instances_are_cut_in_halves():
    async def step():
        fleet = coldfleets.ColdFleet(8, 26.0, COLD_S)
        fleet.cut_in_halves()
        await asyncio.sleep(peer_table.ALIVE_S)
        # One request may find what it learned before out of date.
        fleet.restart(LIST_S)
        return fleet, await load(fleet, 12.0)

    fleet, used = run(step)
    assert count_worst(fleet) <= fleet.bound
    assert used >= 0.6 * 26.0


def test_bound_holds_when_a_cut_begins_and_ends_while_it_is_cold():
    async def step():
        fleet = coldfleets.ColdFleet(8, 26.0, COLD_S)
        fleet.restart(LIST_S)
        await load(fleet, 4.0)
        fleet.cut_in_halves()
        await load(fleet, 4.0)
        fleet.partitions = []
        await load(fleet, 4.0)
        return fleet

    fleet = run(step)
    assert count_worst(fleet) <= fleet.bound


def test_paused_instance_does_not_exceed_the_bound_when_it_is_back():
    async def step():
        fleet = coldfleets.ColdFleet(7, 26.0, COLD_S)
        others = list(fleet.instances)[1:]
        fleet.dead.add("i0")
        fleet.pause_list("i0")
        fleet.restart(LIST_S)
        await load(fleet, 5.0, names=others)
        fleet.dead.clear()
        fleet.resume_list("i0")
        return fleet, await load(fleet, 5.0)

    fleet, used = run(step)
    assert count_worst(fleet) <= fleet.bound
    assert used >= 0.6 * 26.0


def test_instance_that_has_just_started_hears_of_it_from_its_peers():
    """Its first list has the endpoint without a cold time."""

    async def step():
        fleet = coldfleets.ColdFleet(7, 26.0, COLD_S)
        fleet.dead.add("i0")
        fleet.restart(LIST_S)
        await load(fleet, 5.0, names=list(fleet.instances)[1:])
        fleet.dead.clear()
        fleet.replace_instance("i0")
        fleet.limits["i1"].send_limits("i0")
        await asyncio.sleep(2 * fleets.LATENCY_S)
        known = "i0" in fleet.list_cold()
        await load(fleet, 5.0)
        return fleet, known

    fleet, known = run(step)
    assert known
    assert count_worst(fleet) <= fleet.bound


def test_bound_holds_and_the_rate_is_used_when_the_coordinator_is_lost():
    async def step():
        fleet = coldfleets.ColdFleet(7, 26.0, 40.0)
        fleet.restart(LIST_S)
        await load(fleet, 4.0)
        chosen = fleet.peers["i0"].choose_coordinator(ENDPOINT_ID, set())
        fleet.dead.add("i0" if chosen == limitpeers.SELF else chosen)
        await load(fleet, 12.0)
        return fleet, await load(fleet, 8.0)

    fleet, used = run(step)
    assert count_worst(fleet) <= fleet.bound
    # The share of the lost instance is unused.
    assert used >= 0.6 * 26.0


def test_all_endpoints_cold_at_once_are_used_at_their_rate():
    """The only endpoint is cold: nobody is refused for good."""

    async def step():
        fleet = coldfleets.ColdFleet(82, 26.0, COLD_S)
        for instance in fleet.instances.values():
            instance.directory.on_return(fleets.ENDPOINT.data_centre)
        await load(fleet, 2.0)
        return fleet, await load(fleet, 10.0)

    fleet, used = run(step)
    assert count_worst(fleet) <= fleet.bound
    assert used >= 0.9 * 26.0


def test_ramp_is_not_restarted_by_each_instance():
    """Each instance finds the endpoint back at another time."""

    async def step():
        fleet = coldfleets.ColdFleet(20, 26.0, COLD_S)
        for instance in fleet.instances.values():
            instance.cold_starts.note_broken(ENDPOINT_ID)
        await asyncio.sleep(1.0)
        began_s = fleet.timers.read_monotonic()
        for instance in fleet.instances.values():
            sent_s = fleet.timers.read_monotonic()
            instance.cold_starts.note_answer(ENDPOINT_ID, None, sent_s)
            await asyncio.sleep(1.0)
        while fleet.list_cold():
            await asyncio.sleep(0.5)
        return fleet.timers.read_monotonic() - began_s

    # The last one finds it back when the period is long over.
    assert run(step) <= 20.5


def test_answer_without_a_limit_does_not_end_the_cold_limit():
    """The endpoint of this fleet never states a limit."""

    async def step():
        fleet = coldfleets.ColdFleet(7, 26.0, COLD_S)
        fleet.restart()
        await load(fleet, 5.0)
        return len(fleet.list_cold()), {
            limits.find_rate(ENDPOINT_ID) for limits in fleet.limits.values()
        }

    assert run(step) == (7, {26.0})


def test_limit_ends_at_all_instances_when_one_hears_that_it_is_warm():
    async def step():
        fleet = coldfleets.ColdFleet(7, 26.0, COLD_S)
        fleet.restart(LIST_S)
        await asyncio.sleep(2.0)
        sent_s = fleet.timers.read_monotonic()
        first = fleet.instances["i0"].cold_starts
        first.note_answer(ENDPOINT_ID, 0.0, sent_s)
        await asyncio.sleep(1.0)
        return fleet.list_cold()

    assert run(step) == []
