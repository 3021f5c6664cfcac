import random

import pytest

from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memorypeers


class Bench:
    """Three instances, two of them in the same data centre."""

    def __init__(self, loss=0.0):
        self.timers = timers_lib.LoopTimers(wall_offset_s=0.0)
        delays = memorypeers.NetworkDelays(within_s=0.01, between_s=0.1)
        self.network = memorypeers.MemoryPeerNetwork(
            random.Random(1), delays, loss
        )
        self.peers = [
            self.network.join("a:1", "i1", "a"),
            self.network.join("a:2", "i2", "a"),
            self.network.join("b:1", "i3", "b"),
        ]
        self.handled = []
        for peers in self.peers:
            peers.register("echo", self.echo)

    async def echo(self, sender, payload):
        self.handled.append((sender, payload))
        return payload * 2

    async def call(self, address, payload=b"x", timeout_s=1.0):
        started_s = self.timers.read_monotonic()
        try:
            answer = await self.peers[0].call(
                address, "echo", payload, timeout_s
            )
        except peertransport.PeerError:
            answer = None
        return answer, self.timers.read_monotonic() - started_s


def run(scenario, loss=0.0):
    async def main():
        return await scenario(Bench(loss))

    return virtualloop.run(main())


def test_call_delay_depends_on_the_data_centres():
    async def scenario(bench):
        near, near_s = await bench.call("a:2")
        far, far_s = await bench.call("b:1")
        return near, far, 0.01 <= near_s <= 0.03, 0.1 <= far_s <= 0.3

    assert run(scenario) == (b"xx", b"xx", True, True)


def test_lost_message_is_a_timeout():
    async def scenario(bench):
        return await bench.call("a:2")

    assert run(scenario, loss=1.0) == (None, 1.0)


def test_partition_loses_messages_until_it_heals():
    async def scenario(bench):
        bench.network.cut(["a:1"], ["b:1"])
        cut = (await bench.call("b:1"))[0], (await bench.call("a:2"))[0]
        bench.network.heal()
        return cut, (await bench.call("b:1"))[0]

    assert run(scenario) == ((None, b"xx"), b"xx")


def test_dead_instance_does_not_answer():
    async def scenario(bench):
        bench.network.remove("a:2")
        return await bench.call("a:2")

    assert run(scenario) == (None, 1.0)


def test_paused_instance_answers_when_it_resumes():
    async def scenario(bench):
        bench.network.pause("a:2")
        bench.timers.call_later(0.5, lambda: bench.network.resume("a:2"))
        answer, taken_s = await bench.call("a:2")
        return answer, taken_s > 0.5

    assert run(scenario) == (b"xx", True)


def test_paused_caller_notices_its_timeout_when_it_resumes():
    async def scenario(bench):
        bench.network.pause("a:2")
        bench.timers.call_later(0.5, lambda: bench.network.pause("a:1"))
        bench.timers.call_later(3.0, lambda: bench.network.resume("a:1"))
        return await bench.call("a:2")

    assert run(scenario) == (None, 3.0)


def test_handler_runs_even_if_its_caller_timed_out():
    async def scenario(bench):
        bench.network.pause("a:2")
        await bench.call("a:2", timeout_s=0.1)
        bench.network.resume("a:2")
        await bench.timers.sleep(0.1)
        return bench.handled

    assert run(scenario) == [("i1", b"x")]


def test_missing_or_failing_handler_is_a_peer_error():
    async def scenario(bench):
        async def fail(sender, payload):
            raise ValueError("broken")

        bench.peers[1].register("fail", fail)
        for kind in ("fail", "other"):
            with pytest.raises(peertransport.PeerError):
                await bench.peers[0].call("a:2", kind, b"", 1.0)

    run(scenario)


def test_traffic_is_counted_for_both_instances():
    async def scenario(bench):
        await bench.call("a:2", b"abc")
        sent = memorypeers.REQUEST_OVERHEAD_BYTES + 3
        received = memorypeers.ANSWER_OVERHEAD_BYTES + 6
        return (
            bench.network.traffic("a:1")
            == memorypeers.Traffic(1, 1, sent, received),
            bench.network.traffic("a:2")
            == memorypeers.Traffic(1, 1, received, sent),
        )

    assert run(scenario) == (True, True)


def test_pausable_timers_fire_only_when_resumed():
    async def scenario(bench):
        timers = memorypeers.PausableTimers(bench.timers, bench.peers[0])
        called_s = []
        bench.network.pause("a:1")
        timers.call_later(0.5, lambda: called_s.append(timers.read_wall()))
        bench.timers.call_later(2.0, lambda: bench.network.resume("a:1"))
        await timers.sleep(1.0)
        woken_s = timers.read_monotonic()
        await timers.sleep(1.0)
        return woken_s, called_s, timers.read_monotonic()

    assert run(scenario) == (2.0, [2.0], 3.0)
