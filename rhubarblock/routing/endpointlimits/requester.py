"""Asks for permits to send to endpoints that named a limit.

It asks when a placement left an endpoint out for want of a permit, and at a
slow pace besides, so that a share which this instance does not use serves the
others. Who gives no answer several times is not asked for a while.
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

# Seconds that an answer may take: many times the way between data centres.
ANSWER_S = 0.2
# Requests without an answer after which their peer counts as silent, and the
# seconds for which it does.
MOST_MISSES = 3
SILENT_S = 10.0
# Seconds between two pledges of an instance that wants no permits; two of them
# may be lost before the pledge lapses.
PLEDGE_EVERY_S = 3.0
# Seconds between two looks at what is due while a limit is known.
LOOK_S = 0.25
# Most permits that are asked for at once.
MOST_WANTED = 16
# Seconds for which the choice of a coordinator holds.
CHOICE_S = 1.0

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Asking:
    """What is under way for one endpoint; moments are monotonic seconds.

    Attributes:
      coordinator: the peer that is asked.
      chosen_s: when it was chosen.
      asked_s: when it was asked last.
      is_open: whether that request has no answer yet.
      misses: requests in a row without an answer.
      pledged_until_s: until when the share may count as pledged to it.
      retry_after_s: before this moment there is nothing to be had.
      wanted: requests that could use a permit since it was last asked, and the
        moments until which they could.
    """

    coordinator: str = limitpeers.SELF
    chosen_s: float = -CHOICE_S
    asked_s: float = -PLEDGE_EVERY_S
    is_open: bool = False
    misses: int = 0
    pledged_until_s: float = 0.0
    retry_after_s: float = 0.0
    wanted: dict[str, float] = dataclasses.field(default_factory=dict)


class PermitRequester:
    """Asks for the permits of one instance."""

    __slots__ = (
        "_asking",
        "_book",
        "_coordinator",
        "_held",
        "_look",
        "_metrics",
        "_peers",
        "_silent",
        "_timers",
    )

    def __init__(
        self,
        book: limittables.LimitTable,
        held: holding.HeldPermits,
        coordinator: coordinators.PermitCoordinator,
        peers: limitpeers.LimitPeers,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts with nothing asked.

        Args:
          book: the limits.
          held: takes what was granted.
          coordinator: answers where this instance grants the permits itself.
          peers: the other instances.
          timers: the clock.
          metrics: counts requests and silence.
        """
        self._book = book
        self._held = held
        self._coordinator = coordinator
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._asking: dict[str, _Asking] = {}
        # Peers that give no answer, and until when they are not asked.
        self._silent: dict[str, float] = {}
        self._look: asyncio.TimerHandle | None = None

    def request_permit(
        self, endpoint_id: str, request_id: str, within_s: float
    ) -> None:
        """Takes in that a request could use a permit, and asks for it.

        Args:
          endpoint_id: an endpoint that named a limit.
          request_id: names the request; it counts once between two requests
            for permits.
          within_s: seconds within which a permit must come to be of use.
        """
        now_s = self._timers.read_monotonic()
        asking = self._find(endpoint_id)
        if now_s < asking.retry_after_s:
            return
        asking.wanted[request_id] = now_s + within_s
        held = self._held.count(endpoint_id, now_s)
        if not asking.is_open and len(asking.wanted) > held:
            self._ask(endpoint_id, asking, now_s)

    def begin(self) -> None:
        """Pledges the share of each limit that is new, and goes on doing so."""
        now_s = self._timers.read_monotonic()
        for endpoint_id in self._book.list_ids():
            self._take_look(endpoint_id, self._find(endpoint_id), now_s)
        if self._look is None and self._book:
            self._look = self._timers.call_later(LOOK_S, self._look_again)

    def receive(self, peer: str, grant: messages.PermitGrant) -> None:
        """Takes in the answer of a peer, or of this instance itself."""
        asking = self._asking.get(grant.endpoint_id)
        if asking is None or self._book.find(grant.endpoint_id) is None:
            return
        now_s = self._timers.read_monotonic()
        self._silent.pop(peer, None)
        if peer == asking.coordinator:
            asking.is_open = False
            asking.misses = 0
            asking.retry_after_s = now_s + grant.retry_after_s
        self._held.add(grant, now_s)

    def predict_wait(self, endpoint_id: str) -> float:
        """Returns the seconds until a permit may be had, as far as is known."""
        now_s = self._timers.read_monotonic()
        next_s = self._held.predict_next(endpoint_id, now_s)
        if next_s is not None:
            return next_s
        return max(0.0, self._find(endpoint_id).retry_after_s - now_s)

    def forget(self, endpoint_id: str) -> None:
        """Forgets an endpoint that names no limit any more."""
        self._asking.pop(endpoint_id, None)

    def _find(self, endpoint_id: str) -> _Asking:
        asking = self._asking.get(endpoint_id)
        if asking is None:
            asking = self._asking[endpoint_id] = _Asking()
        return asking

    def _look_again(self) -> None:
        self._look = None
        self.begin()

    def _take_look(
        self, endpoint_id: str, asking: _Asking, now_s: float
    ) -> None:
        if asking.is_open and now_s - asking.asked_s >= ANSWER_S:
            self._note_miss(endpoint_id, asking, now_s)
            self._ask(endpoint_id, asking, now_s)
        elif now_s - asking.asked_s >= PLEDGE_EVERY_S:
            self._ask(endpoint_id, asking, now_s)

    def _note_miss(
        self, endpoint_id: str, asking: _Asking, now_s: float
    ) -> None:
        asking.is_open = False
        asking.misses += 1
        self._metrics.count("limits.unanswered")
        if asking.misses < MOST_MISSES:
            return
        asking.misses = 0
        asking.chosen_s = -CHOICE_S
        self._silent[asking.coordinator] = now_s + SILENT_S
        _logger.info(
            "coordinator of a limit is silent",
            extra={"endpoint": endpoint_id, "peer": asking.coordinator},
        )

    def _ask(self, endpoint_id: str, asking: _Asking, now_s: float) -> None:
        """Asks the coordinator, or answers where it is this instance."""
        report = self._book.describe(endpoint_id, now_s)
        if report is None:
            return
        self._choose(endpoint_id, asking, now_s)
        held = self._held.count(endpoint_id, now_s)
        wanted = max(0, min(MOST_WANTED, len(asking.wanted)) - held)
        latest_s = max(asking.wanted.values(), default=now_s)
        request = messages.PermitRequest(
            report,
            wanted,
            max(0.0, asking.pledged_until_s - now_s),
            max(0.0, latest_s - now_s),
        )
        asking.wanted.clear()
        asking.asked_s = now_s
        if asking.coordinator == limitpeers.SELF:
            grant = self._coordinator.grant(limitpeers.SELF, request, now_s)
            if grant is not None:
                self.receive(limitpeers.SELF, grant)
            return
        asking.is_open = True
        self._metrics.count("limits.asked")
        self._peers.send_request(asking.coordinator, request)

    def _choose(self, endpoint_id: str, asking: _Asking, now_s: float) -> None:
        """Chooses the coordinator anew from time to time."""
        if now_s - asking.chosen_s < CHOICE_S:
            return
        for peer, until_s in list(self._silent.items()):
            if until_s <= now_s:
                del self._silent[peer]
        asking.chosen_s = now_s
        chosen = self._peers.choose_coordinator(endpoint_id, set(self._silent))
        if chosen == asking.coordinator:
            return
        # The one before counts this share as pledged until that lapses.
        asked = asking.asked_s >= 0.0
        asking.pledged_until_s = (
            asking.asked_s + coordinators.PLEDGE_S if asked else now_s
        )
        asking.coordinator = chosen
        asking.misses = 0
