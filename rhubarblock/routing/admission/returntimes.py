"""Tells refused callers when to return.

Each caller that is refused is given the next free place in the capacity to
come, so that callers return no faster than they can be served. The place is
within the time that callers honour.
"""

import random

# Share of its remaining time that a caller waits at most before it returns, as
# documented by the platform.
HONOURED_SHARE = 1.0 / 3.0
# Shortest time in seconds after which a caller may return: requests under way
# need about as long to leave their engine.
MIN_RETURN_S = 0.5
# Rate of returning callers, in callers a second, below which no place is
# promised: callers then return as late as they can, over when the surge may be.
MIN_RATE_PER_S = 0.5
# Part of the honoured time over which callers are spread for whom there is no
# free place within it. A caller that returns is told from a new one by the time
# that it has left, so that it must not return much earlier.
SPREAD_PART = 0.2


class ReturnTimes:
    """Places that one instance promised for a service and rank."""

    __slots__ = ("_next_s", "_rng")

    def __init__(self, rng: random.Random):
        """Starts without promises.

        Args:
          rng: spreads callers who can't all be given a place of their own.
        """
        self._next_s = 0.0
        self._rng = rng

    def take(self, now_s: float, left_s: float, rate_per_s: float) -> float:
        """Returns the Retry-After of one caller, in seconds.

        Args:
          now_s: current time in monotonic seconds.
          left_s: seconds until the caller's deadline.
          rate_per_s: callers of its rank a second that this instance can let in
            beside new ones.
        """
        latest_s = max(0.0, left_s) * HONOURED_SHARE
        place_s = max(self._next_s, now_s + MIN_RETURN_S)
        if rate_per_s >= MIN_RATE_PER_S and place_s - now_s <= latest_s:
            self._next_s = place_s + 1.0 / rate_per_s
            return place_s - now_s
        return latest_s * (1.0 - SPREAD_PART * self._rng.random())
