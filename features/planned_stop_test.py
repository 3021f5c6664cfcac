"""Steps for planned stops."""

import asyncio

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios("planned_stop.feature")


@when("Accra sends a fee notice")
def send_notice(world):
    for desk in world.fleet.service_endpoints:
        desk.faults.slow_s = 3.0
    world.notice = world.fleet.call("notice", key="K", path="/notices")


@when("the instance stops as planned")
def stop_instance(world):
    world.node = world.fleet.nodes[0]
    world.fleet.advance(0.05)
    world.fleet.run(world.fleet.simulation.stop_instance(world.node))
    assert world.notice.outcome.unwrap().status == 200


@when("the instance begins to stop as planned")
def begin_stop(world):
    world.node = world.fleet.nodes[0]
    stop = world.fleet.simulation.stop_instance(world.node)
    world.fleet.advance(0.05)
    world.stop = world.fleet.call_in_loop(lambda: asyncio.ensure_future(stop))
    world.fleet.advance(0.05)


@when(parsers.parse("{name} asks the stopping instance for a {kind}"))
def ask_stopping(world, name, kind):
    world.ask(name, kind, node=world.node)


@then("it was refused at once")
def check_refused_at_once(world):
    caller = world.callers["Steyr"]
    assert caller.ended_s == caller.asked_s


@then(parsers.parse("{name} asks the other instance and has the whole answer"))
def ask_other(world, name):
    caller = world.ask(name, "pick list", node=world.fleet.nodes[0])
    world.fleet.finish(caller)
    assert caller.complete


@then("the stop ends after Tamale's answer")
def check_stop_waits(world):
    caller = world.callers["Tamale"]
    assert not caller.task.done() and not world.stop.done()

    async def wait():
        await world.stop

    world.fleet.run(wait())
    assert caller.complete


@then("nobody was refused")
def check_none_refused(world):
    assert not any(caller.refused for caller in world.callers.values())


@then("the other instances no longer list it as live")
def check_left(world):
    for node in world.fleet.nodes:
        live = node.instance.membership.list_live_instances()
        assert world.node.instance_id not in [x.instance_id for x in live]


@when("the operator drains the engine that answers")
def drain_engine(world):
    endpoint_notices = world.fleet.nodes[0].instance.endpoint_notices
    world.fleet.run(
        endpoint_notices.order_drain(world.engine.endpoint_id, True)
    )


@then("it took one attempt")
def check_attempts(world):
    assert world.callers["Steyr"].outcome.unwrap().attempts == 1


@when(parsers.parse("{count:d} prompts are spread over all instances"))
def send_to_all(world, count):
    for number in range(count):
        node = world.fleet.nodes[number % len(world.fleet.nodes)]
        name = f"caller {len(world.callers)}"
        world.ask(name, "convoy plan", node=node)
    world.fleet.advance(0.1)


@when("the instances of one data centre stop one after the other")
def stop_data_centre(world):
    for node in world.fleet.nodes:
        if node.instance.identity.data_centre == "halle-steyr":
            world.fleet.run(world.fleet.simulation.stop_instance(node))
