"""Decides whether a request is let in, waits or is refused.

A placement costs something: the value that the request itself loses by being
late, and the value that it takes from those under way. Past saturation, whoever
is let in at a high cost makes several others late, and the rate of answers that
are on time falls far below what the endpoints can do. So a request is let in
only if its placement costs less than a part of its value. That part is 1 as
long as nothing is refused; once a service is saturated it depends on the
request's standing.
"""

import dataclasses
import enum
import random

from rhubarblock.routing.admission import demand as demands
from rhubarblock.routing.admission import returntimes
from rhubarblock.routing.admission import standing as standings

# Largest cost of a placement, as a part of the request's value, while nothing
# is refused. A request that would be late on idle engines too is let in: its
# lateness tells nothing of the load.
CALM_COST_PART = 0.8
# Largest part of its value that a request may take from others, in any case. It
# keeps the endpoints from being filled up in the first moment of a surge,
# before anything has been refused.
MAX_OTHERS_PART = 0.1
# Largest cost while the service is saturated: only what is on time and takes
# next to nothing from others is let in.
SATURATED_COST_PARTS = {
    standings.Standing.WITHIN_SHARE: 0.1,
    standings.Standing.OVER_SHARE: 0.05,
    standings.Standing.OVERTAKING: 0.03,
}
# A request is refused as too late if its predicted start exceeds its remaining
# time by this factor: predictions for long prompts err by a quarter.
DEADLINE_MARGIN = 1.25
# Part of its objective that a request may spend waiting for room: a caller that
# is refused after a longer wait would have done better to come back.
MAX_WAIT_PART = 0.125
# Parts of its time, and of the time for which its caller is patient, that a
# returning request may wait for room. Its answer is late already, so the wait
# costs nothing more, while a second refusal may be its last.
RETURNING_WAIT_PART = 0.2
RETURNING_PATIENCE_PART = 0.5
# Utilisations up to which a returning request is let in when it comes and at
# the end of its wait: new requests, which can still be on time, have the rest.
RETURNING_UTILISATION = 0.5
RETURNING_LATER_UTILISATION = 0.6
# Utilisation below which nothing is refused for its cost.
LOW_UTILISATION = 0.4
# Most requests of a service that wait at one instance.
MAX_WAITING = 64


class Verdict(enum.Enum):
    """What happens to a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A request that asks to be let in.

    Attributes:
      service: service that it is for.
      rank: rank, 0 is the highest.
      workspace: its owner.
      value: value of an answer on time, in short prompts.
      cost_s: its cost in engine seconds.
      objective_s: seconds from its arrival within which the answer is on time.
      waited_s: seconds since its arrival.
      left_s: seconds until its deadline.
      is_returning: whether its caller returns after a refusal.
      patience_s: seconds from its arrival after which its caller gives up
        without a first event.
      is_slow: whether it would be late on idle endpoints too.
    """

    service: str
    rank: int
    workspace: str
    value: float
    cost_s: float
    objective_s: float
    waited_s: float
    left_s: float
    is_returning: bool
    patience_s: float
    is_slow: bool = False

    @property
    def max_wait_s(self) -> float:
        """Longest wait for room, in seconds from its arrival."""
        if self.is_returning:
            return min(
                RETURNING_WAIT_PART * (self.waited_s + self.left_s),
                RETURNING_PATIENCE_PART * self.patience_s,
            )
        return MAX_WAIT_PART * self.objective_s


@dataclasses.dataclass(slots=True, frozen=True)
class Outlook:
    """The best placement at present.

    Attributes:
      cost: what it costs all requests, in short prompts.
      others_cost: what of it other requests lose.
      start_s: predicted seconds until its first event or answer.
      utilisation: part of the endpoints' capacity that is in use.
    """

    cost: float
    others_cost: float
    start_s: float
    utilisation: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """A decision and the inputs that led to it.

    Attributes:
      verdict: what happens to the request.
      reason: why it is not let in; empty if it is.
      standing: its standing; None while the service is not saturated.
      retry_after_s: when a refused caller may return, in seconds; 0 if it is
        not refused.
    """

    verdict: Verdict
    reason: str = ""
    standing: standings.Standing | None = None
    retry_after_s: float = 0.0


