"""Gates of exchanges: order, shared refusals, waits, returning callers."""

import asyncio
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


def test_waiting_exchanges_are_tried_by_rank_then_returning_then_arrival():
    # Otherwise an urgent exchange waits behind those that came before it.
    async def step():
        admission_ = make_admission()
        # Makes callers with two seconds known as returning ones.
        admission_.open_gate(make_exchange(deadline_s=10.0))
        order = (
            ("less urgent", 1, 10.0, -0.02),
            ("later", 0, 10.0, 0.0),
            ("earlier", 0, 10.0, -0.01),
            ("returning", 0, 2.0, 0.0),
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

    assert run(step) == {"returning", "earlier"}


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
    "route, whole_s, is_returning",
    [
        (ROUTE, 7.0, True),
        # Callers' clocks differ a little from ours.
        (ROUTE, 9.9, False),
        (fakes.make_route(name="r-2"), 7.0, False),
    ],
)
def test_caller_with_less_time_than_usual_returns(route, whole_s, is_returning):
    async def step():
        controller = RecordingController()
        admission_ = make_admission(controller)
        admission_.open_gate(make_exchange(deadline_s=10.0))
        gate = admission_.open_gate(make_exchange(route, deadline_s=whole_s))
        gate.check(FREE)
        return controller.candidates[-1].is_returning

    assert run(step) is is_returning


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
