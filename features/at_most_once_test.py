"""Steps for calls that may run at most once."""

import asyncio

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from rhubarblock.core import verdict as verdicts

scenarios("at_most_once.feature")

INSTANCE_IDS = {"Accra": "halle-steyr-0", "Tema": "halle-liezen-1"}


def send(world, place, body, key):
    """Sends a notice; a caller without an answer in 8 s counts as gone."""
    node = world.fleet.simulation.instances[INSTANCE_IDS[place]]
    caller = world.fleet.call(
        body, key=key, path="/notices", deadline_s=8.0, node=node
    )
    name = place if place not in world.callers else f"{place} again"
    world.callers[name] = caller
    return caller


@when(parsers.parse("the notice goes out from {place} under the key {key}"))
def send_notice(world, place, key):
    send(world, place, "notice", key)


@when(
    parsers.parse("the notice goes out again from {place} under the key {key}")
)
def send_again(world, place, key):
    world.last_caller = send(world, place, "notice", key)


@when(parsers.parse("another notice goes out from {place} under the key {key}"))
def send_another_notice(world, place, key):
    send(world, place, "another notice", key)


@when(parsers.parse("the notice goes out from {place} without a key"))
def send_without_key(world, place):
    send(world, place, "notice", None)


@when(parsers.parse("the platform {trouble}"))
def break_platform(world, trouble):
    faults = world.fleet.simulation.store.faults
    if trouble == "is down":
        world.fleet.call_in_loop(faults.start_outage)
        return
    fields = {
        "loses the answers of its writes": {"lose_answers_next": 2},
        "loses writes before they take effect": {"lose_before_next": 2},
        "is very slow": {"slow_s": 1.5},
        "serves reads that are a minute stale": {"stale_s": 60.0},
        "has recovered": {"slow_s": 0.0, "stale_s": 0.0},
    }
    for field, value in fields[trouble].items():
        setattr(faults, field, value)
    faults.end_outage()


@when("every desk breaks its connection")
def break_connections(world):
    for desk in world.fleet.service_endpoints:
        desk.faults.cut_after_run_next = 1


@when("every desk dies after its next call")
def kill_desks(world):
    for desk in world.fleet.service_endpoints:
        desk.faults.die_after_run_next = 1


def schedule_after_run(world, action):
    """Calls a function with the instance in Accra once the notice has run."""
    node = world.fleet.simulation.instances[INSTANCE_IDS["Accra"]]
    runs = world.fleet.simulation.runs.runs

    async def monitor():
        while not runs:
            await world.fleet.simulation.timers.sleep(0.0005)
        action(node)

    world.monitor_task = world.fleet.call_in_loop(
        lambda: asyncio.ensure_future(monitor())
    )


@when("the instance in Accra is about to pause")
def pause_instance(world):
    network = world.fleet.simulation.network
    schedule_after_run(world, lambda node: network.pause(node.port.address))


@when("the instance in Accra is about to die")
def kill_instance(world):
    def kill(node):
        world.fleet.kill(node)
        world.callers.pop("Accra").task.cancel()

    schedule_after_run(world, kill)


@then("the notice ran once")
def check_single_run(world):
    log = world.fleet.simulation.runs
    assert len(log.runs) == 1
    assert log.find_double_runs() == []


@then("both have the same answer")
def check_same_answer(world):
    answers = [x.outcome.unwrap().body for x in world.callers.values()]
    assert len(answers) == 2 and answers[0] == answers[1]


@then("the last notice was answered")
def check_last_answered(world):
    assert world.last_caller.outcome.unwrap().status == 200


@then("no caller got the verdict NOT_RUN")
def check_no_not_run(world):
    for caller in world.callers.values():
        if caller.refused:
            verdict = caller.failure.verdict
            assert verdict is not verdicts.Verdict.NOT_RUN
