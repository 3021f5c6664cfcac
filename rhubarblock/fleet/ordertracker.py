"""Tracks the last accepted order of each engine in a pool.

Load reports lag behind orders. For a short time after an order, the state that
the engine returned for it is therefore used instead of its load report.
"""

import dataclasses

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.kernel import timers as timers_lib


@dataclasses.dataclass(slots=True, frozen=True)
class OrderTrackerSettings:
    """Settings of the order tracker; times are in seconds.

    Attributes:
      report_lag_s: time for which an accepted order takes precedence over load
        reports; longer than their lag.
      retry_s: backoff after an order to an engine failed.
    """

    report_lag_s: float = 2.0
    retry_s: float = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class _AcceptedOrder:
    """The last order that an engine accepted.

    Attributes:
      order: the order.
      state: the state that the engine returned for it.
      accepted_s: monotonic time of acceptance in seconds.
      is_drained: whether an operator drained the engine then.
    """

    order: attempts.Order
    state: endpoints.LoadReport
    accepted_s: float
    is_drained: bool


class OrderTracker:
    """Tracks the orders that one holder gave to one pool."""

    __slots__ = ("_timers", "_settings", "_accepted", "_failed_s")

    def __init__(
        self, timers: timers_lib.Timers, settings: OrderTrackerSettings
    ):
        """Creates a tracker without orders.

        Args:
          timers: the timer service.
          settings: report lag and backoff.
        """
        self._timers = timers
        self._settings = settings
        self._accepted: dict[str, _AcceptedOrder] = {}
        self._failed_s: dict[str, float] = {}

    def clear(self) -> None:
        """Forgets every order, so that each engine gets a new one."""
        self._accepted.clear()
        self._failed_s.clear()

    def record_accepted(
        self,
        state: endpoints.LoadReport,
        order: attempts.Order,
        is_drained: bool,
    ) -> None:
        """Records an order that an engine accepted.

        Args:
          state: state of the engine after the order.
          order: the order.
          is_drained: whether an operator drained the engine then.
        """
        now_s = self._timers.read_monotonic()
        self._accepted[state.endpoint_id] = _AcceptedOrder(
            order, state, now_s, is_drained
        )
        self._failed_s.pop(state.endpoint_id, None)

    def record_failed(self, endpoint_id: str) -> None:
        """Records that an order failed or may not have arrived."""
        self._failed_s[endpoint_id] = self._timers.read_monotonic()

    def is_backing_off(self, endpoint_id: str) -> bool:
        """Returns whether an engine is in backoff after a failed order."""
        failed_s = self._failed_s.get(endpoint_id)
        if failed_s is None:
            return False
        age_s = self._timers.read_monotonic() - failed_s
        return age_s < self._settings.retry_s

    def estimate_state(
        self, report: endpoints.LoadReport
    ) -> endpoints.LoadReport:
        """Returns the best known state of an engine.

        This is its load report, updated by the state that it returned for a
        recent order.
        """
        accepted = self._find_accepted(report)
        if accepted is None or not self._is_recent(accepted):
            return report
        return dataclasses.replace(
            report,
            models=accepted.state.models,
            role=accepted.state.role,
            draining=accepted.state.draining,
        )

    def is_satisfied(
        self, report: endpoints.LoadReport, desired: attempts.Order
    ) -> bool:
        """Returns whether an engine accepted an order and still complies.

        An accepted order that differs only in the revision counts as the same.
        """
        accepted = self._find_accepted(report)
        if accepted is None or _differs(accepted.order, desired):
            return False
        return _matches(report, desired)

    def has_drifted(
        self, report: endpoints.LoadReport, desired: attempts.Order
    ) -> bool:
        """Returns whether an engine has drifted from an order it accepted.

        Only valid if ``is_satisfied`` is false.
        """
        accepted = self._find_accepted(report)
        return accepted is not None and not _differs(accepted.order, desired)

    def has_adapters(
        self, report: endpoints.LoadReport, desired: attempts.Order
    ) -> bool:
        """Returns whether an engine is assumed to have the adapters loaded.

        Load reports do not list adapters. An engine that accepted an order
        since its start has the adapters of that order; orders of earlier
        holders are assumed to have had the same ones.
        """
        accepted = self._find_accepted(report)
        if accepted is None:
            return not desired.adapters or report.fence > 0
        return set(desired.adapters) <= set(accepted.order.adapters)

    def should_drain(
        self, report: endpoints.LoadReport, is_drained: bool
    ) -> bool:
        """Returns whether an engine should refuse new requests.

        An engine that drains on its own is about to stop and stays draining.

        Args:
          report: load report of the engine.
          is_drained: whether an operator drains it.
        """
        if is_drained:
            return True
        accepted = self._find_accepted(report)
        if accepted is None:
            return report.draining
        if accepted.is_drained:
            # The operator's drain has ended.
            return False
        return report.draining

    def _find_accepted(
        self, report: endpoints.LoadReport
    ) -> _AcceptedOrder | None:
        """Returns the last order accepted since the engine's last start."""
        accepted = self._accepted.get(report.endpoint_id)
        if accepted is None or accepted.state.start_id != report.start_id:
            return None
        return accepted

    def _is_recent(self, accepted: _AcceptedOrder) -> bool:
        age_s = self._timers.read_monotonic() - accepted.accepted_s
        return age_s < self._settings.report_lag_s


def _differs(first: attempts.Order, second: attempts.Order) -> bool:
    """Returns whether two orders differ in more than the revision."""
    return dataclasses.replace(first, revision=0) != dataclasses.replace(
        second, revision=0
    )


def _matches(report: endpoints.LoadReport, desired: attempts.Order) -> bool:
    """Returns whether an engine reports the state that an order requests."""
    return (
        set(report.models) == set(desired.models)
        and report.role.value == desired.role
        and report.draining == desired.drain
    )
