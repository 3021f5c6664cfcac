"""The other instances known to this one.

Peers are discovered from the store's list and from their own datagrams. One
that has been silent counts as dead. In each data centre, the live instance with
the largest machine is the reader: it reads the store for the others. A reader
answers all of them, and these answers would saturate a small link that its
callers need.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from rhubarblock.core import capacity as capacities
from rhubarblock.fleet import rendezvous
from rhubarblock.kernel import timers as timer_service

# Seconds of silence after which an instance is forgotten: longer than any
# network cut that must heal without a new list.
FORGET_AFTER_S = 60.0
# Seconds of silence after which a peer counts as dead: two heartbeat intervals
# and some delay. Until then, a dead peer is noticed only when it leaves a
# request unanswered.
ALIVE_S = 13.0
# Seconds for which a peer that served no fresh state is not chosen as the
# reader.
BACKOFF_S = 3.0
# Largest number of peers that are polled for state while the store is
# unreachable, and how many of them are in other data centres.
MAX_POLLED_PEERS = 6
MAX_POLLED_FAR = 4
# Heartbeat interval in seconds to peers that may choose this instance as their
# reader. Other peers only need to know that it exists and get one in
# FAR_HEARTBEATS heartbeats.
HEARTBEAT_S = 6.0
FAR_HEARTBEATS = 4
# Largest number of instances per reader, so that its answers leave enough
# processor time for its own callers.
READER_PEERS = 64

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance.

    Attributes:
      last_seen_s: time of its last datagram, in monotonic seconds.
      instance_id: its name; empty until known.
      source: id of its latest known start; empty until known.
      data_centre: its data centre; empty until known.
      capacity: capacity of its machine; unknown at first.
      backoff_until_s: until when it is not chosen as the reader, in monotonic
        seconds.
    """

    last_seen_s: float
    instance_id: str = ""
    source: str = ""
    data_centre: str = ""
    capacity: capacities.Capacity = capacities.UNKNOWN
    backoff_until_s: float = 0.0

    def is_alive(self, now_s: float, heartbeats: int = 1) -> bool:
        """Returns whether it sent a datagram lately.

        Args:
          now_s: monotonic seconds.
          heartbeats: expected interval between its datagrams, in heartbeats.
        """
        return now_s - self.last_seen_s <= ALIVE_S * heartbeats


Filter = Callable[[Address, Peer], bool]


