"""The scenario ``fleet``: speed, correctness and cost of the fleet's control.

A session on the fake clock goes through steady state, catalogue changes,
pauses with message loss, crashes, a leaving endpoint, version changes with a
paused lease holder, and a partition.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random
import statistics
import time

from rhubarblock.experiments import fleetbench
from rhubarblock.fleet import lease as leases
from rhubarblock.fleet import orders
from rhubarblock.standins import memoryfleet

SCENARIO = "fleet"
LEAST_INSTANCES = 6
MOST_INSTANCES = 60

_SETTLE_S = 25.0
_STEADY_S = 20.0
_CHANGES = 8
_PAUSE_S = 3.5
# From this change on, the platform's watch drops and reorders events.
_FAULTY_FROM = 5
_EVENT_FAULTS_SHARE = 0.3
_PAUSES = 10
_LONGEST_PAUSE_S = 0.99
_LOSS = 0.02
_DEATHS = 3
_POLL_S = 0.05
_DEATH_LIMIT_S = 10.0
_REQUEST_INTERVAL_S = 0.2
_LEAVE_S = 12.0
# Seconds after which the first engine is loading the new version.
_LOAD_S = 4.0
_VERSION_S = 60.0
_GOOD_VERSION = "2"
_BAD_VERSION = "3"
_PARTITION_S = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class Spread:
    """Median and maximum of some durations in seconds."""

    p50: float
    max: float


@dataclasses.dataclass(slots=True, frozen=True)
class FleetResult:
    """Results of one session.

    Attributes:
      scenario: name of the scenario.
      seed: seed of everything random.
      instances: entry instances, over three data centres.
      config_in_force_s: seconds from the write of a change until it is in
        force at an instance.
      config_reverts: how often an instance went back to an older revision.
      death_known_s: seconds from a crash until an instance of the same data
        centre has detected it.
      false_deaths: instances declared dead that were alive and not paused
        for longer than a second.
      leaving_got_work_s: seconds from the moment an endpoint starts to leave
        until an instance last sent it work.
      control_bytes_per_s: mean bytes that an instance sends to its peers in
        steady state.
      control_bytes_per_s_max: the same for the instance that sends most.
      control_cpu_share: share of a core that the control code of an instance
        uses in steady state, without the cost of gRPC.
      platform_calls_per_s: mean platform calls of an instance in steady
        state; a waiting watch counts as one a second.
      stale_orders_obeyed: orders with an outdated fencing number that engines
        obeyed although they check it.
      stale_orders_unchecked: the same for engines that do not check it.
      version_change_failed_requests: requests that failed during the changes
        to a good version and to one that fails to load.
      version_changes_done: whether every engine ended at the good version.
      converged: whether all instances agree after the partition.
    """

    scenario: str
    seed: int
    instances: int
    config_in_force_s: Spread
    config_reverts: int
    death_known_s: Spread
    false_deaths: int
    leaving_got_work_s: float
    control_bytes_per_s: float
    control_bytes_per_s_max: float
    control_cpu_share: float
    platform_calls_per_s: float
    stale_orders_obeyed: int
    stale_orders_unchecked: int
    version_change_failed_requests: int
    version_changes_done: bool
    converged: bool


@dataclasses.dataclass(slots=True)
class _Costs:
    bytes_per_s: list[float]
    cpu_share: float
    platform_calls_per_s: float


async def measure(instances: int, seed: int) -> FleetResult:
    """Runs the session; the event loop should be a ``VirtualLoop``.

    Args:
      instances: entry instances in all, from 6 to 60.
      seed: seed of everything random.

    Returns:
      The results.

    Raises:
      ValueError: the number of instances is out of range.
    """
    if not LEAST_INSTANCES <= instances <= MOST_INSTANCES:
        raise ValueError(
            f"instances must be {LEAST_INSTANCES} to {MOST_INSTANCES}"
        )
    async with memoryfleet.open_fleet(seed) as fleet:
        bench = fleetbench.FleetBench(
            fleet, seed, orders.OrderSettings(concurrent_loads=6)
        )
        return await _Session(bench, instances, seed).run()


class _Session:
    """One run of the scenario."""

    def __init__(self, bench: fleetbench.FleetBench, instances: int, seed: int):
        self._bench = bench
        self._timers = bench.fleet.timers
        self._count = instances
        self._seed = seed
        self._rng = random.Random(f"{seed} session")
        self._sent = 0
        self._failed = 0

    async def run(self) -> FleetResult:
        await self._bench.publish("1")
        await self._start_instances()
        costs = await self._measure_costs()
        in_force_s = await self._change_catalogue()
        await self._inject_pauses()
        known_s = await self._kill_instances()
        leaving_s = await self._measure_leaving()
        failed = await self._change_versions()
        converged = await self._partition_and_heal()
        return FleetResult(
            SCENARIO,
            self._seed,
            self._count,
            _spread(in_force_s),
            self._bench.reverts,
            _spread(known_s),
            len(self._bench.false_deaths),
            round(leaving_s, 3),
            round(statistics.mean(costs.bytes_per_s), 1),
            round(max(costs.bytes_per_s), 1),
            round(costs.cpu_share, 6),
            round(costs.platform_calls_per_s, 3),
            self._bench.order_log.stale_obeyed,
            self._bench.order_log.stale_unchecked,
            failed,
            self._has_good_version(),
            converged,
        )

    async def _sleep(self, seconds: float) -> None:
        await self._timers.sleep(seconds)

    async def _start_instances(self) -> None:
        for number in range(self._count):
            names = fleetbench.DATA_CENTRES
            data_centre = names[number % len(names)]
            await self._bench.start(f"entry-{number}", data_centre)
            await self._sleep(0.05 + 0.1 * self._rng.random())
        await self._sleep(_SETTLE_S)

    async def _measure_costs(self) -> _Costs:
        nodes = list(self._bench.nodes.values())
        sent = [node.node.peers.traffic.bytes_sent for node in nodes]
        calls = self._count_platform_calls()
        # Measures processor time only; timing is left to the timer service.
        started_cpu_s = time.process_time()
        await self._sleep(_STEADY_S)
        cpu_s = time.process_time() - started_cpu_s
        bytes_per_s = [
            (node.node.peers.traffic.bytes_sent - before) / _STEADY_S
            for node, before in zip(nodes, sent, strict=True)
        ]
        calls = self._count_platform_calls() - calls
        watchers = sum(node.follower.is_watcher() for node in nodes)
        per_s = calls / _STEADY_S + watchers
        return _Costs(
            bytes_per_s,
            cpu_s / _STEADY_S / len(nodes),
            per_s / len(nodes),
        )

    def _count_platform_calls(self) -> int:
        counters = self._bench.fleet.platform.counters
        kinds = ("read", "list", "instances", "write", "delete", "watch")
        return sum(counters[kind] for kind in kinds)

    async def _change_catalogue(self) -> list[float]:
        """Returns the time until each change is in force at each instance."""
        faults = self._bench.fleet.platform.faults
        taken_s = []
        for number in range(_CHANGES):
            if number == _FAULTY_FROM:
                faults.drop_events_share = _EVENT_FAULTS_SHARE
                faults.reorder_events_share = _EVENT_FAULTS_SHARE
            written_s = self._timers.read_monotonic()
            revision = await self._bench.publish("1")
            await self._sleep(_PAUSE_S + self._rng.random())
            now_s = self._timers.read_monotonic()
            for instance_id in self._bench.nodes:
                key = (revision, instance_id)
                in_force_s = self._bench.in_force_s.get(key, now_s)
                taken_s.append(in_force_s - written_s)
        faults.drop_events_share = 0.0
        faults.reorder_events_share = 0.0
        return taken_s

    async def _inject_pauses(self) -> None:
        """Pauses instances for under a second while messages are lost."""
        network = self._bench.fleet.network
        network.loss = _LOSS
        for _ in range(_PAUSES):
            node = self._rng.choice(list(self._bench.nodes.values()))
            network.pause(node.node.address)
            await self._sleep(self._rng.uniform(0.2, _LONGEST_PAUSE_S))
            network.resume(node.node.address)
            await self._sleep(self._rng.random())
        await self._sleep(_PAUSE_S)
        network.loss = 0.0

    async def _kill_instances(self) -> list[float]:
        """Returns the detection times of crashes in their data centres."""
        known_s = []
        for number in range(_DEATHS):
            names = fleetbench.DATA_CENTRES
            data_centre = names[number % len(names)]
            victim = self._rng.choice(self._bench.list_near(data_centre))
            instance_id = victim.node.instance_id
            await self._bench.kill(instance_id)
            known_s += await self._wait_detected(instance_id, data_centre)
            self._bench.fleet.listing.remove(instance_id)
            await self._bench.start(f"{instance_id}-again", data_centre)
            await self._sleep(_PAUSE_S)
        return known_s

    async def _wait_detected(
        self, instance_id: str, data_centre: str
    ) -> list[float]:
        started_s = self._timers.read_monotonic()
        waiting = self._bench.list_near(data_centre)
        known_s = []
        elapsed_s = 0.0
        while waiting and elapsed_s < _DEATH_LIMIT_S:
            await self._sleep(_POLL_S)
            elapsed_s = self._timers.read_monotonic() - started_s
            unaware = [n for n in waiting if _considers_live(n, instance_id)]
            known_s += [elapsed_s] * (len(waiting) - len(unaware))
            waiting = unaware
        return known_s + [elapsed_s] * len(waiting)

    async def _measure_leaving(self) -> float:
        """Returns how long any instance still sent work to a leaving engine."""
        engine = next(iter(self._bench.cluster))
        async with self._run_requests():
            await self._sleep(_PAUSE_S)
            started_s = self._timers.read_monotonic()
            self._bench.start_leaving(engine)
            await self._sleep(_LEAVE_S)
        last_s = self._bench.last_sent_s.get(engine.endpoint_id, 0.0)
        return max(0.0, last_s - started_s)

    async def _change_versions(self) -> int:
        """Changes to a good version and to one that fails, under load.

        During the first change the lease holder is paused for longer than its
        lease lasts.

        Returns:
          Requests that failed meanwhile.
        """
        failed = self._failed
        async with self._run_requests():
            await self._bench.publish(_GOOD_VERSION)
            await self._sleep(_LOAD_S)
            await self._pause_holder()
            await self._sleep(_VERSION_S)
            for engine in self._bench.cluster:
                engine.faults.bad_versions.add(
                    f"{fleetbench.MODEL}@{_BAD_VERSION}"
                )
            await self._bench.publish(_BAD_VERSION)
            await self._sleep(_VERSION_S / 2)
        return self._failed - failed

    async def _pause_holder(self) -> None:
        holders = [
            node
            for node in self._bench.nodes.values()
            if node.orders.list_pools()
        ]
        holder = self._rng.choice(holders)
        network = self._bench.fleet.network
        self._bench.paused_long.add(holder.node.instance_id)
        network.pause(holder.node.address)
        await self._sleep(2 * leases.LeaseSettings().duration_s)
        network.resume(holder.node.address)

    def _has_good_version(self) -> bool:
        """Says whether all engines but draining ones run the good version."""
        wanted = (f"{fleetbench.MODEL}@{_GOOD_VERSION}",)
        return all(
            engine.make_load_report().models == wanted
            for engine in self._bench.cluster
            if not engine.draining
        )

    async def _partition_and_heal(self) -> bool:
        """Cuts off a data centre, reconnects it and checks convergence."""
        near = self._bench.list_near(fleetbench.DATA_CENTRES[0])
        rest = [n for n in self._bench.nodes.values() if n not in near]
        self._bench.fleet.network.cut(
            [node.node.address for node in near],
            [node.node.address for node in rest],
        )
        for node in near:
            node.node.store.cut_off()
        await self._bench.publish(_GOOD_VERSION)
        await self._sleep(_PARTITION_S)
        self._bench.fleet.network.heal()
        for node in near:
            node.node.store.join()
        await self._sleep(_PARTITION_S)
        views = {
            (node.follower.revision, _list_live(node))
            for node in self._bench.nodes.values()
        }
        return len(views) == 1

    @contextlib.asynccontextmanager
    async def _run_requests(self) -> AsyncIterator[None]:
        """Sends prompts through all instances while the context is open."""
        tasks: set[asyncio.Task[None]] = set()

        async def tick() -> None:
            task = asyncio.ensure_future(self._send_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        with self._timers.subscribe(_REQUEST_INTERVAL_S, tick):
            yield
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        node = self._rng.choice(list(self._bench.nodes.values()))
        if not node.node.peers.running.is_set():
            # A paused instance accepts no requests.
            return
        self._sent += 1
        self._failed += not await self._bench.send(self._rng, node)


def _list_live(node: fleetbench.BenchNode) -> tuple[str, ...]:
    live = node.node.membership.list_live_instances()
    return tuple(sorted(member.instance_id for member in live))


def _considers_live(node: fleetbench.BenchNode, instance_id: str) -> bool:
    """Says whether an instance considers another one live."""
    return instance_id in _list_live(node)


def _spread(values: Sequence[float]) -> Spread:
    return Spread(round(statistics.median(values), 3), round(max(values), 3))
