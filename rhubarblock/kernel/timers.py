"""The timer service: the only source of time.

All other modules read the clock, sleep and subscribe to periodic calls through
it. It uses the clock of the running event loop, so under ``kernel.virtualloop``
the same code runs on a simulated clock with a reproducible order of events.
"""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import random
import time

_logger = logging.getLogger(__name__)


class Timers(abc.ABC):
    """Clock, sleeps and periodic calls."""

    @abc.abstractmethod
    def read_monotonic(self) -> float:
        """Returns the seconds of a monotonic clock."""

    @abc.abstractmethod
    def read_wall(self) -> float:
        """Returns the Unix time in seconds, for times sent or stored."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Waits for a number of seconds."""

    @abc.abstractmethod
    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Runs a callback after a delay; the handle can be cancelled."""

    @contextlib.contextmanager
    def subscribe(
        self,
        interval_s: float,
        callback: Callable[[], Awaitable[None]],
        jitter: random.Random | None = None,
    ) -> Iterator[asyncio.Task[None]]:
        """Awaits a callback periodically while the context is open.

        Args:
          interval_s: seconds between the end of one call and the next one.
          callback: coroutine function; an exception is logged and does not
            prevent the next call, since one failure must not end a heartbeat
            for good.
          jitter: draws a factor from 0.5 to 1.5 for each interval, or None.

        Yields:
          The task that makes the calls.
        """
        task = asyncio.ensure_future(
            self._call_periodically(interval_s, callback, jitter)
        )
        try:
            yield task
        finally:
            task.cancel()

    async def _call_periodically(
        self,
        interval_s: float,
        callback: Callable[[], Awaitable[None]],
        jitter: random.Random | None,
    ) -> None:
        while True:
            factor = 0.5 + jitter.random() if jitter else 1.0
            await self.sleep(interval_s * factor)
            try:
                await callback()
            except Exception:
                _logger.exception("a regular call failed")


class LoopTimers(Timers):
    """Timers of the running event loop, real or virtual.

    Attributes:
      wakeups: number of requested sleeps and callbacks, each of which wakes
        the process.
    """

    __slots__ = ("_wall_offset_s", "wakeups")

    def __init__(self, wall_offset_s: float | None = None):
        """Creates the service.

        Args:
          wall_offset_s: wall clock minus monotonic clock in seconds; None
            uses the machine's wall clock.
        """
        self._wall_offset_s = wall_offset_s
        self.wakeups = 0

    def read_monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def read_wall(self) -> float:
        if self._wall_offset_s is None:
            return time.time()
        return self._wall_offset_s + self.read_monotonic()

    async def sleep(self, delay_s: float) -> None:
        self.wakeups += 1
        await asyncio.sleep(delay_s)

    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        self.wakeups += 1
        return asyncio.get_running_loop().call_later(delay_s, callback)
