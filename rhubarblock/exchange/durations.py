"""How long the exchanges of a route take.

An instance that is about to stop uses it to refuse what would not end in time:
another instance can serve it whole, while a stream that is cut is lost.
"""

import math

# Weight of one exchange in the mean of its route.
WEIGHT = 0.1
# Multiple of the mean that an exchange must have left: streams differ in
# length, and endpoints in speed.
MARGIN = 1.5
# Most routes that are remembered.
MAX_ROUTES = 1_000


class RouteDurations:
    """Mean durations of one instance's exchanges by route."""

    __slots__ = ("_means_s",)

    def __init__(self) -> None:
        """Starts without durations."""
        self._means_s: dict[str, float] = {}

    def note(self, route: str, duration_s: float) -> None:
        """Counts an exchange that was answered whole.

        Args:
          route: name of its route.
          duration_s: seconds from its arrival to the end of its answer.
        """
        # Removed first, so that routes that are gone are the oldest ones.
        mean_s = self._means_s.pop(route, duration_s)
        self._means_s[route] = mean_s + WEIGHT * (duration_s - mean_s)
        if len(self._means_s) > MAX_ROUTES:
            del self._means_s[next(iter(self._means_s))]

    def fits(self, route: str, left_s: float) -> bool:
        """Says whether an exchange of a route should end within some seconds.

        One of a route without durations should.
        """
        mean_s = self._means_s.get(route)
        if mean_s is None or left_s == math.inf:
            return True
        return MARGIN * mean_s <= left_s
