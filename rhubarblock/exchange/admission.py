"""Applies admission control to exchanges.

A gate asks the admission controller whether a new exchange is let in at the
placement that was found for it. Exchanges that wait are tried again in the
order of their rank; only the first few of a service are, as each try searches
all endpoints. Those whose callers return after a refusal wait apart from new
ones, as they wait longer.
"""

import asyncio
import bisect
from collections.abc import Callable
import dataclasses
import logging

from rhubarblock.core import exchange as exchanges
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.admission import returntimes
from rhubarblock.routing.placement import latencycost
from rhubarblock.routing.placement import partplan

# Seconds between two tries of a waiting exchange: less than a short prompt's
# slack, and about the time in which a slot of a pool becomes free.
POLL_S = 0.02
# Waiting exchanges of a service that are tried.
MAX_TRIED = 2
# Seconds for which a refused placement stands for those of exchanges that cost
# as much or more: the endpoints can't have changed much since.
REFUSAL_TTL_S = 0.01
# An exchange is from a caller that returns after a refusal if it has at most
# this part of the longest time that callers of its route allowed lately. Most
# refused callers get a Retry-After of about a third of their time, and new ones
# may allow a little less than the longest time, too.
RETURNING_TIME_PART = 0.75
# Seconds for which the longest time of a route is remembered at least.
LONGEST_TIME_S = 60.0
# Seconds by which callers may return later than their Retry-After.
LATE_RETURN_S = 2.0
# Engine seconds of a call to a service without a cost model.
CALL_COST_S = 0.02

_logger = logging.getLogger(__name__)

_Verdict = controllers.Verdict
# Rank and time of arrival of a waiting exchange.
_Key = tuple[int, float]
# Service, rank, and whether the caller returns.
_Class = tuple[str, int, bool]
# Holds until the controller is asked, which it isn't without any endpoint.
_NOT_DECIDED = controllers.Decision(_Verdict.REFUSE)


@dataclasses.dataclass(slots=True, frozen=True)
class _Refusal:
    """The cheapest exchange of a rank that found no placement lately.

    Attributes:
      at_s: when, in monotonic seconds.
      cost_s: its cost in engine seconds.
    """

    at_s: float
    cost_s: float


class _LongestTimes:
    """Longest times that callers of the routes allowed in the last minutes."""

    __slots__ = ("_begun_s", "_earlier", "_present")

    def __init__(self) -> None:
        self._begun_s = 0.0
        # Seconds by route, in the present period and in the one before.
        self._present: dict[str, float] = {}
        self._earlier: dict[str, float] = {}

    def note(self, route: str, whole_s: float, now_s: float) -> float:
        """Adds the time of a caller and returns the longest one, in seconds."""
        if now_s - self._begun_s >= LONGEST_TIME_S:
            self._begun_s = now_s
            self._earlier = self._present
            self._present = {}
        longest_s = max(whole_s, self._present.get(route, 0.0))
        self._present[route] = longest_s
        return max(longest_s, self._earlier.get(route, 0.0))


