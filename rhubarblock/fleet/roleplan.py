"""Follows the load of a pool and gives its engines their roles.

The plan changes only when the load asked for it during a while, and by one
engine at a time, as each change costs the prefix cache of an engine its use.
"""

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import rendezvous
from rhubarblock.fleet import roles
from rhubarblock.kernel import timers as timers_lib

# Weight of the newest load report in the smoothed load.
_SMOOTHING = 0.05
# Seconds for which the load must ask for another split.
_HYSTERESIS_S = 30.0
# Seconds in which a backlog of prompt tokens should be computed, which turns
# it into a rate.
_BACKLOG_S = 1.0


class RolePlanner:
    """The roles of the engines of one pool."""

    __slots__ = (
        "_timers",
        "_demand",
        "_decode",
        "_steady_s",
        "_decoders",
    )

    def __init__(self, timers: timers_lib.Timers):
        """Creates a planner; every engine does both at first.

        Args:
          timers: the timer service.
        """
        self._timers = timers
        self._demand = roles.Demand()
        self._decode = 0
        self._steady_s = timers.read_monotonic()
        self._decoders: set[str] = set()

    def update(
        self,
        service: catalogues.Service,
        reports: list[endpoints.LoadReport],
    ) -> None:
        """Takes in the load of the pool.

        Args:
          service: entry of the catalogue, which may fix the split.
          reports: load reports of the engines.
        """
        self._demand = _smooth(self._demand, reports)
        count = len(reports)
        if service.decode_share >= 0.0:
            self._decode = roles.plan_fixed_roles(count, service.decode_share)
        else:
            self._follow_load(count)
        ranked = sorted(
            (report.endpoint_id for report in reports),
            key=lambda name: rendezvous.compute_score(service.name, name),
        )
        self._decoders = set(ranked[: self._decode])

    def choose_role(self, endpoint_id: str) -> endpoints.Role:
        """Returns the role that an engine should have."""
        if not self._decode:
            return endpoints.Role.BOTH
        if endpoint_id in self._decoders:
            return endpoints.Role.DECODE
        return endpoints.Role.PREFILL

    def _follow_load(self, count: int) -> None:
        asked = roles.plan_roles(count, self._demand)
        now_s = self._timers.read_monotonic()
        if asked == self._decode:
            self._steady_s = now_s
        elif now_s - self._steady_s >= _HYSTERESIS_S:
            self._decode = self._step(asked)
            self._steady_s = now_s

    def _step(self, asked: int) -> int:
        """Moves by one engine, or at once into or out of a split."""
        if asked == 0 or self._decode == 0:
            return asked
        return self._decode + (1 if asked > self._decode else -1)


def _smooth(
    before: roles.Demand, reports: list[endpoints.LoadReport]
) -> roles.Demand:
    backlog = sum(report.prefill_tokens for report in reports)
    return roles.Demand(
        _mix(before.prefill_tokens_per_s, backlog / _BACKLOG_S),
        _mix(
            before.decode_concurrency,
            sum(report.decoding for report in reports),
        ),
        _mix(before.kv_tokens, sum(report.kv_used for report in reports)),
    )


def _mix(before: float, latest: float) -> float:
    return before + _SMOOTHING * (latest - before)
