"""Measures membership and distribution over real sockets on loopback.

Many instances run in one process, each with its own gRPC server. The run uses
the real clock, because a fake one shows neither the processor time of gRPC
nor crash detection on a busy machine.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
import statistics
import time

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import position as positions
from rhubarblock.fleet import distribution
from rhubarblock.fleet import grpcpeers
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.standins import instancelist
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances

SCENARIO = "fleet-sockets"
MOST_INSTANCES = 40

_DATA_CENTRE = "osu-hall"
_SETTLE_S = 3.0
_STEADY_S = 10.0
_CHANGES = 5
_CHANGE_S = 3.0
_DEATHS = 3
_LIMIT_S = 6.0
_POLL_S = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class SocketResult:
    """Results of one run over sockets.

    Attributes:
      scenario: name of the scenario.
      seed: seed of everything random.
      instances: instances, all in one data centre and one process.
      config_in_force_s_p50: median seconds from a change until it is in force
        at an instance.
      config_in_force_s_max: longest such time.
      death_known_s_p50: median seconds until an instance detects a crash.
      death_known_s_max: longest such time.
      false_deaths: live instances that were declared dead.
      calls_per_s: calls that an instance sends a second in steady state.
      control_cpu_share: share of a core that an instance uses in steady
        state, gRPC included.
    """

    scenario: str
    seed: int
    instances: int
    config_in_force_s_p50: float
    config_in_force_s_max: float
    death_known_s_p50: float
    death_known_s_max: float
    false_deaths: int
    calls_per_s: float
    control_cpu_share: float


@dataclasses.dataclass(slots=True)
class _Node:
    peers: grpcpeers.GrpcPeers
    membership: memberships.Membership
    follower: distribution.CatalogueFollower
    stack: contextlib.AsyncExitStack
    in_force_s: dict[int, float]


async def measure(count: int, seed: int) -> SocketResult:
    """Runs a fleet over sockets, which takes about half a minute.

    Args:
      count: number of instances, from 2 to 40.
      seed: seed of everything random.

    Raises:
      ValueError: the number of instances is out of range.
    """
    if not 2 <= count <= MOST_INSTANCES:
        raise ValueError(f"instances must be 2 to {MOST_INSTANCES}")
    timers = timers_lib.LoopTimers()
    session = _Session(timers, seed)
    async with session.open():
        return await session.run(count)


class _Session:
    """One measurement."""

    def __init__(self, timers: timers_lib.Timers, seed: int):
        self._timers = timers
        self._seed = seed
        self._rng = random.Random(f"{seed} sockets")
        self._store = platform.MemoryStore(
            timers, random.Random(f"{seed} platform")
        )
        self._listing = instancelist.InstanceList(
            self._store, instancelist.InstanceListSettings(lag_s=0.0)
        )
        self._nodes: list[_Node] = []
        self._false_deaths: set[str] = set()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        try:
            yield
        finally:
            for node in list(self._nodes):
                await self._end(node)

    async def run(self, count: int) -> SocketResult:
        for number in range(count):
            await self._start(number)
        await self._timers.sleep(_SETTLE_S)
        calls_per_s, cpu_share = await self._measure_costs()
        in_force_s = await self._change()
        known_s = await self._kill_instances()
        return SocketResult(
            SCENARIO,
            self._seed,
            count,
            round(statistics.median(in_force_s), 3),
            round(max(in_force_s), 3),
            round(statistics.median(known_s), 3),
            round(max(known_s), 3),
            len(self._false_deaths),
            round(calls_per_s, 2),
            round(cpu_share, 5),
        )

    async def _start(self, number: int) -> None:
        instance_id = f"entry-{number}"
        stack = contextlib.AsyncExitStack()
        peers = grpcpeers.GrpcPeers(
            "127.0.0.1:0",
            grpcpeers.PeerIdentity(instance_id, number + 1),
            self._timers,
        )
        await stack.enter_async_context(peers.run())
        rng = random.Random(f"{self._seed} {instance_id}")
        membership = memberships.Membership(
            members.Member(
                instance_id, _DATA_CENTRE, peers.address, number + 1
            ),
            peers,
            self._listing.connect(instance_id),
            self._timers,
            rng,
        )
        self._listing.put(
            instances.ListedInstance(
                instance_id,
                peers.address,
                _DATA_CENTRE,
                "",
                instances.InstanceKind.ENTRY,
            )
        )
        stack.enter_context(membership.subscribe(self._record_member))
        await stack.enter_async_context(membership.run())
        follower = distribution.CatalogueFollower(
            membership,
            peers,
            self._store.connect(instance_id),
            self._timers,
            rng,
        )
        node = _Node(peers, membership, follower, stack, {})
        follower.subscribe(lambda found: self._record_in_force(node, found))
        await stack.enter_async_context(follower.run())
        self._nodes.append(node)

    async def _end(self, node: _Node) -> None:
        self._nodes.remove(node)
        await node.stack.aclose()

    def _record_member(self, member: members.Member) -> None:
        alive = {node.membership.own.instance_id for node in self._nodes}
        is_dead = member.state is members.MemberState.DEAD
        if is_dead and member.instance_id in alive:
            self._false_deaths.add(member.instance_id)

    def _record_in_force(
        self, node: _Node, catalogue: catalogues.Catalogue
    ) -> None:
        now_s = self._timers.read_monotonic()
        node.in_force_s[catalogue.revision] = now_s

    async def _measure_costs(self) -> tuple[float, float]:
        calls = sum(node.peers.counters.calls_sent for node in self._nodes)
        # Measures processor time only; timing is left to the timer service.
        started_cpu_s = time.process_time()
        await self._timers.sleep(_STEADY_S)
        cpu_s = time.process_time() - started_cpu_s
        count = len(self._nodes)
        calls = (
            sum(node.peers.counters.calls_sent for node in self._nodes) - calls
        )
        return calls / _STEADY_S / count, cpu_s / _STEADY_S / count

    async def _change(self) -> list[float]:
        taken_s = []
        version = positions.NOWHERE
        for revision in range(1, _CHANGES + 1):
            content = codec.encode(catalogues.Catalogue(revision=revision))
            started_s = self._timers.read_monotonic()
            written = await self._store.write(
                archive.CURRENT_OBJECT, content, version
            )
            version = written.version
            await self._timers.sleep(_CHANGE_S)
            now_s = self._timers.read_monotonic()
            for node in self._nodes:
                in_force_s = node.in_force_s.get(revision, now_s)
                taken_s.append(in_force_s - started_s)
        return taken_s

    async def _kill_instances(self) -> list[float]:
        known_s: list[float] = []
        for _ in range(min(_DEATHS, len(self._nodes) - 1)):
            victim = self._rng.choice(self._nodes)
            instance_id = victim.membership.own.instance_id
            await self._timers.sleep(self._rng.random())
            self._listing.remove(instance_id)
            started_s = self._timers.read_monotonic()
            ending = asyncio.ensure_future(self._end(victim))
            known_s += await asyncio.gather(
                *(
                    self._wait_gone(node, instance_id, started_s)
                    for node in self._nodes
                    if node is not victim
                )
            )
            await ending
        return known_s

    async def _wait_gone(
        self, node: _Node, instance_id: str, started_s: float
    ) -> float:
        elapsed_s = 0.0
        while elapsed_s < _LIMIT_S:
            live = node.membership.list_live_instances()
            if all(member.instance_id != instance_id for member in live):
                break
            await self._timers.sleep(_POLL_S)
            elapsed_s = self._timers.read_monotonic() - started_s
        return elapsed_s
