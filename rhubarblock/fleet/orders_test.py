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
from rhubarblock.fleet import poolcontroller
from rhubarblock.fleet import poolrecord
from rhubarblock.fleet import versionrollout
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import weights as engineweights
from rhubarblock.store import instances

SETTLE_S = 20.0
# Long enough that a load report can be older than the last order.
LOAD_INTERVAL_S = 1.0
SETTINGS = orders.OrderSettings(
    concurrent_loads=2,
    controller=poolcontroller.PoolControllerSettings(
        rollout=versionrollout.RolloutSettings(bake_s=5.0)
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
    """Loses the responses to some orders that the engines accepted."""

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
    """Records the highest number of concurrent reads."""

    __slots__ = ("reading", "most_reading")

    async def read(self, size):
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        try:
            await super().read(size)
        finally:
            self.reading -= 1


class Node:
    """One instance with everything it needs to give orders."""

    def __init__(self, harness, node):
        self.node = node
        self.table = endpointtables.EndpointTable(node.timers)
        self.client = LossyClient(harness.cluster, node.timers, latency_s=0.001)
        self.client.lose_next = 0
        self.service = orders.OrderService(
            node.membership,
            node.store,
            self.client,
            self.table,
            lambda: harness.catalogue,
            node.timers,
            node.rng,
            SETTINGS,
        )
        self.harness = harness

    async def read_loads(self):
        self.table.update_from_list(self.harness.listed)
        for listed in self.harness.listed:
            with contextlib.suppress(failures.FailureError):
                report = await self.client.fetch_load(listed.address)
                self.table.record_load(report)


class Harness:
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

    async def send_request(self, number, model="m"):
        """Sends a request; returns whether the answer is complete."""
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


def run(scenario, engine_count=3, instance_count=1, checks_fencing=True):
    """Runs a scenario on a settled harness and returns its result."""

    async def main():
        async with memoryfleet.open_fleet() as fleet:
            harness = Harness(fleet, engine_count, checks_fencing)
            for number in range(instance_count):
                await harness.start(f"i{number}")
            await harness.sleep(SETTLE_S)
            return await scenario(harness)

    return virtualloop.run(main())


def test_new_holder_sends_its_fencing_number_to_every_engine():
    async def scenario(harness):
        return {
            engine.fence > 0 for engine in harness.cluster
        }, harness.loaded()

    assert run(scenario) == ({True}, [("m@1",)] * 3)


def test_rolling_version_change_fails_no_request():
    async def scenario(harness):
        harness.catalogue = make_catalogue("2", revision=2)
        failed = 0
        min_serving = 3
        for _ in range(300):
            answers = [
                await harness.send_request(number) for number in range(3)
            ]
            failed += answers.count(False)
            min_serving = min(min_serving, sum(map(bool, harness.loaded())))
            await harness.sleep(0.1)
        return failed, min_serving, harness.loaded()

    assert run(scenario) == (0, 3, [("m@2",)] * 3)


def test_stale_report_after_an_order_does_not_revert_it():
    async def scenario(harness):
        harness.catalogue = make_catalogue("2", revision=2)
        changes = []
        last = harness.loaded()
        for _ in range(600):
            await harness.sleep(0.05)
            now = harness.loaded()
            changes += [a for a, b in zip(now, last, strict=True) if a != b]
            last = now
        return sorted(set(changes)), changes.count(())

    assert run(scenario) == ([("m@1", "m@2"), ("m@2",)], 0)


def test_weight_store_reads_stay_within_the_budget():
    async def scenario(harness):
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(60.0)
        return harness.weights.most_reading, harness.loaded()

    assert run(scenario, engine_count=8) == (2, [("m@2",)] * 8)


def test_first_engine_serves_a_new_version_alone_for_the_bake_time():
    async def scenario(harness):
        harness.catalogue = make_catalogue("2", revision=2)
        counts = []
        for _ in range(400):
            changed = sum("m@2" in models for models in harness.loaded())
            counts.append(changed)
            await harness.sleep(0.05)
        return counts.count(1) * 0.05 >= 5.0, counts[-1]

    assert run(scenario) == (True, 3)


def test_rollout_of_a_failing_version_halts():
    async def scenario(harness):
        for engine in harness.cluster:
            engine.faults.bad_versions.add("m@2")
        harness.catalogue = make_catalogue("2", revision=2)
        failed = 0
        for _ in range(200):
            answers = [
                await harness.send_request(number) for number in range(3)
            ]
            failed += answers.count(False)
            await harness.sleep(0.1)
        reads = harness.weights.reads
        await harness.sleep(60.0)
        stored = await harness.fleet.platform.read(
            poolrecord.name_record("a", "pool")
        )
        halted = poolrecord.decode(stored.value).halted
        # The halted version is not tried again, but another version is.
        tried_again = harness.weights.reads - reads
        harness.catalogue = make_catalogue("3", revision=3)
        await harness.sleep(30.0)
        return failed, halted, tried_again, harness.loaded()

    assert run(scenario) == (0, {"m": "2"}, 0, [("m@3",)] * 3)


def test_version_that_fails_under_real_requests_is_rolled_back():
    async def scenario(harness):
        harness.catalogue = make_catalogue("2", revision=2)
        table = harness.holder().table
        failure = failures.Failure(failures.FailureCode.STREAM_CUT, "cut")
        while ("m@2",) not in harness.loaded():
            await harness.sleep(0.1)
        first_engine = harness.loaded().index(("m@2",))
        table.record_failure(f"e{first_engine}", failure)
        await harness.sleep(0.6)
        table.record_success(f"e{first_engine}")
        table.record_failure(f"e{first_engine}", failure)
        await harness.sleep(30.0)
        return (
            harness.loaded(),
            harness.holder().service.counters.versions_halted,
        )

    assert run(scenario) == ([("m@1",)] * 3, 1)


def test_next_holder_does_not_retry_a_halted_version():
    async def scenario(harness):
        for engine in harness.cluster:
            engine.faults.bad_versions.add("m@2")
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(10.0)
        reads = harness.weights.reads
        holder = harness.holder()
        harness.nodes.remove(holder)
        await harness.fleet.kill(holder.node)
        await harness.sleep(40.0)
        return harness.weights.reads - reads, harness.loaded()

    assert run(scenario, instance_count=2) == (0, [("m@1",)] * 3)


def test_takeover_during_a_rollout_leaves_no_engine_without_model():
    async def scenario(harness):
        harness.catalogue = make_catalogue("2", revision=2)
        min_serving = 3
        old = harness.holder()
        for step in range(400):
            if step % 100 == 30:
                # The pool is assigned to the other instance, and later back.
                harness.fleet.network.pause(old.node.address)
            if step % 100 == 80:
                harness.fleet.network.resume(old.node.address)
            min_serving = min(min_serving, sum(map(bool, harness.loaded())))
            await harness.sleep(0.2)
        return min_serving, harness.loaded()

    assert run(scenario, instance_count=2) == (3, [("m@2",)] * 3)


def test_stale_report_causes_no_order():
    async def scenario(harness):
        # The second instance reads load reports only once, at its start.
        await harness.start("i1", interval_s=3600.0)
        harness.catalogue = make_catalogue("2", revision=2)
        while harness.loaded().count(("m@2",)) < 2:
            await harness.sleep(0.1)
        first = harness.nodes.pop(0)
        await harness.fleet.kill(first.node)
        min_serving = 5
        for _ in range(100):
            await harness.sleep(0.2)
            min_serving = min(min_serving, sum(map(bool, harness.loaded())))
        return min_serving, harness.nodes[0].service.list_pools()

    assert run(scenario, engine_count=5) == (5, ["pool"])


def test_dead_holder_is_replaced():
    async def scenario(harness):
        holder = harness.holder()
        harness.nodes.remove(holder)
        await harness.fleet.kill(holder.node)
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(40.0)
        return harness.loaded()

    assert run(scenario, instance_count=2) == [("m@2",)] * 3


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_resumed_holder_without_lease_sends_no_order(checks_fencing):
    async def scenario(harness):
        old = harness.holder()
        stale = old.service.counters
        harness.fleet.network.pause(old.node.address)
        await harness.sleep(15.0)
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(40.0)
        before = stale.orders
        harness.fleet.network.resume(old.node.address)
        await harness.sleep(0.4)
        # It checks its lease first and gives no order.
        return stale.orders - before, harness.loaded()

    assert run(scenario, 3, 2, checks_fencing) == (0, [("m@2",)] * 3)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_late_order_of_an_earlier_holder_has_no_lasting_effect(checks_fencing):
    async def scenario(harness):
        stale = attempts.Order(1, 1, "both", ("m@0",), ("a",))
        client = harness.nodes[0].client
        obeyed = 0
        for listed in harness.listed:
            try:
                await client.give_order(listed.address, stale)
                obeyed += 1
            except failures.FailureError:
                pass
        await harness.sleep(20.0)
        return obeyed, harness.loaded()

    # Engines that ignore the fencing number are corrected afterwards.
    assert run(scenario, checks_fencing=checks_fencing) == (
        0 if checks_fencing else 3,
        [("m@1",)] * 3,
    )


def test_holder_that_meets_a_later_fence_abandons_its_lease():
    async def scenario(harness):
        service = harness.holder().service
        await harness.holder().client.give_order(
            harness.listed[0].address,
            attempts.Order(1_000_000, 1, "both", ("m@1",), ("a",)),
        )
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(5.0)
        return service.counters.leases_lost > 0, harness.loaded()[0]

    assert run(scenario) == (True, ("m@1",))


def test_restarted_engine_is_corrected():
    async def scenario(harness):
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(40.0)
        harness.engine(1).restart()
        before = harness.loaded()[1]
        await harness.sleep(10.0)
        return before, harness.loaded()

    assert run(scenario) == (("m@1",), [("m@2",)] * 3)


def test_order_with_lost_response_is_repeated():
    async def scenario(harness):
        client = harness.holder().client
        client.lose_next = 4
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(40.0)
        return client.lose_next, harness.loaded()

    assert run(scenario) == (0, [("m@2",)] * 3)


def test_engine_that_drains_itself_is_left_alone():
    async def scenario(harness):
        harness.engine(0).draining = True
        harness.engine(0)._record_load()
        await harness.sleep(20.0)
        return harness.engine(0).draining

    assert run(scenario) is True


def test_drain_by_an_operator_reaches_the_engine_and_ends():
    async def scenario(harness):
        table = harness.holder().table
        table.mark_draining("e1")
        await harness.sleep(5.0)
        drained = [engine.draining for engine in harness.cluster]
        table.end_draining("e1")
        await harness.sleep(5.0)
        return drained, [engine.draining for engine in harness.cluster]

    assert run(scenario) == ([False, True, False], [False, False, False])


def test_roles_follow_the_decode_share():
    async def scenario(harness):
        harness.catalogue = make_catalogue("1", revision=2, decode_share=0.3)
        await harness.sleep(10.0)
        roles = [
            engine.make_load_report().role.value for engine in harness.cluster
        ]
        return sorted(roles)

    assert run(scenario) == ["decode", "prefill", "prefill"]


def test_engines_keep_their_models_during_platform_outage():
    async def scenario(harness):
        harness.fleet.platform.faults.start_outage()
        await harness.sleep(10.0)
        harness.catalogue = make_catalogue("2", revision=2)
        await harness.sleep(30.0)
        during = harness.loaded()
        harness.fleet.platform.faults.end_outage()
        await harness.sleep(40.0)
        return during, harness.loaded()

    assert run(scenario) == ([("m@1",)] * 3, [("m@2",)] * 3)