class ExchangeAdmission:
    """Admission control of one instance."""

    __slots__ = (
        "_controller",
        "_metrics",
        "_on_refusal",
        "_refusals",
        "_timers",
        "_times",
        "_waiting",
    )

    def __init__(
        self,
        controller: controllers.AdmissionController,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
        on_refusal: Callable[[], None] = lambda: None,
    ):
        """Creates the admission control; nothing waits yet.

        Args:
          controller: decides.
          timers: the clock.
          metrics: counts decisions.
          on_refusal: called after each refusal, so that peers are told.
        """
        self._controller = controller
        self._timers = timers
        self._metrics = metrics
        self._on_refusal = on_refusal
        self._times = _LongestTimes()
        self._refusals: dict[_Class, _Refusal] = {}
        # Order keys of the waiting exchanges, sorted, by service and whether
        # their callers return.
        self._waiting: dict[tuple[str, bool], list[_Key]] = {}

    def open_gate(self, exchange: exchanges.Exchange) -> "Gate":
        """Returns the gate of a new exchange."""
        is_returning = self._note_time(exchange)
        return Gate(self, exchange, is_returning)

    def _note_time(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether the caller of an exchange has been refused before."""
        whole_s = exchange.deadline_s - exchange.arrived_s
        now_s = self._timers.read_monotonic()
        longest_s = self._times.note(exchange.route.name, whole_s, now_s)
        demand = self._controller.find_demand(exchange.service.name)
        # No refused caller gets a longer Retry-After than this.
        recent_s = longest_s * returntimes.HONOURED_SHARE + LATE_RETURN_S
        return (
            whole_s <= RETURNING_TIME_PART * longest_s
            and now_s - demand.refused_s <= recent_s
        )


class Gate:
    """The way of one exchange through admission control.

    Attributes:
      decision: the last decision.
    """

    __slots__ = (
        "_admission",
        "_cost_s",
        "_exchange",
        "_is_returning",
        "_key",
        "_was_looked_for",
        "decision",
    )

    def __init__(
        self,
        admission: ExchangeAdmission,
        exchange: exchanges.Exchange,
        is_returning: bool,
    ):
        self._admission = admission
        self._exchange = exchange
        self._cost_s = compute_cost(exchange)
        self._is_returning = is_returning
        self._key = (exchange.priority, exchange.arrived_s)
        self._was_looked_for = False
        self.decision = _NOT_DECIDED

    @property
    def is_waiting(self) -> bool:
        """Whether it should be tried again after a wait."""
        return self.decision.verdict is _Verdict.WAIT

    def begin_try(self) -> bool:
        """Begins a try and says whether it is worth looking for a placement.

        It isn't if an exchange of its rank that costs less found none just now,
        unless this is the last try: with many exchanges one has always just
        been refused.
        """
        self.decision = _NOT_DECIDED
        is_worth = self._is_worth_looking()
        self._was_looked_for |= is_worth
        return is_worth

    def _is_worth_looking(self) -> bool:
        refusal = self._admission._refusals.get(self._name_class())
        if refusal is None or self._cost_s < refusal.cost_s:
            return True
        now_s = self._admission._timers.read_monotonic()
        if now_s - refusal.at_s >= REFUSAL_TTL_S:
            return True
        candidate = self._describe(now_s)
        return candidate.waited_s >= candidate.max_wait_s

    def check(self, outlook: controllers.Outlook | None) -> bool:
        """Returns whether the exchange is let in at a placement.

        Args:
          outlook: the best placement, None if there is none.
        """
        admission = self._admission
        now_s = admission._timers.read_monotonic()
        self.decision = admission._controller.decide(
            self._describe(now_s), outlook, len(self._find_waiting()), now_s
        )
        if self.decision.verdict is _Verdict.ADMIT:
            return True
        admission._refusals[self._name_class()] = _Refusal(now_s, self._cost_s)
        if self.decision.verdict is _Verdict.REFUSE:
            self._note_refused(outlook, now_s)
        return False

    async def wait(self) -> None:
        """Waits until the exchange should be tried again."""
        admission = self._admission
        waiting = self._find_waiting()
        bisect.insort(waiting, self._key)
        admission._metrics.count("admission.waits")
        now_s = admission._timers.read_monotonic()
        until_s = self._exchange.arrived_s + self._describe(now_s).max_wait_s
        try:
            while True:
                await asyncio.sleep(POLL_S)
                if self._key in waiting[:MAX_TRIED]:
                    return
                if admission._timers.read_monotonic() >= until_s:
                    return
        finally:
            waiting.remove(self._key)

    def _find_waiting(self) -> list[_Key]:
        """Returns the waiting exchanges of its service that are like itself."""
        name = self._exchange.service.name
        return self._admission._waiting.setdefault(
            (name, self._is_returning), []
        )

    def _name_class(self) -> _Class:
        exchange = self._exchange
        return exchange.service.name, exchange.priority, self._is_returning

    def _describe(self, now_s: float) -> controllers.Candidate:
        exchange = self._exchange
        return controllers.Candidate(
            service=exchange.service.name,
            rank=exchange.priority,
            workspace=exchange.workspace,
            value=latencycost.compute_value(exchange.prompt_tokens),
            cost_s=self._cost_s,
            objective_s=exchange.route.objective_s,
            waited_s=now_s - exchange.arrived_s,
            left_s=exchange.deadline_s - now_s,
            is_returning=self._is_returning,
            patience_s=latencycost.find_patience(
                exchange.route.objective_s, exchange.route.pause_s
            ),
            is_slow=_is_slow(exchange),
        )

    def _note_refused(
        self, outlook: controllers.Outlook | None, now_s: float
    ) -> None:
        admission = self._admission
        exchange = self._exchange
        decision = self.decision
        admission._metrics.count("admission.refused")
        _logger.info(
            "admission refused",
            extra={
                "request": exchange.request_id,
                "route": exchange.route.name,
                "workspace": exchange.workspace,
                "rank": exchange.priority,
                "reason": decision.reason,
                "standing": decision.standing.value
                if decision.standing
                else None,
                "cost": round(outlook.cost, 2) if outlook else None,
                "start_s": round(outlook.start_s, 3) if outlook else None,
                "utilisation": round(outlook.utilisation, 2)
                if outlook
                else None,
                "waited_s": round(now_s - exchange.arrived_s, 3),
                "returning": self._is_returning,
                "looked_for": self._was_looked_for,
                "waiting": len(self._find_waiting()),
                "retry_after_s": round(decision.retry_after_s, 2),
            },
        )
        admission._on_refusal()


def compute_cost(exchange: exchanges.Exchange) -> float:
    """Returns what an exchange costs in engine seconds, without waiting."""
    model = exchange.service.engine
    if model is None or not exchange.prompt_tokens:
        return CALL_COST_S
    return model.predict_work(exchange.prompt_tokens, exchange.answer_tokens)


def _is_slow(exchange: exchanges.Exchange) -> bool:
    """Returns whether a prompt would be late even if all engines were idle."""
    model = exchange.service.engine
    if model is None or not exchange.prompt_tokens:
        return False
    prefill_s = model.predict_prefill(
        exchange.prompt_tokens, partplan.MAX_PARTS
    )
    return prefill_s > latencycost.SAFE_SHARE * exchange.route.objective_s
