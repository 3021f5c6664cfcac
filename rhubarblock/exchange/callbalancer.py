"""Plain calls under way at this instance, and where the next one goes."""

from collections.abc import Iterator
import contextlib

from rhubarblock.core import listed as lists
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths

# Calls that run at a near endpoint before a far one is used: a third of the
# usual six at once, as other instances call it too.
FAR_CALLS = 2.5
# Seconds for which an endpoint that refused a call counts as full.
FULL_S = 0.2


class CallBalancer:
    """Counts the calls of one instance by endpoint."""

    __slots__ = (
        "_calls",
        "_data_centre",
        "_full_until_s",
        "_health",
        "_timers",
    )

    def __init__(
        self,
        health: healths.Health,
        data_centre: str,
        timers: timer_service.Timers,
    ):
        """Starts with none.

        Args:
          health: tells how many answers of an endpoint are failures.
          data_centre: where this instance runs.
          timers: the clock.
        """
        self._health = health
        self._data_centre = data_centre
        self._timers = timers
        self._calls: dict[str, int] = {}
        self._full_until_s: dict[str, float] = {}

    def choose(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> lists.ListedEndpoint:
        """Returns the endpoint against which least speaks."""
        return min(endpoints, key=self._weigh)

    @contextlib.contextmanager
    def hold(self, endpoint_id: str) -> Iterator[None]:
        """Counts a call while the context is open."""
        self._calls[endpoint_id] = self._calls.get(endpoint_id, 0) + 1
        try:
            yield
        finally:
            self._calls[endpoint_id] -= 1

    def note_refused(self, endpoint_id: str) -> None:
        """Takes in that an endpoint refused a call.

        What refuses at once has no calls under way, and would else look better
        than any other.
        """
        now_s = self._timers.read_monotonic()
        self._full_until_s[endpoint_id] = now_s + FULL_S

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are not there any more and run nothing."""
        for endpoint_id in [e for e in self._calls if e not in endpoint_ids]:
            if not self._calls[endpoint_id]:
                del self._calls[endpoint_id]
        for endpoint_id in set(self._full_until_s) - endpoint_ids:
            del self._full_until_s[endpoint_id]

    def _weigh(self, endpoint: lists.ListedEndpoint) -> float:
        """Returns what speaks against an endpoint, in calls before it."""
        calls = self._calls.get(endpoint.endpoint_id, 0)
        if self._is_full(endpoint.endpoint_id):
            calls = max(calls, endpoint.slots)
        errors = endpoint.slots * self._health.find_error_rate(
            endpoint.endpoint_id
        )
        is_far = endpoint.data_centre != self._data_centre
        return calls + errors + FAR_CALLS * is_far

    def _is_full(self, endpoint_id: str) -> bool:
        until_s = self._full_until_s.get(endpoint_id)
        return until_s is not None and self._timers.read_monotonic() < until_s
