"""Limits the endpoints that are known to be cold.

A cold endpoint is limited as if it had stated the cold rate of its service, by
the same permits. This begins with what the list, an answer or a peer says, and
ends when the endpoint says that it is warm or its time is over.
"""

import asyncio
from collections.abc import Callable
import logging
import math

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange.state import directory as directories
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.coldstart import coldtable
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages

# Seconds between two checks for cold periods that are over, and for a
# configuration that arrived after the list.
CHECK_INTERVAL_S = 0.25

_logger = logging.getLogger(__name__)

ServiceFinder = Callable[[str], routes.ServiceSpec | None]


class ColdStarts:
    """The endpoints that one instance knows to be cold."""

    __slots__ = (
        "_broken_s",
        "_directory",
        "_find_service",
        "_limits",
        "_metrics",
        "_open",
        "_set",
        "_table",
        "_timer",
        "_timers",
        "_uses",
    )

    def __init__(
        self,
        directory: directories.Directory,
        limits: endpointlimits.EndpointLimits,
        find_service: ServiceFinder,
        uses: Callable[[str], bool],
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Starts without cold endpoints.

        Args:
          directory: known endpoints.
          limits: enforces the rate of cold endpoints.
          find_service: returns a service of the configuration by name, or None.
          uses: returns whether this instance uses an endpoint, by id.
          timers: the clock.
          metrics: counters of begun and ended cold periods.
        """
        self._directory = directory
        self._limits = limits
        self._find_service = find_service
        self._uses = uses
        self._timers = timers
        self._metrics = metrics
        self._table = coldtable.ColdTable()
        # Endpoints that failed here and have not answered since, and when.
        self._broken_s: dict[str, float] = {}
        # Endpoints whose latest cold period may not be over.
        self._open: set[str] = set()
        # Cold limits in force.
        self._set: dict[str, limittables.ColdLimit] = {}
        self._timer: asyncio.TimerHandle | None = None

    def is_cold(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint is limited because it is cold."""
        return endpoint_id in self._set

    def note_listed(
        self, entry: lists.ListedEndpoint, arrival: coldtable.Arrival
    ) -> None:
        """Handles an entry that differs from the one before."""
        if arrival is coldtable.Arrival.RESTARTED:
            self._broken_s.pop(entry.endpoint_id, None)
        self._table.note_entry(
            entry,
            arrival,
            self._find_cold_start(entry.endpoint_id),
            self._timers.read_monotonic(),
        )
        self._refresh(entry.endpoint_id)

    def note_return(self, data_centre: str) -> None:
        """Handles the end of a data centre's evacuation."""
        now_s = self._timers.read_monotonic()
        for endpoint_id in self._directory.list_ids():
            entry = self._directory.find(endpoint_id)
            if entry is not None and entry.data_centre == data_centre:
                self._table.note_return(endpoint_id, now_s)
                self._refresh(endpoint_id)

    def note_broken(self, endpoint_id: str) -> None:
        """Records that an endpoint could not be reached."""
        self._broken_s[endpoint_id] = self._timers.read_monotonic()

    def note_answer(
        self, endpoint_id: str, left_s: float | None, sent_s: float
    ) -> None:
        """Handles an answer of an endpoint.

        Args:
          endpoint_id: the endpoint.
          left_s: seconds for which it stays cold, 0 if it says that it is warm,
            None if it says nothing.
          sent_s: when the request was sent, in monotonic seconds.
        """
        failed_s = self._broken_s.get(endpoint_id)
        is_back = failed_s is not None and sent_s >= failed_s
        if left_s is None and not is_back:
            return
        before = self._table.find(endpoint_id)
        if failed_s is not None and is_back:
            del self._broken_s[endpoint_id]
            self._table.note_reached_again(endpoint_id, failed_s, sent_s)
        if left_s is not None:
            self._table.note_answer(
                endpoint_id,
                left_s,
                sent_s,
                self._find_cold_start(endpoint_id),
                self._timers.read_monotonic(),
            )
        after = self._table.find(endpoint_id)
        if after is not before:
            self._refresh(endpoint_id, _is_news(before, after))

    def receive(
        self, endpoint_id: str, report: messages.ColdReport
    ) -> float | None:
        """Handles a peer's report of a cold period.

        Returns:
          The rate of the endpoint in requests a second; None if it was shown to
          be warm since.
        """
        now_s = self._timers.read_monotonic()
        until_s = now_s + report.left_s
        if report.left_s > 0.0:
            self._table.note_peer_cold(
                endpoint_id,
                now_s - report.begun_age_s,
                until_s,
                report.is_observed,
                self._find_cold_start(endpoint_id),
            )
        elif report.is_observed:
            self._table.note_peer_warm(endpoint_id, until_s)
        self._refresh(endpoint_id)
        service = self._find_spec(endpoint_id)
        if report.left_s <= 0.0 or service is None or not service.cold_per_s:
            return None
        period = self._table.find(endpoint_id)
        begun_s = now_s - report.begun_age_s
        if period is not None and begun_s <= (period.ended_s or -math.inf):
            return None
        return service.cold_per_s

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are no longer listed."""
        self._table.keep_only(endpoint_ids)
        for known in (self._broken_s, self._set):
            for endpoint_id in set(known) - endpoint_ids:
                del known[endpoint_id]
        self._open &= endpoint_ids

    def _find_spec(self, endpoint_id: str) -> routes.ServiceSpec | None:
        entry = self._directory.find(endpoint_id)
        return self._find_service(entry.service) if entry else None

    def _find_cold_start(self, endpoint_id: str) -> float:
        service = self._find_spec(endpoint_id)
        return service.cold_start_s if service else 0.0

    def _refresh(self, endpoint_id: str, is_reported: bool = False) -> None:
        """Applies what the table says about an endpoint now."""
        self._open.add(endpoint_id)
        self._apply(endpoint_id, is_reported)
        if self._timer is None and self._open:
            self._timer = self._timers.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        for endpoint_id in list(self._open):
            self._apply(endpoint_id)
        if self._open:
            self._timer = self._timers.call_later(CHECK_INTERVAL_S, self._check)

    def _apply(self, endpoint_id: str, is_reported: bool = False) -> None:
        now_s = self._timers.read_monotonic()
        period = self._table.find(endpoint_id)
        service = self._find_spec(endpoint_id)
        if period is None or now_s >= period.find_end(coldtable.MAX_COLD_S):
            # Over whatever the service's own time is.
            self._open.discard(endpoint_id)
        is_limited = (
            service is not None
            and service.cold_per_s > 0.0
            and self._uses(endpoint_id)
        )
        if period is None or service is None or not is_limited:
            self._end(endpoint_id, now_s, "not limited")
            return
        until_s = period.find_end(service.cold_start_s)
        limit = limittables.ColdLimit(
            service.cold_per_s,
            period.begun_s,
            until_s,
            now_s >= until_s,
            # That the time is over was not observed.
            period.is_observed and (now_s < until_s or bool(period.ended_s)),
        )
        if limit.is_over:
            self._open.discard(endpoint_id)
            self._end(
                endpoint_id,
                now_s,
                "time over" if period.ended_s is None else "stated",
                limit,
                is_reported,
            )
            return
        before = self._set.get(endpoint_id)
        if limit == before and not is_reported:
            return
        self._set[endpoint_id] = limit
        self._limits.set_cold(endpoint_id, limit, is_reported)
        if before is None or before.begun_s != limit.begun_s:
            self._log_begin(endpoint_id, period, limit, now_s)

    def _end(
        self,
        endpoint_id: str,
        now_s: float,
        reason: str,
        limit: limittables.ColdLimit | None = None,
        is_reported: bool = False,
    ) -> None:
        """Ends the limit of an endpoint if it has one."""
        before = self._set.pop(endpoint_id, None)
        if before is None:
            return
        if limit is None:
            limit = limittables.ColdLimit(
                before.per_s, before.begun_s, now_s, is_over=True
            )
        self._limits.set_cold(endpoint_id, limit, is_reported)
        self._metrics.count("cold.ended")
        _logger.info(
            "endpoint does not count as cold any more",
            extra={
                "endpoint": endpoint_id,
                "reason": reason,
                "begun_age_s": round(now_s - before.begun_s, 3),
            },
        )

    def _log_begin(
        self,
        endpoint_id: str,
        period: coldtable.ColdPeriod,
        limit: limittables.ColdLimit,
        now_s: float,
    ) -> None:
        self._metrics.count("cold.begun")
        _logger.info(
            "endpoint counts as cold",
            extra={
                "endpoint": endpoint_id,
                "cause": period.cause.value,
                "begun_age_s": round(now_s - limit.begun_s, 3),
                "left_s": round(limit.until_s - now_s, 3),
                "stated": period.stated_until_s is not None,
                "limit_per_s": limit.per_s,
            },
        )


def _is_news(
    before: coldtable.ColdPeriod | None, after: coldtable.ColdPeriod | None
) -> bool:
    """Returns whether a period began or ended, which peers can't know."""
    if before is None or after is None:
        return True
    return (before.begun_s, before.ended_s) != (after.begun_s, after.ended_s)
