"""A planned stop: the balancer sees it, connections are left, answers end.

It waits for connections and not only for handlers, since a request that has
been read may have no handler yet, and the last bytes of an answer may still
wait for a slow caller when its handler has returned.
"""

import asyncio
from collections.abc import Callable
import logging

from rhubarblock.daemon import listener as listeners
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import timers as timer_service

# Seconds after the signal to stop for which new connections are still taken:
# a balancer that asks once a second needs two refusals to see it.
LEAVE_S = 2.6
# Seconds that are kept of the grace for the exit, and the share of the rest
# after which connections are left at the latest.
EXIT_S = 0.6
LEAVE_PART = 0.5

_logger = logging.getLogger(__name__)


class PlannedStop:
    """Stops one instance without cutting a request."""

    __slots__ = (
        "_callers",
        "_grace_s",
        "_instance_id",
        "_lifecycle",
        "_timers",
    )

    def __init__(
        self,
        instance_id: str,
        lifecycle: lifecycles.InstanceLifecycle,
        callers: listeners.Listener,
        grace_s: float,
        timers: timer_service.Timers,
    ):
        """Creates a stop that has not begun.

        Args:
          instance_id: name of the instance.
          lifecycle: its state and the count of its handlers.
          callers: where its callers connect.
          grace_s: seconds from the signal to stop to the kill.
          timers: the clock.
        """
        self._instance_id = instance_id
        self._lifecycle = lifecycle
        self._callers = callers
        self._grace_s = grace_s
        self._timers = timers

    async def run(self) -> None:
        """Returns once nothing is owed any more, or the grace is nearly over.

        Idle connections are closed when the balancer knows: a caller that kept
        one would else send a request so late that it could not end in time.
        """
        self._log_lifecycle(self._lifecycle.start_drain)
        length_s = max(0.0, self._grace_s - EXIT_S)
        latest_s = self._timers.read_monotonic() + length_s
        await self._timers.sleep(min(LEAVE_S, LEAVE_PART * length_s))
        self._log_connections("leaving connections")
        self._callers.leave()
        try:
            async with asyncio.timeout(
                latest_s - self._timers.read_monotonic()
            ):
                await self._callers.wait_closed()
                await self._lifecycle.wait_idle()
        except TimeoutError:
            _logger.warning(
                "requests cut", extra={"count": self._lifecycle.in_flight}
            )
        self._log_connections("closing connections")
        # What is cut gives back now what it holds elsewhere.
        self._callers.abort()
        self._log_lifecycle(self._lifecycle.mark_stopped)

    def _log_connections(self, message: str) -> None:
        """Tells what callers' connections owe at a step of the stop."""
        counts = self._callers.count_connections()
        _logger.info(
            message,
            extra={
                "idle": counts.idle,
                "reading": counts.reading,
                "answering": counts.answering,
                "in_flight": self._lifecycle.in_flight,
            },
        )

    def _log_lifecycle(self, step: Callable[[], None]) -> None:
        lifecycles.log_transition(
            _logger, self._lifecycle, self._instance_id, step
        )
