"""Probes of the duties that use the platform's store: orders and claims."""

import asyncio
import contextlib
import itertools
import random

from returns import result

from rhubarblock.core import request as requests
from rhubarblock.experiments.capacity import fleet as capacityfleet
from rhubarblock.experiments.capacity import meter as capacitymeter
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.experiments.capacity import routing as capacityrouting
from rhubarblock.fleet import assignment
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import orders
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.relay.claims import ledger as claims
from rhubarblock.relay.claims import route as claimroute
from rhubarblock.standins import memoryfleet
from rhubarblock.standins import memorypeers
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import weights as engineweights
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances

ORDERS_SETTLE_S = 20.0
ORDERS_RUN_S = 20.0
CLAIMS_RUN_S = 20.0
LOAD_INTERVAL_S = 0.5
# Duration of a call to a plain service in seconds.
CALL_S = 0.1
_LATENCY_S = 0.0005
_ANSWER = requests.ServiceAnswer(200, b'{"notice": "' + b"7" * 100 + b'"}')


class OrdersProbe(capacityprobe.Probe):
    """Orders that keep pools in the state that the catalogue declares."""

    name = "orders"
    role = "holder of orders"
    note = (
        "One instance holds the leases of all pools and keeps their engines, "
        "none of which changes; the processor time is less that of the same "
        "run without orders. Values are sums over the pools."
    )
    lines = (
        capacityprobe.Line(capacityprobe.CPU, ("1", "pools", "endpoints")),
        capacityprobe.Line(capacityprobe.STATE, ("1", "pools", "endpoints")),
        capacityprobe.Line(capacityprobe.READS, ("1", "pools")),
        capacityprobe.Line(capacityprobe.WRITES, ("1", "pools")),
    )
    plan = tuple(
        {"pools": float(pools), "endpoints": float(count)}
        for pools, count in (
            (1, 8),
            (1, 16),
            (1, 32),
            (1, 64),
            (2, 32),
            (4, 32),
            (8, 32),
            (8, 64),
        )
    )

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        pools, count = int(sizes["pools"]), int(sizes["endpoints"])
        baseline = virtualloop.run(self._run(pools, count, False))
        values = dict(virtualloop.run(self._run(pools, count, True)))
        values[capacityprobe.CPU] -= baseline[capacityprobe.CPU]
        return values

    async def _run(
        self, pools: int, count: int, with_orders: bool
    ) -> capacityprobe.Values:
        catalogue = capacityfleet.make_catalogue(1, 10, pools)
        async with (
            memoryfleet.open_fleet() as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            node = await fleet.start("entry-0", capacityfleet.DATA_CENTRE)
            cluster = enginecluster.EngineCluster()
            table = endpointtables.EndpointTable(node.timers)
            table.update_from_list(
                _make_engines(cluster, fleet.timers, pools, count)
            )

            async def read_loads() -> None:
                for engine in cluster:
                    table.record_load(engine.make_load_report())

            stack.enter_context(
                fleet.timers.subscribe(LOAD_INTERVAL_S, read_loads)
            )
            service = orders.OrderService(
                node.membership,
                node.store,
                enginecluster.MemoryEngineClient(
                    cluster, node.timers, _LATENCY_S
                ),
                table,
                lambda: catalogue,
                node.timers,
                node.rng,
            )
            if with_orders:
                await stack.enter_async_context(service.run())
            await fleet.timers.sleep(ORDERS_SETTLE_S)
            counters = fleet.platform.counters
            usage = capacitymeter.read_usage([node.peers], counters)
            started_s = capacityprobe.read_cpu()
            await fleet.timers.sleep(ORDERS_RUN_S)
            cpu_s = capacityprobe.read_cpu() - started_s
            usage = capacitymeter.read_usage([node.peers], counters).subtract(
                usage
            )
            return {
                capacityprobe.CPU: cpu_s / ORDERS_RUN_S,
                capacityprobe.STATE: capacitymeter.measure_state(
                    [service], (node.membership, table, catalogue)
                ),
                capacityprobe.READS: usage.reads / ORDERS_RUN_S,
                capacityprobe.WRITES: usage.writes / ORDERS_RUN_S,
            }


def _make_engines(
    cluster: enginecluster.EngineCluster,
    timers: timer_service.Timers,
    pools: int,
    count: int,
) -> list[instances.ListedInstance]:
    """Adds engines to a cluster; returns their entries in the list."""
    weights = engineweights.WeightStore(timers)
    listed = []
    for number in range(count):
        name = f"engine-{number}"
        address = f"10.9.0.{number}:80"
        pool = number % pools
        cluster.add(
            engines.Engine(
                name,
                address,
                timers,
                random.Random(name),
                enginesettings.EngineSettings(models=(f"model-{pool}@v1",)),
                weights,
            )
        )
        listed.append(
            instances.ListedInstance(
                name,
                address,
                capacityfleet.DATA_CENTRE,
                f"pool-{pool}",
                instances.InstanceKind.ENGINE,
            )
        )
    return listed


class ClaimsProbe(capacityprobe.Probe):
    """At-most-once calls, claimed on the platform."""

    name = "claims"
    role = "coordinator of claims"
    note = (
        "Instances claim keys at a steady rate through the coordinators of "
        "the shards and record the answers; platform calls are sums over all "
        "instances, the others means over them."
    )
    lines = (
        capacityprobe.Line(capacityprobe.WRITES, ("1", "claims_per_s")),
        capacityprobe.Line(capacityprobe.READS, ("1", "claims_per_s")),
        capacityprobe.Line(
            capacityprobe.MESSAGES, ("1", "claims_per_s_instance")
        ),
        capacityprobe.Line(capacityprobe.BYTES, ("1", "claims_per_s_instance")),
        capacityprobe.Line(capacityprobe.CPU, ("1", "claims_per_s_instance")),
    )
    plan = tuple(
        {
            "claims_per_s": float(rate),
            "instances": float(count),
            "claims_per_s_instance": rate / count,
        }
        for rate, count in (
            (5, 6),
            (10, 6),
            (20, 6),
            (40, 6),
            (30, 6),
            (20, 12),
            (20, 24),
        )
    )

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return virtualloop.run(
            self._run(sizes["claims_per_s"], int(sizes["instances"]))
        )

    async def _run(self, rate: float, count: int) -> capacityprobe.Values:
        timers = timer_service.LoopTimers(wall_offset_s=1.8e9)
        store = platform.MemoryStore(timers, random.Random("platform"))
        network = memorypeers.MemoryPeerNetwork(random.Random("network"))
        alive = [capacityrouting.make_member(x) for x in range(count)]
        peers = [
            network.join(x.address, x.instance_id, x.data_centre) for x in alive
        ]

        def find(duty: str) -> str | None:
            chosen = assignment.choose_coordinator(duty, alive)
            return chosen.address if chosen else None

        async with contextlib.AsyncExitStack() as stack:
            ledgers = [
                await stack.enter_async_context(
                    claims.open_ledger(
                        store.connect(member.instance_id),
                        timers,
                        member.instance_id,
                        random.Random(member.instance_id),
                        peers=transport,
                        find_coordinator=_exclude_own(find, member.address),
                    )
                )
                for member, transport in zip(alive, peers, strict=True)
            ]
            await timers.sleep(1.0)
            counters = store.counters
            usage = capacitymeter.read_usage(peers, counters)
            started_s = capacityprobe.read_cpu()
            await _claim_steadily(ledgers, rate, timers)
            cpu_s = capacityprobe.read_cpu() - started_s
            usage = capacitymeter.read_usage(peers, counters).subtract(usage)
            share = 1.0 / (CLAIMS_RUN_S * count)
            return {
                capacityprobe.WRITES: usage.writes / CLAIMS_RUN_S,
                capacityprobe.READS: usage.reads / CLAIMS_RUN_S,
                capacityprobe.MESSAGES: usage.messages * share,
                capacityprobe.BYTES: usage.byte_count * share,
                capacityprobe.CPU: cpu_s * share,
            }


def _exclude_own(
    find: claimroute.CoordinatorFinder, own_address: str
) -> claimroute.CoordinatorFinder:
    """Returns a finder that returns None for the instance itself."""

    def find_unless_own(duty: str) -> str | None:
        address = find(duty)
        return None if address == own_address else address

    return find_unless_own


async def _claim_steadily(
    ledgers: list[claims.ClaimLedger],
    rate: float,
    timers: timer_service.Timers,
) -> None:
    """Claims new keys through the ledgers in turn, and finishes them."""

    async def call(ledger: claims.ClaimLedger, key: str) -> None:
        deadline_s = timers.read_monotonic() + 30.0
        outcome = await ledger.claim("adwoa", key, "digest", key, deadline_s)
        if not isinstance(outcome, result.Success):
            raise RuntimeError(f"claim refused: {outcome.failure()}")
        claim = outcome.unwrap()
        assert isinstance(claim, claims.Claim)
        await timers.sleep(CALL_S)
        await ledger.finish(claim, _ANSWER)

    tasks = []
    turns = itertools.cycle(ledgers)
    for number in range(round(rate * CLAIMS_RUN_S)):
        tasks.append(asyncio.ensure_future(call(next(turns), f"key-{number}")))
        await timers.sleep(1.0 / rate)
    await asyncio.gather(*tasks)
