"""Opens connections to endpoints, directly or through a peer.

A direct connection gets a head start. If it has not opened by then, a detour
through a peer is tried as well, and whichever opens first is used. While the
direct path is known to be lost, both start at once, so that its return is
noticed without probes.
"""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import logging
import socket
from typing import Any

import aiohttp

from rhubarblock.exchange import connection as connections
from rhubarblock.exchange import paths as endpoint_paths

# Longest connect timeout in seconds: a hundred times the latency between two
# data centres.
CONNECT_TIMEOUT_S = 0.25
# Passes of the event loop between the kernel's word that a connection is open
# and the use of it, with a margin: a timeout is checked again after them.
CONNECT_PASSES = 8
# Seconds for which only the direct connection is tried: several round trips,
# and time left for the detour within the connect timeout.
HEAD_START_S = 0.03
# Milliseconds after which unacknowledged data breaks a connection, so that a
# dead one does not hold its request until the deadline.
UNACKED_TIMEOUT_MS = 2_000
# Idle time and interval in seconds of TCP keep-alive probes. Together with the
# bound above they detect a lost machine after three seconds, a second before
# the memory leases of its request must be free.
KEEPALIVE_PROBE_S = 1

_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)

_logger = logging.getLogger(__name__)

Opened = tuple[asyncio.Transport, connections.EndpointProtocol]
Opener = Callable[[], Awaitable[Opened]]


class DetourError(Exception):
    """No detour could be opened.

    Attributes:
      is_unreachable: whether a peer that reaches other endpoints failed to
        reach this one.
    """

    def __init__(self, is_unreachable: bool = False):
        super().__init__("the peers reach it no more" if is_unreachable else "")
        self.is_unreachable = is_unreachable


@dataclasses.dataclass(slots=True, frozen=True)
class Detour:
    """A connection to an endpoint through a peer.

    Attributes:
      sock: socket that leads to the endpoint.
      peer: name of the peer.
    """

    sock: socket.socket
    peer: str


class Detours(abc.ABC):
    """Opens connections to endpoints through peers."""

    @abc.abstractmethod
    async def open(self, address: str) -> Detour:
        """Opens a connection to ``host:port``.

        Raises:
          DetourError: no peer opened one.
        """


class ConnectLimit:
    """Ends the opening of a connection that takes too long.

    A process that was blocked finds timers due before it has handled the
    connections that opened meanwhile. They get some passes of the event loop
    before the limit applies, so that no endpoint is blamed for the pause.
    """

    __slots__ = ("_handle", "_loop", "_timeout")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timeout: asyncio.Timeout,
        limit_s: float,
    ):
        """Starts the limit.

        Args:
          loop: the running event loop.
          timeout: an entered timeout without a time; it ends at the limit.
          limit_s: seconds until the limit.
        """
        self._loop = loop
        self._timeout = timeout
        self._handle: asyncio.Handle = loop.call_later(
            limit_s, self._check, CONNECT_PASSES
        )

    def cancel(self) -> None:
        """Removes the limit."""
        self._handle.cancel()

    def _check(self, passes: int) -> None:
        if passes:
            self._handle = self._loop.call_soon(self._check, passes - 1)
        else:
            self._timeout.reschedule(self._loop.time())


