"""Limits the requests in progress to what the processor of an instance can do.

What a request costs, and what a processor can do, differ between machines and
change with time, so neither is a setting: the limit follows the lag of the
event loop. It falls by a factor while the loop stays behind and rises slowly
while it keeps up, as a congestion window does. There is none until the loop
first falls behind.
"""

# Standing lag in seconds above which the loop counts as behind. An answer takes
# about ten passes of the loop, and the least patient callers give up after
# little more than a second.
BEHIND_S = 0.08
# Lag in seconds below which it keeps up.
KEEPS_UP_S = 0.04
# Bounds of the factor by which the limit falls. Within them it is the bound of
# the lag over the lag, which is about in proportion to the work in progress.
MIN_FACTOR = 0.3
MAX_FACTOR = 0.9
# Share of itself, and number of requests, by which the limit rises.
RISE_SHARE = 0.05
MIN_RISE = 1.0
# Seconds between two changes.
CHANGE_S = 0.2
# Smallest limit.
MIN_LIMIT = 4.0
# Seconds without lag, at half of the limit or less, after which there is none.
UNUSED_S = 3.0
UNUSED_SHARE = 0.5


class ProgressLimit:
    """The limit of one instance.

    Attributes:
      limit: most requests in progress; None while the loop keeps up.
    """

    __slots__ = ("_changed_s", "_unused_since_s", "limit")

    def __init__(self) -> None:
        self.limit: float | None = None
        self._changed_s = float("-inf")
        self._unused_since_s = float("inf")

    def has_room(self, in_progress: int) -> bool:
        """Returns whether one more request may begin."""
        return self.limit is None or in_progress < self.limit

    def note_lag(self, lag_s: float, in_progress: int, now_s: float) -> None:
        """Adapts the limit.

        Args:
          lag_s: standing lag of the event loop in seconds.
          in_progress: requests in progress.
          now_s: current time in monotonic seconds.
        """
        if now_s - self._changed_s < CHANGE_S:
            return
        if lag_s > BEHIND_S:
            self._unused_since_s = float("inf")
            self._lower(lag_s, in_progress, now_s)
        elif self.limit is not None and lag_s < KEEPS_UP_S:
            self._raise(self.limit, in_progress, now_s)

    def _lower(self, lag_s: float, in_progress: int, now_s: float) -> None:
        if self.limit is not None and in_progress > self.limit:
            # The last change has not taken effect yet.
            return
        factor = min(MAX_FACTOR, max(MIN_FACTOR, BEHIND_S / lag_s))
        self.limit = max(MIN_LIMIT, factor * in_progress)
        self._changed_s = now_s

    def _raise(self, limit: float, in_progress: int, now_s: float) -> None:
        if in_progress > UNUSED_SHARE * limit:
            self._unused_since_s = float("inf")
        else:
            self._unused_since_s = min(self._unused_since_s, now_s)
            if now_s - self._unused_since_s >= UNUSED_S:
                self.limit = None
                self._unused_since_s = float("inf")
                return
        if in_progress >= MAX_FACTOR * limit:
            self.limit = limit + max(MIN_RISE, RISE_SHARE * limit)
            self._changed_s = now_s
