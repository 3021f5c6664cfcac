"""Where plain calls go, by what runs and what was refused."""

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
        book = callbalancer.CallBalancer(
            healths.Health("osu-hall"), "osu-hall", timer_service.LoopTimers()
        )
        return await step(book)

    return virtualloop.run(main())


def choose(book):
    return book.choose([NEAR, FAR]).endpoint_id


def test_far_endpoint_is_used_when_the_near_one_has_calls_before_it():
    async def step(book):
        seen = [choose(book)]
        with book.hold("e1"), book.hold("e1"), book.hold("e1"):
            seen.append(choose(book))
        return [*seen, choose(book)]

    assert run(step) == ["e1", "e2", "e1"]


def test_endpoint_that_refused_a_call_counts_as_full_for_a_moment():
    async def step(book):
        book.note_refused("e1")
        seen = [choose(book)]
        await asyncio.sleep(callbalancer.FULL_S)
        return [*seen, choose(book)]

    assert run(step) == ["e2", "e1"]


def test_endpoints_that_all_refused_are_chosen_as_before():
    async def step(book):
        book.note_refused("e1")
        book.note_refused("e2")
        return choose(book)

    assert run(step) == "e1"
