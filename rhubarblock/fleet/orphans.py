"""Cancels orphaned attempts at engines.

Load reports list the attempts that hold memory, and each attempt id contains
its owner. The coordinator of an engine cancels attempts of dead instances.
Each instance cancels attempts of its own earlier starts, and its own attempts
that it no longer runs. Attempts of an instance that is unreachable but not
known to be dead are kept: it may still be serving its callers.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from rhubarblock.core import attemptid
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.fleet import assignment
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import engineclient
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import view as memberview
from rhubarblock.kernel import timers as timer_service

# Seconds between two checks of the load reports.
CHECK_INTERVAL_S = 0.5
# An attempt must be an orphan for this many seconds: a load report lags, and
# the attempt may still have been running when it was made.
CONFIRM_S = 1.0
# An unknown instance counts as dead only after this many seconds, since an
# instance that has just started is not known everywhere yet.
UNKNOWN_CONFIRM_S = 10.0


@dataclasses.dataclass(slots=True)
class OrphanCounters:
    """Counters of the collector since its start.

    Attributes:
      cancelled: cancelled orphans.
      failed: cancellations that failed.
    """

    cancelled: int = 0
    failed: int = 0


class OrphanCollector:
    """Finds and cancels orphaned attempts."""

    __slots__ = (
        "_client",
        "_orphaned_since_s",
        "_is_running",
        "_members",
        "_own",
        "_table",
        "_timers",
        "counters",
    )

    def __init__(
        self,
        own: attemptid.Owner,
        membership: memberview.MemberView,
        table: endpointtables.EndpointTable,
        client: engineclient.EngineClient,
        is_running: Callable[[str], bool],
        timers: timer_service.Timers,
    ):
        """Creates a collector.

        Args:
          own: id and incarnation of this instance.
          membership: the other instances.
          table: the engines and their latest load reports.
          client: carries calls to engines.
          is_running: returns whether this instance runs a request, given its
            id.
          timers: the timer service.
        """
        self._own = own
        self._members = membership
        self._table = table
        self._client = client
        self._is_running = is_running
        self._timers = timers
        self._orphaned_since_s: dict[str, float] = {}
        self.counters = OrphanCounters()

    async def collect(self) -> None:
        """Cancels attempts that have been orphans for long enough.

        Call this periodically.
        """
        now_s = self._timers.read_monotonic()
        found: dict[str, float] = {}
        due: list[tuple[endpoints.Endpoint, str]] = []
        for view in self._table.list_views():
            if view.report is None:
                continue
            for attempt_id in view.report.attempts:
                confirm_s = self._find_confirm_time(view.endpoint, attempt_id)
                if confirm_s is None:
                    continue
                orphaned_since_s = self._orphaned_since_s.get(attempt_id, now_s)
                found[attempt_id] = orphaned_since_s
                if now_s - orphaned_since_s >= confirm_s:
                    due.append((view.endpoint, attempt_id))
        # Attempts that are no longer orphans are removed, which bounds the
        # size.
        self._orphaned_since_s = found
        # The calls run concurrently, so that an unresponsive engine does not
        # delay the others.
        await asyncio.gather(*(self._cancel(*orphan) for orphan in due))

    def _find_confirm_time(
        self, endpoint: endpoints.Endpoint, attempt_id: str
    ) -> float | None:
        """Returns how long an attempt must have been an orphan to be cancelled.

        Args:
          endpoint: engine that holds it.
          attempt_id: the attempt.

        Returns:
          The time in seconds, or None if it is not an orphan or another
          instance is responsible for it.
        """
        owner = attemptid.parse_owner(attempt_id)
        if owner is None:
            return None
        if owner.instance_id == self._own.instance_id:
            return self._check_own(owner, attempt_id)
        member = self._members.find(owner.instance_id)
        if member and member.state is members.MemberState.ALIVE:
            return None
        # Checked last because it scores all instances and nearly every owner is
        # alive.
        if not self._is_coordinator(endpoint):
            return None
        return UNKNOWN_CONFIRM_S if member is None else CONFIRM_S

    def _check_own(
        self, owner: attemptid.Owner, attempt_id: str
    ) -> float | None:
        if owner.incarnation != self._own.incarnation:
            return CONFIRM_S
        request_id = attemptid.parse_request_id(attempt_id)
        return None if self._is_running(request_id) else CONFIRM_S

    def _is_coordinator(self, endpoint: endpoints.Endpoint) -> bool:
        """Returns whether this instance is the coordinator of an engine."""
        chosen = assignment.choose_coordinator(
            f"endpoint/{endpoint.endpoint_id}",
            self._members.list_live_instances(),
        )
        return chosen is None or chosen.instance_id == self._own.instance_id

    async def _cancel(
        self, endpoint: endpoints.Endpoint, attempt_id: str
    ) -> None:
        try:
            await self._client.cancel(endpoint.address, attempt_id)
        except failures.FailureError:
            # The next load report lists the orphan again, which retries it.
            self.counters.failed += 1
        else:
            self.counters.cancelled += 1
