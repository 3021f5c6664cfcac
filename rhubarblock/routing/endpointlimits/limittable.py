"""The rate limits that endpoints announced, and those of cold endpoints.

Answers may overtake each other, and so may reports from peers. An answer that
was received before the request of the present one was sent is older; one whose
request was sent after the present one was received is newer; between the two,
the lower limit applies. The end of a limit is remembered too, so that an older
report can't restore it.

A cold endpoint has a limit from another source, which decides on its begin and
end. While an endpoint has both, the lower one applies, and neither ends the
other.
"""

import dataclasses
import logging

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.endpointlimits import messages

# Highest limit that is kept, in requests a second; more than any endpoint
# handles.
MAX_PER_S = 1e6
# Shortest remaining cold time in seconds that is reported. A shorter one may be
# over on arrival, and a period that is over is reported only if an answer ended
# it.
MIN_LEFT_S = 0.01
# Characters of an unreadable header that a log line contains.
SHOWN_CHARACTERS = 40

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """The limit stated by one answer of an endpoint, on this instance's clock.

    Attributes:
      per_s: requests a second from all instances together; None for no limit.
      sent_s: when its request was sent, in monotonic seconds.
      received_s: when the head of the answer arrived, in monotonic seconds.
    """

    per_s: float | None
    sent_s: float
    received_s: float


@dataclasses.dataclass(slots=True)
class Limit:
    """A limit that an endpoint announced.

    Attributes:
      per_s: requests a second from all instances together.
      since_s: since when the endpoint has had any limit, in monotonic seconds.
      statement: the newest statement.
    """

    per_s: float
    since_s: float
    statement: Statement


@dataclasses.dataclass(slots=True, frozen=True)
class ColdLimit:
    """The limit of an endpoint that is or was cold.

    Attributes:
      per_s: requests a second from all instances together.
      begun_s: since when it has been cold, in monotonic seconds.
      until_s: when it ends or ended, in monotonic seconds.
      is_over: whether it is not in force any more.
      is_observed: whether an instance observed it at the endpoint: that it is
        cold or, if it is over, that it is warm.
    """

    per_s: float
    begun_s: float
    until_s: float
    is_over: bool
    is_observed: bool = False


