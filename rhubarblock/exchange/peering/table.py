"""The other instances, as far as this one heard of them.

They are found through the store's list and by their own datagrams. Who has been
silent counts as gone; among those of a data centre the one whose machine can
carry most reads the store for the others: a reader answers all of them, and a
small link would be full of these answers when its callers need it.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from rhubarblock.core import capacity as capacities
from rhubarblock.fleet import rendezvous
from rhubarblock.kernel import timers as timer_service

# Seconds after which an instance that has been silent is not told any more:
# longer than any cut that is to heal without a new listing.
SILENT_S = 60.0
# Seconds after its last sign from which a peer counts as alive no more: two
# signs and some delay. One that is gone sooner gives no answer when asked.
ALIVE_S = 13.0
# Seconds for which a peer is not asked again that gave no state.
DISTRUST_S = 3.0
# Most peers that are asked for state while the store can't be reached.
MOST_ASKED = 4
# Seconds between two signs of life of an instance that has nothing to tell, to
# peers that may choose it as their reader, and how many of these go by between
# two to others, which only need to know that it is there.
GREETING_S = 6.0
FAR_GREETINGS = 4
# Most instances that ask one reader of the store, so that its answers leave
# its processor to its own callers.
READER_PEERS = 64

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance.

    Attributes:
      heard_s: when it last spoke, in monotonic seconds.
      instance_id: its name; empty before it told.
      source: names the start of it that spoke last; empty before it told.
      data_centre: where it runs; empty before it told.
      capacity: what its machine can carry; nothing before it told.
      distrusted_until_s: until when its state is not relied on.
    """

    heard_s: float
    instance_id: str = ""
    source: str = ""
    data_centre: str = ""
    capacity: capacities.Capacity = capacities.UNKNOWN
    distrusted_until_s: float = 0.0

    def is_alive(self, now_s: float, greetings: int = 1) -> bool:
        """Says whether it spoke lately.

        Args:
          now_s: monotonic seconds.
          greetings: how many greetings of others go by between two of it.
        """
        return now_s - self.heard_s <= ALIVE_S * greetings


Filter = Callable[[Address, Peer], bool]


class PeerTable:
    """The peers of one instance, by the address of their datagrams."""

    __slots__ = (
        "_capacity",
        "_data_centre",
        "_own",
        "_own_id",
        "_peers",
        "_timers",
    )

    def __init__(
        self,
        own_id: str,
        data_centre: str,
        timers: timer_service.Timers,
        capacity: capacities.Capacity = capacities.UNKNOWN,
    ):
        """Starts without peers.

        Args:
          own_id: name of this instance.
          data_centre: where it runs.
          timers: the clock.
          capacity: what its machine can carry.
        """
        self._capacity = capacity
        self._own_id = own_id
        self._data_centre = data_centre
        self._timers = timers
        self._own: Address = ("", 0)
        self._peers: dict[Address, Peer] = {}

    def set_own(self, address: Address) -> None:
        """Takes in the address of this instance, which is no peer."""
        self._own = address

    def find(self, address: Address) -> Peer | None:
        """Returns the peer at an address, if it is known."""
        return self._peers.get(address)

    def note_unknown(self, address: Address) -> Peer:
        """Takes in a peer whose name is not known yet."""
        peer = Peer(self._timers.read_monotonic())
        self._peers[address] = peer
        return peer

    def add(
        self,
        host: str,
        port: int,
        instance_id: str = "",
        data_centre: str = "",
        capacity: capacities.Capacity = capacities.UNKNOWN,
    ) -> None:
        """Takes in an instance that the store lists.

        It counts as alive at first, so that instances which start together
        agree on who reads the store before they heard of each other.

        Args:
          host: its address.
          port: its port.
          instance_id: its name, if that is known.
          data_centre: where it runs, if that is known.
          capacity: what its machine can carry, if that is known.
        """
        if (host, port) == self._own:
            return
        peer = self._peers.get((host, port))
        if peer is None:
            peer = self.note_unknown((host, port))
        if not peer.instance_id:
            # It may have told of work before it told its name.
            peer.instance_id = instance_id
            peer.data_centre = data_centre
            peer.capacity = capacity

    def count_instances(self) -> int:
        """Returns how many instances there are, this one included."""
        return len(self._peers) + 1

    def find_reader(self) -> str | None:
        """Returns the address of the peer that reads the store for this one.

        It is the one that can carry most, and of equals the first by name, of
        those in this data centre that are alive, in a large one of the group
        that this instance belongs to; None says that it is this one.
        """
        now_s = self._timers.read_monotonic()
        candidates = [
            (_rank(peer.capacity, peer.instance_id), address)
            for address, peer in self.list_group()
            if peer.is_alive(now_s) and now_s >= peer.distrusted_until_s
        ]
        best = min(candidates, default=None)
        if best is None or best[0] > _rank(self._capacity, self._own_id):
            return None
        return "{}:{}".format(*best[1])

    def list_group(self) -> list[tuple[Address, Peer]]:
        """Returns the peers among which one reads the store for all."""
        now_s = self._timers.read_monotonic()
        near = [
            (address, peer)
            for address, peer in self._peers.items()
            if peer.data_centre == self._data_centre
            and peer.is_alive(now_s, FAR_GREETINGS)
        ]
        groups = 1 + len(near) // READER_PEERS
        own = _find_group(self._own_id, groups)
        return [
            (address, peer)
            for address, peer in near
            if _find_group(peer.instance_id, groups) == own
        ]

    def distrust(self, address: str) -> None:
        """Does not rely on a peer's state for a while."""
        host, _, port = address.rpartition(":")
        peer = self._peers.get((host, int(port)))
        if peer is not None:
            now_s = self._timers.read_monotonic()
            peer.distrusted_until_s = now_s + DISTRUST_S

    def list_peers(self) -> list[str]:
        """Returns addresses of live peers.

        Those of this data centre come first, and then those that spoke last.
        """
        now_s = self._timers.read_monotonic()
        alive = [
            (
                peer.data_centre != self._data_centre,
                -peer.heard_s,
                "{}:{}".format(*address),
            )
            for address, peer in self._peers.items()
            if peer.is_alive(now_s, FAR_GREETINGS)
        ]
        return [address for _, _, address in sorted(alive)][:MOST_ASKED]

    def list_known(self) -> list[tuple[Address, Peer]]:
        """Returns the peers with their addresses, silent ones too."""
        return list(self._peers.items())

    def list_told(self, is_told: Filter) -> Iterator[Address]:
        """Gives the addresses of those that are to be told something.

        Peers that have been silent for long are forgotten.
        """
        oldest_s = self._timers.read_monotonic() - SILENT_S
        for address, peer in list(self._peers.items()):
            if peer.heard_s < oldest_s:
                del self._peers[address]
            elif is_told(address, peer):
                yield address


def _rank(
    capacity: capacities.Capacity, instance_id: str
) -> tuple[float, float, str]:
    """Returns what sorts instances, the best reader first."""
    return -capacity.link_mbps, -capacity.cores, instance_id


def _find_group(instance_id: str, groups: int) -> int:
    """Returns the group of an instance among those that ask one reader."""
    if groups == 1:
        return 0
    return int(groups * rendezvous.compute_share("reader", instance_id))
