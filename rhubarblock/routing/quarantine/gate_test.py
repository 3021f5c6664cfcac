import contextlib
import random

import pytest
from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.quarantine import gate as quarantine
from rhubarblock.standins import memorypeers
from rhubarblock.standins.platform import store as platform

PEERS = [quarantine.Peer(name, name) for name in "abc"]
ENDPOINTS = [f"e{number}" for number in range(12)]
ISOLATE = quarantine.Decision.ISOLATE
REFUSE = quarantine.Decision.REFUSE


class Bench:
    """Instances a, b and c; the desk is at a."""

    def __init__(self):
        self.clock = timers.LoopTimers(1000.0)
        self.network = memorypeers.MemoryPeerNetwork(random.Random(1))
        self.store = platform.MemoryStore(self.clock, random.Random(2))
        self.nodes = {peer.instance_id: self.create(peer) for peer in PEERS}

    def create(self, peer):
        return quarantine.Quarantine(
            self.clock,
            self.store,
            peer.instance_id,
            self.network.join(peer.address, peer.instance_id),
            lambda: [other for other in PEERS if other != peer],
            lambda duty: PEERS[0],
            random.Random(3),
        )

    async def acquire(self, name, digest, wait_s=0.0):
        return await self.nodes[name].acquire(
            digest, "pool", lambda: ENDPOINTS, wait_s, 60.0
        )

    def decide_all(self, digest):
        return [node.decide(digest) for node in self.nodes.values()]


def run(check):
    async def main():
        await check(Bench())

    virtualloop.run(main())


def crash(bench, name, endpoint_id, digests):
    return bench.nodes[name].record_crash(endpoint_id, digests)


def test_all_know_of_a_crash_before_anything_is_tried_again():
    async def check(bench):
        await crash(bench, "a", "e1", {"p": 0.1})
        assert bench.decide_all("p") == [ISOLATE] * 3
        await crash(bench, "b", "e2", {"p": 0.1})
        assert bench.decide_all("p") == [REFUSE] * 3

    run(check)


def test_a_peer_that_cannot_be_reached_holds_nobody_up_for_long():
    async def check(bench):
        bench.network.cut({"c"}, {"a", "b"})
        await crash(bench, "a", "e1", {"p": 0.1})
        assert bench.clock.read_monotonic() == pytest.approx(0.2, abs=0.01)
        assert bench.nodes["b"].decide("p") is ISOLATE

    run(check)


def test_a_suspect_runs_in_one_copy_at_a_time():
    async def check(bench):
        await crash(bench, "a", "e1", {"p": 0.1, "x": 0.1, "y": 0.1})
        first = (await bench.acquire("a", "p")).unwrap()
        assert first.endpoint_id in ENDPOINTS
        refusal = (await bench.acquire("b", "p", 2.0)).failure()
        assert refusal == failures.Failure(
            failures.FailureCode.NO_ENDPOINT,
            "the request is suspected of crashing endpoints and has to wait",
            verdicts.Verdict.NOT_RUN,
            1.0,
        )
        await bench.nodes["a"].release(first)
        assert isinstance(await bench.acquire("b", "p"), result.Success)

    run(check)


def test_suspects_are_probed_on_endpoints_of_their_own():
    async def check(bench):
        suspects = {"p": 0.1, "x": 0.1, "y": 0.1}
        await crash(bench, "a", "e1", suspects)
        permits = [
            (await bench.acquire("a", digest)).value_or(None)
            for digest in suspects
        ]
        kept = bench.nodes["c"].list_reserved("pool", ENDPOINTS)
        assert len(kept) == 2
        assert {p.endpoint_id for p in permits[:2]} == kept
        assert permits[2] is None
        # The next one begins once the first ones are probed, which counts from
        # their first tokens.
        for permit in permits[:2]:
            bench.nodes["a"].note_started(permit)
        assert (await bench.acquire("a", "y", 2.0)).unwrap() is not None
        await bench.clock.sleep(6.0)
        assert not bench.nodes["c"].list_reserved("pool", ENDPOINTS)

    run(check)


def test_what_nobody_suspects_may_run_anywhere():
    async def check(bench):
        assert (await bench.acquire("a", "x")).unwrap() is None
        await crash(bench, "a", "e1", {"p": 0.1})
        assert (await bench.acquire("a", "x")).unwrap() is None

    run(check)


def test_a_quarantined_request_is_refused_with_its_end():
    async def check(bench):
        await crash(bench, "a", "e1", {"p": 0.1})
        await crash(bench, "a", "e2", {"p": 0.1})
        refusal = (await bench.acquire("c", "p")).failure()
        assert refusal.code is failures.FailureCode.QUARANTINED
        assert refusal.verdict is verdicts.Verdict.NOT_RUN
        assert refusal.retry_after_s == pytest.approx(3600.0, abs=0.1)

    run(check)


