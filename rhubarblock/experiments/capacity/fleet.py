"""Probes of membership and of the distribution of the catalogue."""

import contextlib
import random

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import position as positions
from rhubarblock.core import request as requests
from rhubarblock.experiments.capacity import meter as capacitymeter
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.fleet import distribution
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet
from rhubarblock.store import store as stores

DATA_CENTRE = "osu-hall"
OWNER = "operators"
# Virtual seconds until the instances have discovered each other, and of the
# measured run.
SETTLE_S = 6.0
RUN_S = 20.0


def make_catalogue(
    revision: int, workspaces: int, models: int
) -> catalogues.Catalogue:
    """Returns a catalogue of a given size.

    Each workspace has a credential, each model has its own engine service, and
    ten workspaces share an institution.

    Args:
      revision: its revision.
      workspaces: number of workspaces.
      models: number of models.
    """
    limits = catalogues.Limits(60.0, 200_000.0, 4)
    catalogue = catalogues.Catalogue(revision=revision)
    for number in range(workspaces):
        institution = f"institution-{number // 10}"
        name = f"{institution}/workspace-{number}"
        catalogue.institutions[institution] = catalogues.Institution(
            institution, OWNER, limits
        )
        catalogue.workspaces[name] = catalogues.Workspace(
            name,
            OWNER,
            institution,
            requests.RequestClass.INTERACTIVE,
            limits,
        )
        catalogue.credentials[f"caller-{number}"] = catalogues.Credential(
            f"caller-{number}",
            OWNER,
            f"{number:064x}",
            catalogues.CredentialRole.CALLER,
            institution,
            name,
        )
    for number in range(models):
        service = f"pool-{number}"
        catalogue.services[service] = catalogues.Service(
            service, OWNER, endpoints.EndpointKind.ENGINE, kv_tokens=400_000
        )
        catalogue.models[f"model-{number}"] = catalogues.Model(
            f"model-{number}", OWNER, "v1", service, 1_000_000
        )
    catalogue.places[DATA_CENTRE] = catalogues.Place(
        DATA_CENTRE, OWNER, "accra"
    )
    return catalogue


class MembershipProbe(capacityprobe.Probe):
    """Heartbeats within a data centre and between data centres."""

    name = "membership"
    role = "entry instance"
    note = (
        "Membership of every instance over the network in memory, nothing "
        "fails; the values are means over the instances."
    )
    lines = (
        capacityprobe.Line(
            capacityprobe.STATE, ("1", "instances_near", "instances_far")
        ),
        capacityprobe.Line(
            capacityprobe.MEMORY, ("1", "instances_near", "instances_far")
        ),
        capacityprobe.Line(
            capacityprobe.MESSAGES, ("1", "instances_near", "data_centres")
        ),
        capacityprobe.Line(
            capacityprobe.BYTES, ("1", "instances_near", "data_centres")
        ),
        capacityprobe.Line(
            capacityprobe.CPU, ("1", "instances_near", "data_centres")
        ),
        capacityprobe.Line(
            "bytes_per_s_max", ("1", "instances_near", "data_centres")
        ),
        capacityprobe.Line(capacityprobe.READS, ("1", "instances_near")),
    )
    plan = tuple(
        {
            "instances_near": float(near),
            "data_centres": float(far),
            "instances_far": float(near * (far - 1)),
        }
        for near, far in (
            (6, 1),
            (12, 1),
            (24, 1),
            (41, 1),
            (6, 2),
            (6, 4),
            (6, 6),
            (6, 9),
        )
    )

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return virtualloop.run(self._run(sizes))

    def count_instances(self, sizes: capacityprobe.Sizes) -> float:
        return sizes["instances_near"] * sizes["data_centres"]

    async def _run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        async with memoryfleet.open_fleet() as fleet:
            for number in range(int(sizes["data_centres"])):
                await fleet.start_many(
                    int(sizes["instances_near"]), f"hall-{number}"
                )
            await fleet.timers.sleep(SETTLE_S)
            nodes = list(fleet.nodes.values())
            peers = [node.peers for node in nodes]
            counters = fleet.platform.counters
            before = [x.traffic.bytes_sent for x in peers]
            usage = capacitymeter.read_usage(peers, counters)
            started_s = capacityprobe.read_cpu()
            await fleet.timers.sleep(RUN_S)
            cpu_s = capacityprobe.read_cpu() - started_s
            usage = capacitymeter.read_usage(peers, counters).subtract(usage)
            most = max(
                x.traffic.bytes_sent - sent
                for x, sent in zip(peers, before, strict=True)
            )
            share = 1.0 / (RUN_S * len(nodes))
            return {
                capacityprobe.STATE: capacitymeter.measure_state(
                    [nodes[0].membership]
                ),
                capacityprobe.MESSAGES: usage.messages * share,
                capacityprobe.BYTES: usage.byte_count * share,
                capacityprobe.CPU: cpu_s * share,
                "bytes_per_s_max": most / RUN_S,
                capacityprobe.READS: usage.reads * share,
            }


