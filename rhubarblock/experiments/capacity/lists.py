"""Probe of the platform's list, shared by the instances of a data centre."""

import contextlib
import random

from rhubarblock.daemon import endpointwatch
from rhubarblock.experiments.capacity import fleet as capacityfleet
from rhubarblock.experiments.capacity import meter as capacitymeter
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import listrelay
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.placement import loadtable
from rhubarblock.standins import memoryfleet
from rhubarblock.standins.engine import cluster as enginecluster
from rhubarblock.store import instances

SETTLE_S = 15.0
RUN_S = 20.0
INSTANCES = 6


class ListRelayProbe(capacityprobe.Probe):
    """The list, read by two instances and forwarded to the others."""

    name = "listrelay"
    role = "entry instance"
    note = (
        "6 instances of one data centre share the list and take it into "
        "their tables of endpoints, less the same run without; a change "
        "moves an engine. Values are means over the instances, platform calls "
        "their sum."
    )
    lines = (
        capacityprobe.Line(
            capacityprobe.MESSAGES, ("1", "lines", "list_changes_per_s")
        ),
        capacityprobe.Line(
            capacityprobe.BYTES,
            (
                "1",
                "lines",
                "list_changes_per_s",
                "list_changes_per_s*lines",
            ),
        ),
        capacityprobe.Line(
            capacityprobe.CPU, ("1", "lines", "list_changes_per_s*lines")
        ),
        capacityprobe.Line(capacityprobe.STATE, ("1", "lines")),
        capacityprobe.Line(capacityprobe.READS, ("1", "list_changes_per_s")),
    )
    plan = tuple(
        {"lines": float(lines), "list_changes_per_s": changes / RUN_S}
        for lines, changes in (
            (50, 0),
            (100, 0),
            (200, 0),
            (400, 0),
            (200, 2),
            (200, 4),
            (200, 8),
            (400, 8),
            (800, 8),
        )
    )

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        lines = int(sizes["lines"])
        changes = round(sizes["list_changes_per_s"] * RUN_S)
        baseline = virtualloop.run(self._run(lines, changes, False))
        values = virtualloop.run(self._run(lines, changes, True))
        return {name: value - baseline[name] for name, value in values.items()}

    async def _run(
        self, lines: int, changes: int, with_lists: bool
    ) -> capacityprobe.Values:
        async with (
            memoryfleet.open_fleet() as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            for number in range(lines - INSTANCES):
                fleet.listing.put(make_line(number))
            nodes = await fleet.start_many(INSTANCES, capacityfleet.DATA_CENTRE)
            relays = [_make_relay(fleet, node) for node in nodes]
            watches = [
                _make_watch(relay, node)
                for relay, node in zip(relays, nodes, strict=True)
            ]
            for watch in watches if with_lists else ():
                await watch.refresh_list()
                stack.enter_context(
                    fleet.timers.subscribe(
                        endpointwatch.LIST_INTERVAL_S, watch.refresh_list
                    )
                )
            await fleet.timers.sleep(SETTLE_S)
            peers = [node.peers for node in nodes]
            counters = fleet.platform.counters
            usage = capacitymeter.read_usage(peers, counters)
            started_s = capacityprobe.read_cpu()
            pause_s = RUN_S / (changes + 1)
            for number in range(changes):
                await fleet.timers.sleep(pause_s)
                fleet.listing.put(make_line(number, "10.9.8.7:81"))
            await fleet.timers.sleep(pause_s)
            cpu_s = capacityprobe.read_cpu() - started_s
            usage = capacitymeter.read_usage(peers, counters).subtract(usage)
            share = 1.0 / (RUN_S * INSTANCES)
            return {
                capacityprobe.MESSAGES: usage.messages * share,
                capacityprobe.BYTES: usage.byte_count * share,
                capacityprobe.CPU: cpu_s * share,
                capacityprobe.STATE: capacitymeter.measure_state(
                    [relays[0], watches[0].states],
                    (nodes[0].membership, watches[0]),
                ),
                capacityprobe.READS: usage.reads / RUN_S,
            }


def make_line(
    number: int, address: str = "10.9.112.113:8000"
) -> instances.ListedInstance:
    """Returns the entry of an engine in the platform's list."""
    return instances.ListedInstance(
        f"engine-{number:04d}",
        address,
        capacityfleet.DATA_CENTRE,
        "rhubarb-pool",
        instances.InstanceKind.ENGINE,
    )


def _make_relay(
    fleet: memoryfleet.MemoryFleet, node: memoryfleet.FleetNode
) -> listrelay.ListRelay:
    return listrelay.ListRelay(
        fleet.listing.connect(node.instance_id),
        node.membership,
        node.peers,
        node.timers,
        random.Random(node.instance_id),
    )


def _make_watch(
    source: instances.InstanceSource, node: memoryfleet.FleetNode
) -> endpointwatch.EndpointWatch:
    # The cluster is empty, because no load report is fetched here.
    client = enginecluster.MemoryEngineClient(
        enginecluster.EngineCluster(), node.timers, 0.0
    )
    return endpointwatch.EndpointWatch(
        source=source,
        client=client,
        table=loadtable.LoadTable(),
        states=endpointtables.EndpointTable(node.timers),
        timers=node.timers,
        is_coordinator=lambda service: True,
    )