class LimitTable:
    """The limits that one instance knows, by endpoint."""

    __slots__ = ("_cold", "_ended", "_limits", "_metrics", "_over")

    def __init__(self, metrics: metric_store.Metrics):
        """Starts without limits.

        Args:
          metrics: counts changes and unreadable limits.
        """
        self._limits: dict[str, Limit] = {}
        self._ended: dict[str, Statement] = {}
        # Limits of cold endpoints, and those that an answer ended.
        self._cold: dict[str, ColdLimit] = {}
        self._over: dict[str, ColdLimit] = {}
        self._metrics = metrics

    def __bool__(self) -> bool:
        return bool(self._limits or self._cold)

    def find_rate(self, endpoint_id: str) -> float | None:
        """Returns the limit in requests a second, None if it has none."""
        limit = self._limits.get(endpoint_id)
        cold = self._cold.get(endpoint_id)
        if cold is None:
            return limit.per_s if limit else None
        return min(cold.per_s, limit.per_s) if limit else cold.per_s

    def find_statement(self, endpoint_id: str) -> Statement | None:
        """Returns the newest statement of a limit in force, or None."""
        limit = self._limits.get(endpoint_id)
        return limit.statement if limit else None

    def list_ids(self) -> list[str]:
        """Returns the ids of the endpoints that have a limit."""
        return list({**self._limits, **self._cold})

    def set_cold(self, endpoint_id: str, cold: ColdLimit) -> bool:
        """Sets the limit of an endpoint that is or was cold.

        Returns:
          Whether the limit changed.
        """
        before = self.find_rate(endpoint_id)
        self._cold.pop(endpoint_id, None)
        self._over.pop(endpoint_id, None)
        if not cold.is_over:
            self._cold[endpoint_id] = cold
        elif cold.is_observed:
            # The end of a period's time is no news to peers, which count it
            # from a slightly different begin.
            self._over[endpoint_id] = cold
        return self.find_rate(endpoint_id) != before

    def note_answer(
        self,
        endpoint_id: str,
        stated: ratelimits.StatedLimit,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Applies the head of an answer.

        Args:
          endpoint_id: the endpoint that answered.
          stated: the limit in its head; the previous limit stays in force if it
            is unreadable.
          sent_s: when the request was sent, in monotonic seconds.
          now_s: current time in monotonic seconds.

        Returns:
          Whether the limit changed.
        """
        if stated.unreadable:
            self._metrics.count("limits.unreadable")
            _logger.warning(
                "endpoint limit can't be read",
                extra={
                    "endpoint": endpoint_id,
                    "text": stated.unreadable[:SHOWN_CHARACTERS],
                },
            )
            return False
        statement = Statement(stated.per_s, sent_s, now_s)
        return self.take(endpoint_id, statement, "answer")

    def take(self, endpoint_id: str, statement: Statement, source: str) -> bool:
        """Applies a statement unless it may be older than the present one.

        Args:
          endpoint_id: the endpoint that made it.
          statement: the stated limit.
          source: where the statement comes from, for the log.

        Returns:
          Whether the limit changed.
        """
        if statement.per_s is not None and statement.per_s > MAX_PER_S:
            statement = dataclasses.replace(statement, per_s=MAX_PER_S)
        known = self._limits.get(endpoint_id)
        last = known.statement if known else self._ended.get(endpoint_id)
        per_s = statement.per_s
        if last is None and per_s is None:
            return False
        if last is not None and not _replaces(statement, last):
            return False
        before = known.per_s if known else None
        since_s = known.since_s if known else statement.received_s
        self._store(endpoint_id, statement, since_s)
        if per_s == before:
            return False
        self._metrics.count("limits.changed")
        _logger.info(
            "endpoint limit changed",
            extra={
                "endpoint": endpoint_id,
                "before_per_s": before,
                "after_per_s": per_s,
                "named_for_s": round(statement.received_s - since_s, 3),
                "source": source,
            },
        )
        return True

    def describe(
        self, endpoint_id: str, now_s: float
    ) -> messages.LimitReport | None:
        """Returns the report to peers of a limit that is or was in force.

        Args:
          endpoint_id: the endpoint.
          now_s: current time in monotonic seconds.
        """
        limit = self._limits.get(endpoint_id)
        last = limit.statement if limit else self._ended.get(endpoint_id)
        cold = self._describe_cold(endpoint_id, now_s)
        if last is None:
            if cold is None:
                return None
            age_s = messages.UNSTATED_AGE_S
            return messages.LimitReport(endpoint_id, None, age_s, age_s, cold)
        return messages.LimitReport(
            endpoint_id,
            last.per_s,
            now_s - last.sent_s,
            now_s - last.received_s,
            cold,
        )

    def _describe_cold(
        self, endpoint_id: str, now_s: float
    ) -> messages.ColdReport | None:
        cold = self._cold.get(endpoint_id) or self._over.get(endpoint_id)
        if cold is None:
            return None
        left_s = cold.until_s - now_s
        if not cold.is_over and left_s < MIN_LEFT_S:
            return None
        return messages.ColdReport(
            now_s - cold.begun_s, left_s, cold.is_observed
        )

    def receive(self, report: messages.LimitReport, now_s: float) -> bool:
        """Applies the statement in a report from a peer.

        Returns:
          Whether the limit changed.
        """
        statement = Statement(
            report.per_s,
            now_s - report.sent_age_s,
            now_s - report.received_age_s,
        )
        return self.take(report.endpoint_id, statement, "peer")

    def _store(
        self, endpoint_id: str, statement: Statement, since_s: float
    ) -> None:
        if statement.per_s is None:
            self._limits.pop(endpoint_id, None)
            self._ended[endpoint_id] = statement
            return
        self._ended.pop(endpoint_id, None)
        self._limits[endpoint_id] = Limit(statement.per_s, since_s, statement)

    def forget(self, endpoint_id: str) -> None:
        """Forgets the limit of an endpoint that ended or restarted."""
        self._ended.pop(endpoint_id, None)
        self._cold.pop(endpoint_id, None)
        self._over.pop(endpoint_id, None)
        if self._limits.pop(endpoint_id, None) is not None:
            _logger.info(
                "endpoint limit forgotten", extra={"endpoint": endpoint_id}
            )

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are no longer listed."""
        known = {*self._limits, *self._ended, *self._cold, *self._over}
        for endpoint_id in known - endpoint_ids:
            self.forget(endpoint_id)


def _replaces(statement: Statement, last: Statement) -> bool:
    """Says whether a statement replaces the previous one."""
    if statement.sent_s >= last.received_s:
        return True
    if statement.received_s <= last.sent_s:
        return False
    if statement.per_s is None:
        return False
    return last.per_s is None or statement.per_s < last.per_s
