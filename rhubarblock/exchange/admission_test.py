"""Gates of exchanges: order, shared refusals, waits, returning callers."""

import asyncio
import contextlib
import random

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.exchange import admission
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.admission import controller as controllers

FREE = controllers.Outlook(0.05, 0.0, 0.1)
ROOM = controllers.Outlook(0.05, 0.0, 0.1, 0.5)
# Its waiting exchanges are refused after 0.25 s.
ROUTE = fakes.make_route(objective_s=2.0)
FAILS = fakes.whole(b"bad", "500 Internal Server Error")


class RecordingController(controllers.AdmissionController):
    """Keeps the candidates that it decides for."""

    def __init__(self):
        super().__init__(random.Random(1))
        self.candidates = []

    def decide(self, candidate, outlook, waiting, now_s):
        self.candidates.append(candidate)
        return super().decide(candidate, outlook, waiting, now_s)


def make_admission(controller=None, on_refusal=lambda: None):
    return admission.ExchangeAdmission(
        controller or RecordingController(),
        timer_service.LoopTimers(),
        metric_store.Metrics(),
        on_refusal,
    )


def make_exchange(route=ROUTE, **changes):
    return fakes.make_exchange(route, **changes)


def run(step):
    async def main():
        return await step()

    return virtualloop.run(main())


async def enter(gate, find_outlook):
    """Passes a gate as the relay does; returns whether it was let in."""
    while not gate.check(find_outlook()):
        if not gate.is_waiting:
            return False
        await gate.wait()
    return True


def refuse_one(admission_):
    """Lets a caller with ten seconds be refused."""
    gate = admission_.open_gate(make_exchange(deadline_s=10.0))
    assert not gate.check(controllers.Outlook(0.0, 0.0, 20.0))
    assert not gate.is_waiting


def test_waiting_exchanges_are_tried_by_rank_then_arrival():
    # Otherwise an urgent exchange waits behind those that came before it, and
    # new ones behind returning ones, whose waits are long.
    async def step():
        admission_ = make_admission()
        refuse_one(admission_)
        order = (
            ("less urgent", 1, 10.0, -0.02),
            ("later", 0, 10.0, 0.01),
            ("earlier", 0, 10.0, -0.01),
            ("next", 0, 10.0, 0.0),
            ("less urgent, returning", 1, 2.0, -0.02),
            ("later, returning", 0, 2.0, 0.01),
            ("earlier, returning", 0, 2.0, -0.01),
            ("next, returning", 0, 2.0, 0.0),
        )
        tried = []

        async def wait(name, rank, whole_s, arrived_s):
            exchange = make_exchange(
                priority=rank,
                arrived_s=arrived_s,
                deadline_s=arrived_s + whole_s,
            )
            await admission_.open_gate(exchange).wait()
            tried.append(name)

        tasks = [asyncio.create_task(wait(*fields)) for fields in order]
        await asyncio.sleep(1.5 * admission.POLL_S)
        first = set(tried)
        await asyncio.gather(*tasks)
        return first

    assert run(step) == {
        "earlier",
        "next",
        "earlier, returning",
        "next, returning",
    }


def test_refusal_stands_for_costlier_exchanges_of_its_rank_for_a_moment():
    # Otherwise each exchange of a surge searches all engines in vain.
    async def step():
        admission_ = make_admission()

        def open_gate(tokens, **changes):
            exchange = make_exchange(
                service=fakes.ENGINES, prompt_tokens=tokens, **changes
            )
            return admission_.open_gate(exchange)

        assert not open_gate(5_000).check(None)
        gates = (
            open_gate(9_000),
            open_gate(5_000),
            open_gate(1_000),
            open_gate(9_000, priority=0),
        )
        before = [gate.begin_try() for gate in gates]
        await asyncio.sleep(1.1 * admission.REFUSAL_TTL_S)
        return before, [gate.begin_try() for gate in gates]

    assert run(step) == ([False, False, True, True], [True] * 4)


@pytest.mark.parametrize(
    "route, whole_s, after_s, is_returning",
    [
        (ROUTE, 6.7, 3.0, True),
        # Callers allow a little less than the longest time by themselves.
        (ROUTE, 8.7, 3.0, False),
        (fakes.make_route(name="r-2"), 6.7, 3.0, False),
        # Nobody who was refused waits for so long.
        (ROUTE, 6.7, 6.0, False),
    ],
)
def test_caller_with_less_time_than_usual_returns(
    route, whole_s, after_s, is_returning
):
    async def step():
        controller = RecordingController()
        admission_ = make_admission(controller)
        refuse_one(admission_)
        await asyncio.sleep(after_s)
        now_s = asyncio.get_running_loop().time()
        exchange = make_exchange(
            route, arrived_s=now_s, deadline_s=now_s + whole_s
        )
        admission_.open_gate(exchange).check(FREE)
        return controller.candidates[-1].is_returning

    assert run(step) is is_returning


