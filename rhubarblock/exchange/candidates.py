"""Selects the endpoints that an exchange may be sent to.

An instance uses a subset of the listed endpoints. It sends nothing to endpoints
outside the home regions of an exchange, in a cool-down, rate-limited without a
permit, or to those that got as much as a cold endpoint survives. It avoids
those that failed lately, and probes a recovering endpoint with short requests
only.
"""

from collections.abc import Mapping
import dataclasses
import random
import types

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import homes
from rhubarblock.core import listed as lists
from rhubarblock.exchange import coldroom
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths
from rhubarblock.routing.coldstart import recentcounts

# Jitter in seconds on the Retry-After of callers that were refused because of a
# cool-down, so that only one of them probes the endpoint at first.
COOLDOWN_SPREAD_S = 1.0
# Retry-After in seconds of callers whose service is evacuated everywhere, and
# its jitter: an operator ends an evacuation after seconds at the earliest, and
# all callers would return at once.
EVACUATED_RETRY_S = 1.0
EVACUATED_SPREAD_S = 1.0
# Longest prompt in tokens that may probe an endpoint that failed.
MAX_PROBE_TOKENS = 8_000


# Number of endpoints in its home regions below which an exchange also uses
# those outside the instance's subset, so that it has some for retries.
# Placements of other instances there are not known, so predictions are worse.
MIN_HOME_ENDPOINTS = 4

# The regions of a deployment that states none.
_NO_REGIONS: Mapping[str, str] = types.MappingProxyType({})


@dataclasses.dataclass(slots=True, frozen=True)
class HomeShortage:
    """Why the home regions of an exchange leave it no endpoint.

    Attributes:
      is_final: whether no data centre of the deployment may ever serve it.
      listed: number of endpoints of the service that take new work.
      unknown: number of these whose region is unknown.
    """

    is_final: bool
    listed: int
    unknown: int


@dataclasses.dataclass(slots=True, frozen=True)
class RetryAdvice:
    """When a caller that found no available endpoint may retry.

    Attributes:
      after_s: Retry-After in seconds.
      reason: why no endpoint was available.
    """

    after_s: float
    reason: str


