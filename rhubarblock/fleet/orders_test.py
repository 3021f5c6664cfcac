import contextlib
import random

import pytest

from rhubarblock.core import attempt as attempts
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import orders
from rhubarblock.fleet import poolkeeper
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet import versiontrial
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import weights as engineweights
from rhubarblock.store import instances

SETTLE_S = 20.0
# Long enough for a report to be older than the last order.
LOAD_INTERVAL_S = 1.0
SETTINGS = orders.OrderSettings(
    concurrent_loads=2,
    keeper=poolkeeper.KeeperSettings(
        trial=versiontrial.TrialSettings(bake_s=5.0)
    ),
)


def make_catalogue(version, revision=1, decode_share=0.0):
    return catalogues.Catalogue(
        revision=revision,
        models={
            "m": catalogues.Model(
                "m", "ops", version, "pool", 1_000_000, ("a",)
            )
        },
        services={
            "pool": catalogues.Service(
                "pool",
                "ops",
                endpoints.EndpointKind.ENGINE,
                decode_share=decode_share,
            )
        },
        places={"a": catalogues.Place("a", "ops", "r")},
    )


class LossyClient(enginecluster.MemoryEngineClient):
    """Loses the answers to some orders that the engines obeyed."""

    __slots__ = ("lose_next",)

    async def give_order(self, address, order):
        report = await super().give_order(address, order)
        if self.lose_next:
            self.lose_next -= 1
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.ENDPOINT_FAILED,
                    "the answer was lost",
                    verdicts.Verdict.MAY_HAVE_RUN,
                )
            )
        return report


class CountingStore(engineweights.WeightStore):
    """Counts the reads at a time."""

    __slots__ = ("reading", "most_reading")

    async def read(self, size):
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        try:
            await super().read(size)
        finally:
            self.reading -= 1


class Node:
    """One instance with what it needs to give orders."""

    def __init__(self, bench, node):
        self.node = node
        self.table = endpointtables.EndpointTable(node.timers)
        self.client = LossyClient(bench.cluster, node.timers, latency_s=0.001)
        self.client.lose_next = 0
        self.service = orders.OrderService(
            node.membership,
            node.store,
            self.client,
            self.table,
            lambda: bench.catalogue,
            node.timers,
            node.rng,
            SETTINGS,
        )
        self.bench = bench

    async def read_loads(self):
        self.table.update_from_list(self.bench.listed)
        for listed in self.bench.listed:
            with contextlib.suppress(failures.FailureError):
                report = await self.client.fetch_load(listed.address)
                self.table.record_load(report)


class Bench:
    """Engines, and instances that give them orders."""

    def __init__(self, fleet, engine_count, checks_fencing=True):
        self.fleet = fleet
        self.catalogue = make_catalogue("1")
        self.cluster = enginecluster.EngineCluster()
        self.weights = CountingStore(fleet.timers, 1e10)
        self.weights.reading = self.weights.most_reading = 0
        self.listed = []
        self.nodes = []
        settings = enginesettings.EngineSettings(
            models=("m@1",),
            model_load_s=2.0,
            checks_fencing=checks_fencing,
        )
        for number in range(engine_count):
            address = f"10.9.0.{number}:80"
            self.cluster.add(
                engines.Engine(
                    f"e{number}",
                    address,
                    fleet.timers,
                    random.Random(number),
                    settings,
                    self.weights,
                )
            )
            self.listed.append(
                instances.ListedInstance(
                    f"e{number}",
                    address,
                    "a",
                    "pool",
                    instances.InstanceKind.ENGINE,
                )
            )

    async def start(self, instance_id, interval_s=LOAD_INTERVAL_S):
        node = Node(self, await self.fleet.start(instance_id, "a"))
        self.nodes.append(node)
        stack = node.node.stack
        await node.read_loads()
        stack.enter_context(
            node.node.timers.subscribe(interval_s, node.read_loads)
        )
        await stack.enter_async_context(node.service.run())
        return node

    def engine(self, number):
        return self.cluster[f"10.9.0.{number}:80"]

    def loaded(self):
        return [engine.make_load_report().models for engine in self.cluster]

    def holder(self):
        return next(node for node in self.nodes if node.service.list_pools())

    async def ask(self, number, model="m"):
        """Sends a request to an engine; returns whether the answer is whole."""
        attempt = attempts.Attempt(
            f"r{random.random()}/1", "t/1", model, "", 100, (), "d", 3
        )
        try:
            async for chunk in self.nodes[0].client.generate(
                f"10.9.0.{number}:80", attempt
            ):
                if chunk.end:
                    return True
        except failures.FailureError:
            pass
        return False

    async def sleep(self, seconds):
        await self.fleet.timers.sleep(seconds)


