"""Notices that requests are under way on paths that are lost.

A connection over a lost path hangs: no error ends a request on it before a
timeout. While requests are under way and no endpoint of their service sends
anything, a new connection shows whether the path still exists. If only a peer
reaches the endpoint, requests that may run again need not wait any longer.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import contextvars
import logging
import math
from typing import Any

from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import sends
from rhubarblock.kernel import timers as timer_service

# Seconds without data from any endpoint of a service, while requests are under
# way there, after which a path is checked. Engines that decode send more often.
SILENCE_S = 0.25
# Shortest interval of the checks of one service, in seconds.
CHECK_INTERVAL_S = 1.0
# Seconds after which the connection of a check is given up.
CONNECT_S = 0.25

_logger = logging.getLogger(__name__)


class Sending:
    """A request under way.

    Attributes:
      address: ``host:port`` of the endpoint.
      is_direct: whether it was sent over a direct connection.
      on_lost: called when the path is known to be lost.
      check: called once a connection is open, right before the request is
        sent; raises an error if it must not be sent any more.
      history: the sends of its exchange.
    """

    __slots__ = ("address", "check", "history", "is_direct", "on_lost")

    def __init__(
        self,
        address: str,
        on_lost: Callable[[], object],
        check: Callable[[], None] = lambda: None,
        history: sends.SendHistory | None = None,
    ):
        self.address = address
        self.check = check
        self.history = history or sends.SendHistory()
        self.is_direct = False
        self.on_lost = on_lost


# The request that the running task sends.
current: contextvars.ContextVar[Sending | None] = contextvars.ContextVar(
    "current", default=None
)


class _ServiceWatch:
    """The requests that are under way at one service, oldest first.

    Attributes:
      paths: the paths to its endpoints.
      under_way: the requests.
      waits_s: when the first of them was sent since data last arrived.
      checked_s: when a path was last checked under requests.
      surveyed_s: when paths to other data centres were last checked.
      handle: timer of the next check; None while no request is under way.
    """

    __slots__ = (
        "checked_s",
        "handle",
        "paths",
        "surveyed_s",
        "under_way",
        "waits_s",
    )

    def __init__(self, paths: endpoint_paths.ServicePaths):
        self.paths = paths
        self.under_way: dict[Sending, None] = {}
        self.waits_s = -math.inf
        self.checked_s = -math.inf
        self.surveyed_s = -math.inf
        self.handle: asyncio.TimerHandle | None = None


class PathWatch:
    """Watches the paths on which requests are under way."""

    __slots__ = ("_dialer", "_services", "_tasks", "_timers")

    def __init__(self, dialer: dialers.Dialer, timers: timer_service.Timers):
        """Creates a watch without requests.

        Args:
          dialer: connects to endpoints.
          timers: the clock, and callbacks.
        """
        self._dialer = dialer
        self._timers = timers
        dialer.on_detoured = self._survey
        self._services: dict[endpoint_paths.ServicePaths, _ServiceWatch] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.contextmanager
    def watch(self, sending: Sending) -> Iterator[None]:
        """Watches the path of a request while the context is open."""
        service = self._find_service(sending.address)
        if not service.under_way or service.waits_s <= service.paths.received_s:
            service.waits_s = self._timers.read_monotonic()
        service.under_way[sending] = None
        if service.handle is None:
            self._schedule(service, SILENCE_S)
        try:
            yield
        finally:
            del service.under_way[sending]
            if not service.under_way and service.handle is not None:
                service.handle.cancel()
                service.handle = None

    def _find_service(self, address: str) -> _ServiceWatch:
        paths = self._dialer.paths.find(address)
        service = self._services.get(paths)
        if service is None:
            service = self._services[paths] = _ServiceWatch(paths)
        return service

    def _survey(self, address: str) -> None:
        """Finds out whether paths to other data centres are lost, too."""
        service = self._find_service(address)
        now_s = self._timers.read_monotonic()
        if (
            service.paths.partitioned_s is None
            and now_s >= service.surveyed_s + CHECK_INTERVAL_S
        ):
            service.surveyed_s = now_s
            self._start(self._check_elsewhere(service, address))

    def _start(self, check: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _schedule(self, service: _ServiceWatch, delay_s: float) -> None:
        service.handle = self._timers.call_later(
            delay_s, lambda: self._fire(service)
        )

    def _fire(self, service: _ServiceWatch) -> None:
        """Starts a check if it is due, and schedules the next one."""
        now_s = self._timers.read_monotonic()
        quiet_s = max(service.waits_s, service.paths.received_s)
        due_s = max(quiet_s + SILENCE_S, service.checked_s + CHECK_INTERVAL_S)
        if now_s < due_s:
            self._schedule(service, due_s - now_s)
            return
        self._schedule(service, CHECK_INTERVAL_S)
        waiting = [s for s in service.under_way if s.is_direct]
        if not waiting:
            return
        service.checked_s = now_s
        self._start(self._check(service, waiting))

    async def _check(
        self, service: _ServiceWatch, waiting: list[Sending]
    ) -> None:
        """Checks the path of the oldest request, and then those elsewhere."""
        address = waiting[0].address
        service.surveyed_s = service.checked_s
        if not await self._is_lost(address):
            return
        await self._check_elsewhere(service, address)
        _logger.info(
            "path is lost under requests",
            extra={
                "address": address,
                "requests": len(waiting),
                "is_partitioned": service.paths.partitioned_s is not None,
            },
        )
        for sending in waiting:
            if sending in service.under_way and service.paths.is_suspect(
                sending.address
            ):
                sending.on_lost()

    async def _check_elsewhere(
        self, service: _ServiceWatch, address: str
    ) -> None:
        """Checks a path to each data centre but that of an address."""
        others = service.paths.list_elsewhere(address)
        await asyncio.gather(*(self._is_lost(other) for other in others))

    async def _is_lost(self, address: str) -> bool:
        """Returns whether only a peer reaches an endpoint."""
        try:
            async with asyncio.timeout(CONNECT_S):
                opened = await self._dialer.connect(address)
        except (OSError, TimeoutError):
            return False
        opened.sock.close()
        return bool(opened.peer)
