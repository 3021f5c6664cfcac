"""Rate limits and permits over real datagrams."""

import asyncio
import random

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.peering import limitupdates
from rhubarblock.exchange.peering import updates_test
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages

STATED = ratelimits.StatedLimit(50.0)


class Node(updates_test.Node):
    """A node that also has rate limits."""

    def __init__(self, name):
        super().__init__(name)
        timers = timer_service.LoopTimers()
        self.limit_peers = limitupdates.DatagramLimitPeers(
            self.updates, self.peers, self.updates._subsets, name, "osu", timers
        )
        self.limits = endpointlimits.EndpointLimits(
            self.limit_peers, random.Random(1), timers, metric_store.Metrics()
        )
        limitupdates.connect(self.updates, self.limits)

    @property
    def name(self):
        return "{}:{}".format(*self.address)


def run(step):
    async def main():
        first, second = Node("i1"), Node("i2")
        async with (
            first.updates.open("127.0.0.1", 0),
            second.updates.open("127.0.0.1", 0),
        ):
            first.peers.add(*second.address, "i2", "osu")
            second.peers.add(*first.address, "i1", "osu")
            return await step(first, second)

    return asyncio.run(main())


def find_rate(node):
    return node.limits.find_rate("e1")


def test_peer_receives_a_limit_and_its_end():
    async def step(first, second):
        first.limits.note_answer("e1", STATED, 0.0)
        await updates_test.wait_for(lambda: find_rate(second) == 50.0)
        sent_s = asyncio.get_running_loop().time()
        second.limits.note_answer("e1", ratelimits.NO_STATED_LIMIT, sent_s)
        await updates_test.wait_for(lambda: find_rate(first) is None)

    run(step)


def test_both_instances_choose_the_same_coordinator_and_get_permits():
    async def step(first, second):
        first.limits.note_answer("e1", STATED, 0.0)
        limited = [fakes.make_endpoint(1)]
        await updates_test.wait_for(lambda: find_rate(second))
        chosen = [
            node.limit_peers.choose_coordinator("e1", set()) or node.name
            for node in (first, second)
        ]
        for node in (first, second):
            while not node.limits.select_available(limited):
                node.limits.request_permit(limited, "q1", 1.0)
                await asyncio.sleep(0.005)
        return chosen

    first, second = run(step)
    assert first == second


def test_silent_coordinator_is_not_chosen():
    async def step(first, second):
        peers = first.limit_peers
        return (
            peers.count_users("e1"),
            peers.choose_coordinator("e1", {second.name}),
        )

    assert run(step) == (2, "")


def test_peer_that_starts_receives_the_limits():
    async def step(first, second):
        report = messages.LimitReport("e1", 3.0, 1.0, 1.0)
        first.limits.receive_report(report)
        await second.updates.send_heartbeat()
        await updates_test.wait_for(lambda: find_rate(second) == 3.0)

    run(step)


def test_malformed_limit_datagrams_are_ignored():
    async def step(first, second):
        for fields in ([1], ["e1", "x", 0, 0], ["e1", 2.0], [None, None]):
            first.updates.send_to(second.address, ["l", *fields])
            first.updates.send_to(second.address, ["q", *fields])
            first.updates.send_to(second.address, ["t", *fields])
        first.limits.note_answer("e1", STATED, 0.0)
        await updates_test.wait_for(lambda: find_rate(second) == 50.0)

    run(step)


def test_cold_period_is_sent_in_fields_that_earlier_versions_ignore():
    async def step(first, second):
        reports = []
        second.limits.on_cold_report = lambda endpoint_id, report: (
            reports.append((endpoint_id, report))
        )
        now_s = asyncio.get_running_loop().time()
        cold = limittables.ColdLimit(4.0, now_s - 2.0, now_s + 9.0, False, True)
        first.limits.set_cold("e1", cold, is_reported=True)
        await updates_test.wait_for(lambda: reports)
        first.limits.note_answer("e1", STATED, 0.0)
        # The first four fields are those of an earlier version.
        first.updates.send_to(second.address, ["l", "e2", 3.0, 10.0, 5.0])
        await updates_test.wait_for(lambda: second.limits.find_rate("e2"))
        return reports, find_rate(second)

    reports, rate = run(step)
    endpoint_id, report = reports[0]
    assert endpoint_id == "e1"
    assert report.is_observed
    assert 2.0 <= report.begun_age_s <= 3.0
    assert 8.0 <= report.left_s <= 9.0
    assert rate == 50.0


def test_part_of_the_instances_that_is_heard_shrinks_in_a_partition():
    async def step(first, second):
        before = first.limit_peers.find_reached("e1")
        first.peers.find(second.address).last_seen_s = -1e3
        return before, first.limit_peers.find_reached("e1")

    assert run(step) == (1.0, 0.5)