def run(scene, engine_count=3, instance_count=1, checks_fencing=True):
    """Runs a scene on a settled bench and returns its result."""

    async def main():
        async with memoryfleet.open_fleet() as fleet:
            bench = Bench(fleet, engine_count, checks_fencing)
            for number in range(instance_count):
                await bench.start(f"i{number}")
            await bench.sleep(SETTLE_S)
            return await scene(bench)

    return virtualloop.run(main())


def test_new_holder_shows_every_engine_its_fencing_number():
    async def scene(bench):
        return {engine.fence > 0 for engine in bench.cluster}, bench.loaded()

    assert run(scene) == ({True}, [("m@1",)] * 3)


def test_version_changes_endpoint_by_endpoint_without_a_failed_request():
    async def scene(bench):
        bench.catalogue = make_catalogue("2", revision=2)
        failed = 0
        least_able = 3
        for _ in range(300):
            answers = [await bench.ask(number) for number in range(3)]
            failed += answers.count(False)
            least_able = min(least_able, sum(map(bool, bench.loaded())))
            await bench.sleep(0.1)
        return failed, least_able, bench.loaded()

    assert run(scene) == (0, 3, [("m@2",)] * 3)


def test_stale_report_after_an_order_does_not_turn_it_back():
    async def scene(bench):
        bench.catalogue = make_catalogue("2", revision=2)
        turns = []
        last = bench.loaded()
        for _ in range(600):
            await bench.sleep(0.05)
            now = bench.loaded()
            turns += [a for a, b in zip(now, last, strict=True) if a != b]
            last = now
        return sorted(set(turns)), turns.count(())

    assert run(scene) == ([("m@1", "m@2"), ("m@2",)], 0)


def test_reads_of_the_weight_store_stay_within_their_budget():
    async def scene(bench):
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(60.0)
        return bench.weights.most_reading, bench.loaded()

    assert run(scene, engine_count=8) == (2, [("m@2",)] * 8)


def test_first_engine_serves_a_new_version_alone_for_a_while():
    async def scene(bench):
        bench.catalogue = make_catalogue("2", revision=2)
        counts = []
        for _ in range(400):
            changed = sum("m@2" in models for models in bench.loaded())
            counts.append(changed)
            await bench.sleep(0.05)
        return counts.count(1) * 0.05 >= 5.0, counts[-1]

    assert run(scene) == (True, 3)


def test_change_to_a_version_that_fails_stops_by_itself():
    async def scene(bench):
        for engine in bench.cluster:
            engine.faults.bad_versions.add("m@2")
        bench.catalogue = make_catalogue("2", revision=2)
        failed = 0
        for _ in range(200):
            answers = [await bench.ask(number) for number in range(3)]
            failed += answers.count(False)
            await bench.sleep(0.1)
        reads = bench.weights.reads
        await bench.sleep(60.0)
        stored = await bench.fleet.platform.read(
            poolrecord.name_record("a", "pool")
        )
        halted = poolrecord.decode(stored.value).halted
        # It is not tried again, but another version is.
        tried_again = bench.weights.reads - reads
        bench.catalogue = make_catalogue("3", revision=3)
        await bench.sleep(30.0)
        return failed, halted, tried_again, bench.loaded()

    assert run(scene) == (0, {"m": "2"}, 0, [("m@3",)] * 3)


def test_version_that_fails_only_under_real_requests_is_taken_back():
    async def scene(bench):
        bench.catalogue = make_catalogue("2", revision=2)
        table = bench.holder().table
        failure = failures.Failure(failures.FailureCode.STREAM_CUT, "cut")
        while ("m@2",) not in bench.loaded():
            await bench.sleep(0.1)
        pioneer = bench.loaded().index(("m@2",))
        table.record_failure(f"e{pioneer}", failure)
        await bench.sleep(0.6)
        table.record_success(f"e{pioneer}")
        table.record_failure(f"e{pioneer}", failure)
        await bench.sleep(30.0)
        return bench.loaded(), bench.holder().service.counters.versions_halted

    assert run(scene) == ([("m@1",)] * 3, 1)


def test_successor_of_a_holder_does_not_retry_what_failed():
    async def scene(bench):
        for engine in bench.cluster:
            engine.faults.bad_versions.add("m@2")
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(10.0)
        reads = bench.weights.reads
        holder = bench.holder()
        bench.nodes.remove(holder)
        await bench.fleet.kill(holder.node)
        await bench.sleep(40.0)
        return bench.weights.reads - reads, bench.loaded()

    assert run(scene, instance_count=2) == (0, [("m@1",)] * 3)


def test_holder_that_takes_over_in_the_midst_of_a_change_leaves_no_gap():
    async def scene(bench):
        bench.catalogue = make_catalogue("2", revision=2)
        least_able = 3
        old = bench.holder()
        for step in range(400):
            if step % 100 == 30:
                # Its duty passes to the other one, and comes back.
                bench.fleet.network.pause(old.node.address)
            if step % 100 == 80:
                bench.fleet.network.resume(old.node.address)
            least_able = min(least_able, sum(map(bool, bench.loaded())))
            await bench.sleep(0.2)
        return least_able, bench.loaded()

    assert run(scene, instance_count=2) == (3, [("m@2",)] * 3)