class AdmissionController:
    """Decides for the requests of one instance."""

    __slots__ = ("_demands", "_return_times", "_rng")

    def __init__(self, rng: random.Random):
        """Starts without demand.

        Args:
          rng: spreads refused callers.
        """
        self._rng = rng
        self._demands: dict[str, demands.ServiceDemand] = {}
        self._return_times: dict[tuple[str, int], returntimes.ReturnTimes] = {}

    def find_demand(self, service: str) -> demands.ServiceDemand:
        """Returns the demand for a service."""
        demand = self._demands.get(service)
        if demand is None:
            demand = self._demands[service] = demands.ServiceDemand()
        return demand

    def list_pressed(self, now_s: float) -> list[str]:
        """Returns the services that are saturated or refused requests here."""
        return [
            name
            for name, demand in self._demands.items()
            if demand.has_refused(now_s) or demand.is_saturated(now_s)
        ]

    def decide(
        self,
        candidate: Candidate,
        outlook: Outlook | None,
        waiting: int,
        now_s: float,
    ) -> Decision:
        """Decides for a request and counts it unless it waits.

        Args:
          candidate: the request.
          outlook: its best placement, None if no endpoint has room.
          waiting: requests of its service that wait here already, new or
            returning ones as it is itself.
          now_s: current time in monotonic seconds.
        """
        demand = self.find_demand(candidate.service)
        latest_s = DEADLINE_MARGIN * candidate.left_s
        if outlook is not None and outlook.start_s > latest_s:
            return self._refuse(
                candidate, "it can't be answered in its time", None, now_s
            )
        standing = None
        cost_part = CALM_COST_PART
        # A service with room is not saturated whatever was refused: refusals by
        # standing would otherwise keep the service saturated.
        has_room = outlook is not None and outlook.utilisation < LOW_UTILISATION
        if demand.is_saturated(now_s) and not has_room:
            standing = standings.find_standing(
                demand,
                candidate.rank,
                candidate.workspace,
                now_s,
            )
            cost_part = SATURATED_COST_PARTS[standing]
        if outlook is not None and (
            has_room or _is_worth(outlook, candidate, cost_part)
        ):
            self._note(candidate, True, now_s)
            return Decision(Verdict.ADMIT, standing=standing)
        most = MAX_WAITING
        if candidate.is_returning:
            # A longer queue would end in refusals that come late.
            rate_per_s = demand.find_returning_rate(candidate.rank, now_s)
            most = min(most, int(rate_per_s * candidate.max_wait_s))
        if candidate.waited_s < candidate.max_wait_s and waiting < most:
            return Decision(Verdict.WAIT, "no room yet", standing)
        reason = "no endpoint has room"
        if outlook is not None:
            reason = "others would lose more than it gains"
        return self._refuse(candidate, reason, standing, now_s)

    def _refuse(
        self,
        candidate: Candidate,
        reason: str,
        standing: standings.Standing | None,
        now_s: float,
    ) -> Decision:
        """Refuses a request and gives its caller a time to return."""
        demand = self.find_demand(candidate.service)
        rate_per_s = demand.find_spare_rate(candidate.rank, now_s)
        self._note(candidate, False, now_s)
        key = candidate.service, candidate.rank
        times = self._return_times.get(key)
        if times is None:
            times = returntimes.ReturnTimes(self._rng)
            self._return_times[key] = times
        after_s = times.take(now_s, candidate.left_s, rate_per_s)
        return Decision(Verdict.REFUSE, reason, standing, after_s)

    def _note(self, candidate: Candidate, admitted: bool, now_s: float) -> None:
        self.find_demand(candidate.service).note(
            candidate.rank,
            candidate.workspace,
            candidate.cost_s,
            admitted,
            candidate.is_returning,
            now_s,
        )


def _is_worth(outlook: Outlook, candidate: Candidate, cost_part: float) -> bool:
    """Returns whether a placement costs less than a part of its value."""
    if outlook.others_cost > MAX_OTHERS_PART * candidate.value:
        return False
    if candidate.is_returning and (
        outlook.utilisation > _limit_utilisation(candidate)
        or candidate.waited_s + outlook.start_s > candidate.patience_s
    ):
        return False
    if candidate.is_slow or candidate.is_returning:
        return outlook.others_cost <= cost_part * candidate.value
    return outlook.cost <= cost_part * candidate.value


def _limit_utilisation(candidate: Candidate) -> float:
    """Returns the utilisation up to which a returning request is let in."""
    if candidate.waited_s >= candidate.max_wait_s:
        return RETURNING_LATER_UTILISATION
    waited_part = candidate.waited_s / candidate.max_wait_s
    return RETURNING_UTILISATION + waited_part * (
        RETURNING_LATER_UTILISATION - RETURNING_UTILISATION
    )
