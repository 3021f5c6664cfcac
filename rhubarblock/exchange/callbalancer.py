"""Balances plain calls by the calls in flight at each endpoint.

A plain call is a request that carries no prompt for an engine. A call counts as
much as calls at its endpoint take longer than elsewhere.
"""

from collections.abc import Iterator
import contextlib

from rhubarblock.core import listed as lists
from rhubarblock.exchange import calltimes
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


class Call:
    """A call in flight."""

    __slots__ = ("_balancer", "_endpoint", "_started_s")

    def __init__(
        self,
        balancer: "CallBalancer",
        endpoint: lists.ListedEndpoint,
        started_s: float,
    ):
        """Starts a call.

        Args:
          balancer: learns how long it takes.
          endpoint: where it is sent.
          started_s: when it was placed, in monotonic seconds.
        """
        self._balancer = balancer
        self._endpoint = endpoint
        self._started_s = started_s

    def note_answered(self) -> None:
        """Records that the whole answer arrived and is no error."""
        self._balancer.note_answered(self._endpoint, self._started_s)


class CallBalancer:
    """Counts the calls in flight of one instance by endpoint."""

    __slots__ = (
        "_calls",
        "_data_centre",
        "_full_until_s",
        "_health",
        "_times",
        "_timers",
    )

    def __init__(
        self,
        health: healths.Health,
        data_centre: str,
        timers: timer_service.Timers,
        times: calltimes.CallTimes | None = None,
    ):
        """Creates a balancer without calls.

        Args:
          health: error rates of endpoints.
          data_centre: data centre of this instance.
          timers: the clock.
          times: durations of calls; None to start without any.
        """
        self._health = health
        self._data_centre = data_centre
        self._timers = timers
        self._times = times or calltimes.CallTimes()
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
        return controllers.Outlook(0.0, 0.0, 0.0, 0.0)

    @contextlib.contextmanager
    def hold(self, endpoint_id: str) -> Iterator[None]:
        """Counts a call as in flight while the context is open."""
        self._calls[endpoint_id] = self._calls.get(endpoint_id, 0) + 1
        try:
            yield
        finally:
            self._calls[endpoint_id] -= 1

    def measure(self, endpoint: lists.ListedEndpoint) -> Call:
        """Returns the measurement of a call that is placed now."""
        return Call(self, endpoint, self._timers.read_monotonic())

    def note_answered(
        self, endpoint: lists.ListedEndpoint, started_s: float
    ) -> None:
        """Records how long a call took.

        It says nothing about the endpoint if calls of this instance alone fill
        its slots, so that it had to wait there.

        Args:
          endpoint: where it was sent.
          started_s: when it was placed, in monotonic seconds.
        """
        if self._calls.get(endpoint.endpoint_id, 0) > endpoint.slots:
            return
        now_s = self._timers.read_monotonic()
        self._times.note(
            endpoint.service, endpoint.endpoint_id, now_s - started_s, now_s
        )

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
        self._times.keep_only(endpoint_ids)

    def _compute_cost(self, endpoint: lists.ListedEndpoint) -> float:
        """Returns the cost of an endpoint, in calls in flight."""
        calls = float(self._calls.get(endpoint.endpoint_id, 0))
        if self._is_full(endpoint.endpoint_id):
            calls = max(calls, endpoint.slots)
        errors = endpoint.slots * self._health.find_error_rate(
            endpoint.endpoint_id
        )
        is_far = endpoint.data_centre != self._data_centre
        factor = self._times.find_factor(
            endpoint.service,
            endpoint.endpoint_id,
            self._timers.read_monotonic(),
        )
        if factor != 1.0:
            # The next call takes the factor times as long, as do those before.
            calls = factor * (calls + 1.0) - 1.0
        return calls + errors + FAR_PENALTY_CALLS * is_far

    def _is_full(self, endpoint_id: str) -> bool:
        until_s = self._full_until_s.get(endpoint_id)
        return until_s is not None and self._timers.read_monotonic() < until_s
