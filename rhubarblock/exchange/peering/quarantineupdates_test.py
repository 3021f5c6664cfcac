import asyncio
import json
import random

import pytest

from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange.peering import quarantineupdates
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop

BAD = "pool/bad"


class FakeUpdates:
    """Delivers datagrams to all other members of a group.

    Attributes:
      sent: the datagrams that were sent, as decoded by their receivers.
    """

    def __init__(self, group, timers):
        self.listeners = {}
        self.start_listeners = []
        self.on_crash = None
        self.sent = []
        self._group = group
        self._timers = timers

    def listen(self, code, listener):
        self.listeners[code] = listener

    def send_to_all(self, fields):
        decoded = json.loads(json.dumps(fields))
        self.sent.append(decoded)
        for other in self._group:
            if other.updates is not self:
                other.updates.listeners[decoded[0]](decoded[1:], ("", 0))

    def send_twice(self, make_fields):
        self.send_to_all(make_fields())
        self._timers.call_later(
            peer_updates.RESEND_S, lambda: self.send_to_all(make_fields())
        )

    def send_to(self, address, fields):
        self.sent.append(json.loads(json.dumps(fields)))

    def announce_crash(self, endpoint_id, ages):
        for other in self._group:
            if other.updates is not self:
                other.updates.on_crash(endpoint_id, ages)


class Instance:
    def __init__(self, group, number, count):
        timers = timer_service.LoopTimers(0.0)
        table = peer_table.PeerTable(f"i{number}", "osu-hall", timers)
        for other in range(count):
            if other != number:
                table.add(f"10.0.0.{other}", 7000, f"i{other}", "osu-hall")
        self.updates = FakeUpdates(group, timers)
        self.peers = quarantineupdates.DatagramQuarantinePeers(
            self.updates, table, f"i{number}", timers, random.Random(number)
        )
        self.quarantine = quarantines.ExchangeQuarantine(
            self.peers, timers, metric_store.Metrics()
        )
        quarantineupdates.connect(
            self.updates, self.peers, self.quarantine, timers
        )
        group.append(self)

    def crash(self, number):
        requests = {f"{number:032x}": frozenset([BAD, "pool/5c"])}
        ages = dict.fromkeys(requests, 0.1)
        self.quarantine.add_crash(f"e{number}", ages, requests)

    def list_parts(self):
        return [sorted(q.parts) for q in self.quarantine.list_records().parts]

    def list_codes(self):
        return [fields[0] for fields in self.updates.sent]


def make_group(count):
    group = []
    for number in range(count):
        Instance(group, number, count)
    return group


def test_crashes_at_two_instances_quarantine_a_part_at_a_third():
    async def main():
        first, second, third = make_group(3)
        first.crash(1)
        await asyncio.sleep(1.0)
        second.crash(2)
        await asyncio.sleep(1.0)
        return third.list_parts()

    assert virtualloop.run(main()) == [["pool/5c", BAD]]


def test_answer_that_one_instance_knows_is_reported_once():
    async def main():
        group = make_group(5)
        for instance in group[1:]:
            instance.quarantine.receive_served({"pool/5c": 1.0})
        group[0].crash(1)
        await asyncio.sleep(0.2)
        codes = [code for i in group for code in i.list_codes()]
        await asyncio.sleep(1.0)
        group[0].crash(2)
        return codes.count(peer_updates.PART_SERVED), group[0].list_parts()

    assert virtualloop.run(main()) == (1, [[BAD]])


def test_quarantine_that_was_lifted_is_not_brought_back_by_its_resend():
    async def main():
        first, second = make_group(2)
        first.crash(1)
        await asyncio.sleep(1.0)
        first.crash(2)
        # Before the quarantine is sent again.
        await asyncio.sleep(0.1)
        before = second.list_parts()
        second.quarantine.receive_served({BAD: 0.0, "pool/5c": 0.0})
        await asyncio.sleep(1.0)
        return before, second.list_parts()

    assert virtualloop.run(main()) == ([["pool/5c", BAD]], [])


def test_instance_that_starts_is_told_by_few_peers():
    async def main():
        group = make_group(8)
        group[0].crash(1)
        await asyncio.sleep(1.0)
        group[0].crash(2)
        await asyncio.sleep(1.0)
        for instance in group:
            instance.updates.sent.clear()
            for listener in instance.updates.start_listeners:
                listener(("10.0.0.9", 7000))
        return sum(len(instance.updates.sent) for instance in group)

    assert virtualloop.run(main()) == quarantineupdates.INFORMANTS


def test_quarantines_are_sent_in_lots_that_fit_into_a_datagram():
    async def main():
        first, second = make_group(2)
        for number in range(40):
            requests = [
                {f"{number}.{n}": frozenset([f"pool/{number}"])}
                for n in range(2)
            ]
            for n, request in enumerate(requests):
                first.quarantine.add_crash(f"e{number}.{n}", {}, request)
                await asyncio.sleep(1.0)
        await asyncio.sleep(1.0)
        first.updates.sent.clear()
        first.peers.send_records(
            ("10.0.0.1", 7000), first.quarantine.list_records()
        )
        sizes = [len(json.dumps(fields)) for fields in first.updates.sent]
        return len(second.list_parts()), len(sizes), max(sizes)

    parts, datagrams, largest = virtualloop.run(main())
    assert parts == 40
    assert datagrams == 3
    assert largest < 1400


@pytest.mark.parametrize(
    "fields",
    [
        [peer_updates.PART_CRASH, "e1", [], {}],
        [peer_updates.PART_CRASH, "e1", {"d": [1]}, {}],
        [peer_updates.PART_CRASH, "e1", {"d": ["x" * 300]}, {}],
        [peer_updates.PART_CRASH, "e1"],
        [peer_updates.PART_SERVED, "x"],
        [peer_updates.PART_SERVED, {"a": "b"}],
        [peer_updates.QUARANTINED, [[["a"], "x", 2]]],
        [peer_updates.QUARANTINED, [[["a"]]]],
        [peer_updates.QUARANTINED, 3],
    ],
)
def test_malformed_message_raises_what_the_channel_logs(fields):
    async def main():
        (instance,) = make_group(1)
        with pytest.raises((ValueError, TypeError, IndexError)):
            instance.updates.listeners[fields[0]](fields[1:], ("", 0))
        return instance.list_parts()

    assert virtualloop.run(main()) == []
