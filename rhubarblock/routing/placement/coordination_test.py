"""Tests of placement by a coordinator, and alone if it is unreachable."""

import asyncio
import random

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.plugins import length_aware
from rhubarblock.plugins import naive
from rhubarblock.routing import ledger as ledgers
from rhubarblock.routing.placement import coordination
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable_test
from rhubarblock.standins import memorypeers

_LONG = loadtable_test.make_query(50_000)


class Node:
    """One instance; both instances take ``one`` for the coordinator."""

    def __init__(self, network, name, policy):
        self.peers = network.join(f"{name}:1", name)
        self.table = loadtable_test.make_table("a", "b")
        self.metrics = metric_store.Metrics()
        timers = timer_service.LoopTimers(0.0)
        self.client = coordination.PlacementClient(
            name,
            ledgers.Ledger(self.table, policy, timers),
            policy,
            self.peers,
            lambda service: coordination.Coordinator("one", "one:1"),
            self.metrics,
        )

    def count_grants(self):
        return [len(load.grants) for load in self.table.list_all()]


def run(body, policy=None):
    policy = policy or length_aware.LengthAwarePolicy()

    async def main():
        network = memorypeers.MemoryPeerNetwork(random.Random(1))
        nodes = [Node(network, name, policy) for name in ("one", "two")]
        return await body(network, *nodes)

    return virtualloop.run(main())


def test_coordinator_gives_two_instances_different_engines():
    async def body(network, one, two):
        placed = [
            await node.client.place(f"{number}/{number}", _LONG)
            for number, node in enumerate((two, one, two, one))
        ]
        counts = one.count_grants()
        for number, node in enumerate((two, one, two, one)):
            node.client.end_prefill(f"{number}/{number}")
            node.client.release(f"{number}/{number}")
        await two.client.send_progress()
        return [x.prefill_id for x in placed], counts, one.count_grants()

    names, counts, rest = run(body)
    assert sorted(names) == ["a", "a", "b", "b"]
    assert (counts, rest) == ([2, 2], [0, 0])


def test_policy_that_needs_no_coordinator_sends_no_messages():
    async def body(network, one, two):
        placed = await two.client.place("r/1", _LONG)
        return placed is not None, two.peers.traffic.messages_sent

    assert run(body, naive.NaivePolicy()) == (True, 0)


def test_instance_decides_alone_when_the_coordinator_is_unreachable():
    """Covers a network partition, a paused and a dead coordinator."""

    async def body(network, one, two):
        placed = []
        network.cut(["one:1"], ["two:1"])
        placed.append(await two.client.place("r/1", _LONG))
        network.heal()
        network.pause("one:1")
        placed.append(await two.client.place("r/2", _LONG))
        network.resume("one:1")
        network.remove("one:1")
        placed.append(await two.client.place("r/3", _LONG))
        two.client.release("r/1")
        await two.client.send_progress()
        return placed, two.metrics.snapshot(), sum(two.count_grants())

    placed, counts, grants = run(body)
    assert all(isinstance(x, placements.Placement) for x in placed)
    assert counts == {"placement.alone": 3}
    assert grants == 2


def test_grant_whose_release_was_lost_expires():
    async def body(network, one, two):
        await two.client.place("r/1", _LONG)
        assert sum(one.count_grants()) == 1
        network.cut(["one:1"], ["two:1"])
        two.client.release("r/1")
        await two.client.send_progress()
        network.heal()
        await asyncio.sleep(_LONG.slack_s + ledgers.GRACE_S + 0.1)
        await one.client.send_progress()
        return one.count_grants(), two.metrics.snapshot()

    assert run(body) == ([0, 0], {"placement.progress_lost": 1})


def test_reply_round_trip_keeps_the_placement():
    placement = placements.Placement(
        "c",
        "d",
        7,
        (placements.Segment("a", 10), placements.Segment("b", 20)),
        0.5,
    )
    reply = coordination.write_reply(placement)
    assert coordination.read_reply(reply) == placement
    assert not coordination.write_reply(None).found
