"""Limits and permits over real datagrams."""

import asyncio
import random

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.peering import limitupdates
from rhubarblock.exchange.peering import updates_test
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.endpointlimits import messages

NAMED = ratelimits.StatedLimit(50.0)


class End(updates_test.End):
    """An instance's news with its limits."""

    def __init__(self, name):
        super().__init__(name)
        timers = timer_service.LoopTimers()
        self.net_peers = limitupdates.DatagramLimitPeers(
            self.updates, self.peers, self.updates._subsets, name, "osu", timers
        )
        self.limits = endpointlimits.EndpointLimits(
            self.net_peers, random.Random(1), timers, metric_store.Metrics()
        )
        limitupdates.connect(self.updates, self.limits)

    @property
    def name(self):
        return "{}:{}".format(*self.address)


def run(step):
    async def main():
        first, second = End("i1"), End("i2")
        async with (
            first.updates.open("127.0.0.1", 0),
            second.updates.open("127.0.0.1", 0),
        ):
            first.peers.add(*second.address, "i2", "osu")
            second.peers.add(*first.address, "i1", "osu")
            return await step(first, second)

    return asyncio.run(main())


def find_rate(end):
    return end.limits.find_rate("e1")


def test_peer_hears_of_a_limit_and_of_its_end():
    async def step(first, second):
        first.limits.note_answer("e1", NAMED, 0.0)
        await updates_test.wait_for(lambda: find_rate(second) == 50.0)
        sent_s = asyncio.get_running_loop().time()
        second.limits.note_answer("e1", ratelimits.NO_STATED_LIMIT, sent_s)
        await updates_test.wait_for(lambda: find_rate(first) is None)

    run(step)


def test_both_get_permits_from_the_coordinator_that_both_choose():
    async def step(first, second):
        first.limits.note_answer("e1", NAMED, 0.0)
        needy = [fakes.make_endpoint(1)]
        await updates_test.wait_for(lambda: find_rate(second))
        chosen = [
            end.net_peers.choose_coordinator("e1", set()) or end.name
            for end in (first, second)
        ]
        for end in (first, second):
            while not end.limits.select_open(needy):
                end.limits.ask(needy, "q1", 1.0)
                await asyncio.sleep(0.005)
        return chosen

    first, second = run(step)
    assert first == second


def test_coordinator_that_is_silent_is_not_chosen():
    async def step(first, second):
        peers = first.net_peers
        return (
            peers.count_users("e1"),
            peers.choose_coordinator("e1", {second.name}),
        )

    assert run(step) == (2, "")


def test_peer_that_starts_is_told_of_limits():
    async def step(first, second):
        report = messages.LimitReport("e1", 3.0, 1.0, 1.0)
        first.limits.receive_report(report)
        await second.updates.send_heartbeat()
        await updates_test.wait_for(lambda: find_rate(second) == 3.0)

    run(step)


def test_datagram_that_cannot_be_read_is_left_out():
    async def step(first, second):
        for fields in ([1], ["e1", "x", 0, 0], ["e1", 2.0], [None, None]):
            first.updates.send_to(second.address, ["l", *fields])
            first.updates.send_to(second.address, ["q", *fields])
            first.updates.send_to(second.address, ["t", *fields])
        first.limits.note_answer("e1", NAMED, 0.0)
        await updates_test.wait_for(lambda: find_rate(second) == 50.0)

    run(step)
