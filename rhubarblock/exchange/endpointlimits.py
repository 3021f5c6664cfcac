"""Enforces the rate limits that endpoints state.

A rate-limited endpoint is used only with a permit, whatever is sent: a first
attempt, a retry, a stream that moves, a part of a prompt, or a probe of an
endpoint that failed. All of them are placed, so a permit is requested where
candidates are listed and used where one is chosen.
"""

from collections.abc import Callable
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

# Age in seconds of an endpoint's last statement of its limit from which the
# next short request goes there first, to see if the limit still holds.
RECHECK_AFTER_S = 5.0
# Seconds after which a change is sent again, since a datagram may be lost.
RESEND_S = 0.4
# Longest time in seconds that a new request waits for a permit or the end of a
# cool-down if no endpoint is available, and the largest fraction of its
# timeout.
WAIT_S = 1.0
WAIT_FRACTION = 0.3
# Minimum in seconds of the time within which a requested permit must arrive:
# the next request uses it if this one has gone elsewhere.
MIN_PERMIT_WAIT_S = 0.2
# Bounds in seconds of the jitter on the Retry-After of refused callers.
MIN_SPREAD_S = 0.5
MAX_SPREAD_S = 5.0


def find_max_wait(exchange: exchanges.Exchange, now_s: float) -> float:
    """Returns the seconds for which an exchange may still wait.

    Args:
      exchange: the exchange.
      now_s: current time in monotonic seconds.
    """
    whole_s = exchange.deadline_s - exchange.arrived_s
    until_s = exchange.arrived_s + min(WAIT_S, WAIT_FRACTION * whole_s)
    return max(0.0, until_s - now_s)


