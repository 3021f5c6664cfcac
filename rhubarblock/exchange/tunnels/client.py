"""Opens tunnels to endpoints through peers."""

import asyncio
from asyncio import staggered
from collections.abc import Iterator
import dataclasses
import functools
import itertools
import random
import socket

from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import sockets
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.exchange.tunnels import wire
from rhubarblock.kernel import timers as timer_service

# Seconds after which another peer is asked, too: several times what a peer
# needs that is not busy.
STAGGER_S = 0.03
# Most peers that are asked for one tunnel. One that is partitioned as well
# refuses at once, so that several can be asked within a connect timeout.
MAX_PEERS = 8
# Shortest and longest time in seconds for which other peers are preferred to
# one that opened no tunnel; it doubles with each further failure.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0


class TunnelError(dialers.DetourError):
    """A peer opened no tunnel."""


@dataclasses.dataclass(slots=True)
class _Backoff:
    """How long other peers are preferred to one.

    Attributes:
      until_s: end of the time, in monotonic seconds.
      length_s: its length in seconds.
    """

    until_s: float = 0.0
    length_s: float = 0.0


class PeerTunnels(dialers.Detours):
    """Opens tunnels through the peers of an instance.

    Peers of this data centre come first, so that a tunnel adds little latency
    and no traffic between data centres.
    """

    __slots__ = (
        "_backoffs",
        "_data_centre",
        "_directory",
        "_peers",
        "_rng",
        "_source",
        "_subsets",
        "_timers",
    )

    def __init__(
        self,
        directory: directories.Directory,
        peers: peer_table.PeerTable,
        subsets_: subsets.Subsets,
        data_centre: str,
        timers: timer_service.Timers,
        rng: random.Random,
        source: str = "",
    ):
        """Creates a client without tunnels.

        Args:
          directory: known endpoints.
          peers: the other instances.
          subsets_: which peers use which endpoints.
          data_centre: data centre of this instance.
          timers: the clock.
          rng: spreads tunnels over the peers.
          source: own IPv4 address, by which peers know this instance; empty
            for any.
        """
        self._source = source
        self._directory = directory
        self._peers = peers
        self._subsets = subsets_
        self._data_centre = data_centre
        self._timers = timers
        self._rng = rng
        self._backoffs: dict[peer_table.Address, _Backoff] = {}

    async def open(self, address: str) -> dialers.Opened:
        candidates = self._choose(address)
        opened, _, errors = await staggered.staggered_race(
            [functools.partial(self._open_by, c, address) for c in candidates],
            STAGGER_S,
        )
        if opened is not None:
            return opened
        raise TunnelError(
            any(
                isinstance(error, TunnelError) and error.is_unreachable
                for error in errors
            )
        )

    def _choose(self, address: str) -> list[peer_table.Address]:
        """Returns the peers to ask for a tunnel, in order."""
        endpoint = self._directory.find_at(address)
        ids = (endpoint.endpoint_id,) if endpoint else ()
        uses = self._subsets.make_filter(ids)
        now_s = self._timers.read_monotonic()
        near: list[peer_table.Address] = []
        far: list[peer_table.Address] = []
        for peer_address, peer in self._peers.list_alive():
            if uses(peer.instance_id, peer.data_centre):
                is_near = peer.data_centre == self._data_centre
                (near if is_near else far).append(peer_address)
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        chosen = list(_interleave(near, far))
        # The sort is stable, so only peers that failed lately move back.
        chosen.sort(key=lambda a: self._is_backed_off(a, now_s))
        return chosen[:MAX_PEERS]

    def _is_backed_off(
        self, peer_address: peer_table.Address, now_s: float
    ) -> bool:
        backoff = self._backoffs.get(peer_address)
        return backoff is not None and now_s < backoff.until_s

    async def _open_by(
        self, peer_address: peer_table.Address, address: str
    ) -> dialers.Opened:
        """Opens a tunnel through one peer."""
        started_s = self._timers.read_monotonic()
        sock: socket.socket | None = None
        try:
            sock = await sockets.connect(*peer_address, source=self._source)
            end_mark = wire.make_end_mark(self._rng)
            reply = await _request_tunnel(sock, address, end_mark)
            if reply is not wire.Reply.OPENED:
                raise TunnelError(reply is wire.Reply.UNREACHABLE)
        except BaseException as error:
            if sock is not None:
                sock.close()
            self._note_error(peer_address, error, started_s)
            raise
        self._backoffs.pop(peer_address, None)
        peer = self._peers.find(peer_address)
        name = peer.instance_id if peer else ""
        return dialers.Opened(sock, name, end_mark)

    def _note_error(
        self,
        peer_address: peer_table.Address,
        error: BaseException,
        started_s: float,
    ) -> None:
        """Prefers other peers to one that failed or was slow."""
        now_s = self._timers.read_monotonic()
        if isinstance(error, TunnelError) and error.is_unreachable:
            return
        is_cancelled = isinstance(error, asyncio.CancelledError)
        if is_cancelled and now_s - started_s < STAGGER_S:
            # Another peer was faster.
            return
        backoff = self._backoffs.setdefault(peer_address, _Backoff())
        if now_s < backoff.until_s:
            return
        backoff.length_s = min(
            MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2.0 * backoff.length_s)
        )
        backoff.until_s = now_s + backoff.length_s


async def _request_tunnel(
    sock: socket.socket, address: str, end_mark: bytes
) -> wire.Reply:
    """Sends the request for a tunnel and returns the answer."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, wire.encode_request(address, end_mark))
    head = b""
    while not head.endswith(wire.HEAD_END):
        data = await loop.sock_recv(sock, wire.MAX_HEAD_BYTES)
        head += data
        if not data or len(head) > wire.MAX_HEAD_BYTES:
            return wire.Reply.UNAVAILABLE
    return wire.decode_reply(head)


def _interleave(
    near: list[peer_table.Address], far: list[peer_table.Address]
) -> Iterator[peer_table.Address]:
    """Yields near and far peers in turn: a data centre may fail as a whole."""
    for pair in itertools.zip_longest(near, far):
        yield from (address for address in pair if address is not None)
