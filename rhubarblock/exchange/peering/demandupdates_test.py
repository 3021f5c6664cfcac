"""Summaries of demand between instances."""

import json
import random

import pytest

from rhubarblock.exchange.peering import demandupdates
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.admission import demand as demands

PEER = ("10.0.0.1", 9000)


class FakeUpdates:
    """Records what is sent; ``deliver`` is called as for a datagram."""

    def __init__(self):
        self.sent = []

    def listen(self, kind, listener):
        assert kind == peer_updates.DEMAND
        self.deliver = listener

    def send_to(self, address, fields):
        self.sent.append((address, json.loads(json.dumps(fields))))


class Node:
    def __init__(self, peers=0):
        timers = timer_service.LoopTimers()
        table = peer_table.PeerTable("i0", "osu", timers)
        for number in range(peers):
            table.add("10.0.1.1", 9000 + number, f"i{1 + number}", "osu")
        self.controller = controllers.AdmissionController(random.Random(1))
        self.updates = FakeUpdates()
        self.demand_updates = demandupdates.DemandUpdates(
            self.controller, self.updates, table, timers, random.Random(1)
        )

    @property
    def demand(self):
        return self.controller.find_demand("pool")

    def press(self, now_s, refused=10):
        for number in range(20):
            self.demand.note(
                1, f"w{number % 2}", 0.3, number >= refused, number < 3, now_s
            )
        self.demand_updates.note_pressure()


def run(step):
    async def main():
        return await step(timer_service.LoopTimers())

    return virtualloop.run(main())


def test_summary_survives_encoding_and_decoding():
    async def step(timers):
        node = Node()
        node.press(0.0)
        summary = node.demand.summarise(0.0)
        encoded = json.loads(json.dumps(demandupdates._encode(summary)))
        assert demandupdates._decode(encoded) == {
            1: demands.RankDemand(
                demands.Count(20.0, 10.0),
                {
                    name: demands.Count(pytest.approx(3.0), pytest.approx(1.5))
                    for name in ("w0", "w1")
                },
            )
        }

    run(step)


def test_nothing_is_sent_without_pressure():
    async def step(timers):
        node = Node(peers=3)
        node.press(0.0, refused=0)
        await timers.sleep(5.0)
        return node.updates.sent

    assert run(step) == []


def test_summary_goes_to_a_few_peers_until_the_pressure_ends():
    # With all 300 peers it would fill the smallest link.
    async def step(timers):
        node = Node(peers=20)
        node.press(0.0)
        await timers.sleep(demandupdates.INTERVAL_S)
        first = {address for address, _ in node.updates.sent}
        await timers.sleep(60.0)
        sent = len(node.updates.sent)
        await timers.sleep(5.0)
        return len(first), len(node.updates.sent) - sent

    assert run(step) == (demandupdates.MAX_RECIPIENTS, 0)


def test_summary_of_a_peer_presses_the_receiver():
    async def step(timers):
        sender, receiver = Node(peers=1), Node(peers=1)
        sender.press(0.0)
        await timers.sleep(demandupdates.INTERVAL_S)
        _, fields = sender.updates.sent[0]
        receiver.updates.deliver(fields[1:], PEER)
        assert receiver.demand.is_saturated(timers.read_monotonic())
        await timers.sleep(demandupdates.INTERVAL_S)
        return len(receiver.updates.sent)

    assert run(step) == 1


@pytest.mark.parametrize(
    "fields",
    [
        [],
        ["pool"],
        ["pool", 7],
        ["pool", [[0, 1.0, 1.0]]],
        ["pool", [[0, 1.0, 1.0, ["w1"]]]],
        ["pool", [[0, "x", 1.0, {}]]],
        ["pool", [[0, 1.0, 1.0, {"w1": [1.0]}]]],
        # Sums with them never decay.
        ["pool", [[0, float("nan"), 1.0, {}]]],
        ["pool", [[0, float("inf"), 1.0, {}]]],
        ["pool", [[0, 1.0, -1.0, {}]]],
        ["", [[0, 9.0, 0.0, 0.0, {}]]],
        ["x" * 500, [[0, 9.0, 0.0, 0.0, {}]]],
    ],
)
def test_unreadable_summary_is_ignored(fields):
    # The channel of datagrams catches only these errors.
    async def step(timers):
        node = Node()
        with pytest.raises((ValueError, TypeError, IndexError)):
            node.updates.deliver(fields, PEER)
        return node.controller.list_pressed(0.0)

    assert run(step) == []
