"""Balances plain calls by the calls in flight at each endpoint.

A plain call is a request that carries no prompt for an engine.
"""

from collections.abc import Iterator
import contextlib

from rhubarblock.core import listed as lists
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths
from rhubarblock.routing.admission import controller as controllers

# Extra cost of an endpoint in another data centre, in calls in flight: an idle
# far endpoint is used once the near one has three calls of this instance. The
# cost is about a third of the usual six slots, as other instances call the near
# one too.
FAR_PENALTY_CALLS = 2.5
# Time in seconds for which an endpoint that refused a call counts as full.
FULL_S = 0.2


class CallBalancer:
    """Counts the calls in flight of one instance by endpoint."""

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
        """Creates a balancer without calls.

        Args:
          health: error rates of endpoints.
          data_centre: data centre of this instance.
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
        """Returns the endpoint with the lowest cost."""
        return min(endpoints, key=self._compute_cost)

    def predict(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> controllers.Outlook | None:
        """Returns the outlook of a call, None if all endpoints are full.

        Args:
          endpoints: endpoints that may be used; at least one.
        """
        if all(self._is_full(e.endpoint_id) for e in endpoints):
            return None
        return controllers.Outlook(0.0, 0.0, 0.0)

    @contextlib.contextmanager
    def hold(self, endpoint_id: str) -> Iterator[None]:
        """Counts a call as in flight while the context is open."""
        self._calls[endpoint_id] = self._calls.get(endpoint_id, 0) + 1
        try:
            yield
        finally:
            self._calls[endpoint_id] -= 1

    def note_refused(self, endpoint_id: str) -> None:
        """Records that an endpoint refused a call.

        An endpoint that refuses at once has no calls in flight and would
        otherwise look better than all others.
        """
        now_s = self._timers.read_monotonic()
        self._full_until_s[endpoint_id] = now_s + FULL_S

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Drops unlisted endpoints that have no calls in flight."""
        for endpoint_id in [e for e in self._calls if e not in endpoint_ids]:
            if not self._calls[endpoint_id]:
                del self._calls[endpoint_id]
        for endpoint_id in set(self._full_until_s) - endpoint_ids:
            del self._full_until_s[endpoint_id]

    def _compute_cost(self, endpoint: lists.ListedEndpoint) -> float:
        """Returns the cost of an endpoint, in calls in flight."""
        calls = self._calls.get(endpoint.endpoint_id, 0)
        if self._is_full(endpoint.endpoint_id):
            calls = max(calls, endpoint.slots)
        errors = endpoint.slots * self._health.find_error_rate(
            endpoint.endpoint_id
        )
        is_far = endpoint.data_centre != self._data_centre
        return calls + errors + FAR_PENALTY_CALLS * is_far

    def _is_full(self, endpoint_id: str) -> bool:
        until_s = self._full_until_s.get(endpoint_id)
        return until_s is not None and self._timers.read_monotonic() < until_s
