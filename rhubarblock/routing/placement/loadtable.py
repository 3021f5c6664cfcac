"""What one instance estimates about the load of each engine.

Load reports arrive late, so each is corrected by what this instance placed in
the meantime: a grant counts from when it is given until it is released. The
load in a report beyond this instance's grants is assumed to shrink at the
engine's prefill rate. All of this is soft state; a wrong estimate only costs
time.
"""

import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.routing.placement import prefixindex

# Prompt tokens a second that an engine is assumed to prefill.
PRIOR_PREFILL_RATE = 36_000.0
# Age of a load report on arrival, in seconds.
REPORT_LAG_S = 0.5
# Prompt tokens that stay counted for a prefill that is overdue to end.
MIN_REMAINING_TOKENS = 400.0
# Age in seconds from which a load report is ignored.
REPORT_LIFETIME_S = 5.0


@dataclasses.dataclass(slots=True)
class Grant:
    """The load that one placement puts on one endpoint.

    Attributes:
      grant_id: request id and attempt number.
      endpoint_id: the engine.
      priority: its priority there.
      prefill_tokens: estimated prompt tokens that are not computed yet.
      kv_tokens: KV memory it will hold, in tokens.
      decodes: whether it decodes there.
      granted_s: when it was given, in monotonic seconds.
    """

    grant_id: str
    endpoint_id: str
    priority: int
    prefill_tokens: float
    kv_tokens: int
    decodes: bool
    granted_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Backlog:
    """Prompt tokens that an engine still has to prefill.

    Attributes:
      before: tokens that are computed before new work of a given priority.
      behind: number of prompts that the new work would delay.
    """

    before: float
    behind: int


class EndpointLoad:
    """The estimated load of one engine."""

    __slots__ = (
        "_advanced_s",
        "_served",
        "endpoint",
        "grants",
        "kv_capacity",
        "measured_s",
        "models",
        "other_decodes",
        "other_kv",
        "other_prefill",
        "prefill_rate",
        "role",
        "usable",
    )

    def __init__(self, endpoint: endpoints.Endpoint, kv_capacity: int):
        self.endpoint = endpoint
        self.kv_capacity = kv_capacity
        self.role = endpoints.Role.BOTH
        self.models: tuple[str, ...] = ()
        self.usable = True
        self.grants: dict[str, Grant] = {}
        self.measured_s = float("-inf")
        self.other_prefill = 0.0
        self.other_kv = 0
        self.other_decodes = 0
        self.prefill_rate = PRIOR_PREFILL_RATE
        self._advanced_s = 0.0
        self._served: dict[str, bool] = {}

    def take_report(
        self, report: endpoints.LoadReport, now_s: float, lag_s: float
    ) -> None:
        """Replaces the estimate of other instances' work by a new report."""
        measured_s = now_s - lag_s
        mine = [g for g in self.grants.values() if g.granted_s <= measured_s]
        self.advance(now_s)
        own_prefill = sum(g.prefill_tokens for g in mine)
        self.role = report.role
        if report.models != self.models:
            self.models = report.models
            self._served.clear()
        self.kv_capacity = report.kv_capacity
        self.measured_s = measured_s
        self.other_prefill = max(0, report.prefill_tokens - own_prefill)
        own_kv = sum(g.kv_tokens for g in mine)
        self.other_kv = max(0, report.kv_used - own_kv)
        own_decodes = sum(1 for g in mine if g.decodes)
        self.other_decodes = max(0, report.decoding - own_decodes)

    def serves(self, model: str) -> bool:
        """Says whether a model is loaded, according to the last report."""
        if model not in self._served:
            self._served[model] = any(
                x.partition("@")[0] == model for x in self.models
            )
        return self._served[model]

    def estimate_backlog(self, priority: int, now_s: float) -> Backlog:
        """Estimates the backlog that new work of a priority would find.

        Args:
          priority: priority of the new work; lower numbers go first.
          now_s: current time in monotonic seconds.
        """
        self.advance(now_s)
        before = self._estimate_other_prefill(now_s)
        behind = 0
        for grant in self.grants.values():
            if not grant.prefill_tokens:
                continue
            if grant.priority <= priority:
                before += grant.prefill_tokens
            else:
                behind += 1
        return Backlog(before, behind)

    def advance(self, now_s: float) -> None:
        """Assumes prefill progress up to now, by priority at the engine's rate.

        A grant that should be done keeps ``MIN_REMAINING_TOKENS`` until the
        relay reports its first token.
        """
        spent = (now_s - self._advanced_s) * self.prefill_rate
        self._advanced_s = now_s
        if spent <= 0:
            return
        waiting = [x for x in self.grants.values() if x.prefill_tokens]
        for grant in sorted(waiting, key=_get_priority_key):
            done = min(spent, grant.prefill_tokens - MIN_REMAINING_TOKENS)
            if done > 0:
                grant.prefill_tokens -= done
                spent -= done

    def _estimate_other_prefill(self, now_s: float) -> float:
        age_s = now_s - self.measured_s
        if age_s > REPORT_LIFETIME_S:
            return 0.0
        return max(0.0, self.other_prefill - age_s * self.prefill_rate)

    def count_decodes(self) -> int:
        """Counts the requests that decode now or will soon."""
        own = sum(1 for grant in self.grants.values() if grant.decodes)
        return own + self.other_decodes

    def estimate_free_kv(self) -> int:
        """Estimates the KV memory that is not claimed, in tokens."""
        own = sum(grant.kv_tokens for grant in self.grants.values())
        return self.kv_capacity - own - self.other_kv


