"""The membership of several entry instances on one network in memory.

Tests and measurements of the fleet use it to start, kill, pause and partition
instances. The instances read the lagging list of a stand-in platform.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random

from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import membership as memberships
from rhubarblock.fleet.membership import probing
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.standins import instancelist
from rhubarblock.standins import memorypeers
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances

_PORT = 7000


@dataclasses.dataclass(slots=True)
class FleetNode:
    """One instance of a ``MemoryFleet``.

    Attributes:
      membership: its view of the other instances.
      peers: its peer transport.
      timers: its timers, which do not fire while it is paused.
      store: its connection to the platform.
      rng: its random numbers.
      stack: resources to close when it stops.
    """

    membership: memberships.Membership
    peers: memorypeers.MemoryPeers
    timers: memorypeers.PausableTimers
    store: platform.Connection
    rng: random.Random
    stack: contextlib.AsyncExitStack

    @property
    def instance_id(self) -> str:
        """Unique name of the instance."""
        return self.membership.own.instance_id

    @property
    def address(self) -> str:
        """Address on the network."""
        return self.peers.address


class MemoryFleet:
    """Instances, the network between them and the platform.

    Attributes:
      timers: timer service of the network and the platform.
      network: network between the instances.
      platform: object API of the platform.
      listing: lagging list of instances.
      nodes: instances by id, from their creation until they are killed.
    """

    def __init__(
        self,
        seed: int,
        loss: float = 0.0,
        settings: memberships.MembershipSettings | None = None,
    ):
        """Creates a fleet without instances.

        Args:
          seed: seed of all random numbers.
          loss: probability that a message is lost.
          settings: settings of membership, or None for the defaults.
        """
        self._seed = seed
        self._settings = settings
        self._starts = 0
        self.timers = timers_lib.LoopTimers(wall_offset_s=0.0)
        self.network = memorypeers.MemoryPeerNetwork(
            random.Random(f"{seed} network"), loss=loss
        )
        self.platform = platform.MemoryStore(
            self.timers, random.Random(f"{seed} platform")
        )
        self.listing = instancelist.InstanceList(self.platform)
        self.nodes: dict[str, FleetNode] = {}

    def create(
        self,
        instance_id: str,
        data_centre: str,
        plan: probing.ProbePlan | None = None,
        seeds: Sequence[str] = (),
    ) -> FleetNode:
        """Creates an instance without starting it and adds it to the list.

        Args:
          instance_id: unique name; reusing a name simulates a restart.
          data_centre: data centre in which it runs.
          plan: selects the instances that it probes, or None for the default.
          seeds: addresses that it contacts in addition to the list.
        """
        self._starts += 1
        address = f"10.0.{self._starts // 250}.{self._starts % 250}:{_PORT}"
        peers = self.network.join(address, instance_id, data_centre)
        timers = memorypeers.PausableTimers(self.timers, peers)
        rng = random.Random(f"{self._seed} {instance_id} {self._starts}")
        membership = memberships.Membership(
            members.Member(instance_id, data_centre, address, self._starts),
            peers,
            self.listing.connect(instance_id),
            timers,
            rng,
            self._settings,
            plan,
            seeds,
        )
        self.listing.put(
            instances.ListedInstance(
                instance_id,
                address,
                data_centre,
                "",
                instances.InstanceKind.ENTRY,
            )
        )
        node = FleetNode(
            membership,
            peers,
            timers,
            self.platform.connect(instance_id),
            rng,
            contextlib.AsyncExitStack(),
        )
        self.nodes[instance_id] = node
        return node

    async def start(self, instance_id: str, data_centre: str) -> FleetNode:
        """Creates an instance, adds it to the list and starts it."""
        node = self.create(instance_id, data_centre)
        await node.stack.enter_async_context(node.membership.run())
        return node

    async def start_many(self, count: int, data_centre: str) -> list[FleetNode]:
        """Starts instances one by one, with time to exchange membership."""
        nodes = []
        for number in range(count):
            nodes.append(
                await self.start(f"{data_centre}-{number}", data_centre)
            )
            await self.timers.sleep(0.11)
        return nodes

    async def kill(self, node: FleetNode) -> None:
        """Kills an instance; it does not announce that it leaves."""
        del self.nodes[node.instance_id]
        self.network.remove(node.address)
        await node.stack.aclose()

    async def close(self) -> None:
        """Kills all instances."""
        for node in list(self.nodes.values()):
            await self.kill(node)


@contextlib.asynccontextmanager
async def open_fleet(
    seed: int = 1, loss: float = 0.0
) -> AsyncIterator[MemoryFleet]:
    """Yields an empty fleet whose instances are killed with the context.

    Args:
      seed: seed of all random numbers.
      loss: probability that a message is lost.

    Yields:
      The fleet.
    """
    fleet = MemoryFleet(seed, loss)
    try:
        yield fleet
    finally:
        await fleet.close()
