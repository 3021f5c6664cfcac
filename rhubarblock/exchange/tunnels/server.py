"""Forwards bytes between peers and endpoints that they cannot reach."""

import asyncio
from collections.abc import Callable
import logging

from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import sockets
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.tunnels import wire
from rhubarblock.kernel import metrics as metric_store

# Seconds within which an endpoint must accept a connection: the peer waits no
# longer for it.
CONNECT_S = 0.1
# Bytes that are read at once, and bytes that may wait to be written, for each
# direction of a tunnel.
READ_BYTES = 16_384
WRITE_BYTES = 65_536
# Most tunnels at once. Each takes two file descriptors, and up to 160 KB if
# both sides read slowly.
MAX_TUNNELS = 256

_logger = logging.getLogger(__name__)

HttpFactory = Callable[[], asyncio.Protocol]


class TunnelServer:
    """The tunnels that an instance keeps open for its peers."""

    __slots__ = (
        "_directory",
        "_empty",
        "_is_draining",
        "_metrics",
        "_paths",
        "_peers",
        "_tasks",
        "_tunnels",
    )

    def __init__(
        self,
        directory: directories.Directory,
        peers: peer_table.PeerTable,
        paths: endpoint_paths.EndpointPaths,
        metrics: metric_store.Metrics,
    ):
        """Creates a server without tunnels.

        Args:
          directory: known endpoints; tunnels lead to no other address.
          peers: the other instances; nobody else gets a tunnel.
          paths: the network paths of this instance.
          metrics: counters.
        """
        self._directory = directory
        self._peers = peers
        self._paths = paths
        self._metrics = metrics
        self._is_draining = False
        self._tunnels: set[Tunnel] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._empty = asyncio.Event()
        self._empty.set()

    def make_protocol(self, make_http: HttpFactory) -> asyncio.Protocol:
        """Returns the protocol of a connection of a peer.

        Args:
          make_http: makes the protocol of a connection that is no tunnel.
        """
        return _PeerConnection(self, make_http)

    def drain(self) -> None:
        """Opens no more tunnels; those that are open stay."""
        self._is_draining = True

    async def wait_empty(self) -> None:
        """Waits until all tunnels are closed."""
        await self._empty.wait()

    def abort(self) -> None:
        """Closes all tunnels at once."""
        for task in self._tasks:
            task.cancel()
        for tunnel in list(self._tunnels):
            tunnel.abort()

    def start(self, transport: asyncio.Transport, head: bytes) -> None:
        """Handles the request for a tunnel that a connection starts with."""
        transport.pause_reading()
        task = asyncio.ensure_future(self._serve(transport, head))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, transport: asyncio.Transport, head: bytes) -> None:
        tunnel = Tunnel(self._end)
        self._tunnels.add(tunnel)
        self._empty.clear()
        try:
            reply = await self._open(tunnel, transport, head)
        except BaseException:
            tunnel.abort()
            transport.abort()
            raise
        self._metrics.count(f"tunnels.served.{reply.name.lower()}")
        transport.write(wire.encode_reply(reply))
        if reply is wire.Reply.OPENED:
            tunnel.join(transport)
        else:
            tunnel.abort()
            transport.close()

    async def _open(
        self, tunnel: "Tunnel", transport: asyncio.Transport, head: bytes
    ) -> wire.Reply:
        """Connects a tunnel to its endpoint."""
        try:
            host, port = wire.decode_request(head)
            tunnel.end_mark = wire.read_end_mark(head)
        except ValueError:
            return wire.Reply.FORBIDDEN
        address = f"{host}:{port}"
        sender = transport.get_extra_info("peername")
        if sender is None or not self._peers.has_host(sender[0]):
            return wire.Reply.FORBIDDEN
        if self._directory.find_at(address) is None:
            return wire.Reply.FORBIDDEN
        paths = self._paths.find(address)
        if (
            self._is_draining
            or len(self._tunnels) > MAX_TUNNELS
            or paths.is_lost()
        ):
            return wire.Reply.UNAVAILABLE
        try:
            async with asyncio.timeout(CONNECT_S):
                sock = await sockets.connect(host, port)
        except (OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            paths.note_direct_failure(address, reason)
            # Without other evidence, this instance may be partitioned, too.
            if paths.is_proven():
                return wire.Reply.UNREACHABLE
            return wire.Reply.UNAVAILABLE
        paths.note_opened(address)
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: tunnel.endpoint_end, sock=sock)
        return wire.Reply.OPENED

    def _end(self, tunnel: "Tunnel") -> None:
        self._tunnels.discard(tunnel)
        if not self._tunnels:
            self._empty.set()


