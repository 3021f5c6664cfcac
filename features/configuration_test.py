"""Steps for the catalogue in force."""

import asyncio
import dataclasses
from unittest import mock

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from returns import result

from rhubarblock.catalogue import changes
from rhubarblock.experiments import simulation
from rhubarblock.settings import kinds

scenarios("configuration.feature")


def watch_revisions(world):
    """Records each revision that an instance puts in force from now on."""
    if not hasattr(world, "revisions"):
        world.revisions = {}
    for node in world.fleet.nodes:
        if node.port.address not in world.revisions:
            catalogue = node.instance.catalogue
            revisions = world.revisions[node.port.address] = [
                catalogue.revision
            ]
            catalogue.subscribe(
                lambda x, revisions=revisions: revisions.append(x.revision)
            )


async def apply_change(node, weight, change_id):
    """Changes the weight of Hofbauer as the administration API does."""
    instance = node.instance
    service = changes.ChangeService(
        instance.clients.store,
        instance.clients.timers,
        instance.catalogue.get_revision,
        instance.catalogue.accept,
    )
    catalogue = instance.catalogue.get()
    institutions = dict(catalogue.institutions)
    institutions["hofbauer"] = dataclasses.replace(
        institutions["hofbauer"], weight=weight
    )
    proposed = dataclasses.replace(catalogue, institutions=institutions)
    request = changes.ChangeRequest(
        change_id, changes.Actor("it"), "flood", catalogue.revision, proposed
    )
    return await service.apply(request)


def read_weights(world):
    return [
        node.instance.catalogue.get().institutions["hofbauer"].weight
        for node in world.fleet.nodes
    ]


@when("an operator sets the weight of Hofbauer to 4 at one instance")
def change_weight(world):
    watch_revisions(world)
    outcome = world.fleet.run(apply_change(world.fleet.nodes[0], 4.0, "c1"))
    assert isinstance(outcome, result.Success), outcome
    world.accepted_s = world.fleet.now_s


@when("the platform loses events of its watches")
def lose_events(world):
    world.fleet.simulation.store.faults.drop_events_share = 1.0


@when("the answer of the operator's write will be lost")
def lose_answer(world):
    world.fleet.simulation.store.faults.lose_answers_next = 1


@when("one instance is paused for a while")
def pause_instance(world):
    network = world.fleet.simulation.network
    address = world.fleet.nodes[2].port.address
    network.pause(address)
    timers = world.fleet.simulation.timers
    world.fleet.call_in_loop(
        timers.call_later, 3.0, lambda: network.resume(address)
    )


def split_by_data_centre(world):
    """Returns the nodes of each of the two data centres."""
    return world.fleet.nodes[0::2], world.fleet.nodes[1::2]


@when("the data centres are cut off from each other")
def cut_data_centres(world):
    near, far = split_by_data_centre(world)
    world.fleet.simulation.network.cut(
        [x.port.address for x in near], [x.port.address for x in far]
    )


@when("one data centre is cut off from the platform")
def cut_from_platform(world):
    for node in split_by_data_centre(world)[1]:
        world.fleet.simulation.store.faults.cut_off(node.instance_id)


@when("one data centre is cut off from everything")
def cut_from_all(world):
    cut_data_centres(world)
    cut_from_platform(world)


@when("the partition ends")
def end_partition(world):
    assert read_weights(world) == [4.0, 1.0, 4.0, 1.0]
    world.fleet.simulation.network.heal()
    for node in split_by_data_centre(world)[1]:
        world.fleet.call_in_loop(
            world.fleet.simulation.store.faults.join, node.instance_id
        )
    world.accepted_s = world.fleet.now_s


@when("the platform serves reads that are a minute stale for 10 seconds")
def serve_stale_reads(world):
    faults = world.fleet.simulation.store.faults
    faults.stale_s = 60.0
    world.fleet.advance(10.0)


@when("the platform goes down")
def stop_platform(world):
    world.fleet.call_in_loop(world.fleet.simulation.store.faults.start_outage)


def split_address(node):
    host, _, port = node.port.address.rpartition(":")
    return host, int(port)


@when("one instance is replaced")
def replace_instance(world):
    fleet = world.fleet
    node = fleet.nodes[3]
    fleet.kill(node)
    fleet.advance(5.0)
    fleet.call_in_loop(fleet.simulation.store.faults.join, node.instance_id)
    seeds = [kinds.Address(*split_address(x)) for x in fleet.nodes]

    def add_seeds(*args):
        settings = make_settings(*args)
        peers = dataclasses.replace(settings.peers, seeds=tuple(seeds))
        return dataclasses.replace(settings, peers=peers)

    make_settings = simulation.make_settings
    with mock.patch.object(simulation, "make_settings", add_seeds):
        fleet.run(fleet.simulation.start_instance(3))
    watch_revisions(world)
    world.accepted_s = fleet.now_s


@then(
    parsers.parse("it is in force at every instance within {seconds:g} seconds")
)
def check_in_force(world, seconds):
    while read_weights(world) != [4.0] * 4:
        world.fleet.advance(0.1)
        assert world.fleet.now_s - world.accepted_s <= seconds


@then("no instance ever reverts")
def check_no_revert(world):
    world.fleet.advance(10.0)
    assert read_weights(world) == [4.0] * 4
    for revisions in world.revisions.values():
        assert revisions == sorted(revisions)


@then("Steyr asks the new instance for a pick list and has the whole answer")
def ask_new_instance(world):
    world.fleet.advance(4.0)
    caller = world.ask("Steyr", "pick list", node=world.fleet.nodes[-1])
    world.fleet.finish(caller)
    assert caller.complete, caller.outcome


@when("two operators change the weight of Hofbauer at the same moment")
def change_concurrently(world):
    watch_revisions(world)

    async def main():
        return await asyncio.gather(
            apply_change(world.fleet.nodes[0], 4.0, "c1"),
            apply_change(world.fleet.nodes[1], 5.0, "c2"),
        )

    world.outcomes = world.fleet.run(main())
    world.accepted_s = world.fleet.now_s


@then("one of them gets a revision conflict")
def check_conflict(world):
    refused = [x for x in world.outcomes if isinstance(x, result.Failure)]
    assert len(refused) == 1
    refusal = refused[0].failure()
    assert refusal.failure.code.value == "revision_conflict"
    assert refusal.conflict.revision == 2


@then("the other's change is in force at every instance within 3 seconds")
def check_accepted_change(world):
    first_accepted = isinstance(world.outcomes[0], result.Success)
    weight = 4.0 if first_accepted else 5.0
    while read_weights(world) != [weight] * 4:
        world.fleet.advance(0.1)
        assert world.fleet.now_s - world.accepted_s <= 3.0
