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


class Harness:
    """An endpoint table with some engines that serve model ``m``."""

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


def run(scenario):
    """Runs a scenario on the virtual clock and returns its result."""
    return virtualloop.run(scenario())


def test_engine_is_usable_once_it_reports_its_model():
    async def scenario():
        harness = Harness()
        harness.table.update_from_list(list_engines("e1"))
        steps = [harness.usable()]
        harness.table.record_load(report("e1", 1, models=()))
        steps.append(harness.usable())
        harness.table.record_load(report("e1", 2))
        steps.append(harness.usable())
        steps.append(harness.usable(model="other"))
        return steps, harness.states

    assert run(scenario) == ([[], [], ["e1"], []], ["loading", "ready"])


def test_plain_service_is_usable_at_once():
    async def scenario():
        harness = Harness()
        harness.table.update_from_list([list_service("d1")])
        first = harness.usable("desk", "")
        harness.table.record_success("d1")
        return first, harness.usable("desk", ""), harness.states

    assert run(scenario) == (["d1"], ["d1"], ["ready"])


def test_older_load_report_is_ignored():
    async def scenario():
        harness = Harness("e1")
        harness.table.record_load(report("e1", 5, models=("n@1",)))
        harness.table.record_load(report("e1", 4, models=("m@1",)))
        return harness.usable(model="m"), harness.usable(model="n")

    assert run(scenario) == ([], ["e1"])


def test_restarted_engine_is_unusable_until_its_model_is_loaded():
    async def scenario():
        harness = Harness("e1")
        harness.table.record_load(report("e1", 1, start_id="t", models=()))
        loading = harness.usable()
        harness.table.record_load(report("e1", 2, start_id="t"))
        return loading, harness.usable(), harness.states

    assert run(scenario) == (
        [],
        ["e1"],
        ["ready", "known", "loading", "ready"],
    )


def test_leaving_engine_is_unusable_despite_lagging_list():
    async def scenario():
        harness = Harness("e1", "e2")
        harness.table.record_load(report("e1", 2, draining=True))
        after_report = harness.usable()
        harness.table.record_failure("e2", REFUSED)
        after_answer = harness.usable()
        # The list still has both, and a delayed report is older than the
        # refusal.
        harness.table.update_from_list(list_engines("e1", "e2"))
        harness.table.record_load(report("e2", 2))
        return after_report, after_answer, harness.usable()

    assert run(scenario) == (["e2"], [], [])


def test_leaving_service_is_unusable_despite_lagging_list():
    async def scenario():
        harness = Harness()
        listed = [list_service("d1"), list_service("d2")]
        harness.table.update_from_list(listed)
        harness.table.record_failure("d1", REFUSED)
        await harness.timers.sleep(10.0)
        harness.table.update_from_list(listed)
        lagging = harness.usable("desk", "")
        # After the list lag, the endpoint counts as restarted under its id.
        await harness.timers.sleep(30.0)
        harness.table.update_from_list(listed)
        return lagging, harness.usable("desk", "")

    assert run(scenario) == (["d2"], ["d1", "d2"])


def test_endpoint_listed_as_leaving_is_unusable_then_removed():
    async def scenario():
        harness = Harness("e1", "e2", "e3")
        harness.table.update_from_list(
            list_engines("e1", "e2", "e3", leaving=["e1"])
        )
        leaving = harness.usable()
        harness.table.update_from_list(list_engines("e2", "e3"))
        return leaving, harness.table.read_state("e1"), harness.states[3:]

    assert run(scenario) == (
        ["e2", "e3"],
        endpoints.EndpointState.GONE,
        ["leaving", "gone"],
    )


def test_drain_lasts_until_it_is_ended():
    async def scenario():
        harness = Harness("e1", "e2")
        harness.table.mark_draining("e1")
        harness.table.record_load(report("e1", 2))
        drained = harness.usable()
        harness.table.end_draining("e1")
        harness.table.record_load(report("e1", 3))
        return drained, harness.usable()

    assert run(scenario) == (["e2"], ["e1", "e2"])


