"""Steps shared by the scenarios, which run the real code on a fake clock."""

import asyncio

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from rhubarblock.core import verdict as verdicts
from rhubarblock.experiments import smallfleet_test as smallfleet

# Length of each kind of prompt in tokens.
PROMPT_TOKENS = {
    "pick list": 1_000,
    "claim summary": 4_000,
    "convoy plan": 30_000,
    "flood brief": 200_000,
    "case file": 500_000,
}


class World:
    """State of a scenario: its fleet, and its callers by name."""

    def __init__(self):
        self.fleet = None
        self.callers = {}
        self.engine = None
        self.node = None
        self.monitor_task = None

    def ask(self, name, kind, **fields):
        caller = self.fleet.ask(name, PROMPT_TOKENS[kind], **fields)
        self.callers[name] = caller
        return caller

    def call(self, name, **fields):
        self.callers[name] = self.fleet.call(name, **fields)
        return self.callers[name]

    def finish(self):
        self.fleet.finish(*self.callers.values())

    def count_runs(self, caller):
        """Returns how often the request of a caller was run."""
        ids = [run.attempt_id for run in self.fleet.simulation.runs.runs]
        ran = sum(x.startswith(f"{caller.request_id}/") for x in ids)
        return ran + sum(
            x.count_runs(caller.digest) for x in self.fleet.engines
        )


@pytest.fixture
def world():
    scenario_world = World()
    yield scenario_world
    if scenario_world.fleet is not None:
        scenario_world.fleet.close()


@given("a fleet over two data centres")
def start_fleet(world):
    world.fleet = smallfleet.SmallFleet()


@given(parsers.parse("a fleet of {count:d} engine and one entry instance"))
def start_tiny_fleet(world, count):
    world.fleet = smallfleet.SmallFleet(engines=count, instances=1)


@given("a fleet with two instances in each data centre")
def start_wide_fleet(world):
    world.fleet = smallfleet.SmallFleet(engines=4, instances=4)


@given("a fleet that hands answers over to other engines")
def start_split_fleet(world):
    world.fleet = smallfleet.SmallFleet(engines=6, decoders=2)


@when(parsers.parse("{name} asks for a {kind}"))
def ask(world, name, kind):
    world.ask(name, kind)


@when(parsers.parse("{name} asks for a {kind} within {seconds:g} seconds"))
def ask_within(world, name, kind, seconds):
    world.ask(name, kind, deadline_s=seconds)


@when(parsers.parse("{name} has the beginning of the answer"))
def wait_for_first_tokens(world, name):
    caller = world.callers[name]
    world.fleet.advance_until_tokens(caller, 3)
    world.engine = next(x for x in world.fleet.engines if x.kv_held())


@when(parsers.parse("the engine {trouble}"))
def break_engine(world, trouble):
    engine = world.engine
    actions = {
        "dies": (engine.die,),
        "restarts": (engine.restart,),
        "pauses": (engine.pause, 20.0),
        "refuses connections": (engine.refuse_connections, 20.0),
    }
    if trouble in actions:
        world.fleet.call_in_loop(*actions[trouble])
        return
    faults = {
        "cuts the stream": {"cut_next": 1},
        "cuts every stream": {"cut_next": 10_000},
        "mixes up two answers": {"cross_next": 1},
        "sends pieces twice": {"duplicate_next": 3},
        "answers late": {"late_s": 0.4},
        "becomes twenty times slower": {"slow_factor": 20.0},
    }
    for field, value in faults[trouble].items():
        setattr(engine.faults, field, value)


@when(parsers.parse("{seconds:g} seconds pass"))
def advance_time(world, seconds):
    world.fleet.advance(seconds)


@when("an hour passes without any activity")
def jump_an_hour(world):
    world.fleet.call_in_loop(
        lambda: asyncio.get_running_loop().advance(3_600.0)
    )
    world.fleet.advance(5.0)


@when("all have ended")
def finish_all(world):
    world.finish()


@then(parsers.parse("{name} has the whole answer and only its own"))
def check_whole(world, name):
    caller = world.callers[name]
    world.fleet.finish(caller)
    assert caller.complete, caller.outcome


@then("all have whole answers, each only its own")
def check_all_whole(world):
    world.finish()
    assert world.callers
    for caller in world.callers.values():
        assert caller.complete, (caller.name, caller.outcome)


@then("no caller has a piece of another answer")
def check_no_foreign_piece(world):
    assert all(caller.has_own_prefix for caller in world.callers.values())


@then("each has ended by its deadline")
def check_deadlines(world):
    world.finish()
    for caller in world.callers.values():
        assert caller.ended_s <= caller.deadline_s + 0.001, caller.name


@then(parsers.parse("{name} gets the verdict {verdict}"))
def check_verdict(world, name, verdict):
    caller = world.callers[name]
    world.fleet.finish(caller)
    assert caller.failure.verdict.value == verdict, caller.failure


@then("no request with the verdict NOT_RUN has run")
def check_not_run_verdicts(world):
    for caller in world.callers.values():
        if caller.refused and (
            caller.failure.verdict is verdicts.Verdict.NOT_RUN
        ):
            assert world.count_runs(caller) == 0, caller.name


@then("no engine holds memory for a caller")
def check_no_memory_held(world):
    held = [engine.kv_held() for engine in world.fleet.engines]
    assert held == [{}] * len(held)
