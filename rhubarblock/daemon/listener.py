"""An HTTP server that drains its connections without losing a request."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools

from aiohttp import web

from rhubarblock.daemon import connections
from rhubarblock.daemon import intake as intakes
from rhubarblock.settings import exchange as settings_lib

# Length of the queue of connections to accept.
BACKLOG = 1024
# Bytes of a body that are received before its handler reads it, as aiohttp has
# them by default.
READ_BYTES = 1 << 18
# Longest request line or header field in bytes, as aiohttp has it by default.
MAX_HEAD_BYTES = 8_190
# Seconds for the last responses to end when the server is closed.
SHUTDOWN_S = 0.3

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
ProtocolFactory = Callable[[], asyncio.Protocol]
# Returns the protocol of a connection that may turn out to be HTTP.
ProtocolWrapper = Callable[[ProtocolFactory], asyncio.Protocol]


class Listener:
    """An HTTP server that tracks the state of its connections.

    Attributes:
      listener: server of the listening socket.
    """

    __slots__ = (
        "_keepalive_s",
        "_read_bytes",
        "_read_head_bound",
        "_registry",
        "listener",
    )

    def __init__(
        self,
        keepalive_s: float,
        read_bytes: int = READ_BYTES,
        registry: connections.Registry | None = None,
        read_head_bound: Callable[[], int] = lambda: MAX_HEAD_BYTES,
    ):
        self._keepalive_s = keepalive_s
        self._read_head_bound = read_head_bound
        self._read_bytes = read_bytes
        self._registry = registry or connections.Registry()
        self.listener: asyncio.Server

    def connect(self, server: web.Server) -> connections.TrackedConnection:
        """Creates the protocol of a new connection."""
        head_bytes = self._read_head_bound()
        return connections.TrackedConnection(
            server,
            self._registry,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=self._keepalive_s,
            access_log=None,
            read_bufsize=self._read_bytes,
            auto_decompress=False,
            max_line_size=head_bytes,
            max_field_size=head_bytes,
        )

    def count_connections(self) -> connections.ConnectionCounts:
        """Returns the number of open connections in each state."""
        return self._registry.count()

    def drain(self) -> None:
        """Stops accepting, and closes connections once they are idle.

        The library's own shutdown would leave idle connections open until the
        process exits, even those with unread data.
        """
        self.listener.close()
        self._registry.drain()

    async def close_connections(self) -> None:
        """Drains the connections briefly, then aborts those still open."""
        await self._registry.close(SHUTDOWN_S)

    def abort(self) -> None:
        """Closes all connections at once; their handlers are cancelled."""
        self._registry.abort()

    async def wait_closed(self) -> None:
        """Waits until all connections are flushed and closed."""
        await self._registry.wait_empty()


@contextlib.asynccontextmanager
async def open_listener(
    handler: Handler,
    address: settings_lib.SocketAddress,
    keepalive_s: float,
    read_bytes: int = READ_BYTES,
    wrap: ProtocolWrapper | None = None,
    intake: intakes.Intake | None = None,
    read_head_bound: Callable[[], int] = lambda: MAX_HEAD_BYTES,
) -> AsyncIterator[Listener]:
    """Serves HTTP at an address while the context is open.

    Args:
      handler: handles each request; cancelled when its caller disconnects.
      address: address to listen on.
      keepalive_s: seconds for which an idle connection is kept open.
      read_bytes: bytes of a body that a connection may receive before its
        handler reads it; up to twice as many, and one read of the socket more.
      wrap: chooses between HTTP and another protocol; None for HTTP alone.
      intake: decides which connections are taken; None to take all.
      read_head_bound: returns the longest request line or header field in
        bytes that a new connection may send.

    Yields:
      The listener.

    Raises:
      OSError: the address cannot be listened on.
    """
    http_listener = Listener(
        keepalive_s,
        read_bytes,
        None if intake is None else intake.registry,
        read_head_bound,
    )
    server = web.Server(handler, handler_cancellation=True)
    loop = asyncio.get_running_loop()

    def connect() -> asyncio.Protocol:
        if intake is not None and not intake.take_connection():
            return connections.UnreadConnection()
        return http_listener.connect(server)

    http_listener.listener = await loop.create_server(
        connect if wrap is None else functools.partial(wrap, connect),
        address.host,
        address.port,
        backlog=BACKLOG,
    )
    try:
        yield http_listener
    finally:
        http_listener.listener.close()
        await http_listener.close_connections()
        await server.shutdown(SHUTDOWN_S)
