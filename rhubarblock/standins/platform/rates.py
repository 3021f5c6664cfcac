"""Rate limits of the stand-in platform, shared by calls and open watches."""

from rhubarblock.kernel import timers as timer_service


class TokenBucket:
    """Token bucket with a burst of one second's worth of calls."""

    __slots__ = (
        "_filled_s",
        "_rate_per_s",
        "_reserved_per_s",
        "_timers",
        "_tokens",
    )

    def __init__(self, timers: timer_service.Timers, rate_per_s: float):
        """Creates a full bucket.

        Args:
          timers: timer service.
          rate_per_s: calls per second; 0 means unlimited.
        """
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._reserved_per_s = 0.0
        self._tokens = rate_per_s
        self._filled_s: float | None = None

    def take(self) -> bool:
        """Takes a token for one call; returns whether the call is allowed."""
        if self._rate_per_s <= 0:
            return True
        self._fill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reserve(self, calls_per_s: float) -> None:
        """Changes the rate reserved for open watches.

        Args:
          calls_per_s: calls per second to add; negative to give them back.
        """
        self._fill()
        self._reserved_per_s += calls_per_s

    def _fill(self) -> None:
        now_s = self._timers.read_monotonic()
        if self._filled_s is not None:
            refill_per_s = max(0.0, self._rate_per_s - self._reserved_per_s)
            filled = self._tokens + (now_s - self._filled_s) * refill_per_s
            self._tokens = min(self._rate_per_s, filled)
        self._filled_s = now_s
