"""Frees what instances left behind at engines.

Load reports name the attempts that hold memory, and each name tells its
owner. The coordinator of an engine cancels those of instances that are known
to be dead. Each instance cancels those of its own earlier starts, and its own
ones that it no longer runs. An instance that can't be reached but is not known
to be dead keeps what it has: it may well be serving its callers.
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

# Seconds between two looks at the reports.
CHECK_INTERVAL_S = 0.5
# An attempt must be without an owner for this long: a report shows the past,
# in which the attempt may still have run.
CONFIRM_S = 1.0
# An instance that nobody knows counts as dead only after this long, since one
# that just started is not known everywhere.
UNKNOWN_CONFIRM_S = 10.0


@dataclasses.dataclass(slots=True)
class OrphanCounters:
    """What was found since the start.

    Attributes:
      cancelled: attempts that were cancelled.
      failed: cancellations that did not reach the engine.
    """

    cancelled: int = 0
    failed: int = 0


class OrphanCollector:
    """Finds and cancels the attempts of nobody."""

    __slots__ = (
        "_client",
        "_is_running",
        "_members",
        "_own",
        "_since_s",
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
          own: this start of this instance.
          membership: the other instances.
          table: the engines and their latest reports.
          client: way to the engines.
          is_running: says whether this instance runs a request id.
          timers: timer service.
        """
        self._own = own
        self._members = membership
        self._table = table
        self._client = client
        self._is_running = is_running
        self._timers = timers
        self._since_s: dict[str, float] = {}
        self.counters = OrphanCounters()

    async def collect(self) -> None:
        """Cancels what has been without an owner; a tick of the timers."""
        now_s = self._timers.read_monotonic()
        found: dict[str, float] = {}
        due: list[tuple[endpoints.Endpoint, str]] = []
        for view in self._table.list_views():
            if view.report is None:
                continue
            for attempt_id in view.report.attempts:
                wait_s = self._find_wait(view.endpoint, attempt_id)
                if wait_s is None:
                    continue
                since_s = self._since_s.get(attempt_id, now_s)
                found[attempt_id] = since_s
                if now_s - since_s >= wait_s:
                    due.append((view.endpoint, attempt_id))
        # What is no longer found is forgotten, so the memory stays small.
        self._since_s = found
        # Together, so that an engine that does not answer holds up no other.
        await asyncio.gather(*(self._cancel(*orphan) for orphan in due))

    def _find_wait(
        self, endpoint: endpoints.Endpoint, attempt_id: str
    ) -> float | None:
        """Returns how long an orphan must be one; None for no orphan of ours.

        Args:
          endpoint: engine that holds it.
          attempt_id: the attempt.
        """
        owner = attemptid.parse_owner(attempt_id)
        if owner is None:
            return None
        if owner.instance_id == self._own.instance_id:
            return self._check_own(owner, attempt_id)
        member = self._members.find(owner.instance_id)
        if member and member.state is members.MemberState.ALIVE:
            return None
        # Last, as it weighs all instances, and nearly every owner lives.
        if not self._coordinates(endpoint):
            return None
        return UNKNOWN_CONFIRM_S if member is None else CONFIRM_S

    def _check_own(
        self, owner: attemptid.Owner, attempt_id: str
    ) -> float | None:
        if owner.incarnation != self._own.incarnation:
            return CONFIRM_S
        request_id = attemptid.parse_request_id(attempt_id)
        return None if self._is_running(request_id) else CONFIRM_S

    def _coordinates(self, endpoint: endpoints.Endpoint) -> bool:
        """Says whether this instance answers for the orphans of an engine."""
        chosen = assignment.choose_coordinator(
            f"endpoint/{endpoint.endpoint_id}", self._members.live_instances()
        )
        return chosen is None or chosen.instance_id == self._own.instance_id

    async def _cancel(
        self, endpoint: endpoints.Endpoint, attempt_id: str
    ) -> None:
        try:
            await self._client.cancel(endpoint.address, attempt_id)
        except failures.FailureError:
            # It is still in the next report, and is tried again then.
            self.counters.failed += 1
        else:
            self.counters.cancelled += 1
