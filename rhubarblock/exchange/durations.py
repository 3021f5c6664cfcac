"""How long the exchanges of a route take.

An instance that is about to stop uses it to refuse what would not end in time:
another instance can serve it whole, while a stream that is cut is lost, and a
call that may run only once is neither answered nor repeated.
"""

from collections.abc import Iterator
import contextlib
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
        """Starts with the first one as the mean."""
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

    __slots__ = ("_routes", "_under_way")

    def __init__(self) -> None:
        """Starts without durations."""
        self._routes: dict[str, _Durations] = {}
        # By route, when the exchanges that are under way began, in order.
        self._under_way: dict[str, dict[object, float]] = {}

    @contextlib.contextmanager
    def track(self, route: str, began_s: float) -> Iterator[None]:
        """Counts an exchange as under way while the context is open.

        Args:
          route: name of its route.
          began_s: when it began, in monotonic seconds.

        Yields:
          Nothing.
        """
        starts = self._under_way.setdefault(route, {})
        key = object()
        starts[key] = began_s
        try:
            yield
        finally:
            del starts[key]
            if not starts:
                self._under_way.pop(route, None)

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
        self, route: str, now_s: float, ends_s: float, is_repeatable: bool
    ) -> bool:
        """Says whether an exchange that begins now should end in time.

        Args:
          route: name of its route.
          now_s: the present monotonic time in seconds.
          ends_s: when it has to end, on the same clock.
          is_repeatable: whether it may be sent again if it does not end. One
            that may not has to fit even if it is as long as the longest one,
            or takes longer than those that are under way have taken so far; it
            does not fit if its route has no durations.
        """
        if ends_s == math.inf:
            return True
        known = self._routes.get(route)
        if known is None:
            return is_repeatable
        needed_s = MARGIN * known.mean_s
        if not is_repeatable:
            starts = self._under_way.get(route, {}).values()
            oldest_s = now_s - next(iter(starts), now_s)
            needed_s = max(needed_s, known.longest_s, MARGIN * oldest_s)
        return now_s + needed_s <= ends_s