def test_a_waiting_suspect_runs_once_the_cause_is_found():
    async def check(bench):
        await crash(bench, "a", "e1", {"p": 0.1, "x": 0.1})
        permit = (await bench.acquire("a", "p")).unwrap()
        await crash(bench, "a", permit.endpoint_id, {"p": 0.1})
        assert (await bench.acquire("b", "x")).unwrap() is None

    run(check)


def test_a_suspect_that_outlasts_its_probe_is_not_blamed():
    async def check(bench):
        await crash(bench, "a", "e1", {"x": 0.5})
        permit = (await bench.acquire("a", "x")).unwrap()
        with bench.nodes["a"].track([permit.endpoint_id], "x"):
            bench.nodes["a"].note_started(permit)
            await bench.clock.sleep(2.5)
            await bench.nodes["a"].record_crash(permit.endpoint_id)
        assert bench.decide_all("x") == [ISOLATE] * 3

    run(check)


def test_time_that_a_suspect_only_waited_does_not_speak_for_it():
    """Found by ``measure faults --kind poison_request --seed 1``."""

    async def check(bench):
        await crash(bench, "a", "e1", {"p": 0.5})
        permit = (await bench.acquire("a", "p")).unwrap()
        with bench.nodes["a"].track([permit.endpoint_id], "p"):
            await bench.clock.sleep(2.5)
            await bench.nodes["a"].record_crash(permit.endpoint_id)
        assert bench.decide_all("p") == [REFUSE] * 3

    run(check)


def test_nothing_begins_beside_a_suspect_that_waits():
    async def check(bench):
        await crash(bench, "a", "e1", {"p": 0.1, "x": 0.1, "y": 0.1})
        for digest in "px":
            assert (await bench.acquire("a", digest)).unwrap()
        assert (await bench.acquire("b", "y", 2.0)).value_or(None) is None

    run(check)


def test_what_died_with_an_endpoint_is_still_known_a_moment_later():
    async def check(bench):
        node = bench.nodes["a"]
        with contextlib.suppress(ConnectionError), node.track(["e1"], "p"):
            raise ConnectionError
        with node.track(["e1"], "x"):
            pass
        await bench.clock.sleep(0.5)
        await node.record_crash("e1")
        assert node.decide("p") is ISOLATE
        assert node.decide("x") is quarantine.Decision.ALLOW

    run(check)


def test_a_digest_that_ran_well_before_is_not_suspect_at_once():
    async def check(bench):
        node = bench.nodes["a"]
        node.record_finished("x")
        node.record_finished("x")
        await crash(bench, "a", "e1", {"x": 0.1})
        assert node.decide("x") is quarantine.Decision.ALLOW
        await crash(bench, "a", "e2", {"x": 0.1})
        assert node.decide("x") is ISOLATE

    run(check)


def test_a_starting_instance_reads_what_is_kept():
    async def check(bench):
        async with bench.nodes["a"].run():
            await crash(bench, "a", "e1", {"p": 0.1})
            await crash(bench, "a", "e2", {"p": 0.1})
            await bench.clock.sleep(1.0)
            late = bench.create(quarantine.Peer("d", "d"))
            async with late.run():
                assert late.decide("p") is REFUSE

    run(check)


def test_two_instances_keep_what_both_know():
    async def check(bench):
        bench.network.cut({"a"}, {"b", "c"})
        for name, digest in (("a", "p"), ("b", "q")):
            await crash(bench, name, "e1", {digest: 0.1})
            await bench.clock.sleep(3.0)
            await crash(bench, name, "e1", {digest: 0.1})
        async with bench.nodes["a"].run(), bench.nodes["b"].run():
            await bench.clock.sleep(200.0)
            assert [
                [q.digest for q in bench.nodes[name].list_quarantined()]
                for name in "ab"
            ] == [["p", "q"]] * 2

    run(check)


def test_state_travels_with_other_messages():
    async def check(bench):
        bench.network.cut({"a"}, {"b", "c"})
        await crash(bench, "a", "e1", {"p": 0.1})
        bench.nodes["b"].merge_state(bench.nodes["a"].export_state())
        bench.nodes["b"].merge_state(b"\xff\xff no facts")
        assert bench.nodes["b"].decide("p") is ISOLATE

    run(check)


def test_an_operator_lets_a_digest_go_everywhere():
    async def check(bench):
        await crash(bench, "a", "e1", {"p": 0.1})
        await crash(bench, "a", "e2", {"p": 0.1})
        await bench.nodes["b"].forgive("p")
        assert bench.decide_all("p") == [quarantine.Decision.ALLOW] * 3

    run(check)
