"""Requests permits for endpoints that announced a rate limit.

It sends a request when a placement skipped an endpoint for lack of a permit,
and at a slow pace otherwise, so that the share of an instance that does not
need it serves the others. A coordinator that leaves several requests unanswered
is not asked for a while.
"""

import asyncio
import dataclasses
import logging

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.endpointlimits import coordinator as coordinators
from rhubarblock.routing.endpointlimits import holding
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages
from rhubarblock.routing.endpointlimits import peers as limitpeers

# Seconds to wait for an answer: many times the latency between data centres.
ANSWER_TIMEOUT_S = 0.2
# Unanswered requests after which their peer counts as silent, and for how many
# seconds it does.
MAX_MISSES = 3
SILENT_S = 10.0
# Seconds between two pledges of an instance that needs no permits; two of them
# may be lost before the pledge expires.
PLEDGE_INTERVAL_S = 3.0
# Seconds between two checks for due requests while any limit is known.
CHECK_INTERVAL_S = 0.25
# Most permits in one request.
MAX_WANTED = 16
# Seconds for which the choice of a coordinator is cached.
CHOICE_TTL_S = 1.0

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _RequestState:
    """The permit requests for one endpoint; times in monotonic seconds.

    Attributes:
      coordinator: the peer that is asked.
      chosen_s: when it was chosen.
      asked_s: when it was last asked.
      awaits_answer: whether that request has not been answered yet.
      misses: consecutive requests without an answer.
      pledged_until_s: until when the share may count as pledged to an earlier
        coordinator.
      retry_after_s: no permit is available before this time.
      wanted: requests that could use a permit since the last permit request,
        and until when they could.
    """

    coordinator: str = limitpeers.SELF
    chosen_s: float = -CHOICE_TTL_S
    asked_s: float = -PLEDGE_INTERVAL_S
    awaits_answer: bool = False
    misses: int = 0
    pledged_until_s: float = 0.0
    retry_after_s: float = 0.0
    wanted: dict[str, float] = dataclasses.field(default_factory=dict)


