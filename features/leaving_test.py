"""Steps for endpoints that leave."""

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from rhubarblock.experiments import smallfleet_test as smallfleet

scenarios("leaving.feature")


def send(world, prefix, count, seconds):
    for number in range(count):
        node = world.fleet.nodes[number % len(world.fleet.nodes)]
        world.ask(f"{prefix} {number}", "pick list", node=node)
        world.fleet.advance(seconds / count)


@when(parsers.parse("{count:d} prompts of a brigade are being answered"))
def begin_answers(world, count):
    send(world, "early", count, 0.05)


@when(parsers.parse("one engine {sign}"))
def start_leaving(world, sign):
    fleet = world.fleet
    engine = world.engine = fleet.engines[0]
    if "platform's list" in sign:
        fleet.call_in_loop(
            fleet.simulation.listing.mark_leaving, engine.endpoint_id
        )
    elif "refuses" in sign:
        if "platform" in sign:
            fleet.call_in_loop(fleet.simulation.store.faults.start_outage)
        engine.draining = True
    elif "data centres" in sign:
        one, two = fleet.nodes
        fleet.simulation.network.cut([one.port.address], [two.port.address])
        for node in fleet.nodes:
            order_drain(world, node, True)
    else:
        order_drain(world, fleet.nodes[-1], "cancelled" not in sign)


def order_drain(world, node, is_drained):
    endpoint_notices = node.instance.endpoint_notices
    world.fleet.run(
        endpoint_notices.order_drain(world.engine.endpoint_id, is_drained)
    )


@when(parsers.parse("{count:d} more prompts arrive over {seconds:g} seconds"))
def send_more(world, count, seconds):
    world.accepted = world.engine.counters.accepted
    send(world, "late", count, seconds)


@when(parsers.parse("{seconds:g} seconds after the list shows it pass"))
def wait_for_list(world, seconds):
    world.fleet.advance(smallfleet.LIST_LAG_S + seconds)


@then("the engine got none of them")
def check_no_new_work(world):
    world.finish()
    assert world.engine.counters.accepted == world.accepted


@when("one desk refuses new calls")
def drain_desk(world):
    world.fleet.service_endpoints[0].faults.draining = True


@when(parsers.parse("{count:d} stock bookings arrive over {seconds:g} seconds"))
def send_bookings(world, count, seconds):
    for number in range(count):
        node = world.fleet.nodes[number % 2]
        world.call(f"booking {number}", key=f"k{number}", node=node)
        world.fleet.advance(seconds / count)


@then("the desk ran none of them")
def check_desk_ran_nothing(world):
    runs = world.fleet.simulation.runs.runs
    assert len(runs) == 12
    assert "desk-0" not in {run.endpoint_id for run in runs}


@then("each was answered")
def check_answered(world):
    for caller in world.callers.values():
        assert caller.outcome.unwrap().status == 200