class Candidates:
    """Selects among the endpoints of a service for one instance."""

    __slots__ = (
        "_data_centre",
        "_directory",
        "_health",
        "_limits",
        "_own_id",
        "_cooldowns",
        "_regions",
        "_room",
        "_rng",
        "_subsets",
        "_timers",
        "_used",
        "_used_number",
    )

    def __init__(
        self,
        directory: directories.Directory,
        health: healths.Health,
        subsets_: subsets.Subsets,
        limits: endpointlimits.EndpointLimits,
        cooldowns_: cooldowns.Cooldowns,
        instance_id: str,
        data_centre: str,
        timers: timer_service.Timers,
        rng: random.Random,
        regions: Mapping[str, str] = _NO_REGIONS,
        room: coldroom.ColdRoom | None = None,
    ):
        """Creates a selector with an empty cache.

        Args:
          directory: known endpoints.
          health: circuit breakers of endpoints.
          subsets_: which endpoints of a large pool an instance uses.
          limits: rate limits that endpoints state.
          cooldowns_: cool-downs that endpoints asked for.
          instance_id: name of this instance.
          data_centre: data centre of this instance.
          timers: the clock.
          rng: jitter of Retry-After.
          regions: region of each data centre; empty if they are unknown.
          room: bounds what possibly cold endpoints get; None if the deployment
            has no bounds for them.
        """
        self._room = room
        self._directory = directory
        self._health = health
        self._subsets = subsets_
        self._limits = limits
        self._cooldowns = cooldowns_
        self._rng = rng
        self._own_id = instance_id
        self._data_centre = data_centre
        self._timers = timers
        self._regions = regions
        # Endpoints by service and home regions, all of one change number of
        # the directory.
        self._used: dict[
            tuple[str, frozenset[str] | None], list[lists.ListedEndpoint]
        ] = {}
        self._used_number = -1

    def list_for(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints to choose from, healthy ones if there are any.

        An endpoint that failed is probed by short requests only, one at a time,
        so that no long prompt depends on its recovery.

        Args:
          exchange: the exchange to send.
          avoid: ids of endpoints at which it failed.
        """
        now_s = self._timers.read_monotonic()
        usable = self._list_available(exchange, avoid)
        healthy = [
            endpoint
            for endpoint in usable
            if not self._is_deprioritised(endpoint, now_s)
        ]
        if exchange.prompt_tokens <= MAX_PROBE_TOKENS:
            return self._limits.select_due(healthy) or healthy or usable
        # A split prefill takes many requests, so rate-limited endpoints come
        # last.
        healthy = self._limits.select_unlimited(healthy) or healthy
        proven = [
            endpoint
            for endpoint in healthy
            if not self._health.is_tripped(endpoint.endpoint_id)
        ]
        return proven or healthy or usable

    def predict_availability(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> float | None:
        """Returns the seconds until an endpoint may be available.

        Args:
          exchange: the exchange to send.
          avoid: ids of endpoints at which it failed.

        Returns:
          None if an endpoint is available that has no rate limit, or if there
          is no endpoint to wait for.
        """
        ready = self._list_not_cooling_down(exchange, avoid)
        roomy = self._list_roomy(exchange, ready)
        permit_s = self._limits.predict_permit(roomy)
        if roomy and permit_s is None:
            return None
        waits = [
            permit_s,
            self._predict_room(exchange, ready, roomy),
            self._find_cooldown_end(exchange, avoid),
        ]
        return min((s for s in waits if s is not None), default=None)

    def find_retry_after(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> RetryAdvice | None:
        """Returns when a refused caller may retry.

        Args:
          exchange: the exchange to send.
          avoid: ids of endpoints at which it failed.

        Returns:
          None if neither evacuations, rate limits nor cool-downs were the
          reason.
        """
        service = exchange.service.name
        if self._directory.has_evacuated(service) and not self._list_used(
            exchange
        ):
            after_s = (
                EVACUATED_RETRY_S + EVACUATED_SPREAD_S * self._rng.random()
            )
            return RetryAdvice(after_s, "its data centres are evacuated")
        ready = self._list_not_cooling_down(exchange, avoid)
        roomy = self._list_roomy(exchange, ready)
        permit_s = self._limits.find_retry_after(roomy)
        if roomy and permit_s is None:
            return None
        room_s = self._predict_room(exchange, ready, roomy)
        if room_s is not None and (permit_s is None or room_s < permit_s):
            spread_s = recentcounts.BOUND_S * self._rng.random()
            reason = "endpoints that may be cold have no room"
            return RetryAdvice(room_s + spread_s, reason)
        cooldown_s = None
        if len(self._list_not_cooling_down(exchange, set())) == len(ready):
            # Otherwise an endpoint that failed this request has no cool-down
            # and may accept the caller's next one sooner.
            cooldown_s = self._find_cooldown_end(exchange, set())
        if cooldown_s is not None:
            cooldown_s += COOLDOWN_SPREAD_S * self._rng.random()
            if permit_s is None or cooldown_s < permit_s:
                return RetryAdvice(cooldown_s, "endpoints ask for rest")
        if permit_s is None:
            return None
        reason = "the rate limits of endpoints leave no room"
        return RetryAdvice(permit_s, reason)

    def find_home_shortage(
        self, exchange: exchanges.Exchange
    ) -> HomeShortage | None:
        """Returns why home regions leave an exchange no endpoint.

        Returns:
          None if they leave it one, or if it has no home regions.
        """
        home_regions = exchange.home_regions
        if home_regions is None or self._list_used(exchange):
            return None
        listed = self._directory.list_usable(exchange.service.name)
        return HomeShortage(
            not homes.can_serve(home_regions, self._regions),
            len(listed),
            homes.count_unknown(listed, self._regions),
        )

    def _find_cooldown_end(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> float | None:
        """Returns the seconds until the first cool-down ends, or None."""
        now_s = self._timers.read_monotonic()
        remaining = [
            self._cooldowns.find_remaining(endpoint.endpoint_id, now_s)
            for endpoint in self._list_not_avoided(exchange, avoid)
        ]
        return min(
            (left_s for left_s in remaining if left_s > 0.0), default=None
        )

    def _is_deprioritised(
        self, endpoint: lists.ListedEndpoint, now_s: float
    ) -> bool:
        """Returns whether other endpoints are preferred."""
        if self._cooldowns.is_probed(endpoint.endpoint_id, now_s):
            return True
        return self._health.is_suspect(
            endpoint.endpoint_id, endpoint.data_centre, now_s
        )

    def _list_available(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints that no cool-down and no rate limit blocks.

        Requests a permit if one could be used.
        """
        ready = self._list_not_cooling_down(exchange, avoid)
        used = self._list_roomy(exchange, ready)
        usable = self._limits.select_available(used)
        if len(usable) == len(used):
            return used
        if not usable or exchange.prompt_tokens <= MAX_PROBE_TOKENS:
            now_s = self._timers.read_monotonic()
            max_wait_s = endpointlimits.find_max_wait(exchange, now_s)
            within_s = max(endpointlimits.MIN_PERMIT_WAIT_S, max_wait_s)
            self._limits.request_permit(used, exchange.request_id, within_s)
            # This instance may grant the permit itself.
            usable = self._limits.select_available(used)
        return usable

    def note_called(self, endpoint_id: str) -> None:
        """Counts a plain call that goes to an endpoint."""
        if self._room is not None:
            now_s = self._timers.read_monotonic()
            self._room.calls.note(endpoint_id, now_s)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Drops endpoints that are no longer listed."""
        if self._room is not None:
            self._room.keep_only(endpoint_ids)

    def _list_roomy(
        self,
        exchange: exchanges.Exchange,
        ready: list[lists.ListedEndpoint],
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints below the bound for cold ones."""
        if self._room is None:
            return ready
        return self._room.select(exchange.service, ready)

    def _predict_room(
        self,
        exchange: exchanges.Exchange,
        ready: list[lists.ListedEndpoint],
        roomy: list[lists.ListedEndpoint],
    ) -> float | None:
        """Returns the seconds until an endpoint at the bound is below it.

        None if none is at the bound.
        """
        if self._room is None or len(roomy) == len(ready):
            return None
        full = [e for e in ready if e not in roomy]
        # A permit is needed besides.
        permit_s = self._limits.predict_permit(full) or 0.0
        room_s = self._room.predict(exchange.service, full)
        return None if room_s is None else max(room_s, permit_s)

    def _list_not_cooling_down(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints without a cool-down, rate-limited ones too."""
        used = self._list_not_avoided(exchange, avoid)
        if not self._cooldowns:
            return used
        now_s = self._timers.read_monotonic()
        return [
            endpoint
            for endpoint in used
            if not self._cooldowns.is_cooling_down(endpoint.endpoint_id, now_s)
        ]

    def _list_not_avoided(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        used = self._list_used(exchange)
        if not avoid:
            return used
        return [e for e in used if e.endpoint_id not in avoid]

    def _list_used(
        self, exchange: exchanges.Exchange
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints that this instance uses for an exchange.

        They are those of its service in its home regions. The result is cached
        until the directory changes: each prompt needs it, and filtering a pool
        of 195 endpoints takes 0.1 ms.
        """
        if self._used_number != self._directory.number:
            # Dropping all of them bounds the cache by the home regions in use.
            self._used.clear()
            self._used_number = self._directory.number
        key = exchange.service.name, exchange.home_regions
        used = self._used.get(key)
        if used is None:
            used = self._used[key] = self._select_used(*key)
        return used

    def _select_used(
        self, service: str, home_regions: frozenset[str] | None
    ) -> list[lists.ListedEndpoint]:
        listed = self._directory.list_usable(service)
        used = self._subsets.select(self._own_id, self._data_centre, listed)
        selected = homes.select(used, home_regions, self._regions)
        if home_regions is None or len(selected) >= MIN_HOME_ENDPOINTS:
            return selected
        # The subset of a large pool may lack the home regions.
        return homes.select(listed, home_regions, self._regions)
