import pytest

from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.store import instances

BROKEN = failures.Failure(failures.FailureCode.ENDPOINT_FAILED, "reset")
REFUSED = failures.Failure(failures.FailureCode.DRAINING, "draining")
FULL = failures.Failure(failures.FailureCode.QUEUE_FULL, "full")


def list_engines(*names, leaving=()):
    return [
        instances.ListedInstance(
            name,
            f"10.0.0.{number}:80",
            "a",
            "pool",
            instances.InstanceKind.ENGINE,
            name in leaving,
        )
        for number, name in enumerate(names)
    ]


def list_service(name, leaving=False):
    return instances.ListedInstance(
        name,
        "10.0.1.1:80",
        "a",
        "desk",
        instances.InstanceKind.SERVICE,
        leaving,
    )


def report(name, sequence=1, start_id="s", models=("m@1",), draining=False):
    return endpoints.LoadReport(
        name,
        float(sequence),
        sequence,
        start_id,
        endpoints.Role.BOTH,
        models,
        0,
        0,
        0,
        0,
        400_000,
        0,
        draining=draining,
    )


class Bench:
    """A table with some engines that serve model ``m``."""

    def __init__(self, *names):
        self.timers = timers_lib.LoopTimers(wall_offset_s=0.0)
        self.table = endpointtables.EndpointTable(self.timers)
        self.states = []
        self.table.subscribe(
            lambda name, before, after: self.states.append(after.value)
        )
        self.table.update_from_list(list_engines(*names))
        for name in names:
            self.table.record_load(report(name))

    def usable(self, service="pool", model="m"):
        return [
            view.endpoint.endpoint_id
            for view in self.table.usable(service, model)
        ]


def run(scene):
    """Runs a scene under the fake clock and returns its result."""
    return virtualloop.run(scene())


def test_engine_is_usable_once_it_shows_its_model():
    async def scene():
        bench = Bench()
        bench.table.update_from_list(list_engines("e1"))
        steps = [bench.usable()]
        bench.table.record_load(report("e1", 1, models=()))
        steps.append(bench.usable())
        bench.table.record_load(report("e1", 2))
        steps.append(bench.usable())
        steps.append(bench.usable(model="other"))
        return steps, bench.states

    assert run(scene) == ([[], [], ["e1"], []], ["loading", "ready"])


def test_plain_service_is_usable_at_once():
    async def scene():
        bench = Bench()
        bench.table.update_from_list([list_service("d1")])
        first = bench.usable("desk", "")
        bench.table.record_success("d1")
        return first, bench.usable("desk", ""), bench.states

    assert run(scene) == (["d1"], ["d1"], ["ready"])


def test_older_load_report_is_passed_over():
    async def scene():
        bench = Bench("e1")
        bench.table.record_load(report("e1", 5, models=("n@1",)))
        bench.table.record_load(report("e1", 4, models=("m@1",)))
        return bench.usable(model="m"), bench.usable(model="n")

    assert run(scene) == ([], ["e1"])


def test_restarted_engine_loads_anew():
    async def scene():
        bench = Bench("e1")
        bench.table.record_load(report("e1", 1, start_id="t", models=()))
        loading = bench.usable()
        bench.table.record_load(report("e1", 2, start_id="t"))
        return loading, bench.usable(), bench.states

    assert run(scene) == (
        [],
        ["e1"],
        ["ready", "known", "loading", "ready"],
    )


def test_leaving_engine_gets_no_new_work_although_the_list_lags():
    async def scene():
        bench = Bench("e1", "e2")
        bench.table.record_load(report("e1", 2, draining=True))
        after_report = bench.usable()
        bench.table.record_failure("e2", REFUSED)
        after_answer = bench.usable()
        # The list still has both, and a report on its way is an older one.
        bench.table.update_from_list(list_engines("e1", "e2"))
        bench.table.record_load(report("e2", 2))
        return after_report, after_answer, bench.usable()

    assert run(scene) == (["e2"], [], [])


def test_leaving_service_gets_no_new_work_although_the_list_lags():
    async def scene():
        bench = Bench()
        listed = [list_service("d1"), list_service("d2")]
        bench.table.update_from_list(listed)
        bench.table.record_failure("d1", REFUSED)
        await bench.timers.sleep(10.0)
        bench.table.update_from_list(listed)
        lagging = bench.usable("desk", "")
        # It was restarted between two states of the list.
        await bench.timers.sleep(30.0)
        bench.table.update_from_list(listed)
        return lagging, bench.usable("desk", "")

    assert run(scene) == (["d2"], ["d1", "d2"])


def test_leaving_in_the_list_and_gone_from_it():
    async def scene():
        bench = Bench("e1", "e2", "e3")
        bench.table.update_from_list(
            list_engines("e1", "e2", "e3", leaving=["e1"])
        )
        leaving = bench.usable()
        bench.table.update_from_list(list_engines("e2", "e3"))
        return leaving, bench.table.read_state("e1"), bench.states[3:]

    assert run(scene) == (
        ["e2", "e3"],
        endpoints.EndpointState.GONE,
        ["leaving", "gone"],
    )


