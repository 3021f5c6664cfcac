"""Compares design alternatives for membership and catalogue distribution.

Each alternative runs the same session with the same seed; only the choice
under test differs. The design notes of both quote the figures.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
import statistics

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import position as positions
from rhubarblock.fleet import distribution
from rhubarblock.fleet.membership import probing
from rhubarblock.standins import memoryfleet

_DATA_CENTRE = "osu-hall"
_SETTLE_S = 25.0
_STEADY_S = 20.0
_POLL_S = 0.05
_LIMIT_S = 10.0
_DEATHS = 6
_RACK = 10
_PAUSES = 20
_PAUSE_S = 0.95
_CHANGES = 6
_CHANGE_INTERVAL_S = 4.0

PlanMaker = Callable[[random.Random], probing.ProbePlan]


@dataclasses.dataclass(slots=True, frozen=True)
class ProbingResult:
    """Cost and detection times of one way to choose the probed instances.

    Attributes:
      way: its name.
      bytes_per_s: mean bytes that an instance sends in steady state.
      death_known_s_p50: median seconds until an instance detects a crash.
      death_known_s_max: longest such time.
      rack_known_s_max: the same for instances that crashed together, like
        those of a rack.
      false_deaths: live instances declared dead, while one after another was
        paused for 0.95 s and messages were lost.
    """

    way: str
    bytes_per_s: float
    death_known_s_p50: float
    death_known_s_max: float
    rack_known_s_max: float
    false_deaths: int


@dataclasses.dataclass(slots=True, frozen=True)
class DistributionResult:
    """Cost and delay of one way to distribute the catalogue.

    Attributes:
      way: its name.
      in_force_s_p50: median seconds from a change until it is in force at an
        instance, with dropped and reordered events.
      in_force_s_max: longest such time.
      platform_calls_per_s: platform calls of an instance in steady state; a
        waiting watch counts as one a second.
      bytes_per_change: mean bytes that an instance sends for a change.
    """

    way: str
    in_force_s_p50: float
    in_force_s_max: float
    platform_calls_per_s: float
    bytes_per_change: float


PROBING_WAYS: dict[str, PlanMaker] = {
    "ring 2, random 1": lambda rng: probing.RingPlan(2, 1, rng),
    "ring 3": lambda rng: probing.RingPlan(3, 0, rng),
    "ring 1": lambda rng: probing.RingPlan(1, 0, rng),
    "random 3": lambda rng: probing.RandomPlan(3, rng),
    "random 1": lambda rng: probing.RandomPlan(1, rng),
    "all": lambda rng: probing.RandomPlan(1_000, rng),
}

DISTRIBUTION_WAYS = {
    "2 watch, tree": distribution.DistributionSettings(),
    "each watches": distribution.DistributionSettings(watchers=1_000),
    "each polls": distribution.DistributionSettings(watchers=0, poll_s=1.0),
}


async def measure_probing(
    way: str, instances: int, seed: int, loss: float = 0.02
) -> ProbingResult:
    """Measures one of ``PROBING_WAYS``.

    Args:
      way: its name.
      instances: instances of one data centre.
      seed: seed of everything random.
      loss: share of messages lost while instances are paused.
    """
    make_plan = PROBING_WAYS[way]
    async with memoryfleet.open_fleet(seed) as fleet:
        nodes = await _start(fleet, instances, make_plan)
        bytes_per_s = await _measure_bytes(fleet, nodes)
        known_s = await _measure_deaths(fleet, nodes, seed)
        false_deaths = await _pause_instances(fleet, nodes, seed, loss)
        rack_s = await _measure_rack(fleet, nodes, seed)
        return ProbingResult(
            way,
            round(bytes_per_s, 1),
            round(statistics.median(known_s), 2),
            round(max(known_s), 2),
            round(max(rack_s), 2),
            false_deaths,
        )


async def measure_distribution(
    way: str, instances: int, seed: int
) -> DistributionResult:
    """Measures one of ``DISTRIBUTION_WAYS``.

    Args:
      way: its name.
      instances: instances of one data centre.
      seed: seed of everything random.
    """
    settings = DISTRIBUTION_WAYS[way]
    async with memoryfleet.open_fleet(seed) as fleet:
        nodes = await _start(fleet, instances, PROBING_WAYS["ring 2, random 1"])
        session = _Distribution(fleet, nodes, settings)
        async with session.run():
            return await session.measure(way)


class _Distribution:
    """Followers on the nodes of a fleet."""

    def __init__(
        self,
        fleet: memoryfleet.MemoryFleet,
        nodes: list[memoryfleet.FleetNode],
        settings: distribution.DistributionSettings,
    ):
        self._fleet = fleet
        self._nodes = nodes
        self._in_force_s: dict[int, list[float]] = {}
        self._followers = [
            distribution.CatalogueFollower(
                node.membership,
                node.peers,
                node.store,
                node.timers,
                node.rng,
                settings,
            )
            for node in nodes
        ]
        for follower in self._followers:
            follower.subscribe(self._record_in_force)

    @contextlib.asynccontextmanager
    async def run(self):  # type: ignore[no-untyped-def]
        async with contextlib.AsyncExitStack() as stack:
            for follower in self._followers:
                await stack.enter_async_context(follower.run())
            await self._fleet.timers.sleep(_CHANGE_INTERVAL_S)
            yield

    async def measure(self, way: str) -> DistributionResult:
        calls = self._count_calls()
        steady_bytes = await _measure_bytes(self._fleet, self._nodes)
        count = len(self._nodes)
        watchers = sum(f.is_watcher() for f in self._followers)
        calls_per_s = (self._count_calls() - calls) / _STEADY_S + watchers
        faults = self._fleet.platform.faults
        faults.drop_events_share = faults.reorder_events_share = 0.3
        sent = _count_sent(self._nodes)
        taken_s = []
        for revision in range(1, _CHANGES + 1):
            taken_s += await self._change(revision)
        duration_s = _CHANGES * _CHANGE_INTERVAL_S
        extra_bytes = (_count_sent(self._nodes) - sent) / count
        extra_bytes -= steady_bytes * duration_s
        return DistributionResult(
            way,
            round(statistics.median(taken_s), 3),
            round(max(taken_s), 3),
            round(calls_per_s / count, 3),
            round(extra_bytes / _CHANGES, 1),
        )

    async def _change(self, revision: int) -> list[float]:
        started_s = self._fleet.timers.read_monotonic()
        content = codec.encode(catalogues.Catalogue(revision=revision))
        store = self._fleet.platform.connect("operator")
        version = positions.NOWHERE
        if revision > 1:
            version = (await store.read(archive.CURRENT_OBJECT)).version
        await store.write(archive.CURRENT_OBJECT, content, version)
        await self._fleet.timers.sleep(_CHANGE_INTERVAL_S)
        in_force_s = self._in_force_s.get(revision, [])
        missing = len(self._nodes) - len(in_force_s)
        return [s - started_s for s in in_force_s] + [
            _CHANGE_INTERVAL_S
        ] * missing

    def _record_in_force(self, catalogue: catalogues.Catalogue) -> None:
        now_s = self._fleet.timers.read_monotonic()
        self._in_force_s.setdefault(catalogue.revision, []).append(now_s)

    def _count_calls(self) -> int:
        # Membership reads the list, equally often in every alternative.
        counters = self._fleet.platform.counters
        return counters["read"] + counters["watch"]


async def _start(
    fleet: memoryfleet.MemoryFleet, instances: int, make_plan: PlanMaker
) -> list[memoryfleet.FleetNode]:
    nodes = []
    for number in range(instances):
        rng = random.Random(f"plan {number}")
        node = fleet.create(f"i{number}", _DATA_CENTRE, make_plan(rng))
        await node.stack.enter_async_context(node.membership.run())
        await fleet.timers.sleep(0.11)
        nodes.append(node)
    await fleet.timers.sleep(_SETTLE_S)
    return nodes


async def _measure_bytes(
    fleet: memoryfleet.MemoryFleet, nodes: list[memoryfleet.FleetNode]
) -> float:
    sent = _count_sent(nodes)
    await fleet.timers.sleep(_STEADY_S)
    return (_count_sent(nodes) - sent) / _STEADY_S / len(nodes)


def _count_sent(nodes: list[memoryfleet.FleetNode]) -> int:
    return sum(node.peers.traffic.bytes_sent for node in nodes)


async def _measure_deaths(
    fleet: memoryfleet.MemoryFleet,
    nodes: list[memoryfleet.FleetNode],
    seed: int,
) -> list[float]:
    """Kills instances one by one; returns the others' detection times."""
    rng = random.Random(f"{seed} deaths")
    known_s = []
    for _ in range(_DEATHS):
        victim = nodes.pop(rng.randrange(len(nodes)))
        await fleet.timers.sleep(rng.random())
        await fleet.kill(victim)
        fleet.listing.remove(victim.instance_id)
        known_s += await asyncio.gather(
            *(_wait_gone(fleet, node, victim.instance_id) for node in nodes)
        )
    return known_s


