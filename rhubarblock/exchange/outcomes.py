"""Records how attempts end: health, retry budgets, metrics and logs."""

from collections.abc import Callable
import logging

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import attempts
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import placements
from rhubarblock.exchange import stalls
from rhubarblock.exchange import transport as transports
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import retrybudget
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import speeds
from rhubarblock.settings import exchange as settings_lib

# Fraction of the retries allowed to all instances that they divide among them.
# The remainder covers instances that count too few peers.
SLACK_FRACTION = 0.8
# Upper bounds of the bands of prompt lengths, in tokens.
BANDS = ((16_000, "short"), (120_000, "middle"), (450_000, "long"))

_logger = logging.getLogger(__name__)


class OutcomeRecorder:
    """Records the outcomes of attempts of one instance."""

    __slots__ = (
        "_bounds",
        "_budgets",
        "_count_instances",
        "_health",
        "_metrics",
        "_updates",
        "_timers",
    )

    def __init__(
        self,
        health: healths.Health,
        updates: peer_updates.PeerUpdates,
        count_instances: Callable[[], int],
        bounds: settings_lib.ExchangeBounds,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts with empty retry budgets.

        Args:
          health: circuit breakers of endpoints.
          updates: announces unreachable endpoints to peers.
          count_instances: returns the number of instances that share the retry
            slack.
          bounds: limits of retries.
          timers: the clock.
          metrics: counters.
        """
        self._health = health
        self._updates = updates
        self._count_instances = count_instances
        self._bounds = bounds
        self._timers = timers
        self._metrics = metrics
        self._budgets: dict[str, retrybudget.RetryBudget] = {}

    def grant(self, exchange: exchanges.Exchange) -> bool:
        """Takes a retry from the budget of the exchange's service."""
        granted = self._budget(exchange).try_spend()
        name = "exchange.retries" if granted else "exchange.retries_denied"
        self._metrics.count(name)
        return granted

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
        self._budget(exchange).record_success()
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
        elif _is_abandoned_as_busy(error):
            self._metrics.count("exchange.moved")
            self._log(flow, placement, failure, "moved")
        else:
            self._metrics.count("exchange.broken")
            self._log(flow, placement, failure, "broken")
            self.suspect(endpoint)

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
        """Marks an endpoint as suspect and announces that to near peers."""
        now_s = self._timers.read_monotonic()
        is_new = self._health.note_unreachable(
            endpoint.endpoint_id, endpoint.data_centre, now_s
        )
        if is_new:
            self._updates.announce_broken(
                endpoint.endpoint_id, endpoint.data_centre
            )

    def _budget(self, exchange: exchanges.Exchange) -> retrybudget.RetryBudget:
        name = exchange.service.name
        budget = self._budgets.get(name)
        if budget is None:
            budget = retrybudget.RetryBudget(
                self._timers,
                self._share_slack,
                self._bounds.retry_ratio,
                self._bounds.retry_window_s,
            )
            self._budgets[name] = budget
        return budget

    def _share_slack(self) -> float:
        """Returns the retries that this instance may always make."""
        slack = SLACK_FRACTION * self._bounds.retry_slack
        return slack / self._count_instances()

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
        _logger.info(
            "attempt ended",
            extra={
                **self._describe(flow, placement),
                "outcome": outcome,
                "blamed": blamed_id or placement.endpoint.endpoint_id,
                "verdict": failure.verdict.value,
                "reason": failure.message,
                "rest_s": cooldown_s,
            },
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


def _is_abandoned_as_busy(error: transports.AttemptError) -> bool:
    return (
        isinstance(error, attempts.AbandonedError)
        and error.reason is stalls.Reason.BUSY
    )
