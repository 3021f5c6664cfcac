"""The endpoints that an exchange may go to.

Of those that the list names an instance uses a part. It sends nothing to those
that asked for rest or have no permit within their rate limit, leaves alone
those that failed lately, and gives an endpoint on trial short work only.
"""

import dataclasses
import random

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed as lists
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths

# Seconds over which callers come back that were refused because of a rest: only
# one of them tries the endpoint at first.
REST_SPREAD_S = 1.0
# Longest prompt in tokens with which an endpoint that failed is tried again.
TRIAL_TOKENS = 8_000


@dataclasses.dataclass(slots=True, frozen=True)
class _UsedEndpoints:
    """The endpoints of a service that this instance uses.

    Attributes:
      number: of the directory's change from which they were derived.
      endpoints: the endpoints.
    """

    number: int
    endpoints: list[lists.ListedEndpoint]


@dataclasses.dataclass(slots=True, frozen=True)
class Opening:
    """When a caller that found no endpoint open may come back.

    Attributes:
      after_s: seconds from now.
      reason: what kept its request from all endpoints.
    """

    after_s: float
    reason: str


class Candidates:
    """Chooses among the endpoints of a service for one instance."""

    __slots__ = (
        "_data_centre",
        "_directory",
        "_health",
        "_limits",
        "_own_id",
        "_rests",
        "_rng",
        "_subsets",
        "_timers",
        "_used",
    )

    def __init__(
        self,
        directory: directories.Directory,
        health: healths.Health,
        subsets_: subsets.Subsets,
        limits: endpointlimits.EndpointLimits,
        rests_: cooldowns.Cooldowns,
        instance_id: str,
        data_centre: str,
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        """Starts with nothing derived.

        Args:
          directory: endpoints that are known.
          health: endpoints to leave alone.
          subsets_: which endpoints of a large pool an instance uses.
          limits: rate limits that endpoints name.
          rests_: endpoints that asked for rest.
          instance_id: name of this instance.
          data_centre: where it runs.
          timers: the clock.
          rng: spreads callers that come back.
        """
        self._directory = directory
        self._health = health
        self._subsets = subsets_
        self._limits = limits
        self._rests = rests_
        self._rng = rng
        self._own_id = instance_id
        self._data_centre = data_centre
        self._timers = timers
        self._used: dict[str, _UsedEndpoints] = {}

    def list_for(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints to choose from, sound ones if there are any.

        An endpoint that failed is offered to short work only, one request at a
        time, so that a long prompt does not depend on its coming back.

        Args:
          exchange: what is to be sent.
          avoid: endpoints that failed it.
        """
        now_s = self._timers.read_monotonic()
        usable = self._list_open(exchange, avoid)
        sound = [
            endpoint
            for endpoint in usable
            if not self._is_left_alone(endpoint, now_s)
        ]
        if exchange.prompt_tokens <= TRIAL_TOKENS:
            return self._limits.select_due(sound) or sound or usable
        # Reading in parts takes many orders, and an endpoint that named a limit
        # wants few requests.
        sound = self._limits.select_unlimited(sound) or sound
        proven = [
            endpoint
            for endpoint in sound
            if not self._health.is_tripped(endpoint.endpoint_id)
        ]
        return proven or sound or usable

    def predict_opening(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> float | None:
        """Returns the seconds until an endpoint may be open for an exchange.

        Args:
          exchange: what is to be sent.
          avoid: endpoints that failed it.

        Returns:
          None if no rate limit and no rest keeps it from some endpoint.
        """
        awake = self._list_awake(exchange, avoid)
        permit_s = self._limits.predict_permit(awake)
        if awake and permit_s is None:
            return None
        waits = [permit_s, self._find_rest_end(exchange, avoid)]
        return min((s for s in waits if s is not None), default=None)

    def find_return(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> Opening | None:
        """Returns when a refused caller may come back.

        Args:
          exchange: what is to be sent.
          avoid: endpoints that failed it.

        Returns:
          None if neither rate limits nor rests were why.
        """
        awake = self._list_awake(exchange, avoid)
        permit_s = self._limits.find_return(awake)
        if awake and permit_s is None:
            return None
        rest_s = None
        if len(self._list_awake(exchange, set())) == len(awake):
            # An endpoint that turned this request away may take the next one.
            rest_s = self._find_rest_end(exchange, set())
        if rest_s is not None:
            rest_s += REST_SPREAD_S * self._rng.random()
            if permit_s is None or rest_s < permit_s:
                return Opening(rest_s, "endpoints ask for rest")
        if permit_s is None:
            return None
        reason = "the rate limits of endpoints leave no room"
        return Opening(permit_s, reason)

    def _find_rest_end(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> float | None:
        """Returns the seconds until the first rest ends, None without one."""
        now_s = self._timers.read_monotonic()
        left = [
            self._rests.find_remaining(endpoint.endpoint_id, now_s)
            for endpoint in self._list_unavoided(exchange, avoid)
        ]
        return min((left_s for left_s in left if left_s > 0.0), default=None)

    def _is_left_alone(
        self, endpoint: lists.ListedEndpoint, now_s: float
    ) -> bool:
        """Says whether others go first, if there are any."""
        if self._rests.is_probed(endpoint.endpoint_id, now_s):
            return True
        return self._health.is_suspect(
            endpoint.endpoint_id, endpoint.data_centre, now_s
        )

    def _list_open(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints that no rest and no rate limit forbids now.

        A permit is asked for where it could be of use.
        """
        used = self._list_awake(exchange, avoid)
        usable = self._limits.select_open(used)
        if len(usable) == len(used):
            return used
        if not usable or exchange.prompt_tokens <= TRIAL_TOKENS:
            now_s = self._timers.read_monotonic()
            patience_s = endpointlimits.find_patience(exchange, now_s)
            within_s = max(endpointlimits.LEAST_WITHIN_S, patience_s)
            self._limits.ask(used, exchange.request_id, within_s)
            # This instance may grant the permit itself.
            usable = self._limits.select_open(used)
        return usable

    def _list_awake(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints that want requests, be it a few only."""
        used = self._list_unavoided(exchange, avoid)
        if not self._rests:
            return used
        now_s = self._timers.read_monotonic()
        return [
            endpoint
            for endpoint in used
            if not self._rests.is_cooling_down(endpoint.endpoint_id, now_s)
        ]

    def _list_unavoided(
        self, exchange: exchanges.Exchange, avoid: set[str]
    ) -> list[lists.ListedEndpoint]:
        used = self._list_used(exchange.service.name)
        if not avoid:
            return used
        return [e for e in used if e.endpoint_id not in avoid]

    def _list_used(self, service: str) -> list[lists.ListedEndpoint]:
        """Returns the endpoints of a service that this instance uses.

        They are derived anew when the directory changed. Each prompt asks for
        them, and going through a pool of 195 takes 0.1 ms.
        """
        number = self._directory.number
        kept = self._used.get(service)
        if kept is not None and kept.number == number:
            return kept.endpoints
        listed = self._directory.list_usable(service)
        used = self._subsets.select(self._own_id, self._data_centre, listed)
        self._used[service] = _UsedEndpoints(number, used)
        return used