class EndpointConnector(aiohttp.TCPConnector):
    """Opens connections within the connect timeout.

    Attributes:
      paths: records which connections open; None if nothing does.
      detours: opens connections through peers; None if nothing does.
    """

    paths: endpoint_paths.EndpointPaths | None = None
    detours: Detours | None = None

    async def _wrap_create_connection(
        self,
        *args: Any,
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        **kwargs: Any,
    ) -> Any:
        open_directly: Any = functools.partial(
            super()._wrap_create_connection,
            *args,
            req=req,
            timeout=_NO_TIMEOUT,
            **kwargs,
        )
        # aiohttp has no public way to replace its own timeout.
        loop = asyncio.get_running_loop()
        limit_s = timeout.sock_connect or CONNECT_TIMEOUT_S
        async with asyncio.timeout(None) as limited:
            limit = ConnectLimit(loop, limited, limit_s)
            try:
                if self.paths is None:
                    return await open_directly()
                address = f"{req.url.raw_host}:{req.port}"
                return await self._open(address, self.paths, open_directly)
            finally:
                limit.cancel()

    async def _open(
        self,
        address: str,
        all_paths: endpoint_paths.EndpointPaths,
        open_directly: Opener,
    ) -> Opened:
        """Opens a connection and records over which path."""
        paths = all_paths.find(address)
        race = _Race()
        try:
            direct = race.start(open_directly())
            if not paths.is_suspect(address):
                await race.wait(HEAD_START_S)
            if race.winner is None and paths.may_detour(address):
                race.start(self._open_detour(address))
            await race.wait(None)
        except asyncio.CancelledError:
            paths.note_failed(address, "no connection opened in time")
            raise
        finally:
            race.stop()
        if race.winner is None:
            error = direct.exception()
            assert error is not None
            paths.note_failed(address, str(error))
            raise error
        opened: Opened = race.winner.result()
        if race.winner is direct:
            paths.note_opened(address)
            opened[1].set_direct(paths)
        else:
            paths.note_detoured(address)
        return opened

    async def _open_detour(self, address: str) -> Opened:
        if self.detours is None:
            raise DetourError()
        detour = await self.detours.open(address)
        try:
            loop = asyncio.get_running_loop()
            transport, protocol = await loop.create_connection(
                self._factory, sock=detour.sock
            )
        except BaseException:
            detour.sock.close()
            raise
        assert isinstance(protocol, connections.EndpointProtocol)
        protocol.set_relayed()
        _logger.debug(
            "connected through a peer",
            extra={"address": address, "peer": detour.peer},
        )
        return transport, protocol


class _Race:
    """Attempts to open a connection, of which the first to succeed counts.

    Attributes:
      winner: the attempt that succeeded; None if none did.
    """

    __slots__ = ("_tasks", "winner")

    def __init__(self) -> None:
        self._tasks: list[asyncio.Future[Opened]] = []
        self.winner: asyncio.Future[Opened] | None = None

    def start(self, attempt: Awaitable[Opened]) -> "asyncio.Future[Opened]":
        """Starts one more attempt."""
        task = asyncio.ensure_future(attempt)
        self._tasks.append(task)
        return task

    async def wait(self, timeout_s: float | None) -> None:
        """Waits until an attempt has succeeded or all have failed.

        Args:
          timeout_s: longest wait in seconds.
        """
        while self.winner is None:
            pending = [task for task in self._tasks if not task.done()]
            if not pending:
                return
            done, _ = await asyncio.wait(
                pending,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return
            self.winner = next(
                (
                    task
                    for task in self._tasks
                    if task.done() and task.exception() is None
                ),
                None,
            )

    def stop(self) -> None:
        """Ends all attempts but the one that succeeded."""
        for task in self._tasks:
            if task is not self.winner:
                task.add_done_callback(_discard)
                task.cancel()


def _discard(task: "asyncio.Future[Opened]") -> None:
    """Closes the connection of an attempt that is not needed."""
    if not task.cancelled() and task.exception() is None:
        task.result()[0].abort()


async def connect_socket(host: str, port: int) -> socket.socket:
    """Returns a connected socket that detects a lost machine.

    Raises:
      OSError: the connection failed.
    """
    sock = make_probed_socket(
        (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    )
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def make_socket(address: Any) -> socket.socket:
    """Returns a socket for an entry of ``getaddrinfo``."""
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS
    )
    return sock


def make_probed_socket(address: Any) -> socket.socket:
    """Returns a socket that detects a lost machine while it is idle."""
    sock = make_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_KEEPCNT,
        UNACKED_TIMEOUT_MS // 1000 // KEEPALIVE_PROBE_S,
    )
    return sock