class PermitRequester:
    """Requests the permits of one instance."""

    __slots__ = (
        "_coordinator",
        "_held",
        "_metrics",
        "_peers",
        "_silent",
        "_states",
        "_table",
        "_timer",
        "_timers",
    )

    def __init__(
        self,
        table: limittables.LimitTable,
        held: holding.HeldPermits,
        coordinator: coordinators.PermitCoordinator,
        peers: limitpeers.LimitPeers,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts without any request.

        Args:
          table: the limits.
          held: receives the granted permits.
          coordinator: answers if this instance is the coordinator itself.
          peers: the other instances.
          timers: the clock.
          metrics: counts requests and missing answers.
        """
        self._table = table
        self._held = held
        self._coordinator = coordinator
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._states: dict[str, _RequestState] = {}
        # Peers that don't answer, and until when they are not asked.
        self._silent: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def request_permit(
        self, endpoint_id: str, request_id: str, within_s: float
    ) -> None:
        """Records that a request could use a permit, and asks for one.

        Args:
          endpoint_id: an endpoint that has a limit.
          request_id: id of the request; it counts once between two permit
            requests.
          within_s: seconds after which a permit would be too late.
        """
        now_s = self._timers.read_monotonic()
        state = self._find(endpoint_id)
        if now_s < state.retry_after_s:
            return
        state.wanted[request_id] = now_s + within_s
        held = self._held.count(endpoint_id, now_s)
        if not state.awaits_answer and len(state.wanted) > held:
            self._send_request(endpoint_id, state, now_s)

    def begin(self) -> None:
        """Pledges the share of each new limit and repeats that periodically."""
        now_s = self._timers.read_monotonic()
        for endpoint_id in self._table.list_ids():
            self._check(endpoint_id, self._find(endpoint_id), now_s)
        if self._timer is None and self._table:
            self._timer = self._timers.call_later(
                CHECK_INTERVAL_S, self._check_again
            )

    def receive(self, peer: str, grant: messages.PermitGrant) -> None:
        """Applies the answer of a peer, or of this instance itself."""
        state = self._states.get(grant.endpoint_id)
        if state is None or self._table.find_rate(grant.endpoint_id) is None:
            return
        now_s = self._timers.read_monotonic()
        self._silent.pop(peer, None)
        if peer == state.coordinator:
            state.awaits_answer = False
            state.misses = 0
            state.retry_after_s = now_s + grant.retry_after_s
        self._held.add(grant, now_s)

    def predict_wait(self, endpoint_id: str) -> float:
        """Returns the expected seconds until a permit is available."""
        now_s = self._timers.read_monotonic()
        next_s = self._held.predict_next(endpoint_id, now_s)
        if next_s is not None:
            return next_s
        return max(0.0, self._find(endpoint_id).retry_after_s - now_s)

    def forget(self, endpoint_id: str) -> None:
        """Forgets an endpoint that has no limit any more."""
        self._states.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are no longer listed."""
        for endpoint_id in set(self._states) - endpoint_ids:
            del self._states[endpoint_id]

    def _find(self, endpoint_id: str) -> _RequestState:
        state = self._states.get(endpoint_id)
        if state is None:
            state = self._states[endpoint_id] = _RequestState()
        return state

    def _check_again(self) -> None:
        self._timer = None
        self.begin()

    def _check(
        self, endpoint_id: str, state: _RequestState, now_s: float
    ) -> None:
        if state.awaits_answer and now_s - state.asked_s >= ANSWER_TIMEOUT_S:
            self._note_miss(endpoint_id, state, now_s)
            self._send_request(endpoint_id, state, now_s)
        elif now_s - state.asked_s >= PLEDGE_INTERVAL_S:
            self._send_request(endpoint_id, state, now_s)

    def _note_miss(
        self, endpoint_id: str, state: _RequestState, now_s: float
    ) -> None:
        state.awaits_answer = False
        state.misses += 1
        self._metrics.count("limits.unanswered")
        if state.misses < MAX_MISSES:
            return
        state.misses = 0
        state.chosen_s = -CHOICE_TTL_S
        self._silent[state.coordinator] = now_s + SILENT_S
        _logger.info(
            "coordinator of a limit is silent",
            extra={"endpoint": endpoint_id, "peer": state.coordinator},
        )

    def _send_request(
        self, endpoint_id: str, state: _RequestState, now_s: float
    ) -> None:
        """Asks the coordinator, or answers locally if it is this instance."""
        report = self._table.describe(endpoint_id, now_s)
        if report is None:
            return
        self._choose(endpoint_id, state, now_s)
        held = self._held.count(endpoint_id, now_s)
        wanted = max(0, min(MAX_WANTED, len(state.wanted)) - held)
        latest_s = max(state.wanted.values(), default=now_s)
        request = messages.PermitRequest(
            report,
            wanted,
            max(0.0, state.pledged_until_s - now_s),
            max(0.0, latest_s - now_s),
        )
        state.wanted.clear()
        state.asked_s = now_s
        if state.coordinator == limitpeers.SELF:
            grant = self._coordinator.grant(limitpeers.SELF, request, now_s)
            if grant is not None:
                self.receive(limitpeers.SELF, grant)
            return
        state.awaits_answer = True
        self._metrics.count("limits.asked")
        self._peers.send_request(state.coordinator, request)

    def _choose(
        self, endpoint_id: str, state: _RequestState, now_s: float
    ) -> None:
        """Chooses the coordinator anew once the last choice is too old."""
        if now_s - state.chosen_s < CHOICE_TTL_S:
            return
        for peer, until_s in list(self._silent.items()):
            if until_s <= now_s:
                del self._silent[peer]
        state.chosen_s = now_s
        chosen = self._peers.choose_coordinator(endpoint_id, set(self._silent))
        if chosen == state.coordinator:
            return
        # The previous coordinator counts this share until its pledge expires.
        asked = state.asked_s >= 0.0
        state.pledged_until_s = (
            state.asked_s + coordinators.PLEDGE_S if asked else now_s
        )
        state.coordinator = chosen
        state.misses = 0
