"""Entry instances reduced to admission control, for the scenario ``limits``.

Limiter and lending are the real code on an in-memory network. Membership is
replaced by a model that detects crashes and partitions after fixed delays,
which are those of the membership measurement.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import math
import random

from rhubarblock.core import catalogue as catalogues
from rhubarblock.fleet import assignment
from rhubarblock.fleet.membership import member as members
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.routing import limits as limiters
from rhubarblock.routing import limitshare
from rhubarblock.routing.lending import holders as lendingholders
from rhubarblock.routing.lending import lender as lending
from rhubarblock.standins import memorypeers

DATA_CENTRES = ("osu-hall", "tema-hall", "achimota-hall")
# Seconds until a crash and a partition of a data centre are detected.
CRASH_DETECTION_S = 3.0
PARTITION_DETECTION_S = 6.0


@dataclasses.dataclass(slots=True)
class Node:
    """One entry instance.

    Attributes:
      member: its identity.
      limiter: admits its requests.
      lender: lends and borrows shares of limits; None with fixed shares.
      died_s: time of its crash, or infinity.
      stack: stops the parts that run on it.
    """

    member: members.Member
    limiter: limiters.Limiter
    lender: lending.Lender | None
    died_s: float = math.inf
    stack: contextlib.AsyncExitStack = dataclasses.field(
        default_factory=contextlib.AsyncExitStack
    )


class LimitsFleet:
    """All instances, and a model of their membership.

    Attributes:
      nodes: the instances, including dead ones.
      network: the network between them.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        catalogue: catalogues.Catalogue,
        rng: random.Random,
        instances: int,
        policy: str,
    ):
        """Creates the instances.

        Args:
          timers: the timer service.
          catalogue: the catalogue in force everywhere.
          rng: seeds the delays of the network.
          instances: number of instances, spread over three data centres.
          policy: ``lending``; ``static`` for fixed equal shares; or ``alone``,
            where each instance applies the full limit by itself.
        """
        self._timers = timers
        self._catalogue = catalogue
        self._rng = rng
        self._cut_off = ""
        self._cut_s = math.inf
        self.network = memorypeers.MemoryPeerNetwork(rng)
        self.nodes: list[Node] = []
        for number in range(instances):
            self.nodes.append(self._create_node(number, instances, policy))

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["LimitsFleet"]:
        """Runs all instances while the context is open."""
        try:
            for node in self.nodes:
                if node.lender is not None:
                    await node.stack.enter_async_context(node.lender.run())
            yield self
        finally:
            for node in self.nodes:
                await node.stack.aclose()

    @property
    def live_nodes(self) -> list[Node]:
        """The instances that have not died."""
        return [node for node in self.nodes if math.isinf(node.died_s)]

    async def kill(self, node: Node) -> None:
        """Crashes an instance."""
        node.died_s = self._timers.read_monotonic()
        self.network.remove(node.member.address)
        await node.stack.aclose()

    def cut(self, data_centre: str) -> None:
        """Cuts a data centre off from the others."""
        self._cut_off = data_centre
        self._cut_s = self._timers.read_monotonic()
        inside = [
            node.member.address
            for node in self.nodes
            if node.member.data_centre == data_centre
        ]
        outside = [
            node.member.address
            for node in self.nodes
            if node.member.data_centre != data_centre
        ]
        self.network.cut(inside, outside)

    def heal(self) -> None:
        """Ends the partition."""
        self._cut_s = math.inf
        self.network.heal()

    def find_coordinator(self, key: str) -> Node:
        """Returns the coordinator of a limited entry, as live nodes see it."""
        lender = self.live_nodes[0].lender
        assert lender is not None
        duty = lender.find_shard(key)
        chosen = assignment.choose_coordinator(
            duty, [node.member for node in self.live_nodes]
        )
        return next(node for node in self.nodes if node.member is chosen)

    def _create_node(self, number: int, instances: int, policy: str) -> Node:
        member = members.Member(
            f"entry-{number}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            f"10.0.0.{number}:7000",
            incarnation=1,
        )
        lender = None
        shares: limitshare.Shares
        if policy == "static":
            shares = limitshare.FixedShares(instances, number)
        elif policy == "alone":
            shares = limitshare.FixedShares()
        else:
            lender = shares = self._create_lender(member)
        limiter = limiters.Limiter(
            self._timers, lambda: self._catalogue, shares
        )
        return Node(member, limiter, lender)

    def _create_lender(self, member: members.Member) -> lending.Lender:
        holders = lendingholders.ShareHolders(self._timers, self._list_members)

        def find(duty: str) -> lending.Coordinator | None:
            chosen = assignment.choose_coordinator(
                duty, self._list_live(member)
            )
            assert chosen is not None
            return lending.Coordinator(chosen.instance_id, chosen.address)

        return lending.Lender(
            self._timers,
            self.network.join(
                member.address, member.instance_id, member.data_centre
            ),
            member.instance_id,
            member.incarnation,
            find,
            holders.list_ids,
            lambda: self._catalogue,
            random.Random(self._rng.random()),
        )

    def _list_members(self) -> list[members.Member]:
        """Returns all instances; detected crashes are marked as dead."""
        detected_before_s = self._timers.read_monotonic() - CRASH_DETECTION_S
        return [
            dataclasses.replace(node.member, state=members.MemberState.DEAD)
            if node.died_s <= detected_before_s
            else node.member
            for node in self.nodes
        ]

    def _list_live(self, viewer: members.Member) -> list[members.Member]:
        """Returns the instances that an instance considers live."""
        now_s = self._timers.read_monotonic()
        is_cut = now_s - self._cut_s >= PARTITION_DETECTION_S
        is_cut_off = viewer.data_centre == self._cut_off
        return [
            node.member
            for node in self.nodes
            if node.died_s > now_s - CRASH_DETECTION_S
            and not (
                is_cut
                and (node.member.data_centre == self._cut_off) != is_cut_off
            )
        ]