class Tunnel:
    """Two connections between which bytes are forwarded.

    Attributes:
      endpoint_end: the connection to the endpoint.
      peer_end: the connection of the peer.
      end_mark: sent to the peer after the endpoint closed regularly.
    """

    __slots__ = ("_on_end", "end_mark", "endpoint_end", "peer_end")

    def __init__(self, on_end: Callable[["Tunnel"], None]):
        """Creates a tunnel whose connections are not open yet.

        Args:
          on_end: called with the tunnel when it has closed.
        """
        self._on_end = on_end
        self.end_mark = b""
        self.endpoint_end = _End(self)
        self.peer_end = _End(self)

    def join(self, transport: asyncio.Transport) -> None:
        """Forwards from now on what both connections receive."""
        self.peer_end.connection_made(transport)
        transport.set_protocol(self.peer_end)
        if self.endpoint_end.transport is not None:
            self.endpoint_end.transport.resume_reading()
        transport.resume_reading()

    def find_other(self, end: "_End") -> "_End":
        """Returns the other end."""
        return self.peer_end if end is self.endpoint_end else self.endpoint_end

    def close(self, end: "_End", error: BaseException | None) -> None:
        """Closes the tunnel after one end was lost.

        What an endpoint sent before a regular end still reaches the peer. The
        endpoint's work for a peer that left ends at once.
        """
        other = self.find_other(end)
        if other.transport is not None:
            if end is self.endpoint_end and error is None:
                other.transport.write(self.end_mark)
                other.transport.close()
            else:
                other.transport.abort()
        self._on_end(self)

    def abort(self) -> None:
        """Closes both connections at once."""
        for end in (self.endpoint_end, self.peer_end):
            if end.transport is not None:
                end.transport.abort()
        self._on_end(self)


class _End(asyncio.BufferedProtocol):
    """One connection of a tunnel.

    Attributes:
      transport: the connection; None before it is open.
    """

    __slots__ = ("_buffer", "_tunnel", "transport")

    def __init__(self, tunnel: Tunnel):
        self._tunnel = tunnel
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._buffer = bytearray(READ_BYTES)
        transport.set_write_buffer_limits(high=WRITE_BYTES)
        # Nothing can be forwarded before both connections are open.
        transport.pause_reading()
        self.transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        other = self._tunnel.find_other(self).transport
        if other is not None:
            other.write(bytes(self._buffer[:nbytes]))

    def pause_writing(self) -> None:
        other = self._tunnel.find_other(self).transport
        if other is not None:
            other.pause_reading()

    def resume_writing(self) -> None:
        other = self._tunnel.find_other(self).transport
        if other is not None:
            other.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._tunnel.close(self, exc)


class _PeerConnection(asyncio.Protocol):
    """A connection that becomes a tunnel or an HTTP connection."""

    def __init__(self, server: TunnelServer, make_http: HttpFactory):
        self._server = server
        self._make_http = make_http
        self._head = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self._head += data
        start = self._head[: len(wire.METHOD)]
        if not wire.METHOD.startswith(start):
            self._become_http(self._transport)
        elif self._head.endswith(wire.HEAD_END):
            self._server.start(self._transport, self._head)
        elif len(self._head) > wire.MAX_HEAD_BYTES:
            self._transport.abort()

    def _become_http(self, transport: asyncio.Transport) -> None:
        protocol = self._make_http()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        protocol.data_received(self._head)
