"""Steps for the KV memory of engines."""

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import when

scenarios("memory.feature")


@when(parsers.parse("{name} disconnects"))
def disconnect(world, name):
    world.callers.pop(name).task.cancel()


@when("the prompt is partly prefilled")
def prefill_partly(world):
    world.node = world.fleet.nodes[0]
    while not any(engine.kv_held() for engine in world.fleet.engines):
        world.fleet.advance(0.01)
    world.fleet.advance(0.03)
    assert any(engine.kv_held() for engine in world.fleet.engines)


@when("the instance dies")
def kill_instance(world):
    world.fleet.kill(world.node)
    world.callers.clear()


@when("the instance is cut off from the engines")
def isolate_instance(world):
    for engine in world.fleet.engines:
        world.node.client.block(engine.address)


@when(parsers.parse("the instance is paused for {seconds:g} seconds"))
def pause_instance(world, seconds):
    network = world.fleet.simulation.network
    network.pause(world.node.port.address)
    for engine in world.fleet.engines:
        world.node.client.block(engine.address)
    world.fleet.advance(seconds)
    network.resume(world.node.port.address)
    for engine in world.fleet.engines:
        world.node.client.unblock(engine.address)
