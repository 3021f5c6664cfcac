"""Records how attempts end: health, retry budgets, metrics and logs."""

from collections.abc import Callable
import logging

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import attempts
from rhubarblock.exchange import candidates
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import placements
from rhubarblock.exchange import retrybudgets
from rhubarblock.exchange import stalls
from rhubarblock.exchange import transport as transports
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import speeds
from rhubarblock.routing.retrylending import reserve as reserves

# Upper bounds of the bands of prompt lengths, in tokens.
BANDS = ((16_000, "short"), (120_000, "middle"), (450_000, "long"))

# Seconds until the failure of an endpoint is announced. By then it is known
# whether only the path of this instance is lost.
ANNOUNCE_DELAY_S = 0.1

_logger = logging.getLogger(__name__)


class OutcomeRecorder:
    """Records the outcomes of attempts of one instance.

    Attributes:
      on_broken: called with the id of an endpoint that could not be reached or
        broke a connection.
    """

    __slots__ = (
        "_budgets",
        "_health",
        "_metrics",
        "_paths",
        "_updates",
        "_timers",
        "on_broken",
    )

    def __init__(
        self,
        health: healths.Health,
        updates: peer_updates.PeerUpdates,
        budgets: retrybudgets.RetryBudgets,
        paths: endpoint_paths.EndpointPaths,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates a recorder.

        Args:
          health: circuit breakers of endpoints.
          updates: announces unreachable endpoints to peers.
          budgets: grant retries.
          paths: the network paths to endpoints.
          timers: the clock.
          metrics: counters.
        """
        self._health = health
        self._updates = updates
        self._budgets = budgets
        self._paths = paths
        self._timers = timers
        self._metrics = metrics
        self.on_broken: Callable[[str], None] = lambda endpoint_id: None

    def note_arrival(self, exchange: exchanges.Exchange) -> None:
        """Records a request of a caller."""
        self._budgets.note_arrival(exchange)

    def try_grant(self, flow: flows.Flow, outlook: reserves.Outlook) -> bool:
        """Takes a retry from what the budget of the service holds now."""
        decision = self._budgets.try_grant(flow.exchange, outlook)
        # A stalled attempt asks several times a second.
        self._note_decision(flow, decision, is_logged=not flow.denied)
        return decision.granted

    async def grant(self, flow: flows.Flow, outlook: reserves.Outlook) -> bool:
        """Takes a retry from the budget of the service; waits for a loan."""
        decision = await self._budgets.grant(flow.exchange, outlook)
        self._note_decision(flow, decision)
        return decision.granted

    def _note_decision(
        self,
        flow: flows.Flow,
        decision: retrybudgets.Decision,
        is_logged: bool = True,
    ) -> None:
        """Counts a decision, and logs a denial."""
        if decision.granted:
            self._metrics.count("exchange.retries")
            return
        self._metrics.count("exchange.retries_denied")
        flow.denied = True
        if not is_logged:
            return
        balance = decision.balance
        _logger.info(
            "retry denied",
            extra={
                **_describe_exchange(flow.exchange),
                "reason": "retry budget spent",
                "service": flow.exchange.service.name,
                "share": round(balance.share, 3),
                "left": round(balance.left, 3),
                "usable": round(balance.usable, 3),
                "lent": round(balance.lent, 3),
                "borrowed": round(balance.borrowed, 3),
                "successes": balance.successes,
                "age_s": round(balance.age_s, 3),
                "outlook": decision.outlook.value,
                "flooding": decision.is_flooding,
                "waited_s": round(decision.waited_s, 3),
            },
        )

    def note_waiting(self, flow: flows.Flow, start_s: float) -> None:
        """Records that the start of an exchange is delayed.

        Args:
          flow: the exchange.
          start_s: predicted delay in seconds.
        """
        self._metrics.count("exchange.waited")
        exchange = flow.exchange
        _logger.debug(
            "waits for a better start",
            extra={
                **_describe_exchange(exchange),
                "prompt_tokens": exchange.prompt_tokens,
                "start_s": start_s,
            },
        )

    def note_home_shortage(
        self, flow: flows.Flow, shortage: candidates.HomeShortage
    ) -> None:
        """Records that home regions leave an exchange no endpoint."""
        exchange = flow.exchange
        self._metrics.count("exchange.homes_unserved")
        _logger.warning(
            "no endpoint in home regions",
            extra={
                **_describe_exchange(exchange),
                "service": exchange.service.name,
                "home_regions": sorted(exchange.home_regions or ()),
                "final": shortage.is_final,
                "listed": shortage.listed,
                "unknown_region": shortage.unknown,
                "since_arrival_s": round(
                    self._timers.read_monotonic() - exchange.arrived_s, 3
                ),
            },
        )

    def note_placed(
        self, flow: flows.Flow, placement: placements.Placement
    ) -> None:
        """Records the placement of an attempt."""
        self._metrics.count("exchange.placed")
        _logger.debug(
            "placed",
            extra={
                **self._describe(flow, placement),
                "engines": [e.endpoint_id for e in placement.helper_engines],
                "leased_tokens": sum(
                    lease.tokens for lease in placement.held_leases
                ),
                "prompt_tokens": flow.exchange.prompt_tokens,
                "begun": flow.sink.begun,
                "left_s": round(
                    flow.exchange.deadline_s - self._timers.read_monotonic(), 3
                ),
            },
        )

    def note_served(
        self, flow: flows.Flow, placement: placements.Placement
    ) -> None:
        """Records a complete answer."""
        exchange = flow.exchange
        self._count_skipped(flow)
        self._budgets.record_success(exchange.service.name)
        self._metrics.count("exchange.served")
        first_s = flow.progress.first_s or 0.0
        self._metrics.observe("exchange.first", _name_kind(exchange), first_s)
        is_late = flow.progress.is_late(exchange)
        if is_late:
            self._metrics.count("exchange.late")
        _logger.log(
            logging.INFO if is_late else logging.DEBUG,
            "served late" if is_late else "served",
            extra={
                **self._describe(flow, placement),
                **_describe_send(flow),
                "prompt_tokens": exchange.prompt_tokens,
                "first_s": round(first_s, 3),
                "longest_pause_s": round(flow.progress.longest_pause_s, 3),
                "objective_s": exchange.route.objective_s,
                "pause_s": exchange.route.pause_s,
                "failed_attempts": flow.history.attempts,
            },
        )

    def note_refused(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        failure: failures.Failure,
        blamed_id: str,
        cooldown_s: float | None = None,
    ) -> None:
        """Records that an endpoint did not run an exchange.

        Args:
          flow: the exchange.
          placement: where it was sent.
          failure: why the attempt ended.
          blamed_id: the endpoint that refused. Only this one is avoided from
            now on, not all engines of a split prompt.
          cooldown_s: cool-down in seconds, None if it stated none.
        """
        self._metrics.count("exchange.refused")
        self._log(flow, placement, failure, "refused", blamed_id, cooldown_s)
        flow.refusals += 1
        flow.history.note_failure(failure, blamed_id)

    def note_failed(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        error: transports.AttemptError,
    ) -> None:
        """Records an attempt that failed or was abandoned."""
        failure = error.failure
        endpoint = placement.endpoint
        if failure.verdict is not verdicts.Verdict.NOT_RUN:
            flow.history.attempts += 1
        flow.history.note_failure(failure, endpoint.endpoint_id)
        if isinstance(error, attempts.FailedAnswerError):
            self._metrics.count("exchange.failed_answers")
            self._log(flow, placement, failure, "failed")
            self._health.note_error(endpoint.endpoint_id)
        elif _is_no_fault(error):
            self._metrics.count("exchange.moved")
            self._log(flow, placement, failure, "moved")
        else:
            self._metrics.count("exchange.broken")
            self._log(flow, placement, failure, "broken")
            self.suspect(endpoint)
            if not isinstance(error, attempts.AbandonedError):
                # One that is slow did not restart.
                self.on_broken(endpoint.endpoint_id)

    def note_speed(self, change: speeds.Change) -> None:
        """Records that an engine began or ceased to deviate in speed."""
        name = "deviates" if change.deviates else "returned"
        self._metrics.count(f"exchange.speed_{name}")
        _logger.info(
            "engine speed deviates"
            if change.deviates
            else "engine speed is as predicted",
            extra={
                "endpoint": change.endpoint_id,
                "prefill_factor": round(change.prefill, 2),
                "pass_factor": round(change.passes, 2),
                "weight": round(change.weight, 2),
                "age_s": round(change.age_s, 3),
                "deviating": change.deviating,
            },
        )
        self._metrics.gauge("exchange.deviating_engines", change.deviating)

    def suspect(self, endpoint: lists.ListedEndpoint) -> None:
        """Marks an endpoint as suspect and announces that to near peers.

        The announcement waits until it is known whether only this instance's
        path failed.
        """
        now_s = self._timers.read_monotonic()
        is_new = self._health.note_unreachable(
            endpoint.endpoint_id, endpoint.data_centre, now_s
        )
        if is_new:
            self._timers.call_later(
                ANNOUNCE_DELAY_S, lambda: self._announce_broken(endpoint)
            )

    def _announce_broken(self, endpoint: lists.ListedEndpoint) -> None:
        """Announces a failure unless it may be due to this instance's path."""
        paths = self._paths.find_service(endpoint.service)
        if paths.is_suspect(endpoint.address):
            self._metrics.count("paths.unannounced")
            return
        self._updates.announce_broken(
            endpoint.endpoint_id, endpoint.data_centre
        )

    def _log(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        failure: failures.Failure,
        outcome: str,
        blamed_id: str = "",
        cooldown_s: float | None = None,
    ) -> None:
        """Logs why an attempt ended without its answer."""
        self._count_skipped(flow)
        _logger.info(
            "attempt ended",
            extra={
                **self._describe(flow, placement),
                **_describe_send(flow),
                "outcome": outcome,
                "blamed": blamed_id or placement.endpoint.endpoint_id,
                "verdict": failure.verdict.value,
                "reason": failure.message,
                "rest_s": cooldown_s,
            },
        )

    def _count_skipped(self, flow: flows.Flow) -> None:
        """Counts answers to other requests that arrived in an attempt."""
        if flow.sends.latest is not None and flow.sends.latest.skipped:
            self._metrics.count(
                "exchange.answers_skipped", flow.sends.latest.skipped
            )

    def _describe(
        self, flow: flows.Flow, placement: placements.Placement
    ) -> dict[str, object]:
        """Returns the log fields that all lines about an attempt share."""
        exchange = flow.exchange
        now_s = self._timers.read_monotonic()
        return {
            **_describe_exchange(exchange),
            "endpoint": placement.endpoint.endpoint_id,
            "data_centre": placement.endpoint.data_centre,
            "parts": 1 + len(placement.helpers),
            "expected_s": round(placement.expected_s, 3),
            "limit_per_s": placement.limit_per_s,
            "since_arrival_s": round(now_s - exchange.arrived_s, 3),
        }


def _describe_exchange(exchange: exchanges.Exchange) -> dict[str, object]:
    """Returns the log fields that identify an exchange."""
    return {
        "request": exchange.request_id,
        "route": exchange.route.name,
        "workspace": exchange.workspace,
    }


def _describe_send(flow: flows.Flow) -> dict[str, object]:
    """Returns the log fields that identify the connection of an attempt."""
    send = flow.sends.latest
    if send is None:
        return {"connection": "none"}
    kind = "kept" if send.position > 1 else "new"
    return {
        "connection": "peer" if send.is_relayed else kind,
        "local_port": send.local_port,
        "position": send.position,
        "skipped": send.skipped,
    }


def _name_kind(exchange: exchanges.Exchange) -> str:
    """Returns the route kind, with the band of the prompt's length."""
    kind = exchange.route.kind.value
    if not exchange.prompt_tokens:
        return kind
    band = next(
        (name for tokens, name in BANDS if exchange.prompt_tokens <= tokens),
        "longest",
    )
    return f"{kind}.{band}"


def _is_no_fault(error: transports.AttemptError) -> bool:
    """Returns whether an attempt was abandoned at a sound endpoint."""
    return (
        isinstance(error, attempts.AbandonedError)
        and error.reason is not stalls.Reason.SILENT
    )
