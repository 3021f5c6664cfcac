"""Several entry instances' membership on one network in memory.

Tests and measurements of the fleet build on it: it starts instances, kills,
pauses and cuts them off, with the stand-in platform's lagging list behind.
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
      membership: its view of the others.
      peers: its transport.
      timers: its timers, which stand still while it is paused.
      store: the platform as it sees it.
      rng: its random numbers.
      stack: what is closed when it stops.
    """

    membership: memberships.Membership
    peers: memorypeers.MemoryPeers
    timers: memorypeers.PausableTimers
    store: platform.Connection
    rng: random.Random
    stack: contextlib.AsyncExitStack

    @property
    def instance_id(self) -> str:
        """Its unique name."""
        return self.membership.own.instance_id

    @property
    def address(self) -> str:
        """Its address on the network."""
        return self.peers.address


class MemoryFleet:
    """Instances, their network, and the platform beside them.

    Attributes:
      timers: the timer service of the network and the platform.
      network: the network between the instances.
      platform: the object API.
      listing: the lagging list.
      nodes: the instances that run, by id.
    """

    def __init__(
        self,
        seed: int,
        loss: float = 0.0,
        settings: memberships.MembershipSettings | None = None,
    ):
        """Creates a fleet without instances.

        Args:
          seed: seed of everything random.
          loss: probability that a message is lost.
          settings: those of membership.
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
        """Creates an instance that does not run yet and lists it.

        Args:
          instance_id: unique name; the same one again is a restart.
          data_centre: where it runs.
          plan: choice of the instances that it probes.
          seeds: addresses that it asks beside the list.
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
        """Starts an instance and lists it."""
        node = self.create(instance_id, data_centre)
        await node.stack.enter_async_context(node.membership.run())
        return node

    async def start_many(self, count: int, data_centre: str) -> list[FleetNode]:
        """Starts instances one after the other and lets them meet."""
        nodes = []
        for number in range(count):
            nodes.append(
                await self.start(f"{data_centre}-{number}", data_centre)
            )
            await self.timers.sleep(0.11)
        return nodes

    async def kill(self, node: FleetNode) -> None:
        """Ends an instance without a word to the others."""
        del self.nodes[node.instance_id]
        self.network.remove(node.address)
        await node.stack.aclose()

    async def close(self) -> None:
        """Ends every instance."""
        for node in list(self.nodes.values()):
            await self.kill(node)


@contextlib.asynccontextmanager
async def open_fleet(
    seed: int = 1, loss: float = 0.0
) -> AsyncIterator[MemoryFleet]:
    """Opens an empty fleet and ends its instances with the context.

    Args:
      seed: seed of everything random.
      loss: probability that a message is lost.

    Yields:
      The fleet.
    """
    fleet = MemoryFleet(seed, loss)
    try:
        yield fleet
    finally:
        await fleet.close()
