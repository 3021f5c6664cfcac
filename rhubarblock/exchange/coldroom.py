"""Bounds what endpoints get that may be cold without being known as such.

An endpoint may become cold at any moment, and it takes seconds until this is
known. So no endpoint of a service with a cold rate gets more in any second than
a cold one survives, as far as this instance knows what it and its peers sent.
"""

from collections.abc import Callable
import random

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.coldstart import coldbound
from rhubarblock.routing.coldstart import recentcounts

# Seconds for which the users of an endpoint are cached. Counting them takes a
# pass over all instances, and a lost one is noticed no sooner.
USERS_TTL_S = 10.0
# Seconds, for each of its users, over which instances spread their return to an
# endpoint that was at the bound, a few times the latency of a datagram: those
# that see the same room at once would exceed the bound together.
SPREAD_PER_USER_S = 0.005
# Longest such time in seconds, well below the time for which requests wait.
MAX_SPREAD_S = 0.5


class ColdRoom:
    """What one instance may still send to each endpoint.

    Attributes:
      calls: the plain calls that this instance sent; calls are not announced to
        peers.
    """

    __slots__ = (
        "_bound",
        "_count_users",
        "_find_reached",
        "_full_until_s",
        "_placed",
        "_rng",
        "_timers",
        "_users",
        "calls",
    )

    def __init__(
        self,
        bound: coldbound.ColdBound,
        placed: recentcounts.RecentCounts,
        find_reached: Callable[[str], float],
        count_users: Callable[[str], int],
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        """Creates a bound without any calls.

        Args:
          bound: the deployment's bound.
          placed: parts of prompts that this instance and its peers placed.
          find_reached: returns the part of the instances using an endpoint that
            this one hears from, itself included, by the endpoint's id.
          count_users: returns the number of instances that use an endpoint.
          timers: the clock.
          rng: spreads the instances that return to an endpoint.
        """
        self._bound = bound
        self._count_users = count_users
        self._rng = rng
        # When this instance may use an endpoint again that was at the bound.
        self._full_until_s: dict[str, float] = {}
        self._placed = placed
        self._find_reached = find_reached
        self._timers = timers
        # When the users of an endpoint were counted, their number, and the part
        # of them that is reached.
        self._users: dict[str, tuple[float, int, float]] = {}
        self.calls = recentcounts.RecentCounts()

    def select(
        self,
        service: routes.ServiceSpec,
        endpoints: list[lists.ListedEndpoint],
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints of a service that are below the bound."""
        if service.cold_per_s <= 0.0:
            return endpoints
        now_s = self._timers.read_monotonic()
        allowed = self._bound.compute_allowed(service)
        return [
            e
            for e in endpoints
            if self._is_quiet(e.endpoint_id, allowed, now_s)
            or not self._find_wait(service, e, now_s)
        ]

    def predict(
        self,
        service: routes.ServiceSpec,
        endpoints: list[lists.ListedEndpoint],
    ) -> float | None:
        """Returns the seconds until an endpoint is below the bound.

        Returns:
          None if there are no endpoints.
        """
        now_s = self._timers.read_monotonic()
        waits = [self._find_wait(service, e, now_s) for e in endpoints]
        return min(waits, default=None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Drops endpoints that are no longer listed."""
        self.calls.keep_only(endpoint_ids)
        for known in (self._users, self._full_until_s):
            for endpoint_id in set(known) - endpoint_ids:
                del known[endpoint_id]

    def _is_quiet(self, name: str, allowed: int, now_s: float) -> bool:
        """Returns whether an endpoint is below the bound in the usual case.

        This is a faster check than the wait, as each request needs it for all
        endpoints of its service.

        Args:
          name: id of the endpoint.
          allowed: number of requests up to which the instances send while all
            of them are reached.
          now_s: current time in monotonic seconds.
        """
        if name in self._full_until_s:
            return False
        cached = self._users.get(name)
        if cached is None or now_s - cached[0] >= USERS_TTL_S:
            return False
        if cached[2] < 1.0:
            return False
        most = self._placed.count_kept(name) + self.calls.count_kept(name)
        return most < allowed

    def _find_wait(
        self,
        service: routes.ServiceSpec,
        endpoint: lists.ListedEndpoint,
        now_s: float,
    ) -> float:
        """Returns the seconds until an endpoint may be used, 0 for now."""
        name = endpoint.endpoint_id
        users, reached = self._find_users(name, now_s)
        allowed = self._bound.compute_allowed(service, reached)
        count = self._placed.count(name, now_s) + self.calls.count(name, now_s)
        until_s = self._full_until_s.get(name, now_s)
        if count < allowed:
            if until_s <= now_s:
                self._full_until_s.pop(name, None)
            return max(0.0, until_s - now_s)
        ages_s = self._placed.list_ages(name, now_s)
        ages_s += self.calls.list_ages(name, now_s)
        room_s = now_s + coldbound.predict_room(ages_s, allowed)
        if until_s < room_s:
            spread_s = min(MAX_SPREAD_S, SPREAD_PER_USER_S * (users - 1))
            until_s = room_s + spread_s * self._rng.random()
            self._full_until_s[name] = until_s
        return until_s - now_s

    def _find_users(self, name: str, now_s: float) -> tuple[int, float]:
        """Returns the number of users, and the part of them reached."""
        cached = self._users.get(name)
        if cached is None or now_s - cached[0] >= USERS_TTL_S:
            cached = now_s, self._count_users(name), self._find_reached(name)
            self._users[name] = cached
        return cached[1:]