async def _measure_rack(
    fleet: memoryfleet.MemoryFleet,
    nodes: list[memoryfleet.FleetNode],
    seed: int,
) -> list[float]:
    """Kills a rack of instances at once; returns the detection times."""
    victims = random.Random(f"{seed} rack").sample(nodes, _RACK)
    rest = [node for node in nodes if node not in victims]
    for victim in victims:
        await fleet.kill(victim)
    return await asyncio.gather(
        *(
            _wait_gone(fleet, node, victim.instance_id)
            for node in rest
            for victim in victims
        )
    )


async def _wait_gone(
    fleet: memoryfleet.MemoryFleet,
    node: memoryfleet.FleetNode,
    instance_id: str,
) -> float:
    started_s = fleet.timers.read_monotonic()
    elapsed_s = 0.0
    while elapsed_s < _LIMIT_S:
        live = node.membership.list_live_instances()
        if all(member.instance_id != instance_id for member in live):
            break
        await fleet.timers.sleep(_POLL_S)
        elapsed_s = fleet.timers.read_monotonic() - started_s
    return elapsed_s


async def _pause_instances(
    fleet: memoryfleet.MemoryFleet,
    nodes: list[memoryfleet.FleetNode],
    seed: int,
    loss: float,
) -> int:
    """Pauses instances one by one; returns the deaths declared meanwhile."""
    rng = random.Random(f"{seed} pauses")
    before = sum(n.membership.counters.deaths_found for n in nodes)
    fleet.network.loss = loss
    for _ in range(_PAUSES):
        node = rng.choice(nodes)
        fleet.network.pause(node.address)
        await fleet.timers.sleep(_PAUSE_S)
        fleet.network.resume(node.address)
        await fleet.timers.sleep(rng.random())
    await fleet.timers.sleep(_CHANGE_INTERVAL_S)
    fleet.network.loss = 0.0
    return sum(n.membership.counters.deaths_found for n in nodes) - before
