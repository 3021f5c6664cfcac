"""Tracks unanswered requests on callers' connections.

A handler starts later than its request: bytes may have been read, or a whole
request parsed, before any handler runs. A planned stop that counted handlers
only would lose such requests, so connections count them from the first byte of
the request to the last byte of its response.
"""

import asyncio
import contextlib
import dataclasses
import enum
from typing import Any

from aiohttp import streams
from aiohttp import web

# Periods for which a new connection counts as one that will send a request.
# They are counted instead of seconds, as a loop that is behind reads late.
FRESH_PERIODS = 10


class ConnectionState(enum.Enum):
    """Progress of the oldest unanswered request of a connection.

    IDLE: no byte of an unanswered request has been read.
    READING: a request has been read in part.
    ANSWERING: a request has been read completely, and its response has not
      been sent to the end.
    """

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionCounts:
    """Number of open connections in each state."""

    idle: int = 0
    reading: int = 0
    answering: int = 0


class UnreadConnection(asyncio.Protocol):
    """Closes a connection without reading from it."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class Registry:
    """The open connections of one server.

    A connection stays registered until the last byte of its last response is
    sent.

    Attributes:
      is_draining: whether connections are closed once they are idle.
    """

    __slots__ = (
        "_connections",
        "_empty",
        "_fresh",
        "_period",
        "is_draining",
    )

    def __init__(self) -> None:
        self._connections: set[TrackedConnection] = set()
        # Connections from which nothing has been read yet, the oldest first,
        # with the number of the period in which they were accepted.
        self._fresh: dict[TrackedConnection, int] = {}
        self._period = 0
        self._empty = asyncio.Event()
        self._empty.set()
        self.is_draining = False

    def add(self, connection: "TrackedConnection") -> None:
        """Registers a new connection."""
        self._connections.add(connection)
        self._empty.clear()

    def note_accepted(self, connection: "TrackedConnection") -> None:
        """Records a connection that will be opened, and added, soon."""
        self._fresh[connection] = self._period

    def note_read(self, connection: "TrackedConnection") -> None:
        """Records that something was read from a connection."""
        self._fresh.pop(connection, None)

    def begin_period(self) -> None:
        """Begins a period, which takes a pass of the event loop or more."""
        self._period += 1
        oldest = self._period - FRESH_PERIODS
        while self._fresh:
            connection = next(iter(self._fresh))
            if self._fresh[connection] >= oldest:
                break
            del self._fresh[connection]

    def count_fresh(self) -> int:
        """Returns the number of new connections that will send a request."""
        return len(self._fresh)

    def remove(self, connection: "TrackedConnection") -> None:
        """Removes a connection that was closed or lost."""
        self._connections.discard(connection)
        self._fresh.pop(connection, None)
        if not self._connections:
            self._empty.set()

    def list_connections(self) -> list["TrackedConnection"]:
        """Returns the open connections."""
        return list(self._connections)

    def count(self) -> ConnectionCounts:
        """Returns the number of connections in each state."""
        states = [connection.state for connection in self._connections]
        return ConnectionCounts(
            states.count(ConnectionState.IDLE),
            states.count(ConnectionState.READING),
            states.count(ConnectionState.ANSWERING),
        )

    def drain(self) -> None:
        """Closes each connection once its requests are answered.

        An idle connection is closed without another read, so a request that is
        sent at the same time stays unread.
        """
        self.is_draining = True
        for connection in self.list_connections():
            connection.drain()

    def close_idle(self) -> None:
        """Closes the connections on which no request is unanswered."""
        for connection in self.list_connections():
            if connection.state is ConnectionState.IDLE:
                connection.drain()

    async def wait_empty(self) -> None:
        """Waits until all connections are closed."""
        await self._empty.wait()

    async def close(self, timeout_s: float) -> None:
        """Drains all connections, and aborts those that take too long.

        Args:
          timeout_s: seconds for requests to end and responses to be flushed.
        """
        self.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.wait_empty()
        self.abort()

    def abort(self) -> None:
        """Closes all connections and discards unsent data."""
        for connection in self.list_connections():
            connection.abort()


class TrackedConnection(web.RequestHandler):
    """A caller's connection that tracks its unanswered requests."""

    __slots__ = (
        "_has_partial_head",
        "_own_transport",
        "_pending_bodies",
        "_registry",
    )

    def __init__(self, server: web.Server, registry: Registry, **options: Any):
        """Creates a connection.

        Args:
          server: server that accepted the connection.
          registry: tracks the connection while it is open.
          **options: options of ``web.RequestHandler``.
        """
        super().__init__(server, **options)
        self._registry = registry
        registry.note_accepted(self)
        # Bodies of the unanswered requests, oldest first.
        self._pending_bodies: list[streams.StreamReader] = []
        # Whether a part of the next request's head has been read.
        self._has_partial_head = False
        # The library drops its own reference on close, before the data is
        # flushed.
        self._own_transport: asyncio.Transport | None = None

    @property
    def state(self) -> ConnectionState:
        """Progress of the oldest unanswered request."""
        if self._pending_bodies:
            if self._pending_bodies[0].is_eof():
                return ConnectionState.ANSWERING
            return ConnectionState.READING
        if self._has_partial_head:
            return ConnectionState.READING
        transport = self._own_transport
        if transport is not None and transport.get_write_buffer_size():
            return ConnectionState.ANSWERING
        return ConnectionState.IDLE

    def drain(self) -> None:
        """Closes the connection once its requests are answered."""
        if self._pending_bodies or self._has_partial_head:
            self._close_after_response()
        elif self._waiter is not None or not self._request_count:
            self.force_close()
        else:
            # The library is still reading a request that was answered early.
            self._close_after_response()

    def abort(self) -> None:
        """Closes the connection and discards unsent data."""
        if self._own_transport is not None:
            self._own_transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._own_transport = transport
        self._registry.add(self)
        super().connection_made(transport)
        # The drain began after the connection was accepted, within the same
        # iteration of the event loop.
        if self._registry.is_draining:
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._registry.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._registry.note_read(self)
        dispatched = self._pending_bodies[
            : len(self._pending_bodies) - len(self._messages)
        ]
        if self._registry.is_draining:
            # The library discards data while its close flag is set.
            self._close = False
        super().data_received(data)
        self._pending_bodies = dispatched + self._list_queued_bodies()
        # Line ends between two requests are not part of a request.
        is_partial = self._has_partial_head or bool(data.strip(b"\r\n"))
        self._has_partial_head = is_partial and not self._pending_bodies
        self._close_after_response()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        if self._registry.is_draining and len(self._pending_bodies) == 1:
            resp.force_close()
            if self._pending_bodies[0].is_eof() and self.transport is not None:
                # A request sent from now on stays unread.
                self.transport.pause_reading()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            # The library may have parsed more requests in the meantime.
            self._pending_bodies = self._list_queued_bodies()
            self._close_after_response()

    def _list_queued_bodies(self) -> list[streams.StreamReader]:
        """Returns the bodies of parsed requests without a handler."""
        return [body for _, body in self._messages]

    def _close_after_response(self) -> None:
        """When draining, sets the library's close flag if no request waits."""
        if self._registry.is_draining:
            self._close = not self._messages
