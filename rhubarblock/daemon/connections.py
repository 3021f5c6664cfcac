"""Connections of callers that know what they owe.

A handler begins later than its request: bytes may have been read, or a whole
request parsed, while no handler runs yet. What is owed is therefore counted
here, from the first byte of a request to the last byte of its answer.
"""

import asyncio
import contextlib
import dataclasses
import enum
from typing import Any

from aiohttp import streams
from aiohttp import web


class ConnectionState(enum.Enum):
    """What a connection owes.

    IDLE: nothing; no byte of an unanswered request has been read.
    READING: a request has been read in part.
    ANSWERING: a request has been read whole, and its answer hasn't ended.
    """

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionCounts:
    """How many open connections are in each state."""

    idle: int = 0
    reading: int = 0
    answering: int = 0


class Registry:
    """The open connections of one server.

    A connection belongs to it until the last byte of its last answer is sent.

    Attributes:
      is_leaving: whether connections are closed once they owe nothing.
    """

    __slots__ = ("_connections", "_empty", "is_leaving")

    def __init__(self) -> None:
        self._connections: set[OwingConnection] = set()
        self._empty = asyncio.Event()
        self._empty.set()
        self.is_leaving = False

    def add(self, connection: "OwingConnection") -> None:
        """Takes in a connection that was made."""
        self._connections.add(connection)
        self._empty.clear()

    def remove(self, connection: "OwingConnection") -> None:
        """Forgets a connection that sent all that it held, or broke."""
        self._connections.discard(connection)
        if not self._connections:
            self._empty.set()

    def list_connections(self) -> list["OwingConnection"]:
        """Returns the connections that are open."""
        return list(self._connections)

    def count(self) -> ConnectionCounts:
        """Returns how many connections are in each state."""
        states = [connection.state for connection in self._connections]
        return ConnectionCounts(
            states.count(ConnectionState.IDLE),
            states.count(ConnectionState.READING),
            states.count(ConnectionState.ANSWERING),
        )

    def leave(self) -> None:
        """Closes each connection once it owes nothing.

        One that is idle is closed without being read again, so a request that
        crosses the close goes unread.
        """
        self.is_leaving = True
        for connection in self.list_connections():
            connection.leave()

    async def wait_empty(self) -> None:
        """Waits until no connection is open."""
        await self._empty.wait()

    async def close(self, limit_s: float) -> None:
        """Leaves all connections, and aborts those that are open too long.

        Args:
          limit_s: seconds that requests and the bytes of their answers get.
        """
        self.leave()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self.wait_empty()
        self.abort()

    def abort(self) -> None:
        """Closes all connections and drops what they have not sent."""
        for connection in self.list_connections():
            connection.abort()


class OwingConnection(web.RequestHandler):
    """A caller's connection that knows whether it owes an answer."""

    __slots__ = ("_bodies", "_has_part", "_own_transport", "_registry")

    def __init__(self, server: web.Server, registry: Registry, **options: Any):
        """Creates a connection.

        Args:
          server: the server that it belongs to.
          registry: knows it as long as it is open.
          **options: options of the library.
        """
        super().__init__(server, **options)
        self._registry = registry
        # Bodies of the requests whose answers haven't ended, oldest first.
        self._bodies: list[streams.StreamReader] = []
        # Whether a part of the next head has been read.
        self._has_part = False
        # The library forgets its own once it was closed, flushed or not.
        self._own_transport: asyncio.Transport | None = None

    @property
    def state(self) -> ConnectionState:
        """What the connection owes at present."""
        if self._bodies:
            if self._bodies[0].is_eof():
                return ConnectionState.ANSWERING
            return ConnectionState.READING
        if self._has_part:
            return ConnectionState.READING
        transport = self._own_transport
        if transport is not None and transport.get_write_buffer_size():
            return ConnectionState.ANSWERING
        return ConnectionState.IDLE

    def leave(self) -> None:
        """Closes the connection once it owes nothing."""
        if self._bodies or self._has_part:
            self._plan_close()
        elif self._waiter is not None or not self._request_count:
            self.force_close()
        else:
            # The rest of a request that was answered early is being read.
            self._plan_close()

    def abort(self) -> None:
        """Closes the connection and drops what it has not sent."""
        if self._own_transport is not None:
            self._own_transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._own_transport = transport
        self._registry.add(self)
        super().connection_made(transport)
        # Accepted in the turn of the loop in which connections were left.
        if self._registry.is_leaving:
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._registry.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        under_way = self._bodies[: len(self._bodies) - len(self._messages)]
        if self._registry.is_leaving:
            # The library drops what comes once a connection is to close.
            self._close = False
        super().data_received(data)
        self._bodies = under_way + self._list_waiting()
        # Line ends between two requests belong to neither.
        is_part = self._has_part or bool(data.strip(b"\r\n"))
        self._has_part = is_part and not self._bodies
        self._plan_close()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        if self._registry.is_leaving and len(self._bodies) == 1:
            resp.force_close()
            if self._bodies[0].is_eof() and self.transport is not None:
                # What comes until the close goes unread.
                self.transport.pause_reading()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            # The library may have parsed further requests meanwhile.
            self._bodies = self._list_waiting()
            self._plan_close()

    def _list_waiting(self) -> list[streams.StreamReader]:
        """Returns the bodies of requests that no handler has yet."""
        return [body for _, body in self._messages]

    def _plan_close(self) -> None:
        """Lets the library close after this answer if no request waits."""
        if self._registry.is_leaving:
            self._close = not self._messages