def _get_priority_key(grant: Grant) -> tuple[int, float]:
    return grant.priority, grant.granted_s


class LoadTable:
    """The estimated loads of all engines that an instance places work on.

    Attributes:
      prefixes: estimated contents of the engines' prefix caches.
    """

    __slots__ = ("_lag_s", "_loads", "prefixes")

    def __init__(self, lag_s: float = REPORT_LAG_S):
        self._loads: dict[str, EndpointLoad] = {}
        self._lag_s = lag_s
        self.prefixes = prefixindex.PrefixIndex()

    def set_endpoints(
        self, wanted: list[endpoints.Endpoint], kv_capacity: int
    ) -> None:
        """Marks exactly the given engines as usable; keeps existing estimates.

        Args:
          wanted: engines that may be given work.
          kv_capacity: KV memory in tokens until an engine reports its own.
        """
        names = {endpoint.endpoint_id for endpoint in wanted}
        for endpoint in wanted:
            load = self._loads.get(endpoint.endpoint_id)
            if load is None:
                load = EndpointLoad(endpoint, kv_capacity)
                self._loads[endpoint.endpoint_id] = load
            # A replaced engine keeps its name and has another address.
            load.endpoint = endpoint
        for name, load in self._loads.items():
            load.usable = name in names

    def list_all(self) -> list[EndpointLoad]:
        """Returns every engine known, usable or not."""
        return list(self._loads.values())

    def list_usable(self) -> list[EndpointLoad]:
        """Returns the usable engines of all services."""
        return [load for load in self._loads.values() if load.usable]

    def list_loads(self, service: str, model: str) -> list[EndpointLoad]:
        """Returns the usable engines that serve a model, in a stable order.

        Args:
          service: engine service of the model.
          model: its name, without a version.
        """
        return [
            load
            for load in self._loads.values()
            if load.usable
            and load.endpoint.service == service
            and load.serves(model)
        ]

    def find(self, endpoint_id: str) -> EndpointLoad | None:
        """Returns the estimated load of an engine, None if it is unknown."""
        return self._loads.get(endpoint_id)

    def take_report(self, report: endpoints.LoadReport, now_s: float) -> None:
        """Applies a load report that has just arrived."""
        load = self._loads.get(report.endpoint_id)
        if load is not None:
            self.prefixes.note_start(report.endpoint_id, report.start_id)
            load.take_report(report, now_s, self._lag_s)

    def add(self, grant: Grant) -> None:
        """Counts a grant until it is removed."""
        load = self._loads.get(grant.endpoint_id)
        if load is not None:
            load.advance(grant.granted_s)
            load.grants[grant.grant_id] = grant

    def end_prefill(self, grant_id: str, endpoint_id: str) -> None:
        """Marks the prefill of a grant as done."""
        load = self._loads.get(endpoint_id)
        if load is not None and grant_id in load.grants:
            load.grants[grant_id].prefill_tokens = 0

    def remove(self, grant_id: str, endpoint_id: str) -> None:
        """Stops counting a grant; unknown grants are ignored."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            load.grants.pop(grant_id, None)