def test_old_report_is_no_ground_for_an_order():
    async def scene(bench):
        # The second one reads the loads at its start and not again.
        await bench.start("i1", interval_s=3600.0)
        bench.catalogue = make_catalogue("2", revision=2)
        while bench.loaded().count(("m@2",)) < 2:
            await bench.sleep(0.1)
        first = bench.nodes.pop(0)
        await bench.fleet.kill(first.node)
        least_able = 5
        for _ in range(100):
            await bench.sleep(0.2)
            least_able = min(least_able, sum(map(bool, bench.loaded())))
        return least_able, bench.nodes[0].service.list_pools()

    assert run(scene, engine_count=5) == (5, ["pool"])


def test_dead_holder_is_followed_by_another_within_seconds():
    async def scene(bench):
        holder = bench.holder()
        bench.nodes.remove(holder)
        await bench.fleet.kill(holder.node)
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(40.0)
        return bench.loaded()

    assert run(scene, instance_count=2) == [("m@2",)] * 3


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_paused_holder_that_goes_on_does_no_lasting_harm(checks_fencing):
    async def scene(bench):
        old = bench.holder()
        stale = old.service.counters
        bench.fleet.network.pause(old.node.address)
        await bench.sleep(15.0)
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(40.0)
        before = stale.orders
        bench.fleet.network.resume(old.node.address)
        await bench.sleep(0.4)
        # It looks at its lease first and gives no order.
        return stale.orders - before, bench.loaded()

    assert run(scene, 3, 2, checks_fencing) == (0, [("m@2",)] * 3)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_that_was_on_its_way_while_the_lease_passed_on(checks_fencing):
    async def scene(bench):
        stale = attempts.Order(1, 1, "both", ("m@0",), ("a",))
        client = bench.nodes[0].client
        obeyed = 0
        for listed in bench.listed:
            try:
                await client.give_order(listed.address, stale)
                obeyed += 1
            except failures.FailureError:
                pass
        await bench.sleep(20.0)
        return obeyed, bench.loaded()

    # Engines that ignore the number are put right.
    assert run(scene, checks_fencing=checks_fencing) == (
        0 if checks_fencing else 3,
        [("m@1",)] * 3,
    )


def test_holder_that_meets_a_later_number_gives_way():
    async def scene(bench):
        service = bench.holder().service
        await bench.holder().client.give_order(
            bench.listed[0].address,
            attempts.Order(1_000_000, 1, "both", ("m@1",), ("a",)),
        )
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(5.0)
        return service.counters.leases_lost > 0, bench.loaded()[0]

    assert run(scene) == (True, ("m@1",))


def test_engine_that_starts_anew_is_put_right():
    async def scene(bench):
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(40.0)
        bench.engine(1).restart()
        before = bench.loaded()[1]
        await bench.sleep(10.0)
        return before, bench.loaded()

    assert run(scene) == (("m@1",), [("m@2",)] * 3)


def test_lost_answer_to_an_order_is_made_good():
    async def scene(bench):
        client = bench.holder().client
        client.lose_next = 4
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(40.0)
        return client.lose_next, bench.loaded()

    assert run(scene) == (0, [("m@2",)] * 3)


def test_engine_that_leaves_by_itself_is_not_called_back():
    async def scene(bench):
        bench.engine(0).draining = True
        bench.engine(0)._record_load()
        await bench.sleep(20.0)
        return bench.engine(0).draining

    assert run(scene) is True


def test_drain_by_an_operator_reaches_the_engine_and_ends():
    async def scene(bench):
        table = bench.holder().table
        table.mark_draining("e1")
        await bench.sleep(5.0)
        drained = [engine.draining for engine in bench.cluster]
        table.end_draining("e1")
        await bench.sleep(5.0)
        return drained, [engine.draining for engine in bench.cluster]

    assert run(scene) == ([False, True, False], [False, False, False])


def test_roles_follow_the_catalogue():
    async def scene(bench):
        bench.catalogue = make_catalogue("1", revision=2, decode_share=0.3)
        await bench.sleep(10.0)
        roles = [
            engine.make_load_report().role.value for engine in bench.cluster
        ]
        return sorted(roles)

    assert run(scene) == ["decode", "prefill", "prefill"]


def test_without_the_platform_engines_keep_what_they_run():
    async def scene(bench):
        bench.fleet.platform.faults.start_outage()
        await bench.sleep(10.0)
        bench.catalogue = make_catalogue("2", revision=2)
        await bench.sleep(30.0)
        during = bench.loaded()
        bench.fleet.platform.faults.end_outage()
        await bench.sleep(40.0)
        return during, bench.loaded()

    assert run(scene) == ([("m@1",)] * 3, [("m@2",)] * 3)
