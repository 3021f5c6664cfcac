"""Rate limits of the stand-in platform: token buckets that watches drain."""

from rhubarblock.kernel import timers as timer_service


class TokenBucket:
    """Allows a number of calls a second, with a burst of one second's worth."""

    __slots__ = (
        "_drain_per_s",
        "_filled_s",
        "_rate_per_s",
        "_timers",
        "_tokens",
    )

    def __init__(self, timers: timer_service.Timers, rate_per_s: float):
        """Creates a full bucket.

        Args:
          timers: clock.
          rate_per_s: calls a second; 0 means unlimited.
        """
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._drain_per_s = 0.0
        self._tokens = rate_per_s
        self._filled_s: float | None = None

    def take(self) -> bool:
        """Takes one call and says whether it is allowed."""
        if self._rate_per_s <= 0:
            return True
        self._fill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def add_drain(self, calls_per_s: float) -> None:
        """Changes what waiting watches use up, in calls a second."""
        self._fill()
        self._drain_per_s += calls_per_s

    def _fill(self) -> None:
        now_s = self._timers.read_monotonic()
        if self._filled_s is not None:
            refill_per_s = max(0.0, self._rate_per_s - self._drain_per_s)
            filled = self._tokens + (now_s - self._filled_s) * refill_per_s
            self._tokens = min(self._rate_per_s, filled)
        self._filled_s = now_s
