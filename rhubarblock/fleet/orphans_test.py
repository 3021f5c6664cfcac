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
# An engine whose orphans are instance a's duty, also while b lives.
ENGINE = "e3"
OWN = members.Member("a", "osu-hall", "10.0.1.1:7000", incarnation=2)
OTHER = members.Member("b", "osu-hall", "10.0.1.2:7000", incarnation=5)


class Bench:
    """One engine, and the collector of instance a beside instance b."""

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

    def hold(self, owner, incarnation):
        """Starts an attempt that nobody reads and that decodes for long."""
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

    async def wait_until_free(self, most_s):
        """Returns the seconds until the engine holds nothing, or None."""
        begun_s = self.clock.read_monotonic()
        while self.clock.read_monotonic() - begun_s < most_s:
            await self.clock.sleep(0.25)
            await self.tick()
            if not self.engine.kv_held():
                return self.clock.read_monotonic() - begun_s
        return None

    def kill_other(self):
        self.view.merge(
            [dataclasses.replace(OTHER, state=members.MemberState.DEAD)]
        )


def run(check):
    async def main():
        return await check(Bench())

    return virtualloop.run(main())


def test_memory_of_a_dead_instance_is_freed():
    async def check(bench):
        bench.hold("b", 5)
        await bench.wait_until_free(2.0)
        bench.kill_other()
        return await bench.wait_until_free(5.0)

    # The confirmation and the engine's answer, by steps of a quarter second.
    assert run(check) == 1.25


def test_memory_of_a_living_instance_is_never_taken():
    async def check(bench):
        bench.hold("b", 5)
        assert await bench.wait_until_free(60.0) is None
        assert bench.collector.counters.cancelled == 0

    run(check)


def test_a_death_that_was_a_false_alarm_takes_nothing():
    async def check(bench):
        bench.hold("b", 5)
        await bench.wait_until_free(2.0)
        bench.kill_other()
        assert await bench.wait_until_free(0.75) is None
        bench.view.merge([dataclasses.replace(OTHER, incarnation=6)])
        assert await bench.wait_until_free(30.0) is None

    run(check)


def test_a_data_centre_that_is_cut_off_keeps_what_it_has():
    async def check(bench):
        far = dataclasses.replace(OTHER, data_centre="tema-hall")
        bench.view.merge([dataclasses.replace(far, incarnation=6)])
        bench.view.set_reachable("tema-hall", False)
        bench.hold("b", 6)
        assert await bench.wait_until_free(30.0) is None

    run(check)


def test_own_attempts_that_run_are_kept_and_others_freed():
    async def check(bench):
        running = bench.hold("a", 2)
        bench.running.add(running)
        assert await bench.wait_until_free(30.0) is None
        bench.running.clear()
        return await bench.wait_until_free(5.0)

    assert run(check) == 1.25


def test_attempts_of_an_earlier_start_are_freed():
    async def check(bench):
        bench.running.add(bench.hold("a", 1))
        return await bench.wait_until_free(5.0)

    # The report lags, too.
    assert run(check) == 1.5


def test_an_instance_that_nobody_knows_counts_as_dead_only_late():
    async def check(bench):
        bench.hold("c", 1)
        assert await bench.wait_until_free(10.0) is None
        return await bench.wait_until_free(2.0) is not None

    assert run(check)


def test_names_of_another_form_are_left_alone():
    async def check(bench):
        bench.engine.submit(
            enginetesting.make_attempt("probe/1", 5000, 100_000)
        )
        assert await bench.wait_until_free(30.0) is None

    run(check)
