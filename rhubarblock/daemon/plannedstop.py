"""A planned stop: fails readiness, drains connections, ends responses.

It waits for connections and not only for handlers: a request that has been
read may have no handler yet, and the last bytes of a response may still be
buffered for a slow caller after its handler has returned.
"""

import asyncio
from collections.abc import Callable
import logging

from rhubarblock.daemon import listener as listeners
from rhubarblock.exchange.tunnels import server as tunnel_server
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import timers as timer_service

# Seconds after the stop signal for which new connections are still accepted: a
# load balancer that checks once a second needs two failed checks to notice.
LAME_DUCK_S = 2.6
# Seconds of the grace period that are reserved for the exit of the process, and
# the share of the remaining period after which the drain begins at the latest.
EXIT_RESERVE_S = 0.6
LAME_DUCK_MAX_SHARE = 0.5

_logger = logging.getLogger(__name__)


class PlannedStop:
    """Stops one instance without aborting requests in flight."""

    __slots__ = (
        "_callers",
        "_grace_s",
        "_instance_id",
        "_lifecycle",
        "_timers",
        "_tunnels",
    )

    def __init__(
        self,
        instance_id: str,
        lifecycle: lifecycles.InstanceLifecycle,
        callers: listeners.Listener,
        tunnels: tunnel_server.TunnelServer,
        grace_s: float,
        timers: timer_service.Timers,
    ):
        """Creates a stop; ``run`` starts it.

        Args:
          instance_id: name of the instance.
          lifecycle: its state and its count of requests in flight.
          callers: its listener for callers.
          tunnels: its tunnels, in which requests of peers may be under way.
          grace_s: grace period in seconds from the stop signal to the kill.
          timers: timer service.
        """
        self._instance_id = instance_id
        self._lifecycle = lifecycle
        self._callers = callers
        self._tunnels = tunnels
        self._grace_s = grace_s
        self._timers = timers

    async def run(self) -> None:
        """Returns once all requests are answered, or at the deadline.

        The deadline is the end of the grace period less ``EXIT_RESERVE_S``.

        Idle connections are closed once the load balancer has noticed the stop;
        otherwise a caller could send a request on one of them too late for it
        to end within the grace period.
        """
        self._log_lifecycle(self._lifecycle.start_drain)
        budget_s = max(0.0, self._grace_s - EXIT_RESERVE_S)
        deadline_s = self._timers.read_monotonic() + budget_s
        self._lifecycle.end_drain_at(deadline_s)
        self._tunnels.drain()
        await self._timers.sleep(
            min(LAME_DUCK_S, LAME_DUCK_MAX_SHARE * budget_s)
        )
        self._log_connections("leaving connections")
        self._callers.drain()
        try:
            async with asyncio.timeout(
                deadline_s - self._timers.read_monotonic()
            ):
                await self._callers.wait_closed()
                await self._lifecycle.wait_idle()
                await self._tunnels.wait_empty()
        except TimeoutError:
            _logger.warning(
                "requests cut", extra={"count": self._lifecycle.in_flight}
            )
        self._log_connections("closing connections")
        # Cancels the remaining handlers early enough for them to release their
        # resources at other processes.
        self._callers.abort()
        self._tunnels.abort()
        self._log_lifecycle(self._lifecycle.mark_stopped)

    def _log_connections(self, message: str) -> None:
        """Logs the states of the callers' connections."""
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
