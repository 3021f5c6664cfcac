"""Steps for the deadlines of requests."""

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios("time.feature")


@when("the platform is down")
def stop_platform(world):
    world.fleet.call_in_loop(world.fleet.simulation.store.faults.start_outage)


@when("the data centres are cut off")
def cut_data_centres(world):
    one, two = [node.port.address for node in world.fleet.nodes]
    world.fleet.simulation.network.cut([one], [two])


@when("all engines but one die")
def kill_some_engines(world):
    for engine in world.fleet.engines[1:]:
        world.fleet.call_in_loop(engine.die)


@when("all engines die")
def kill_engines(world):
    for engine in world.fleet.engines:
        world.fleet.call_in_loop(engine.die)


@when(
    parsers.parse(
        "{count:d} prompts of both institutions arrive over 2 seconds"
    )
)
def send_prompts(world, count):
    for number in range(count):
        kind = ("pick list", "claim summary", "convoy plan")[number % 3]
        node = world.fleet.nodes[number % 2]
        world.ask(f"caller {number}", kind, deadline_s=20.0, node=node)
        world.fleet.advance(2.0 / count)


@then(parsers.parse("{share} of them were answered"))
def check_share(world, share):
    complete = sum(caller.complete for caller in world.callers.values())
    min_count, max_count = {"all": (20, 20), "most": (15, 20), "none": (0, 0)}[
        share
    ]
    assert min_count <= complete <= max_count


@then("it was refused at once")
def check_refused_at_once(world):
    for caller in world.callers.values():
        assert caller.ended_s == caller.asked_s
