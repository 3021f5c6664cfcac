"""Probe of complete entry instances, with all their parts.

Its figures include parts that have no probe of their own, so they check the
sums over the other probes in docs/CAPACITY.md.
"""

import dataclasses
import random

from rhubarblock.experiments import mixed
from rhubarblock.experiments import simulation
from rhubarblock.experiments import workload
from rhubarblock.experiments.capacity import meter as capacitymeter
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.kernel import virtualloop

RUN_S = 15.0
ENGINES = 6
_PLAN = dataclasses.replace(
    mixed.HOFBAUER, data_centres=("halle-steyr",), engines=ENGINES
)
# Longer prompts would overload the few engines of a probe.
_LONGEST_PROMPT = 40_000


class InstanceProbe(capacityprobe.Probe):
    """Complete instances of one data centre that serve prompts."""

    name = "whole"
    role = "entry instance"
    note = (
        "Whole instances of one data centre with 6 engines on the fake "
        "clock, serving the mixed load cut at 40,000 tokens; means over the "
        "instances, platform calls are sums and hold no waiting watches."
    )
    lines = (
        capacityprobe.Line(
            capacityprobe.MESSAGES,
            ("1", "instances", "requests_per_s_instance"),
        ),
        capacityprobe.Line(
            capacityprobe.BYTES,
            ("1", "instances", "requests_per_s_instance"),
        ),
        capacityprobe.Line(capacityprobe.READS, ("1", "instances")),
        capacityprobe.Line(capacityprobe.WRITES, ("1", "instances")),
    )
    plan = tuple(
        {
            "instances": float(count),
            "requests_per_s_instance": requests_per_s,
        }
        for count, requests_per_s in (
            (6, 0.0),
            (9, 0.0),
            (12, 0.0),
            (18, 0.0),
            (6, 1.0),
            (6, 2.0),
            (6, 4.0),
            (12, 2.0),
        )
    )

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return virtualloop.run(self._run(sizes))

    async def _run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        count = int(sizes["instances"])
        plan = dataclasses.replace(_PLAN, instances=count)
        tenants = mixed.make_tenants(plan.name)
        catalogue = mixed.make_catalogue(plan, tenants)
        arrivals = _draw_arrivals(
            sizes["requests_per_s_instance"] * count, tenants
        )
        fleet = simulation.Simulation(plan, "length_aware", 1, catalogue)
        await fleet.start_instances()
        peers = [node.peers for node in fleet.instances.values()]
        usage = capacitymeter.read_usage(peers, fleet.store.counters)
        began_s = fleet.timers.read_monotonic()
        await fleet.run(arrivals)
        left_s = began_s + RUN_S - fleet.timers.read_monotonic()
        await fleet.timers.sleep(max(0.0, left_s))
        seconds = fleet.timers.read_monotonic() - began_s
        usage = capacitymeter.read_usage(peers, fleet.store.counters).subtract(
            usage
        )
        await fleet.stop()
        share = 1.0 / (seconds * count)
        return {
            capacityprobe.MESSAGES: usage.messages * share,
            capacityprobe.BYTES: usage.byte_count * share,
            capacityprobe.READS: usage.reads / seconds,
            capacityprobe.WRITES: usage.writes / seconds,
        }


def _draw_arrivals(
    requests_per_s: float, tenants: list[workload.Tenant]
) -> list[workload.Arrival]:
    """Draws the arrivals of a run, without the longest prompts."""
    if not requests_per_s:
        return []
    arrivals = workload.draw_requests(
        random.Random(1), tenants, requests_per_s, RUN_S, simulation.MODEL
    )
    return [
        each
        for each in arrivals
        if each.request.prompt_tokens <= _LONGEST_PROMPT
    ]