def test_longest_time_of_a_route_is_forgotten():
    # One caller with a long time would make all others returning ones for good.
    async def step():
        controller = RecordingController()
        admission_ = make_admission(controller)
        refuse_one(admission_)
        await asyncio.sleep(2.1 * admission.LONGEST_TIME_S)
        found = []
        for _ in range(2):
            now_s = asyncio.get_running_loop().time()
            exchange = make_exchange(arrived_s=now_s, deadline_s=now_s + 6.0)
            admission_.open_gate(exchange).check(
                controllers.Outlook(0.0, 0.0, 20.0)
            )
            found.append(controller.candidates[-1].is_returning)
            await asyncio.sleep(admission.LONGEST_TIME_S)
        return found

    assert run(step) == [False, False]


def test_returning_caller_waits_longer_than_a_new_one():
    # Its answer is late already, and a second refusal may be its last.
    async def step():
        admission_ = make_admission()
        refuse_one(admission_)
        for _ in range(6):
            gate = admission_.open_gate(make_exchange(deadline_s=5.0))
            assert gate.check(ROOM)
        loop = asyncio.get_running_loop()
        gate = admission_.open_gate(make_exchange(deadline_s=5.0))
        return await enter(gate, lambda: ROOM if loop.time() >= 0.7 else None)

    assert run(step)


@pytest.mark.parametrize("room_s, is_admitted", [(0.1, True), (9.0, False)])
def test_wait_ends_with_room_or_a_refusal(room_s, is_admitted):
    # A wait up to the deadline would cost the caller its return.
    async def step():
        refusals = []
        admission_ = make_admission(on_refusal=lambda: refusals.append(1))
        loop = asyncio.get_running_loop()
        gate = admission_.open_gate(make_exchange())
        admitted = await enter(
            gate, lambda: FREE if loop.time() >= room_s else None
        )
        counts = admission_._metrics.snapshot()
        assert counts["admission.waits"] > 0
        assert counts.get("admission.refused", 0) == len(refusals)
        assert not any(admission_._waiting.values())
        return admitted, gate.decision.retry_after_s > 0.0, loop.time()

    admitted, has_time, ended_s = run(step)
    assert (admitted, has_time) == (is_admitted, not is_admitted)
    assert ended_s <= 0.25 + admission.POLL_S


def test_retry_of_an_admitted_exchange_is_not_decided_again():
    # An exchange that was let in would be refused after it ran.
    async def main():
        controller = RecordingController()
        endpoints = [
            fakes.ScriptedEndpoint(script) for script in (FAILS, FAILS)
        ]
        async with fakes.open_parts(*endpoints) as parts:
            parts.relay._admission = make_admission(controller)
            try:
                await parts.relay.serve(
                    fakes.make_exchange(), fakes.MemorySink()
                )
            except failures.FailureError:
                pass
        heads = sum(len(endpoint.heads) for endpoint in endpoints)
        return heads, len(controller.candidates)

    assert asyncio.run(main()) == (2, 1)


def test_failed_connection_is_not_counted_as_another_request():
    async def main():
        controller = RecordingController()
        lost = fakes.ScriptedEndpoint()
        async with lost.open():
            pass
        async with fakes.open_parts(fakes.ScriptedEndpoint(FAILS)) as parts:
            parts.directory.update(fakes.make_endpoint(2, lost.address))
            parts.relay._admission = make_admission(controller)
            for _ in range(8):
                with contextlib.suppress(failures.FailureError):
                    await parts.relay.serve(
                        fakes.make_exchange(), fakes.MemorySink()
                    )
        return len(controller.candidates)

    assert asyncio.run(main()) == 8


def test_exchange_is_not_refused_without_a_search():
    async def step():
        admission_ = make_admission()
        gate = admission_.open_gate(make_exchange())
        others = admission_.open_gate(make_exchange())
        tries = []
        while not tries or gate.is_waiting:
            # Another exchange of the class finds nothing right before each try.
            others.check(None)
            tries.append(gate.begin_try())
            gate.check(None)
            if gate.is_waiting:
                await gate.wait()
        return tries

    tries = run(step)
    assert tries[0] is False
    assert tries[-1] is True
