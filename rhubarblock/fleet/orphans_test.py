import dataclasses
import random

from rhubarblock.core import attemptid
from rhubarblock.fleet import assignment
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import orphans
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import view as memberview
from rhubarblock.kernel import timers
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import testing as enginetesting
from rhubarblock.store import instances

ADDRESS = "10.0.0.1:8000"
# An engine whose coordinator is instance a, also while b is alive.
ENGINE = "e3"
OWN = members.Member("a", "osu-hall", "10.0.1.1:7000", incarnation=2)
OTHER = members.Member("b", "osu-hall", "10.0.1.2:7000", incarnation=5)


class Harness:
    """One engine and the collector of instance a; instance b is a peer."""

    def __init__(self):
        self.clock = timers.LoopTimers(0.0)
        self.engine = engines.Engine(
            ENGINE, ADDRESS, self.clock, random.Random(1)
        )
        self.cluster = enginecluster.EngineCluster()
        self.cluster.add(self.engine)
        self.client = enginecluster.MemoryEngineClient(self.cluster, self.clock)
        self.view = memberview.MemberView(OWN, self.clock)
        self.view.merge([OTHER])
        self.table = endpointtables.EndpointTable(self.clock)
        self.table.update_from_list(
            [
                instances.ListedInstance(
                    ENGINE,
                    ADDRESS,
                    "osu-hall",
                    "pool",
                    instances.InstanceKind.ENGINE,
                )
            ]
        )
        assert (
            assignment.choose_coordinator(f"endpoint/{ENGINE}", [OWN, OTHER])
            is OWN
        )
        self.running = set()
        self.collector = orphans.OrphanCollector(
            attemptid.Owner(OWN.instance_id, OWN.incarnation),
            self.view,
            self.table,
            self.client,
            lambda request_id: request_id in self.running,
            self.clock,
        )

    def start_attempt(self, owner, incarnation):
        """Starts a long attempt whose answer is never read."""
        request_id = attemptid.format_request_id(
            attemptid.Owner(owner, incarnation), 7
        )
        self.engine.submit(
            enginetesting.make_attempt(f"{request_id}/1", 5000, 100_000)
        )
        return request_id

    async def tick(self):
        self.table.record_load(await self.client.fetch_load(ADDRESS))
        await self.collector.collect()

    async def wait_until_free(self, limit_s):
        """Returns the seconds until the engine holds nothing, or None."""
        started_s = self.clock.read_monotonic()
        while self.clock.read_monotonic() - started_s < limit_s:
            await self.clock.sleep(0.25)
            await self.tick()
            if not self.engine.kv_held():
                return self.clock.read_monotonic() - started_s
        return None

    def mark_other_dead(self):
        self.view.merge(
            [dataclasses.replace(OTHER, state=members.MemberState.DEAD)]
        )


def run(scenario):
    async def main():
        return await scenario(Harness())

    return virtualloop.run(main())


def test_attempts_of_a_dead_instance_are_cancelled():
    async def scenario(harness):
        harness.start_attempt("b", 5)
        await harness.wait_until_free(2.0)
        harness.mark_other_dead()
        return await harness.wait_until_free(5.0)

    # The confirmation time and the cancellation, in steps of 0.25 s.
    assert run(scenario) == 1.25


def test_attempts_of_a_live_instance_are_kept():
    async def scenario(harness):
        harness.start_attempt("b", 5)
        assert await harness.wait_until_free(60.0) is None
        assert harness.collector.counters.cancelled == 0

    run(scenario)


def test_refuted_death_cancels_nothing():
    async def scenario(harness):
        harness.start_attempt("b", 5)
        await harness.wait_until_free(2.0)
        harness.mark_other_dead()
        assert await harness.wait_until_free(0.75) is None
        harness.view.merge([dataclasses.replace(OTHER, incarnation=6)])
        assert await harness.wait_until_free(30.0) is None

    run(scenario)


def test_attempts_of_an_unreachable_data_centre_are_kept():
    async def scenario(harness):
        far = dataclasses.replace(OTHER, data_centre="tema-hall")
        harness.view.merge([dataclasses.replace(far, incarnation=6)])
        harness.view.set_reachable("tema-hall", False)
        harness.start_attempt("b", 6)
        assert await harness.wait_until_free(30.0) is None

    run(scenario)


def test_own_attempts_are_cancelled_once_not_running():
    async def scenario(harness):
        running = harness.start_attempt("a", 2)
        harness.running.add(running)
        assert await harness.wait_until_free(30.0) is None
        harness.running.clear()
        return await harness.wait_until_free(5.0)

    assert run(scenario) == 1.25


def test_attempts_of_an_earlier_start_are_cancelled():
    async def scenario(harness):
        harness.running.add(harness.start_attempt("a", 1))
        return await harness.wait_until_free(5.0)

    # The load report lags as well.
    assert run(scenario) == 1.5


def test_unknown_instance_counts_as_dead_only_after_a_delay():
    async def scenario(harness):
        harness.start_attempt("c", 1)
        assert await harness.wait_until_free(10.0) is None
        return await harness.wait_until_free(2.0) is not None

    assert run(scenario)


def test_attempts_without_owner_in_their_id_are_kept():
    async def scenario(harness):
        harness.engine.submit(
            enginetesting.make_attempt("probe/1", 5000, 100_000)
        )
        assert await harness.wait_until_free(30.0) is None

    run(scenario)
