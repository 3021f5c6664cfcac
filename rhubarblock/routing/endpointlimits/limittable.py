"""The rate limits that endpoints announced.

Answers may overtake each other, and so may reports from peers. An answer that
was received before the request of the present one was sent is older; one whose
request was sent after the present one was received is newer; between the two,
the lower limit applies. The end of a limit is remembered too, so that an older
report can't restore it.
"""

import dataclasses
import logging

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.endpointlimits import messages

# Highest limit that is kept, in requests a second; more than any endpoint
# handles.
MAX_PER_S = 1e6
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
    """A limit in force.

    Attributes:
      per_s: requests a second from all instances together.
      since_s: since when the endpoint has had any limit, in monotonic seconds.
      statement: the newest statement.
    """

    per_s: float
    since_s: float
    statement: Statement


class LimitTable:
    """The limits that one instance knows, by endpoint."""

    __slots__ = ("_ended", "_limits", "_metrics")

    def __init__(self, metrics: metric_store.Metrics):
        """Starts without limits.

        Args:
          metrics: counts changes and unreadable limits.
        """
        self._limits: dict[str, Limit] = {}
        self._ended: dict[str, Statement] = {}
        self._metrics = metrics

    def __bool__(self) -> bool:
        return bool(self._limits)

    def find(self, endpoint_id: str) -> Limit | None:
        """Returns the limit of an endpoint, None if it has none."""
        return self._limits.get(endpoint_id)

    def list_ids(self) -> list[str]:
        """Returns the ids of the endpoints that have a limit."""
        return list(self._limits)

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
        if last is None:
            return None
        return messages.LimitReport(
            endpoint_id,
            last.per_s,
            now_s - last.sent_s,
            now_s - last.received_s,
        )

    def receive(self, report: messages.LimitReport, now_s: float) -> bool:
        """Applies a report from a peer.

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
        if self._limits.pop(endpoint_id, None) is not None:
            _logger.info(
                "endpoint limit forgotten", extra={"endpoint": endpoint_id}
            )

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are no longer listed."""
        for endpoint_id in {*self._limits, *self._ended} - endpoint_ids:
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
