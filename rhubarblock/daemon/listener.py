"""A listening HTTP server that can be left without losing a request."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from aiohttp import web

from rhubarblock.daemon import connections
from rhubarblock.settings import exchange as settings_lib

# Connections that may wait to be accepted.
BACKLOG = 1024
# Seconds that the last answers get when the server is closed.
SHUTDOWN_S = 0.3

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listener:
    """A listening HTTP server that knows which connections are in use.

    Attributes:
      listener: the listening socket.
    """

    __slots__ = ("_keepalive_s", "_registry", "listener")

    def __init__(self, keepalive_s: float):
        self._keepalive_s = keepalive_s
        self._registry = connections.Registry()
        self.listener: asyncio.Server

    def connect(self, server: web.Server) -> connections.OwingConnection:
        """Makes the protocol of a new connection."""
        return connections.OwingConnection(
            server,
            self._registry,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=self._keepalive_s,
            access_log=None,
        )

    def count_connections(self) -> connections.ConnectionCounts:
        """Returns how many connections are open, by what they owe."""
        return self._registry.count()

    def leave(self) -> None:
        """Refuses new connections and closes the others once they owe nothing.

        The library's own ways would leave idle connections open, unread or
        not, until the process ends.
        """
        self.listener.close()
        self._registry.leave()

    async def close_connections(self) -> None:
        """Gives answers a moment to end, then aborts their connections."""
        await self._registry.close(SHUTDOWN_S)

    def abort(self) -> None:
        """Closes all connections at once; their handlers are cancelled."""
        self._registry.abort()

    async def wait_closed(self) -> None:
        """Waits until all connections are closed and their bytes are sent."""
        await self._registry.wait_empty()


@contextlib.asynccontextmanager
async def open_listener(
    handler: Handler, address: settings_lib.SocketAddress, keepalive_s: float
) -> AsyncIterator[Listener]:
    """Serves HTTP at an address while the context is open."""
    served = Listener(keepalive_s)
    server = web.Server(handler, handler_cancellation=True)
    loop = asyncio.get_running_loop()
    served.listener = await loop.create_server(
        lambda: served.connect(server),
        address.host,
        address.port,
        backlog=BACKLOG,
    )
    try:
        yield served
    finally:
        served.listener.close()
        await served.close_connections()
        await server.shutdown(SHUTDOWN_S)
