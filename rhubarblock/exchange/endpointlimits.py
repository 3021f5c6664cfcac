"""The rate limits that endpoints name, as one instance keeps to them.

An endpoint that named a limit is used only with a permit, whatever is sent: a
first attempt, a repeat, a stream that moves, a part of a prompt, or a trial of
an endpoint that failed. All of them are placed, so the permit is asked for
where candidates are listed and used where one is chosen.
"""

import random
import zlib

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed as lists
from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.endpointlimits import coordinator as coordinators
from rhubarblock.routing.endpointlimits import holding
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages
from rhubarblock.routing.endpointlimits import peers as limitpeers
from rhubarblock.routing.endpointlimits import requester as requesters

# Seconds after an endpoint's last word on its limit from which a permit for it
# goes to the next short request, to hear whether the limit still holds.
TRIAL_AFTER_S = 5.0
# Seconds after which a change is told once more, since a datagram may be lost.
TELL_AGAIN_S = 0.4
# Longest seconds for which a new request waits for a permit where no endpoint
# may be used without one, and the part of its time that this may take.
WAIT_S = 1.0
WAIT_PART = 0.3
# Least seconds for which a permit that is asked for is of use: the next request
# takes it if this one has gone elsewhere.
LEAST_WITHIN_S = 0.2
# Seconds over which callers that were refused come back: at least, and at most.
LEAST_SPREAD_S = 0.5
LONGEST_SPREAD_S = 5.0


def find_patience(exchange: exchanges.Exchange, now_s: float) -> float:
    """Returns the seconds for which an exchange may wait for a permit.

    Args:
      exchange: the exchange.
      now_s: the present moment, in monotonic seconds.
    """
    whole_s = exchange.deadline_s - exchange.arrived_s
    until_s = exchange.arrived_s + min(WAIT_S, WAIT_PART * whole_s)
    return max(0.0, until_s - now_s)


