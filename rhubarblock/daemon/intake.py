"""Which connections of callers an instance takes.

A request that was read and is then refused, or answered too late, has cost its
caller time, and one that may run only once can't be sent again. A connection
that is closed unread costs a round trip, and the caller's next attempt is taken
by another instance. So an instance takes no more than its processor can do, and
nothing while it is isolated and its configuration can't be confirmed.
"""

from collections.abc import Callable
import enum
import logging

from rhubarblock.daemon import connections
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import looplag
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.admission import progresslimit

# Seconds after which a connection is taken in any case while the processor
# limits them: an instance that counts as ready is tried by load balancers.
LONGEST_PAUSE_S = 0.5

_logger = logging.getLogger(__name__)


class Refusal(enum.Enum):
    """Why connections are closed unread."""

    PROCESSOR = "the event loop is behind"
    CONFIGURATION = "the configuration can't be confirmed here"


class Intake:
    """Decides for the connections of one instance.

    Attributes:
      refusal: why connections are closed unread, None while all are taken.
      registry: the connections that were taken.
    """

    __slots__ = (
        "_can_serve",
        "_is_isolated",
        "_lag",
        "_lifecycle",
        "_limit",
        "_metrics",
        "_taken_s",
        "_timers",
        "_unread",
        "refusal",
        "registry",
    )

    def __init__(
        self,
        lifecycle: lifecycles.InstanceLifecycle,
        lag: looplag.LoopLag,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
        is_isolated: Callable[[], bool] = lambda: False,
        can_serve: Callable[[], bool] = lambda: True,
    ):
        """Creates it; it follows the lag from now on.

        Args:
          lifecycle: counts requests in progress, and is told whether
            connections close after their answer.
          lag: the lag of the event loop.
          timers: the clock.
          metrics: counts connections.
          is_isolated: returns whether other instances are better off.
          can_serve: returns whether requests can be served at present.
        """
        self._lifecycle = lifecycle
        self._is_isolated = is_isolated
        self._can_serve = can_serve
        self._lag = lag
        self._timers = timers
        self._metrics = metrics
        self._limit = progresslimit.ProgressLimit()
        self._taken_s = timers.read_monotonic()
        # Connections closed unread since the last change of the refusal.
        self._unread = 0
        self.refusal: Refusal | None = None
        self.registry = connections.Registry()
        lag.add_listener(self._note_lag)

    def take_connection(self) -> bool:
        """Returns whether a new connection is read, and counts it."""
        now_s = self._timers.read_monotonic()
        refusal = self._find_refusal()
        if (
            refusal is Refusal.PROCESSOR
            and now_s - self._taken_s >= LONGEST_PAUSE_S
        ):
            refusal = None
        if refusal is None:
            self._metrics.count("connections.taken")
            self._taken_s = now_s
            return True
        self._metrics.count(f"connections.unread.{refusal.name.lower()}")
        self._unread += 1
        return False

    def _find_refusal(self) -> Refusal | None:
        if self._is_isolated() and not self._can_serve():
            return Refusal.CONFIGURATION
        if not self._limit.has_room(self._count_in_progress()):
            return Refusal.PROCESSOR
        return None

    def _count_in_progress(self) -> int:
        """Returns the number of requests that are, or will be, in progress."""
        return self._lifecycle.in_flight + self.registry.count_fresh()

    def _note_lag(self, standing_s: float) -> None:
        self.registry.begin_period()
        in_progress = self._count_in_progress()
        now_s = self._timers.read_monotonic()
        self._limit.note_lag(standing_s, in_progress, now_s)
        self._lifecycle.closes_connections = self._is_isolated()
        refusal = self._find_refusal()
        if refusal is None and self._limit.limit is not None:
            # One period of limited reading, whether or not it is full now.
            refusal = Refusal.PROCESSOR
        self._set_refusal(refusal)

    def _set_refusal(self, refusal: Refusal | None) -> None:
        if refusal is self.refusal:
            return
        before, self.refusal = self.refusal, refusal
        _logger.warning(
            "connections are left unread"
            if refusal
            else "connections are read again",
            extra={
                "reason": refusal.value if refusal else "",
                "before": before.value if before else "",
                "left_unread": self._unread,
                "lag_s": round(self._lag.standing_s, 3),
                "in_progress": self._lifecycle.in_flight,
                "limit": self._limit.limit and round(self._limit.limit, 1),
            },
        )
        self._unread = 0
        if refusal is Refusal.CONFIGURATION:
            self.registry.close_idle()