class ChurnProbe(capacityprobe.Probe):
    """Crashes and restarts within a data centre."""

    name = "churn"
    role = "entry instance"
    note = (
        "Membership of 12 instances of one data centre, some of which die "
        "and start anew; the values are means over the instances."
    )
    lines = (
        capacityprobe.Line(capacityprobe.MESSAGES, ("1", "restarts_per_s")),
        capacityprobe.Line(capacityprobe.BYTES, ("1", "restarts_per_s")),
        capacityprobe.Line(capacityprobe.CPU, ("1", "restarts_per_s")),
    )
    plan = tuple(
        {"restarts_per_s": number / 40.0} for number in (0, 2, 4, 8, 12)
    )
    instances = 12

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return virtualloop.run(self._run(sizes["restarts_per_s"]))

    async def _run(self, restarts_per_s: float) -> capacityprobe.Values:
        window_s = 40.0
        restarts = round(restarts_per_s * window_s)
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(self.instances, DATA_CENTRE)
            await fleet.timers.sleep(SETTLE_S)
            peers = [node.peers for node in nodes]
            usage = capacitymeter.read_usage(peers)
            started_s = capacityprobe.read_cpu()
            pause_s = window_s / (restarts + 1)
            for number in range(restarts):
                await fleet.timers.sleep(pause_s)
                # Only the cost of instances that stay up is of interest.
                victim = nodes[number % self.instances]
                await fleet.kill(victim)
                restarted = await fleet.start(victim.instance_id, DATA_CENTRE)
                nodes[number % self.instances] = restarted
                peers.append(restarted.peers)
            await fleet.timers.sleep(pause_s)
            cpu_s = capacityprobe.read_cpu() - started_s
            usage = capacitymeter.read_usage(peers).subtract(usage)
            share = 1.0 / (window_s * self.instances)
            return {
                capacityprobe.MESSAGES: usage.messages * share,
                capacityprobe.BYTES: usage.byte_count * share,
                capacityprobe.CPU: cpu_s * share,
            }


class CatalogueProbe(capacityprobe.Probe):
    """Distribution of catalogue revisions to all instances."""

    name = "catalogue"
    role = "watcher of the catalogue"
    note = (
        "Membership and distribution of 6 instances of one data centre, of "
        "which 2 watch the platform, less the same without revisions; the "
        "values are means over the instances, platform calls their sum."
    )
    lines = tuple(
        capacityprobe.Line(
            quantity,
            (
                "1",
                "workspaces",
                "revisions_per_s",
                "revisions_per_s*workspaces",
                "revisions_per_s*models",
            ),
        )
        for quantity in (
            capacityprobe.MESSAGES,
            capacityprobe.BYTES,
            capacityprobe.CPU,
        )
    ) + (
        capacityprobe.Line(capacityprobe.STATE, ("1", "workspaces", "models")),
        capacityprobe.Line(capacityprobe.READS, ("1", "revisions_per_s")),
        capacityprobe.Line("watches", ("1", "revisions_per_s")),
    )
    plan = tuple(
        {
            "revisions_per_s": revisions / RUN_S,
            "workspaces": float(workspaces),
            "models": float(models),
        }
        for revisions, workspaces, models in (
            (0, 60, 6),
            (4, 60, 6),
            (8, 60, 6),
            (16, 60, 6),
            (8, 10, 6),
            (8, 120, 6),
            (8, 230, 6),
            (8, 60, 1),
            (8, 60, 12),
            (8, 60, 19),
            (0, 10, 6),
            (0, 230, 6),
            (16, 230, 19),
        )
    )
    instances = 6

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return virtualloop.run(self._run(sizes))

    async def _run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        revisions = round(sizes["revisions_per_s"] * RUN_S)
        workspaces = int(sizes["workspaces"])
        models = int(sizes["models"])
        contents = [
            codec.encode(make_catalogue(number + 1, workspaces, models))
            for number in range(revisions + 1)
        ]
        async with (
            memoryfleet.open_fleet() as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            operator = fleet.platform.connect("operator")
            version = positions.NOWHERE
            for content in contents[:1]:
                version = await self._publish(operator, content, version)
            nodes = await fleet.start_many(self.instances, DATA_CENTRE)
            followers = [
                await stack.enter_async_context(_follow(node).run())
                for node in nodes
            ]
            await fleet.timers.sleep(SETTLE_S)
            peers = [node.peers for node in nodes]
            counters = fleet.platform.counters
            usage = capacitymeter.read_usage(peers, counters)
            started_s = capacityprobe.read_cpu()
            pause_s = RUN_S / (revisions + 1)
            for content in contents[1:]:
                await fleet.timers.sleep(pause_s)
                version = await self._publish(operator, content, version)
            await fleet.timers.sleep(pause_s)
            cpu_s = capacityprobe.read_cpu() - started_s
            usage = capacitymeter.read_usage(peers, counters).subtract(usage)
            share = 1.0 / (RUN_S * self.instances)
            return {
                capacityprobe.STATE: capacitymeter.measure_state(
                    [followers[0]], (nodes[0].membership,)
                ),
                capacityprobe.MESSAGES: usage.messages * share,
                capacityprobe.BYTES: usage.byte_count * share,
                capacityprobe.CPU: cpu_s * share,
                capacityprobe.READS: usage.reads / RUN_S,
                "watches": sum(x.is_watcher() for x in followers),
            }

    async def _publish(
        self,
        operator: stores.ObjectStore,
        content: bytes,
        version: positions.Position,
    ) -> positions.Position:
        written = await operator.write(archive.CURRENT_OBJECT, content, version)
        return written.version


def _follow(node: memoryfleet.FleetNode) -> distribution.CatalogueFollower:
    return distribution.CatalogueFollower(
        node.membership,
        node.peers,
        node.store,
        node.timers,
        random.Random(node.instance_id),
    )