class EndpointLimits:
    """Keeps one instance's part of the limits of endpoints."""

    __slots__ = (
        "_book",
        "_coordinator",
        "_held",
        "_metrics",
        "_peers",
        "_requester",
        "_rng",
        "_timers",
    )

    def __init__(
        self,
        peers: limitpeers.LimitPeers,
        rng: random.Random,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts without limits.

        Args:
          peers: the other instances.
          rng: spreads those that ask again for permits.
          timers: the clock.
          metrics: counters.
        """
        self._peers = peers
        self._rng = rng
        self._timers = timers
        self._metrics = metrics
        self._book = limittables.LimitTable(metrics)
        self._held = holding.HeldPermits()
        self._coordinator = coordinators.PermitCoordinator(
            self._book, peers, rng, metrics
        )
        self._requester = requesters.PermitRequester(
            self._book, self._held, self._coordinator, peers, timers, metrics
        )

    def note_answer(
        self, endpoint_id: str, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        """Takes in the head of an answer, and tells peers what changed.

        Args:
          endpoint_id: the endpoint that answered.
          stated: what its head says.
          sent_s: when the request was sent, in monotonic seconds.
        """
        now_s = self._timers.read_monotonic()
        if not self._book.note_answer(endpoint_id, stated, sent_s, now_s):
            return
        self._take_change(endpoint_id)
        self._tell(endpoint_id)
        self._timers.call_later(TELL_AGAIN_S, lambda: self._tell(endpoint_id))

    def note_named(
        self, endpoint_id: str, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        """Takes in an answer of which only a limit that it names counts.

        A refusal, or an answer to an order, need not bear all fields.

        Args:
          endpoint_id: the endpoint that answered.
          stated: what its head says.
          sent_s: when the request was sent, in monotonic seconds.
        """
        if stated != ratelimits.NO_STATED_LIMIT:
            self.note_answer(endpoint_id, stated, sent_s)

    def find_rate(self, endpoint_id: str) -> float | None:
        """Returns the requests a second of an endpoint; None without limit."""
        limit = self._book.find(endpoint_id)
        return limit.per_s if limit else None

    def select_open(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns those endpoints that a request may go to now."""
        if not self._book:
            return endpoints
        now_s = self._timers.read_monotonic()
        return [e for e in endpoints if self._is_open(e.endpoint_id, now_s)]

    def select_unlimited(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns those endpoints that named no limit."""
        if not self._book:
            return endpoints
        return [e for e in endpoints if self.find_rate(e.endpoint_id) is None]

    def ask(
        self,
        endpoints: list[lists.ListedEndpoint],
        request_id: str,
        within_s: float,
    ) -> None:
        """Asks for a permit for a request that has none for some endpoints.

        It is asked for at the one that is likely to give it first: permits that
        lie unused are lost to others.

        Args:
          endpoints: where it could go.
          request_id: names it.
          within_s: seconds within which a permit must come to be of use.
        """
        now_s = self._timers.read_monotonic()
        left_out = [
            (
                self._requester.predict_wait(e.endpoint_id),
                zlib.crc32(f"{request_id} {e.endpoint_id}".encode()),
                e.endpoint_id,
            )
            for e in endpoints
            if not self._is_open(e.endpoint_id, now_s)
        ]
        if left_out:
            self._metrics.count("limits.left_out")
            self._requester.request_permit(
                min(left_out)[-1], request_id, within_s
            )

    def select_due(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns those endpoints whose last word on their limit is old."""
        if not self._book:
            return []
        oldest_s = self._timers.read_monotonic() - TRIAL_AFTER_S
        return [e for e in endpoints if self._is_older(e.endpoint_id, oldest_s)]

    def predict_permit(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> float | None:
        """Returns the seconds until a request may go to one of some endpoints.

        Args:
          endpoints: where it could go.

        Returns:
          None if one of them named no limit, or there are none.
        """
        if not self._book or self.select_unlimited(endpoints):
            return None
        waits = [self._requester.predict_wait(e.endpoint_id) for e in endpoints]
        return min(waits, default=None)

    def find_return(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> float | None:
        """Returns the seconds after which a refused caller may come back.

        Callers are spread over the time in which permits for some of them come.

        Args:
          endpoints: where its request could go.

        Returns:
          None if one of them named no limit, or there are none.
        """
        wait_s = self.predict_permit(endpoints)
        if wait_s is None:
            return None
        rates = [self.find_rate(e.endpoint_id) or 0.0 for e in endpoints]
        rate = max(sum(rates), coordinators.TRIAL_PER_S)
        spread_s = min(LONGEST_SPREAD_S, 1.0 / rate)
        return wait_s + max(LEAST_SPREAD_S, spread_s) * self._rng.random()

    def take(self, endpoint_id: str) -> None:
        """Uses a permit for an endpoint that was chosen."""
        if self._book.find(endpoint_id) is not None:
            self._held.take(endpoint_id, self._timers.read_monotonic())

    def receive_report(self, report: messages.LimitReport) -> None:
        """Takes in what a peer tells of an endpoint."""
        now_s = self._timers.read_monotonic()
        if self._book.receive(report, now_s):
            self._take_change(report.endpoint_id)

    def receive_request(
        self, peer: str, request: messages.PermitRequest
    ) -> None:
        """Answers a peer that asks for permits."""
        self.receive_report(request.report)
        now_s = self._timers.read_monotonic()
        grant = self._coordinator.grant(peer, request, now_s)
        if grant is not None:
            self._peers.send_grant(peer, grant)
            return
        ended = self._book.describe(request.report.endpoint_id, now_s)
        if ended is not None:
            self._peers.send_report(peer, ended)

    def receive_grant(self, peer: str, grant: messages.PermitGrant) -> None:
        """Takes in permits of a peer."""
        self._requester.receive(peer, grant)

    def send_limits(self, peer: str) -> None:
        """Tells a peer that has just started of all limits."""
        now_s = self._timers.read_monotonic()
        for endpoint_id in self._book.list_ids():
            report = self._book.describe(endpoint_id, now_s)
            if report is not None:
                self._peers.send_report(peer, report)

    def forget(self, endpoint_id: str) -> None:
        """Forgets what an earlier start of an endpoint named."""
        self._book.forget(endpoint_id)
        self._drop(endpoint_id)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are not there any more."""
        for endpoint_id in set(self._book.list_ids()) - endpoint_ids:
            self._drop(endpoint_id)
        self._book.keep_only(endpoint_ids)

    def _is_open(self, endpoint_id: str, now_s: float) -> bool:
        if self._book.find(endpoint_id) is None:
            return True
        return self._held.has(endpoint_id, now_s)

    def _is_older(self, endpoint_id: str, oldest_s: float) -> bool:
        limit = self._book.find(endpoint_id)
        return limit is not None and limit.statement.heard_s < oldest_s

    def _tell(self, endpoint_id: str) -> None:
        now_s = self._timers.read_monotonic()
        report = self._book.describe(endpoint_id, now_s)
        if report is not None:
            self._peers.broadcast_report(report)

    def _take_change(self, endpoint_id: str) -> None:
        """Begins to share a limit that is new, or drops one that ended."""
        if self._book.find(endpoint_id) is None:
            self._drop(endpoint_id)
        self._requester.begin()

    def _drop(self, endpoint_id: str) -> None:
        self._held.forget(endpoint_id)
        self._requester.forget(endpoint_id)
        self._coordinator.forget(endpoint_id)