def test_failed_endpoint_is_held_down_then_on_probation():
    async def scenario():
        harness = Harness("e1", "e2", "e3")
        harness.table.record_failure("e1", BROKEN)
        held = harness.usable()
        await harness.timers.sleep(0.6)
        probation = [
            (view.endpoint.endpoint_id, view.probation)
            for view in harness.table.usable("pool", "m")
        ]
        harness.table.record_success("e1")
        return held, probation, harness.states[3:]

    assert run(scenario) == (
        ["e2", "e3"],
        [("e1", True), ("e2", False), ("e3", False)],
        ["suspect", "ready"],
    )


def test_success_of_an_earlier_request_does_not_end_the_hold_down():
    async def scenario():
        harness = Harness("e1", "e2", "e3")
        harness.table.record_failure("e1", BROKEN)
        harness.table.record_success("e1")
        return harness.usable(), harness.states[3:]

    assert run(scenario) == (["e2", "e3"], ["suspect"])


def test_refusal_under_load_does_not_count_as_failure():
    async def scenario():
        harness = Harness("e1", "e2")
        for _ in range(10):
            harness.table.record_failure("e1", FULL)
        return harness.usable()

    assert run(scenario) == ["e1", "e2"]


def test_hold_down_of_a_flapping_endpoint_doubles_to_the_cap():
    async def scenario():
        harness = Harness("e1", "e2", "e3")
        holds_s = []
        for _ in range(9):
            harness.table.record_failure("e1", BROKEN)
            started_s = harness.timers.read_monotonic()
            while "e1" not in harness.usable():
                await harness.timers.sleep(0.125)
            harness.table.record_success("e1")
            holds_s.append(harness.timers.read_monotonic() - started_s)
        # After a stable period the hold-down starts again at its first value.
        await harness.timers.sleep(40.0)
        harness.table.record_failure("e1", BROKEN)
        held = "e1" not in harness.usable()
        await harness.timers.sleep(0.5)
        return holds_s, held, "e1" in harness.usable()

    assert run(scenario) == (
        [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0, 30.0],
        True,
        True,
    )


def test_loss_of_a_rack_leaves_the_survivors_usable():
    async def scenario():
        names = [f"e{number}" for number in range(10)]
        harness = Harness(*names)
        await harness.timers.sleep(60.0)
        for name in names[4:]:
            harness.table.record_load(report(name, 2))
        for name in names[:4]:
            harness.table.record_failure(name, BROKEN)
        rack = harness.usable()
        # The survivors take over the load and fail as well.
        for name in names[4:]:
            harness.table.record_failure(name, BROKEN)
        return rack, harness.usable()

    rest = [f"e{number}" for number in range(4, 10)]
    assert run(scenario) == (rest, rest)


def test_all_endpoints_are_tried_when_all_failed():
    async def scenario():
        harness = Harness("e1", "e2")
        await harness.timers.sleep(60.0)
        harness.table.record_failure("e1", BROKEN)
        harness.table.record_failure("e2", BROKEN)
        return harness.usable()

    assert run(scenario) == ["e1", "e2"]


def test_mass_failure_keeps_only_endpoints_that_report_again():
    async def scenario():
        names = [f"e{number}" for number in range(8)]
        harness = Harness(*names)
        await harness.timers.sleep(1.0)
        for name in names[:6]:
            harness.table.record_failure(name, BROKEN)
        dead = harness.usable()
        # Two of them failed only briefly and send load reports again.
        for name in names[4:6]:
            harness.table.record_load(report(name, 2))
        await harness.timers.sleep(0.1)
        harness.table.record_load(report("e4", 3))
        harness.table.record_load(report("e5", 3))
        return dead, harness.usable()

    assert run(scenario) == (["e6", "e7"], ["e4", "e5", "e6", "e7"])


@pytest.mark.parametrize("alive", [True, False])
def test_list_without_most_of_a_service_is_distrusted(alive):
    async def scenario():
        harness = Harness("e1", "e2", "e3")
        if not alive:
            await harness.timers.sleep(60.0)
        harness.table.update_from_list([])
        return harness.usable()

    assert run(scenario) == (["e1", "e2", "e3"] if alive else [])


def test_unlisted_endpoint_is_ignored():
    async def scenario():
        harness = Harness("e1")
        harness.table.record_load(report("x"))
        harness.table.record_failure("x", BROKEN)
        harness.table.record_success("x")
        harness.table.mark_draining("x")
        return harness.usable(), harness.table.read_state("x").value

    assert run(scenario) == (["e1"], "gone")