def test_ordered_drain_lasts_until_it_is_taken_back():
    async def scene():
        bench = Bench("e1", "e2")
        bench.table.mark_draining("e1")
        bench.table.record_load(report("e1", 2))
        drained = bench.usable()
        bench.table.end_draining("e1")
        bench.table.record_load(report("e1", 3))
        return drained, bench.usable()

    assert run(scene) == (["e2"], ["e1", "e2"])


def test_failed_endpoint_is_held_back_then_on_probation():
    async def scene():
        bench = Bench("e1", "e2", "e3")
        bench.table.record_failure("e1", BROKEN)
        held = bench.usable()
        await bench.timers.sleep(0.6)
        probation = [
            (view.endpoint.endpoint_id, view.probation)
            for view in bench.table.usable("pool", "m")
        ]
        bench.table.record_success("e1")
        return held, probation, bench.states[3:]

    assert run(scene) == (
        ["e2", "e3"],
        [("e1", True), ("e2", False), ("e3", False)],
        ["suspect", "ready"],
    )


def test_success_of_an_earlier_request_does_not_end_the_hold():
    async def scene():
        bench = Bench("e1", "e2", "e3")
        bench.table.record_failure("e1", BROKEN)
        bench.table.record_success("e1")
        return bench.usable(), bench.states[3:]

    assert run(scene) == (["e2", "e3"], ["suspect"])


def test_refusal_under_load_is_no_fault_of_the_endpoint():
    async def scene():
        bench = Bench("e1", "e2")
        for _ in range(10):
            bench.table.record_failure("e1", FULL)
        return bench.usable()

    assert run(scene) == ["e1", "e2"]


def test_flapping_endpoint_is_held_back_longer_and_longer():
    async def scene():
        bench = Bench("e1", "e2", "e3")
        holds_s = []
        for _ in range(9):
            bench.table.record_failure("e1", BROKEN)
            started_s = bench.timers.read_monotonic()
            while "e1" not in bench.usable():
                await bench.timers.sleep(0.125)
            bench.table.record_success("e1")
            holds_s.append(bench.timers.read_monotonic() - started_s)
        # After it was well for a while, the first hold-down is due again.
        await bench.timers.sleep(40.0)
        bench.table.record_failure("e1", BROKEN)
        held = "e1" not in bench.usable()
        await bench.timers.sleep(0.5)
        return holds_s, held, "e1" in bench.usable()

    assert run(scene) == (
        [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0, 30.0],
        True,
        True,
    )


def test_rack_that_dies_does_not_take_the_rest_with_it():
    async def scene():
        names = [f"e{number}" for number in range(10)]
        bench = Bench(*names)
        await bench.timers.sleep(60.0)
        for name in names[4:]:
            bench.table.record_load(report(name, 2))
        for name in names[:4]:
            bench.table.record_failure(name, BROKEN)
        rack = bench.usable()
        # The rest takes over the load, and some of it fails.
        for name in names[4:]:
            bench.table.record_failure(name, BROKEN)
        return rack, bench.usable()

    rest = [f"e{number}" for number in range(4, 10)]
    assert run(scene) == (rest, rest)


def test_when_everything_failed_trying_goes_before_refusing():
    async def scene():
        bench = Bench("e1", "e2")
        await bench.timers.sleep(60.0)
        bench.table.record_failure("e1", BROKEN)
        bench.table.record_failure("e2", BROKEN)
        return bench.usable()

    assert run(scene) == ["e1", "e2"]


def test_in_a_mass_loss_those_that_live_are_tried_and_the_dead_are_not():
    async def scene():
        names = [f"e{number}" for number in range(8)]
        bench = Bench(*names)
        await bench.timers.sleep(1.0)
        for name in names[:6]:
            bench.table.record_failure(name, BROKEN)
        dead = bench.usable()
        # Two of them failed only under the shock, and report their load again.
        for name in names[4:6]:
            bench.table.record_load(report(name, 2))
        await bench.timers.sleep(0.1)
        bench.table.record_load(report("e4", 3))
        bench.table.record_load(report("e5", 3))
        return dead, bench.usable()

    assert run(scene) == (["e6", "e7"], ["e4", "e5", "e6", "e7"])


@pytest.mark.parametrize("alive", [True, False])
def test_list_that_lost_most_of_a_service_is_doubted(alive):
    async def scene():
        bench = Bench("e1", "e2", "e3")
        if not alive:
            await bench.timers.sleep(60.0)
        bench.table.update_from_list([])
        return bench.usable()

    assert run(scene) == (["e1", "e2", "e3"] if alive else [])


def test_endpoint_that_nobody_listed_is_passed_over():
    async def scene():
        bench = Bench("e1")
        bench.table.record_load(report("x"))
        bench.table.record_failure("x", BROKEN)
        bench.table.record_success("x")
        bench.table.mark_draining("x")
        return bench.usable(), bench.table.read_state("x").value

    assert run(scene) == (["e1"], "gone")
