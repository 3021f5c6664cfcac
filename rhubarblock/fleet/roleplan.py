"""Assigns prefill and decode roles to a pool's engines by its load.

The plan changes only if the load requires it for some time, and by one engine
at a time, because an engine that changes its role loses the benefit of its
prefix cache.
"""

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import rendezvous
from rhubarblock.fleet import roles
from rhubarblock.kernel import timers as timers_lib

# Weight of the newest load reports in the exponential moving average.
_SMOOTHING = 0.05
# Seconds for which the load must require another split.
_HYSTERESIS_S = 30.0
# Seconds within which a backlog of prompt tokens should be computed; converts
# the backlog to a rate.
_BACKLOG_S = 1.0


class RolePlanner:
    """The roles of the engines of one pool."""

    __slots__ = (
        "_timers",
        "_demand",
        "_decode_count",
        "_matched_s",
        "_decode_ids",
    )

    def __init__(self, timers: timers_lib.Timers):
        """Creates a planner; every engine has role BOTH at first.

        Args:
          timers: the timer service.
        """
        self._timers = timers
        self._demand = roles.Demand()
        self._decode_count = 0
        self._matched_s = timers.read_monotonic()
        self._decode_ids: set[str] = set()

    def update(
        self,
        service: catalogues.Service,
        reports: list[endpoints.LoadReport],
    ) -> None:
        """Updates the plan from the load of the pool.

        Args:
          service: catalogue entry, whose decode share may fix the split.
          reports: load reports of the engines.
        """
        self._demand = _smooth(self._demand, reports)
        count = len(reports)
        if service.decode_share >= 0.0:
            self._decode_count = roles.plan_fixed_roles(
                count, service.decode_share
            )
        else:
            self._plan_by_load(count)
        ranked = sorted(
            (report.endpoint_id for report in reports),
            key=lambda name: rendezvous.compute_score(service.name, name),
        )
        self._decode_ids = set(ranked[: self._decode_count])

    def choose_role(self, endpoint_id: str) -> endpoints.Role:
        """Returns the role that an engine should have."""
        if not self._decode_count:
            return endpoints.Role.BOTH
        if endpoint_id in self._decode_ids:
            return endpoints.Role.DECODE
        return endpoints.Role.PREFILL

    def _plan_by_load(self, count: int) -> None:
        planned = roles.plan_roles(count, self._demand)
        now_s = self._timers.read_monotonic()
        if planned == self._decode_count:
            self._matched_s = now_s
        elif now_s - self._matched_s >= _HYSTERESIS_S:
            self._decode_count = self._limit_step(planned)
            self._matched_s = now_s

    def _limit_step(self, planned: int) -> int:
        """Moves one engine at a time, except into or out of a split."""
        if planned == 0 or self._decode_count == 0:
            return planned
        return self._decode_count + (1 if planned > self._decode_count else -1)


def _smooth(
    before: roles.Demand, reports: list[endpoints.LoadReport]
) -> roles.Demand:
    backlog = sum(report.prefill_tokens for report in reports)
    return roles.Demand(
        _smooth_value(before.prefill_tokens_per_s, backlog / _BACKLOG_S),
        _smooth_value(
            before.decode_concurrency,
            sum(report.decoding for report in reports),
        ),
        _smooth_value(
            before.kv_tokens, sum(report.kv_used for report in reports)
        ),
    )


def _smooth_value(before: float, latest: float) -> float:
    return before + _SMOOTHING * (latest - before)
