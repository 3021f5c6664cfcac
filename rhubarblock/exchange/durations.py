"""How long the exchanges of a route take.

An instance that is about to stop uses it to refuse what would not end in time:
another instance can serve it whole, while a stream that is cut is lost, and a
call that may run only once is neither answered nor repeated.
"""

import math

# Weight of one exchange in the mean of its route.
WEIGHT = 0.1
# Multiple of the mean that an exchange must have left: streams differ in
# length, and endpoints in speed.
MARGIN = 1.5
# Number of exchanges whose longest one is remembered, up to twice as many.
REMEMBERED = 100
# Most routes that are remembered.
MAX_ROUTES = 1_000


class _Durations:
    """Durations of one route's exchanges, in seconds.

    Attributes:
      mean_s: mean that follows the latest ones.
    """

    __slots__ = ("_count", "_earlier_s", "_longest_s", "mean_s")

    def __init__(self, first_s: float):
        self.mean_s = first_s
        self._longest_s = 0.0
        self._earlier_s = 0.0
        self._count = 0

    @property
    def longest_s(self) -> float:
        """The longest one of the latest ``REMEMBERED`` ones or more."""
        return max(self._longest_s, self._earlier_s)

    def note(self, duration_s: float) -> None:
        self.mean_s += WEIGHT * (duration_s - self.mean_s)
        if self._count == REMEMBERED:
            self._earlier_s = self._longest_s
            self._longest_s = 0.0
            self._count = 0
        self._longest_s = max(self._longest_s, duration_s)
        self._count += 1


class RouteDurations:
    """Durations of one instance's exchanges by route."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        """Starts without durations."""
        self._routes: dict[str, _Durations] = {}

    def note(self, route: str, duration_s: float) -> None:
        """Counts an exchange that was answered whole.

        Args:
          route: name of its route.
          duration_s: seconds from the end of its request to that of its
            answer.
        """
        # Removed first, so that routes that are gone are the oldest ones.
        known = self._routes.pop(route, None) or _Durations(duration_s)
        known.note(duration_s)
        self._routes[route] = known
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]

    def fits(
        self, route: str, left_s: float, is_repeatable: bool = True
    ) -> bool:
        """Says whether an exchange of a route should end within some seconds.

        Args:
          route: name of its route.
          left_s: seconds that are left.
          is_repeatable: whether it may be sent again if it does not end. One
            that may not has to fit even if it is as long as the longest one,
            and does not fit if its route has no durations.
        """
        if left_s == math.inf:
            return True
        known = self._routes.get(route)
        if known is None:
            return is_repeatable
        needed_s = MARGIN * known.mean_s
        if not is_repeatable:
            needed_s = max(needed_s, known.longest_s)
        return needed_s <= left_s
