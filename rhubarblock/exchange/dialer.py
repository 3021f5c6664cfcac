"""Connects to endpoints, directly or through a peer.

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
import socket

from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import sockets

# Seconds for which only the direct connection is tried: several round trips,
# and time left for the detour within the connect timeout.
HEAD_START_S = 0.03


class DetourError(Exception):
    """No detour could be opened.

    Attributes:
      is_unreachable: whether a peer that reaches other endpoints failed to
        reach this one.
    """

    def __init__(self, is_unreachable: bool = False):
        super().__init__("no peer opened a connection")
        self.is_unreachable = is_unreachable


@dataclasses.dataclass(slots=True, frozen=True)
class Opened:
    """A connection to an endpoint.

    Attributes:
      sock: socket that leads to the endpoint.
      peer: name of the peer that forwards it; empty if it is direct.
      end_mark: bytes with which the peer ends a connection that the endpoint
        closed.
    """

    sock: socket.socket
    peer: str = ""
    end_mark: bytes = b""


class Detours(abc.ABC):
    """Opens connections to endpoints through peers."""

    @abc.abstractmethod
    async def open(self, address: str) -> Opened:
        """Opens a connection to ``host:port``.

        Raises:
          DetourError: no peer opened one.
        """


class Dialer:
    """Connects to endpoints and records over which path.

    Attributes:
      paths: records which connections open.
      on_detoured: called with the address of an endpoint that only a peer
        reached.
    """

    __slots__ = ("_detours", "on_detoured", "paths")

    def __init__(
        self,
        paths: endpoint_paths.EndpointPaths,
        detours: Detours | None = None,
    ):
        """Creates a dialer.

        Args:
          paths: records which connections open.
          detours: opens connections through peers; None without peers.
        """
        self.paths = paths
        self.on_detoured: Callable[[str], None] = lambda address: None
        self._detours = detours

    async def connect(
        self,
        address: str,
        make_socket: sockets.SocketFactory = sockets.make_probed_socket,
    ) -> Opened:
        """Connects to an endpoint.

        Cancelling this counts as a failure, unless the connection could still
        open within the head start.

        Args:
          address: ``host:port`` of the endpoint.
          make_socket: makes the socket of a direct connection.

        Returns:
          The connection; without the name of a peer if it is direct.

        Raises:
          OSError: no connection opened.
        """
        paths = self.paths.find(address)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        race = _Race()
        try:
            direct = race.start(_connect_directly(address, make_socket))
            if not paths.is_suspect(address):
                await race.wait(HEAD_START_S)
            if (
                race.winner is None
                and self._detours is not None
                and paths.may_detour(address)
            ):
                race.start(self._detours.open(address))
            await race.wait(None)
        except asyncio.CancelledError:
            if loop.time() - started_s >= HEAD_START_S:
                paths.note_failed(address, "no connection opened in time")
            raise
        finally:
            race.stop()
        if race.winner is None:
            error = direct.exception()
            assert error is not None
            paths.note_failed(address, str(error))
            raise error
        opened = race.winner.result()
        if opened.peer:
            paths.note_detoured(address)
            self.on_detoured(address)
        else:
            paths.note_opened(address)
        return opened


class _Race:
    """Attempts to connect, of which the first to succeed counts.

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
        task.result().sock.close()


async def _connect_directly(
    address: str, make_socket: sockets.SocketFactory
) -> Opened:
    host, _, port = address.rpartition(":")
    return Opened(await sockets.connect(host, int(port), make_socket))
