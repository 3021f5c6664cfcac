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


class Harness:
    """Instances a, b and c; instance a issues the permits."""

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
            lambda key: PEERS[0],
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
        await check(Harness())

    virtualloop.run(main())


def crash(harness, name, endpoint_id, digests):
    return harness.nodes[name].record_crash(endpoint_id, digests)


def test_crash_is_known_to_all_peers_before_any_request_is_retried():
    async def check(harness):
        await crash(harness, "a", "e1", {"p": 0.1})
        assert harness.decide_all("p") == [ISOLATE] * 3
        await crash(harness, "b", "e2", {"p": 0.1})
        assert harness.decide_all("p") == [REFUSE] * 3

    run(check)


def test_an_unreachable_peer_delays_a_broadcast_only_until_the_timeout():
    async def check(harness):
        harness.network.cut({"c"}, {"a", "b"})
        await crash(harness, "a", "e1", {"p": 0.1})
        assert harness.clock.read_monotonic() == pytest.approx(0.2, abs=0.01)
        assert harness.nodes["b"].decide("p") is ISOLATE

    run(check)


def test_a_suspect_runs_in_one_copy_at_a_time():
    async def check(harness):
        await crash(harness, "a", "e1", {"p": 0.1, "x": 0.1, "y": 0.1})
        first = (await harness.acquire("a", "p")).unwrap()
        assert first.endpoint_id in ENDPOINTS
        refusal = (await harness.acquire("b", "p", 2.0)).failure()
        assert refusal == failures.Failure(
            failures.FailureCode.NO_ENDPOINT,
            "the request is suspected of crashing endpoints and has to wait",
            verdicts.Verdict.NOT_RUN,
            1.0,
        )
        await harness.nodes["a"].release(first)
        assert isinstance(await harness.acquire("b", "p"), result.Success)

    run(check)


def test_suspects_are_probed_on_reserved_endpoints():
    async def check(harness):
        suspects = {"p": 0.1, "x": 0.1, "y": 0.1}
        await crash(harness, "a", "e1", suspects)
        permits = [
            (await harness.acquire("a", digest)).value_or(None)
            for digest in suspects
        ]
        reserved = harness.nodes["c"].list_reserved("pool", ENDPOINTS)
        assert len(reserved) == 2
        assert {p.endpoint_id for p in permits[:2]} == reserved
        assert permits[2] is None
        # The next suspect starts when the first ones have been probed, which
        # counts from their first tokens.
        for permit in permits[:2]:
            harness.nodes["a"].note_started(permit)
        assert (await harness.acquire("a", "y", 2.0)).unwrap() is not None
        await harness.clock.sleep(6.0)
        assert not harness.nodes["c"].list_reserved("pool", ENDPOINTS)

    run(check)


def test_a_request_without_suspicion_may_run_anywhere():
    async def check(harness):
        assert (await harness.acquire("a", "x")).unwrap() is None
        await crash(harness, "a", "e1", {"p": 0.1})
        assert (await harness.acquire("a", "x")).unwrap() is None

    run(check)


def test_a_refusal_contains_the_remaining_quarantine():
    async def check(harness):
        await crash(harness, "a", "e1", {"p": 0.1})
        await crash(harness, "a", "e2", {"p": 0.1})
        refusal = (await harness.acquire("c", "p")).failure()
        assert refusal.code is failures.FailureCode.QUARANTINED
        assert refusal.verdict is verdicts.Verdict.NOT_RUN
        assert refusal.retry_after_s == pytest.approx(3600.0, abs=0.1)

    run(check)


def test_a_waiting_suspect_runs_freely_once_the_cause_is_known():
    async def check(harness):
        await crash(harness, "a", "e1", {"p": 0.1, "x": 0.1})
        permit = (await harness.acquire("a", "p")).unwrap()
        await crash(harness, "a", permit.endpoint_id, {"p": 0.1})
        assert (await harness.acquire("b", "x")).unwrap() is None

    run(check)


