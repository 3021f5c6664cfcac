"""What endpoints said of their rate limits.

Answers overtake each other, and so does news from peers. A lower limit counts
at once. A higher one, or none, counts only if its request was sent after the
present limit was heard: an answer to an earlier request may be the older word.
"""

import dataclasses
import logging

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.kernel import metrics as metric_store

# Highest limit that is kept, in requests a second; more than any endpoint runs.
MOST_PER_S = 1e6
# Characters of an unreadable text that a log line holds.
SHOWN_CHARACTERS = 40

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """What one answer of an endpoint said, on this instance's clock.

    Attributes:
      per_s: requests a second from all instances; None for no limit.
      sent_s: when its request was sent, in monotonic seconds.
      heard_s: when the head of the answer came, in monotonic seconds.
    """

    per_s: float | None
    sent_s: float
    heard_s: float


@dataclasses.dataclass(slots=True)
class Limit:
    """A limit in force.

    Attributes:
      per_s: requests a second from all instances.
      since_s: when the endpoint was first heard to name any, in monotonic
        seconds.
      statement: the newest word on it.
    """

    per_s: float
    since_s: float
    statement: Statement


class LimitBook:
    """The limits that one instance knows, by endpoint."""

    __slots__ = ("_limits", "_metrics")

    def __init__(self, metrics: metric_store.Metrics):
        """Starts without limits.

        Args:
          metrics: counts changes and what can't be read.
        """
        self._limits: dict[str, Limit] = {}
        self._metrics = metrics

    def __bool__(self) -> bool:
        return bool(self._limits)

    def find(self, endpoint_id: str) -> Limit | None:
        """Returns the limit of an endpoint, None if it named none."""
        return self._limits.get(endpoint_id)

    def list_ids(self) -> list[str]:
        """Returns the ids of the endpoints that named a limit."""
        return list(self._limits)

    def note_answer(
        self,
        endpoint_id: str,
        stated: ratelimits.StatedLimit,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Takes in the head of an answer.

        Args:
          endpoint_id: the endpoint that answered.
          stated: what its head says; the limit before holds if it can't be
            read.
          sent_s: when the request was sent, in monotonic seconds.
          now_s: the present moment, in monotonic seconds.

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
        """Takes in a statement, unless it may be older than the present one.

        Args:
          endpoint_id: the endpoint that made it.
          statement: what it said.
          source: who tells of it, for the log.

        Returns:
          Whether the limit changed.
        """
        known = self._limits.get(endpoint_id)
        per_s = statement.per_s
        if known is None and per_s is None:
            return False
        if known is not None and not _is_newer(statement, known):
            return False
        before = known.per_s if known else None
        since_s = known.since_s if known else statement.heard_s
        if per_s is None:
            del self._limits[endpoint_id]
        else:
            per_s = min(per_s, MOST_PER_S)
            self._limits[endpoint_id] = Limit(per_s, since_s, statement)
        if per_s == before:
            return False
        self._metrics.count("limits.changed")
        _logger.info(
            "endpoint limit changed",
            extra={
                "endpoint": endpoint_id,
                "before_per_s": before,
                "after_per_s": per_s,
                "named_for_s": round(statement.heard_s - since_s, 3),
                "source": source,
            },
        )
        return True

    def forget(self, endpoint_id: str) -> None:
        """Forgets the limit of an endpoint that ended or started again."""
        if self._limits.pop(endpoint_id, None) is not None:
            _logger.info(
                "endpoint limit forgotten", extra={"endpoint": endpoint_id}
            )

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are not there any more."""
        for endpoint_id in self.list_ids():
            if endpoint_id not in endpoint_ids:
                self.forget(endpoint_id)


def _is_newer(statement: Statement, known: Limit) -> bool:
    """Says whether a statement replaces the present limit."""
    per_s = statement.per_s
    if per_s is not None and per_s < known.per_s:
        return True
    return statement.sent_s >= known.statement.heard_s