class PeerTable:
    """The peers of one instance, by datagram address."""

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
        """Creates an empty table.

        Args:
          own_id: name of this instance.
          data_centre: data centre of this instance.
          timers: the clock.
          capacity: capacity of its machine.
        """
        self._capacity = capacity
        self._own_id = own_id
        self._data_centre = data_centre
        self._timers = timers
        self._own: Address = ("", 0)
        self._peers: dict[Address, Peer] = {}

    def set_own_address(self, address: Address) -> None:
        """Sets the address of this instance, which is not a peer."""
        self._own = address

    def find(self, address: Address) -> Peer | None:
        """Returns the peer at an address, or None if it is unknown."""
        return self._peers.get(address)

    def add_unknown(self, address: Address) -> Peer:
        """Adds a peer whose name is not known yet."""
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
        """Adds an instance that the store lists.

        It counts as alive at first, so that instances which start together
        agree on the reader before they have received datagrams from each other.

        Args:
          host: its address.
          port: its port.
          instance_id: its name, if known.
          data_centre: its data centre, if known.
          capacity: capacity of its machine, if known.
        """
        if (host, port) == self._own:
            return
        peer = self._peers.get((host, port))
        if peer is None:
            peer = self.add_unknown((host, port))
        if not peer.instance_id:
            # It may have announced jobs before its first heartbeat.
            peer.instance_id = instance_id
            peer.data_centre = data_centre
            peer.capacity = capacity

    def count_instances(self) -> int:
        """Returns the number of instances, including this one."""
        return len(self._peers) + 1

    def find_reader(self) -> str | None:
        """Returns the address of the reader, or None if it is this instance.

        The reader is the live instance of this data centre with the largest
        capacity; ties are broken by name. Peers that are backed off from are
        left out. A large data centre is split into groups, each with a reader
        of its own.
        """
        now_s = self._timers.read_monotonic()
        candidates = [
            (_rank(peer.capacity, peer.instance_id), address)
            for address, peer in self.list_group()
            if peer.is_alive(now_s) and now_s >= peer.backoff_until_s
        ]
        best = min(candidates, default=None)
        if best is None or best[0] > _rank(self._capacity, self._own_id):
            return None
        return format_address(best[1])

    def list_group(self) -> list[tuple[Address, Peer]]:
        """Returns the peers of this instance's group, which share a reader."""
        now_s = self._timers.read_monotonic()
        near = [
            (address, peer)
            for address, peer in self._peers.items()
            if peer.data_centre == self._data_centre
            and peer.is_alive(now_s, FAR_HEARTBEATS)
        ]
        groups = 1 + len(near) // READER_PEERS
        own = _find_group(self._own_id, groups)
        return [
            (address, peer)
            for address, peer in near
            if _find_group(peer.instance_id, groups) == own
        ]

    def back_off_from(self, address: str) -> None:
        """Excludes a peer from the choice of the reader for a while."""
        host, _, port = address.rpartition(":")
        peer = self._peers.get((host, int(port)))
        if peer is not None:
            now_s = self._timers.read_monotonic()
            peer.backoff_until_s = now_s + BACKOFF_S

    def list_peers(self) -> list[str]:
        """Returns the addresses of live peers to poll for state.

        Those of this data centre come first, which may all be cut off as it
        is. Of the others, half are the most recently seen ones, which are
        likely to answer, and half the ones that were not seen for longest, as
        a partition hides the peers on its other side.
        """
        alive = sorted(self.list_alive(), key=lambda item: -item[1].last_seen_s)
        near: list[str] = []
        far: list[str] = []
        for address, peer in alive:
            is_near = peer.data_centre == self._data_centre
            (near if is_near else far).append(format_address(address))
        if len(far) > MAX_POLLED_FAR:
            half = MAX_POLLED_FAR // 2
            far = far[:half] + far[-half:]
        return near[: MAX_POLLED_PEERS - len(far)] + far

    def list_alive(self) -> list[tuple[Address, Peer]]:
        """Returns the live peers with their addresses."""
        now_s = self._timers.read_monotonic()
        return [
            (address, peer)
            for address, peer in self._peers.items()
            if peer.is_alive(now_s, FAR_HEARTBEATS)
        ]

    def has_host(self, host: str) -> bool:
        """Returns whether a peer whose name is known runs at an IP address."""
        return any(
            address[0] == host and bool(peer.instance_id)
            for address, peer in self._peers.items()
        )

    def list_known(self) -> list[tuple[Address, Peer]]:
        """Returns all peers with their addresses, dead ones too."""
        return list(self._peers.items())

    def list_recipients(self, is_recipient: Filter) -> Iterator[Address]:
        """Yields the addresses of the peers that a filter selects.

        Removes peers that have been silent for long.
        """
        oldest_s = self._timers.read_monotonic() - FORGET_AFTER_S
        for address, peer in list(self._peers.items()):
            if peer.last_seen_s < oldest_s:
                del self._peers[address]
            elif is_recipient(address, peer):
                yield address


def format_address(address: Address) -> str:
    """Returns an address as ``host:port``."""
    return "{}:{}".format(*address)


def parse_address(text: str) -> Address:
    """Returns the address that ``host:port`` denotes."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _rank(
    capacity: capacities.Capacity, instance_id: str
) -> tuple[float, float, str]:
    """Returns a sort key that puts the best reader first."""
    return -capacity.link_mbps, -capacity.cores, instance_id


def _find_group(instance_id: str, groups: int) -> int:
    """Returns the index of an instance's group."""
    if groups == 1:
        return 0
    return int(groups * rendezvous.compute_share("reader", instance_id))