def test_a_suspect_that_completed_its_probe_is_not_the_cause():
    async def check(harness):
        await crash(harness, "a", "e1", {"x": 0.5})
        permit = (await harness.acquire("a", "x")).unwrap()
        with harness.nodes["a"].track([permit.endpoint_id], "x"):
            harness.nodes["a"].note_started(permit)
            await harness.clock.sleep(2.5)
            await harness.nodes["a"].record_crash(permit.endpoint_id)
        assert harness.decide_all("x") == [ISOLATE] * 3

    run(check)


def test_waiting_time_does_not_count_as_probe_time():
    """A suspect that only waited must not pass its probe and evade the blame.

    See ``measure faults --kind poison_request --seed 1``.
    """

    async def check(harness):
        await crash(harness, "a", "e1", {"p": 0.5})
        permit = (await harness.acquire("a", "p")).unwrap()
        with harness.nodes["a"].track([permit.endpoint_id], "p"):
            await harness.clock.sleep(2.5)
            await harness.nodes["a"].record_crash(permit.endpoint_id)
        assert harness.decide_all("p") == [REFUSE] * 3

    run(check)


def test_no_suspect_starts_beside_one_that_has_not_produced_a_token():
    async def check(harness):
        await crash(harness, "a", "e1", {"p": 0.1, "x": 0.1, "y": 0.1})
        for digest in "px":
            assert (await harness.acquire("a", digest)).unwrap()
        assert (await harness.acquire("b", "y", 2.0)).value_or(None) is None

    run(check)


def test_requests_that_failed_with_an_endpoint_stay_listed_for_a_moment():
    async def check(harness):
        node = harness.nodes["a"]
        with contextlib.suppress(ConnectionError), node.track(["e1"], "p"):
            raise ConnectionError
        with node.track(["e1"], "x"):
            pass
        await harness.clock.sleep(0.5)
        await node.record_crash("e1")
        assert node.decide("p") is ISOLATE
        assert node.decide("x") is quarantine.Decision.ALLOW

    run(check)


def test_a_digest_with_earlier_successes_is_not_suspect_after_one_crash():
    async def check(harness):
        node = harness.nodes["a"]
        node.record_finished("x")
        node.record_finished("x")
        await crash(harness, "a", "e1", {"x": 0.1})
        assert node.decide("x") is quarantine.Decision.ALLOW
        await crash(harness, "a", "e2", {"x": 0.1})
        assert node.decide("x") is ISOLATE

    run(check)


def test_a_starting_instance_reads_the_stored_quarantines():
    async def check(harness):
        async with harness.nodes["a"].run():
            await crash(harness, "a", "e1", {"p": 0.1})
            await crash(harness, "a", "e2", {"p": 0.1})
            await harness.clock.sleep(1.0)
            late = harness.create(quarantine.Peer("d", "d"))
            async with late.run():
                assert late.decide("p") is REFUSE

    run(check)


def test_concurrent_updates_store_the_quarantines_of_both_instances():
    async def check(harness):
        harness.network.cut({"a"}, {"b", "c"})
        for name, digest in (("a", "p"), ("b", "q")):
            await crash(harness, name, "e1", {digest: 0.1})
            await harness.clock.sleep(3.0)
            await crash(harness, name, "e1", {digest: 0.1})
        async with harness.nodes["a"].run(), harness.nodes["b"].run():
            await harness.clock.sleep(200.0)
            assert [
                [q.digest for q in harness.nodes[name].list_quarantined()]
                for name in "ab"
            ] == [["p", "q"]] * 2

    run(check)


def test_exported_state_is_merged_and_invalid_bytes_are_ignored():
    async def check(harness):
        harness.network.cut({"a"}, {"b", "c"})
        await crash(harness, "a", "e1", {"p": 0.1})
        harness.nodes["b"].merge_state(harness.nodes["a"].export_state())
        harness.nodes["b"].merge_state(b"\xff\xff no facts")
        assert harness.nodes["b"].decide("p") is ISOLATE

    run(check)


def test_an_operator_clears_a_digest_at_all_instances():
    async def check(harness):
        await crash(harness, "a", "e1", {"p": 0.1})
        await crash(harness, "a", "e2", {"p": 0.1})
        await harness.nodes["b"].clear("p")
        assert harness.decide_all("p") == [quarantine.Decision.ALLOW] * 3

    run(check)
