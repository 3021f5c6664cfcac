"""Memory leases: all or none, renewed, and released on every exit path."""

import asyncio

import pytest

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.core import statement as statements
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import leases
from rhubarblock.exchange import statements as statement_handlers
from rhubarblock.exchange.state import directory as directories
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop

_Answer = dialects.LeaseAnswer


class Engines(dialects.LeaseClient):
    """Engines that hold leases until they expire.

    Attributes:
      answers: answers to reserve requests; DONE after the last one.
      late_s: delay with which a request answered UNSURE takes effect.
    """

    def __init__(self, *answers, late_s=3.0):
        self.answers = list(answers)
        self.late_s = late_s
        self.until_s = {}
        self.requests = 0
        self.limit = ratelimits.NO_STATED_LIMIT

    async def reserve(self, endpoint, request):
        self.requests += 1
        answer = self.answers.pop(0) if self.answers else _Answer.DONE
        key = (endpoint.endpoint_id, request.lease_id)
        loop = asyncio.get_running_loop()
        if answer is _Answer.DONE:
            self._set(key, request.hold_s)
        if answer is _Answer.UNSURE:
            loop.call_later(self.late_s, self._set, key, request.hold_s)
        return dialects.LeaseReply(
            answer, statements.Statement(limit=self.limit)
        )

    async def release(self, endpoint, lease_id):
        self.until_s.pop((endpoint.endpoint_id, lease_id), None)
        return dialects.LeaseReply(_Answer.DONE)

    def _set(self, key, hold_s):
        self.until_s[key] = asyncio.get_running_loop().time() + hold_s

    @property
    def held(self):
        now_s = asyncio.get_running_loop().time()
        return sorted(k[0] for k, v in self.until_s.items() if v > now_s)


WANTED = [
    leases.Lease(fakes.make_endpoint(n), f"t{n}", 100_000) for n in (1, 2)
]


def run(engines, step, directory=None):
    async def main():
        timers = timer_service.LoopTimers(0.0)
        limits = fakes.make_limits(timers)
        holder = leases.LeaseHolder(
            engines,
            fakes.BOUNDS,
            fakes.make_statement_handler(limits, timers, directory),
            timers,
        )
        return await step(holder, timers)

    return virtualloop.run(main())


def test_leases_are_held_for_as_long_as_they_are_needed():
    engines = Engines()

    async def step(holder, timers):
        async with holder.hold(WANTED):
            await timers.sleep(10.0)
            during = engines.held
        await timers.sleep(0.0)
        return during, engines.held

    assert run(engines, step) == (["e1", "e2"], [])


def test_refused_lease_releases_all_others():
    engines = Engines(_Answer.DONE, _Answer.REFUSED)

    async def step(holder, timers):
        with pytest.raises(leases.LeaseError) as raised:
            async with holder.hold(WANTED):
                raise AssertionError("nothing may run")
        await timers.sleep(0.0)
        return raised.value.endpoint_id, engines.held

    assert run(engines, step) == ("e2", [])


def test_cancelled_request_releases_its_leases():
    engines = Engines()

    async def step(holder, timers):
        async def work():
            async with holder.hold(WANTED):
                await timers.sleep(10.0)

        task = asyncio.ensure_future(work())
        await timers.sleep(1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await timers.sleep(0.0)
        return engines.held

    assert run(engines, step) == []


def test_leases_of_a_lost_holder_expire_within_four_seconds():
    engines = Engines()

    async def step(holder, timers):
        await holder._acquire(WANTED, set())
        await timers.sleep(3.9)
        return engines.held

    assert run(engines, step) == []


@pytest.mark.parametrize("late_s", [2.0, 4.0, 7.0, 12.0])
def test_lease_that_is_granted_late_is_released(late_s):
    engines = Engines(_Answer.UNSURE, late_s=late_s)

    async def step(holder, timers):
        with pytest.raises(leases.LeaseError):
            async with holder.hold(WANTED[:1]):
                raise AssertionError("nothing may run")
        free_s = 0.0
        for _ in range(200):
            await timers.sleep(0.1)
            free_s = 0.0 if engines.held else free_s + 0.1
        return free_s > 3.0

    assert run(engines, step)


def test_prompt_without_leases_sends_no_request():
    engines = Engines()

    async def step(holder, timers):
        async with holder.hold([]):
            return engines.requests

    assert run(engines, step) == 0


def test_rate_limit_in_a_lease_answer_is_recorded():
    engines = Engines()
    engines.limit = ratelimits.StatedLimit(2.0)

    async def main():
        timers = timer_service.LoopTimers(0.0)
        limits = fakes.make_limits(timers)
        holder = leases.LeaseHolder(
            engines,
            fakes.BOUNDS,
            fakes.make_statement_handler(limits, timers),
            timers,
        )
        async with holder.hold(WANTED):
            stated = limits.find_rate("e1")
            engines.limit = ratelimits.NO_STATED_LIMIT
            await timers.sleep(10.0)
            # Only answers to exchanges end a limit.
            return stated, limits.find_rate("e1")

    assert virtualloop.run(main()) == (2.0, 2.0)


def test_evacuated_engine_gets_no_reservation_but_renewals_and_releases():
    engines = Engines()
    directory = directories.Directory(timer_service.LoopTimers(0.0))

    async def step(holder, timers):
        async with holder.hold(WANTED):
            directory.set_evacuated(frozenset({"osu-hall"}))
            await timers.sleep(10.0)
            during = engines.held
        await timers.sleep(0.0)
        before = engines.requests
        with pytest.raises(statement_handlers.EvacuatedError):
            async with holder.hold(WANTED):
                raise AssertionError("nothing may run")
        return during, engines.held, engines.requests - before

    assert run(engines, step, directory) == (["e1", "e2"], [], 0)
