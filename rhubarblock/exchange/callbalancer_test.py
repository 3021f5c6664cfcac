"""Balancing of plain calls by calls in flight and refusals."""

import asyncio
import contextlib
import dataclasses

from rhubarblock.exchange import callbalancer
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import health as healths

NEAR = fakes.make_endpoint(1)
FAR = dataclasses.replace(fakes.make_endpoint(2), data_centre="tema-hall")


def run(step):
    async def main():
        balancer = callbalancer.CallBalancer(
            healths.Health("osu-hall"), "osu-hall", timer_service.LoopTimers()
        )
        return await step(balancer)

    return virtualloop.run(main())


def choose(balancer):
    return balancer.choose([NEAR, FAR]).endpoint_id


def test_far_endpoint_is_used_if_the_near_one_has_several_calls():
    async def step(balancer):
        seen = [choose(balancer)]
        with balancer.hold("e1"), balancer.hold("e1"), balancer.hold("e1"):
            seen.append(choose(balancer))
        return [*seen, choose(balancer)]

    assert run(step) == ["e1", "e2", "e1"]


def test_endpoint_that_refused_a_call_counts_as_full_for_a_moment():
    async def step(balancer):
        balancer.note_refused("e1")
        seen = [choose(balancer)]
        await asyncio.sleep(callbalancer.FULL_S)
        return [*seen, choose(balancer)]

    assert run(step) == ["e2", "e1"]


def test_endpoints_that_all_refused_are_chosen_as_usual():
    async def step(balancer):
        balancer.note_refused("e1")
        balancer.note_refused("e2")
        return choose(balancer)

    assert run(step) == "e1"


def learn(balancer, endpoint, taken_s, count=12):
    """Lets calls take a time at an endpoint, one after the other."""
    started_s = asyncio.get_running_loop().time()
    for _ in range(count):
        balancer.note_answered(endpoint, started_s - taken_s)


def test_slow_endpoint_gets_fewer_calls():
    other = fakes.make_endpoint(3)

    async def step(balancer):
        learn(balancer, NEAR, 0.2)
        learn(balancer, other, 0.05)
        seen = []
        with contextlib.ExitStack() as stack:
            for _ in range(10):
                chosen = balancer.choose([NEAR, other])
                stack.enter_context(balancer.hold(chosen.endpoint_id))
                seen.append(chosen.endpoint_id)
        return seen

    seen = run(step)
    assert seen[0] == "e3"
    assert 1 <= seen.count("e1") <= 3


def test_calls_that_waited_behind_own_calls_are_not_learned():
    other = fakes.make_endpoint(3)

    async def step(balancer):
        learn(balancer, other, 0.05)
        with contextlib.ExitStack() as stack:
            for _ in range(NEAR.slots + 1):
                stack.enter_context(balancer.hold("e1"))
            learn(balancer, NEAR, 2.0)
        return choose(balancer)

    assert run(step) == "e1"
