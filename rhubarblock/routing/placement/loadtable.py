"""What one instance believes about the load of each engine.

Load reports lag, so each is corrected by what this instance placed since: a
grant counts from the moment it is given until it is released, and what the
report says beyond our own grants is taken to shrink at the engine's rate.
Everything here is soft state; a wrong belief costs time and nothing else.
"""

import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.routing.placement import prefixindex

# Prompt tokens a second that an engine computes before anything was learned.
PRIOR_PREFILL_RATE = 36_000.0
# How old a load report is when it arrives, in seconds.
REPORT_LAG_S = 0.5
# Work left of a prompt that should be computed by now, in tokens.
LEAST_REST_TOKENS = 400.0
# A report older than this says nothing any more, in seconds.
REPORT_LIFETIME_S = 5.0


@dataclasses.dataclass(slots=True)
class Grant:
    """A placement in progress on one endpoint.

    Attributes:
      grant_id: request id and attempt number.
      endpoint_id: engine it burdens.
      priority: its priority there.
      prefill_tokens: prompt tokens that are taken to be still uncomputed.
      kv_tokens: KV memory it will hold.
      decodes: whether it generates tokens there.
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
    """Prompt tokens that an engine still has to compute.

    Attributes:
      before: those computed before new work of a certain priority.
      behind: number of prompts that the new work would delay.
    """

    before: float
    behind: int


class EndpointLoad:
    """The belief about one engine."""

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
        """Replaces the belief about the work of others by a new report."""
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
        """Says whether a model is loaded, as far as the engine reported."""
        if model not in self._served:
            self._served[model] = any(
                x.partition("@")[0] == model for x in self.models
            )
        return self._served[model]

    def estimate_backlog(self, priority: int, now_s: float) -> Backlog:
        """Estimates the work that new work of a priority would meet.

        Args:
          priority: priority of the new work; lower numbers go first.
          now_s: present time in monotonic seconds.
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
        """Lets the engine compute, by its rate and by priority, until now.

        What it is taken to have finished keeps a little work, until the
        relay says that the first token came.
        """
        spent = (now_s - self._advanced_s) * self.prefill_rate
        self._advanced_s = now_s
        if spent <= 0:
            return
        waiting = [x for x in self.grants.values() if x.prefill_tokens]
        for grant in sorted(waiting, key=_order_by_priority):
            done = min(spent, grant.prefill_tokens - LEAST_REST_TOKENS)
            if done > 0:
                grant.prefill_tokens -= done
                spent -= done

    def _estimate_other_prefill(self, now_s: float) -> float:
        age_s = now_s - self.measured_s
        if age_s > REPORT_LIFETIME_S:
            return 0.0
        return max(0.0, self.other_prefill - age_s * self.prefill_rate)

    def count_decodes(self) -> int:
        """Counts the requests that generate tokens, or soon will."""
        own = sum(1 for grant in self.grants.values() if grant.decodes)
        return own + self.other_decodes

    def estimate_free_kv(self) -> int:
        """Estimates the KV memory in tokens that nobody has claimed."""
        own = sum(grant.kv_tokens for grant in self.grants.values())
        return self.kv_capacity - own - self.other_kv


def _order_by_priority(grant: Grant) -> tuple[int, float]:
    return grant.priority, grant.granted_s


class LoadTable:
    """The beliefs about all engines that an instance places work on.

    Attributes:
      prefixes: what the engines probably have cached.
    """

    __slots__ = ("_lag_s", "_loads", "prefixes")

    def __init__(self, lag_s: float = REPORT_LAG_S):
        self._loads: dict[str, EndpointLoad] = {}
        self._lag_s = lag_s
        self.prefixes = prefixindex.PrefixIndex()

    def set_endpoints(
        self, wanted: list[endpoints.Endpoint], kv_capacity: int
    ) -> None:
        """Keeps exactly the given engines of a service, and what is known.

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
            # A replaced engine has the same name and another address.
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
        """Returns the belief about one engine."""
        return self._loads.get(endpoint_id)

    def take_report(self, report: endpoints.LoadReport, now_s: float) -> None:
        """Takes in a load report as it arrives."""
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
        """Marks that the prompt of a grant has been computed."""
        load = self._loads.get(endpoint_id)
        if load is not None and grant_id in load.grants:
            load.grants[grant_id].prefill_tokens = 0

    def remove(self, grant_id: str, endpoint_id: str) -> None:
        """Stops counting a grant; unknown ones are ignored."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            load.grants.pop(grant_id, None)