class EndpointLimits:
    """One instance's view of the rate limits of endpoints.

    Attributes:
      on_cold_report: called with the id of an endpoint and a peer's report of
        its cold period; returns the rate in requests a second that the report
        asks for, None if there is none.
    """

    __slots__ = (
        "_table",
        "_coordinator",
        "_held",
        "_metrics",
        "_peers",
        "_requester",
        "_rng",
        "_timers",
        "on_cold_report",
    )

    def __init__(
        self,
        peers: limitpeers.LimitPeers,
        rng: random.Random,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates an instance's view without limits.

        Args:
          peers: the other instances.
          rng: jitter of Retry-After and of repeated permit requests.
          timers: the clock.
          metrics: counters.
        """
        self._peers = peers
        self._rng = rng
        self._timers = timers
        self._metrics = metrics
        self._table = limittables.LimitTable(metrics)
        self.on_cold_report: Callable[
            [str, messages.ColdReport], float | None
        ] = lambda endpoint_id, report: None
        self._held = holding.HeldPermits()
        self._coordinator = coordinators.PermitCoordinator(
            self._table, peers, rng, metrics
        )
        self._requester = requesters.PermitRequester(
            self._table, self._held, self._coordinator, peers, timers, metrics
        )

    def note_answer(
        self, endpoint_id: str, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        """Records the limit in an answer and reports a change to peers.

        Args:
          endpoint_id: the endpoint that answered.
          stated: the limit that its headers state.
          sent_s: when the request was sent, in monotonic seconds.
        """
        now_s = self._timers.read_monotonic()
        if not self._table.note_answer(endpoint_id, stated, sent_s, now_s):
            return
        self._apply_change(endpoint_id)
        self._report_twice(endpoint_id)

    def note_if_stated(
        self, endpoint_id: str, stated: ratelimits.StatedLimit, sent_s: float
    ) -> None:
        """Records the limit in an answer only if it states one.

        A refusal or an answer to a lease request may lack the field.

        Args:
          endpoint_id: the endpoint that answered.
          stated: the limit that its headers state.
          sent_s: when the request was sent, in monotonic seconds.
        """
        if stated != ratelimits.NO_STATED_LIMIT:
            self.note_answer(endpoint_id, stated, sent_s)

    def find_rate(self, endpoint_id: str) -> float | None:
        """Returns the rate limit in requests per second, or None."""
        return self._table.find_rate(endpoint_id)

    def count_users(self, endpoint_id: str) -> int:
        """Returns the number of instances that use an endpoint."""
        return self._peers.count_users(endpoint_id)

    def set_cold(
        self,
        endpoint_id: str,
        cold: limittables.ColdLimit,
        is_reported: bool = False,
    ) -> None:
        """Sets the limit of an endpoint that is or was cold.

        Args:
          endpoint_id: the endpoint.
          cold: its limit, which applies beside one that the endpoint states.
          is_reported: whether to report it to peers, which can't know it from
            the list.
        """
        if self._table.set_cold(endpoint_id, cold):
            self._apply_change(endpoint_id)
        if is_reported:
            self._report_twice(endpoint_id)

    def select_available(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints that a request may be sent to now."""
        if not self._table:
            return endpoints
        now_s = self._timers.read_monotonic()
        return [
            e for e in endpoints if self._is_available(e.endpoint_id, now_s)
        ]

    def select_unlimited(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints without a rate limit."""
        if not self._table:
            return endpoints
        return [e for e in endpoints if self.find_rate(e.endpoint_id) is None]

    def request_permit(
        self,
        endpoints: list[lists.ListedEndpoint],
        request_id: str,
        within_s: float,
    ) -> None:
        """Requests a permit for one of the endpoints that lack one.

        Chooses the endpoint with the shortest predicted wait. Only one permit
        is requested, as unused permits are lost to others.

        Args:
          endpoints: candidates for the request.
          request_id: id of the request.
          within_s: seconds within which the permit must arrive.
        """
        now_s = self._timers.read_monotonic()
        left_out = [
            (
                self._requester.predict_wait(e.endpoint_id),
                zlib.crc32(f"{request_id} {e.endpoint_id}".encode()),
                e.endpoint_id,
            )
            for e in endpoints
            if not self._is_available(e.endpoint_id, now_s)
        ]
        if left_out:
            self._metrics.count("limits.left_out")
            self._requester.request_permit(
                min(left_out)[-1], request_id, within_s
            )

    def select_due(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> list[lists.ListedEndpoint]:
        """Returns the endpoints whose last statement of a limit is old."""
        if not self._table:
            return []
        min_received_s = self._timers.read_monotonic() - RECHECK_AFTER_S
        return [
            e
            for e in endpoints
            if self._is_older(e.endpoint_id, min_received_s)
        ]

    def predict_permit(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> float | None:
        """Returns the seconds until a request may be sent to an endpoint.

        Args:
          endpoints: candidates for the request.

        Returns:
          None if one of them has no limit, or there are none.
        """
        if not self._table or self.select_unlimited(endpoints):
            return None
        waits = [self._requester.predict_wait(e.endpoint_id) for e in endpoints]
        return min(waits, default=None)

    def find_retry_after(
        self, endpoints: list[lists.ListedEndpoint]
    ) -> float | None:
        """Returns the seconds after which a refused caller may retry.

        Callers are spread over the time in which permits become due.

        Args:
          endpoints: candidates for its request.

        Returns:
          None if one of them has no limit, or there are none.
        """
        wait_s = self.predict_permit(endpoints)
        if wait_s is None:
            return None
        rates = [self.find_rate(e.endpoint_id) or 0.0 for e in endpoints]
        rate = max(sum(rates), coordinators.PROBE_PER_S)
        spread_s = min(MAX_SPREAD_S, 1.0 / rate)
        return wait_s + max(MIN_SPREAD_S, spread_s) * self._rng.random()

    def take(self, endpoint_id: str) -> None:
        """Uses a permit for the chosen endpoint."""
        if self._table.find_rate(endpoint_id) is not None:
            self._held.take(endpoint_id, self._timers.read_monotonic())

    def receive_report(self, report: messages.LimitReport) -> None:
        """Handles a peer's report about an endpoint."""
        self._apply_report(report)

    def _apply_report(self, report: messages.LimitReport) -> float | None:
        """Applies a report; returns the rate if the endpoint is cold."""
        now_s = self._timers.read_monotonic()
        if self._table.receive(report, now_s):
            self._apply_change(report.endpoint_id)
        if report.cold is None:
            return None
        return self.on_cold_report(report.endpoint_id, report.cold)

    def receive_request(
        self, peer: str, request: messages.PermitRequest
    ) -> None:
        """Handles a peer's request for permits."""
        cold_per_s = self._apply_report(request.report)
        now_s = self._timers.read_monotonic()
        grant = self._coordinator.grant(peer, request, now_s, cold_per_s)
        if grant is not None:
            self._peers.send_grant(peer, grant)
            return
        # There is no limit any more, so the peer needs no permit.
        report = self._table.describe(request.report.endpoint_id, now_s)
        if report is not None:
            self._peers.send_report(peer, report)

    def receive_grant(self, peer: str, grant: messages.PermitGrant) -> None:
        """Handles permits that a peer granted."""
        self._requester.receive(peer, grant)

    def send_limits(self, peer: str) -> None:
        """Sends all limits to a peer that has just started."""
        now_s = self._timers.read_monotonic()
        for endpoint_id in self._table.list_ids():
            report = self._table.describe(endpoint_id, now_s)
            if report is not None:
                self._peers.send_report(peer, report)

    def forget(self, endpoint_id: str) -> None:
        """Drops the limit that an earlier start of an endpoint stated.

        The shares that are pledged stay so, as they count for any limit: the
        next one can be used at once.
        """
        self._table.forget(endpoint_id)
        self._held.forget(endpoint_id)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Drops endpoints that are no longer listed."""
        for endpoint_id in set(self._table.list_ids()) - endpoint_ids:
            self._drop(endpoint_id)
        self._table.keep_only(endpoint_ids)
        self._requester.keep_only(endpoint_ids)
        self._coordinator.keep_only(endpoint_ids)

    def _is_available(self, endpoint_id: str, now_s: float) -> bool:
        if self._table.find_rate(endpoint_id) is None:
            return True
        return self._held.has(endpoint_id, now_s)

    def _is_older(self, endpoint_id: str, min_received_s: float) -> bool:
        statement = self._table.find_statement(endpoint_id)
        return statement is not None and statement.received_s < min_received_s

    def _report_twice(self, endpoint_id: str) -> None:
        """Reports to peers; a datagram may be lost."""
        self._send_report(endpoint_id)
        self._timers.call_later(
            RESEND_S, lambda: self._send_report(endpoint_id)
        )

    def _send_report(self, endpoint_id: str) -> None:
        now_s = self._timers.read_monotonic()
        report = self._table.describe(endpoint_id, now_s)
        if report is not None:
            self._peers.broadcast_report(report)

    def _apply_change(self, endpoint_id: str) -> None:
        """Starts to share a new limit, or drops one that ended."""
        if self._table.find_rate(endpoint_id) is None:
            self._drop(endpoint_id)
        self._requester.begin()

    def _drop(self, endpoint_id: str) -> None:
        self._held.forget(endpoint_id)
        self._requester.forget(endpoint_id)
        self._coordinator.forget(endpoint_id)
