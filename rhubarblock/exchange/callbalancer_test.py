"""Balancing of plain calls by calls in flight and refusals."""

import asyncio
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
