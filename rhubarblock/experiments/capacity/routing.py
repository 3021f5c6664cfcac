"""Probes of limits and of prompt placement."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import request as requests
from rhubarblock.experiments.capacity import fleet as capacityfleet
from rhubarblock.experiments.capacity import meter as capacitymeter
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.fleet import assignment
from rhubarblock.fleet.membership import member as members
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.plugins import length_aware
from rhubarblock.routing import ledger as ledgers
from rhubarblock.routing import limits as limiters
from rhubarblock.routing.lending import lender as lending
from rhubarblock.routing.placement import coordination
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable
from rhubarblock.standins import memorypeers

# Virtual seconds before and during the measurement of the limits.
LIMITS_SETTLE_S = 12.0
LIMITS_RUN_S = 5.0
PLACE_RUN_S = 10.0
# Seconds from the placement of a prompt to its end, and to the end of its
# prefill.
GRANT_S = 4.0
PREFILL_S = 0.5
_POOL = "pool"
_KV_TOKENS = 400_000


def make_member(number: int) -> members.Member:
    """Returns the identity of an instance of one data centre."""
    return members.Member(
        f"entry-{number}",
        capacityfleet.DATA_CENTRE,
        f"10.0.{number // 250}.{number % 250}:7000",
        incarnation=1,
    )


@dataclasses.dataclass(slots=True)
class _LimitsNode:
    """One instance that shares the limits."""

    lender: lending.Lender
    limiter: limiters.Limiter
    peers: memorypeers.MemoryPeers


class LimitsProbe(capacityprobe.Probe):
    """Lending of limit shares, at all instances and at the coordinator."""

    name = "limits"
    role = "coordinator of workspaces"
    note = (
        "Lending among instances over the network in memory, one coordinator "
        "for all entries; each instance admits a request a second. Values "
        "named coordinator are those of the coordinator, the others means "
        "over the instances."
    )
    lines = (
        capacityprobe.Line(capacityprobe.MESSAGES, ("1", "entries")),
        capacityprobe.Line(capacityprobe.BYTES, ("1", "entries")),
        capacityprobe.Line(capacityprobe.CPU, ("1", "entries")),
        capacityprobe.Line(capacityprobe.STATE, ("1", "entries")),
        capacityprobe.Line("coordinator_messages_per_s", ("1", "instances")),
        capacityprobe.Line(
            "coordinator_bytes_per_s",
            ("1", "instances", "instances*entries"),
        ),
        capacityprobe.Line(
            "coordinator_cpu_share",
            (
                "1",
                "instances*entries",
                "instances*instances*entries",
            ),
        ),
        capacityprobe.Line(
            "coordinator_state_bytes", ("1", "entries", "instances*entries")
        ),
    )
    plan = tuple(
        {
            "instances": float(count),
            # Ten workspaces share an institution, which has limits too.
            "entries": workspaces * 1.1,
            "workspaces": float(workspaces),
        }
        for count, workspaces in (
            (6, 60),
            (12, 60),
            (24, 60),
            (41, 60),
            (12, 10),
            (12, 120),
            (12, 230),
            (24, 120),
        )
    )

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return virtualloop.run(self._run(sizes))

    async def _run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        catalogue = capacityfleet.make_catalogue(1, int(sizes["workspaces"]), 1)
        timers = timer_service.LoopTimers(wall_offset_s=0.0)
        meter = capacitymeter.HandlerMeter(capacityprobe.read_cpu)
        nodes = _make_limits_nodes(
            int(sizes["instances"]), catalogue, timers, meter
        )
        async with contextlib.AsyncExitStack() as stack:
            for node in nodes:
                await stack.enter_async_context(node.lender.run())
            for node in nodes:
                stack.enter_context(
                    timers.subscribe(1.0, _make_admissions(node, catalogue))
                )
            await timers.sleep(LIMITS_SETTLE_S)
            usage = capacitymeter.read_usage([x.peers for x in nodes])
            calls, byte_count, handler_cpu_s = (
                meter.calls,
                meter.byte_count,
                meter.cpu_s,
            )
            started_s = capacityprobe.read_cpu()
            await timers.sleep(LIMITS_RUN_S)
            cpu_s = capacityprobe.read_cpu() - started_s
            usage = capacitymeter.read_usage([x.peers for x in nodes]).subtract(
                usage
            )
            calls, byte_count = (
                meter.calls - calls,
                meter.byte_count - byte_count,
            )
            handler_cpu_s = meter.cpu_s - handler_cpu_s
            overhead = (
                memorypeers.REQUEST_OVERHEAD_BYTES
                + memorypeers.ANSWER_OVERHEAD_BYTES
            )
            share = 1.0 / (LIMITS_RUN_S * len(nodes))
            states = sorted(
                capacitymeter.measure_state([node.lender], (node.limiter,))
                for node in nodes
            )
            return {
                # Half of the messages are calls and half are answers.
                capacityprobe.MESSAGES: usage.messages * share / 2,
                capacityprobe.BYTES: usage.byte_count * share,
                capacityprobe.CPU: (cpu_s - handler_cpu_s) * share,
                capacityprobe.STATE: states[0],
                "coordinator_messages_per_s": 2 * calls / LIMITS_RUN_S,
                "coordinator_bytes_per_s": (byte_count + calls * overhead)
                / LIMITS_RUN_S,
                "coordinator_cpu_share": handler_cpu_s / LIMITS_RUN_S,
                "coordinator_state_bytes": states[-1] - states[0],
            }


def _make_limits_nodes(
    count: int,
    catalogue: catalogues.Catalogue,
    timers: timer_service.Timers,
    meter: capacitymeter.HandlerMeter,
) -> list[_LimitsNode]:
    """Returns instances, each of which has all of them as live members."""
    network = memorypeers.MemoryPeerNetwork(random.Random("network"))
    alive = [make_member(number) for number in range(count)]
    holders = frozenset(member.instance_id for member in alive)

    def find(duty: str) -> lending.Coordinator | None:
        chosen = assignment.choose_coordinator(duty, alive)
        assert chosen is not None
        return lending.Coordinator(chosen.instance_id, chosen.address)

    nodes = []
    for member in alive:
        peers = network.join(
            member.address, member.instance_id, member.data_centre
        )
        lender = lending.Lender(
            timers,
            capacitymeter.MeteredPeers(peers, {lending.LEND_KIND: meter}),
            member.instance_id,
            member.incarnation,
            find,
            lambda: holders,
            lambda: catalogue,
            random.Random(member.instance_id),
        )
        limiter = limiters.Limiter(timers, lambda: catalogue, lender)
        nodes.append(_LimitsNode(lender, limiter, peers))
    return nodes


def _make_admissions(node: _LimitsNode, catalogue: catalogues.Catalogue):  # type: ignore[no-untyped-def]
    """Returns a callback that admits a request of the next workspace."""
    names = itertools.cycle(sorted(catalogue.workspaces))

    async def admit() -> None:
        workspace = catalogue.workspaces[next(names)]
        node.limiter.admit(
            workspace.institution,
            workspace.name,
            requests.RequestClass.INTERACTIVE,
            3_000,
            False,
        )

    return admit


class PlacementProbe(capacityprobe.Probe):
    """Placement of long prompts by the coordinator of a pool."""

    name = "placement"
    role = "coordinator of endpoints"
    note = (
        "An instance asks the coordinator of a pool for placements at a "
        "steady rate over the network in memory; each prompt of 20,000 "
        "tokens runs 4 s. Values are those of the coordinator."
    )
    lines = (
        capacityprobe.Line(capacityprobe.MESSAGES, ("1", "placed_per_s")),
        capacityprobe.Line(capacityprobe.BYTES, ("1", "placed_per_s")),
        capacityprobe.Line(
            capacityprobe.CPU,
            ("1", "placed_per_s", "placed_per_s*endpoints"),
        ),
        capacityprobe.Line(
            capacityprobe.STATE, ("1", "placed_per_s", "endpoints")
        ),
    )
    plan = tuple(
        {"placed_per_s": float(rate), "endpoints": float(engines)}
        for rate, engines in (
            (5, 32),
            (10, 32),
            (20, 32),
            (40, 32),
            (20, 8),
            (20, 16),
            (20, 64),
            (20, 128),
            (40, 128),
        )
    )

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return virtualloop.run(self._run(sizes))

    async def _run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        timers = timer_service.LoopTimers(wall_offset_s=0.0)
        network = memorypeers.MemoryPeerNetwork(random.Random("network"))
        meter = capacitymeter.HandlerMeter(capacityprobe.read_cpu)
        engines = int(sizes["endpoints"])
        holder, ledger = _make_placement(0, network, timers, meter, engines)
        client, _ = _make_placement(1, network, timers, meter, engines)
        rate = sizes["placed_per_s"]

        async def place(number: int) -> None:
            grant_id = f"entry-1~1~{number}/1"
            await client.place(grant_id, _make_query(grant_id))
            await timers.sleep(PREFILL_S)
            client.end_prefill(grant_id)
            await timers.sleep(GRANT_S - PREFILL_S)
            client.release(grant_id)

        with timers.subscribe(0.05, client.send_progress):
            tasks = []
            for number in range(round(rate * PLACE_RUN_S)):
                tasks.append(asyncio.ensure_future(place(number)))
                await timers.sleep(1.0 / rate)
            state = capacitymeter.measure_state([ledger], (holder,))
            await asyncio.gather(*tasks)
            await timers.sleep(0.2)
        overhead = (
            memorypeers.REQUEST_OVERHEAD_BYTES
            + memorypeers.ANSWER_OVERHEAD_BYTES
        )
        # Calls that end after the run still count, as they began within it.
        return {
            capacityprobe.MESSAGES: 2 * meter.calls / PLACE_RUN_S,
            capacityprobe.BYTES: (meter.byte_count + meter.calls * overhead)
            / PLACE_RUN_S,
            capacityprobe.CPU: meter.cpu_s / PLACE_RUN_S,
            capacityprobe.STATE: state,
        }


def _make_placement(
    number: int,
    network: memorypeers.MemoryPeerNetwork,
    timers: timer_service.Timers,
    meter: capacitymeter.HandlerMeter,
    engines: int,
) -> tuple[coordination.PlacementClient, ledgers.Ledger]:
    """Returns the placement client and ledger of an instance.

    The first instance is the coordinator.
    """
    member = make_member(number)
    first = make_member(0)
    peers = network.join(member.address, member.instance_id)
    policy = length_aware.LengthAwarePolicy(0.5)
    ledger = ledgers.Ledger(make_load_table(engines), policy, timers)
    meters = {
        coordination.PLACE_KIND: meter,
        coordination.PROGRESS_KIND: meter,
    }
    client = coordination.PlacementClient(
        member.instance_id,
        ledger,
        policy,
        capacitymeter.MeteredPeers(peers, meters if number == 0 else {}),
        lambda service: coordination.Coordinator(
            first.instance_id, first.address
        ),
        metric_store.Metrics(),
    )
    return client, ledger


def make_load_table(engines: int) -> loadtable.LoadTable:
    """Returns a table of engines with load reports, half of them decoding."""
    table = loadtable.LoadTable()
    names = [f"engine-{number:04d}" for number in range(engines)]
    table.set_endpoints(
        [
            endpoints.Endpoint(
                name,
                f"10.9.{number // 250}.{number % 250}:80",
                capacityfleet.DATA_CENTRE,
                _POOL,
                endpoints.EndpointKind.ENGINE,
            )
            for number, name in enumerate(names)
        ],
        _KV_TOKENS,
    )
    for number, name in enumerate(names):
        role = endpoints.Role.DECODE if number % 2 else endpoints.Role.PREFILL
        table.take_report(make_report(name, role), 0.0)
    return table


def make_report(
    name: str,
    role: endpoints.Role = endpoints.Role.BOTH,
    running: int = 0,
    sequence: int = 1,
) -> endpoints.LoadReport:
    """Returns the load report of an engine.

    Args:
      name: endpoint id.
      role: its role.
      running: number of attempts that it runs; the report lists their ids.
      sequence: number of the report.
    """
    return endpoints.LoadReport(
        endpoint_id=name,
        measured_s=12345.678,
        sequence=sequence,
        start_id="0123456789abcdef",
        role=role,
        models=("reader@v1",),
        running=running,
        decoding=running,
        waiting=0,
        prefill_tokens=0,
        kv_capacity=_KV_TOKENS,
        kv_used=running * 4_000,
        attempts=tuple(
            f"cmpl-osu-hall-entry-12~1800000000000~{number}/1"
            for number in range(running)
        ),
    )


def _make_query(grant_id: str) -> placements.PlacementQuery:
    return placements.PlacementQuery(
        request_id=grant_id.partition("/")[0],
        service=_POOL,
        model="reader",
        prompt_tokens=20_000,
        max_tokens=150,
        slack_s=30.0,
        prefix_blocks=tuple(f"{number:016x}" for number in range(32)),
    )
