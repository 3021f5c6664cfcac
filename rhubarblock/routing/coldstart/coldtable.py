"""Decides which endpoints are known to be cold, and until when.

An endpoint is cold after a start. Its entry in the list and its answers may
state the time that remains; otherwise the time of its service counts from the
event that shows a start. All instances see the same entries, so they agree
about them without messages, and a report about them matters only to an instance
that started later. What one instance observed at the endpoint is reported to
its peers. Hearing of a period again never prolongs or repeats it: otherwise
instances that hear of one start at different times would keep the endpoint cold
in turn.
"""

import dataclasses
import enum
import math

from rhubarblock.core import listed as lists

# Longest time in seconds for which an endpoint counts as cold if its service
# has no time of its own; an entry may come from any writer.
MAX_COLD_S = 300.0
# Seconds by which a stated end must be later than the known one to show another
# start; less is due to the latency of the statement.
RESTART_S = 1.0


class Arrival(enum.Enum):
    """How an entry of the list relates to what was known before."""

    FIRST = "first list"
    NEW = "new entry"
    RESTARTED = "later start"
    KNOWN = "known"


class Cause(enum.Enum):
    """Why an endpoint is taken for cold."""

    ENTRY = "entry"
    NEW = "new entry"
    RESTART = "later start"
    RETURN = "evacuation ended"
    REACHED_AGAIN = "reached again"
    ANSWER = "answer"
    PEER = "peer"


@dataclasses.dataclass(slots=True, frozen=True)
class ColdPeriod:
    """A time for which an endpoint is or was cold; times are monotonic.

    Attributes:
      cause: why it was taken for cold.
      begun_s: since when it has been taken for cold.
      stated_until_s: end that it stated itself; None if it stated none.
      ended_s: as of when it was shown to be warm; None if it was not.
      is_observed: whether an instance observed it at the endpoint: its end or,
        if it was not shown to be warm, its begin.
    """

    cause: Cause
    begun_s: float
    stated_until_s: float | None = None
    ended_s: float | None = None
    is_observed: bool = False

    def find_end(self, cold_start_s: float) -> float:
        """Returns the end in monotonic seconds.

        Args:
          cold_start_s: seconds for which endpoints of its service are cold
            after a start; 0 if unknown.
        """
        if self.ended_s is not None:
            return self.ended_s
        if self.stated_until_s is None:
            return self.begun_s + cold_start_s
        longest_s = cold_start_s or MAX_COLD_S
        return min(self.stated_until_s, self.begun_s + longest_s)


class ColdTable:
    """The latest cold period of each endpoint."""

    __slots__ = ("_answered_s", "_listed_s", "_listed_since_s", "_periods")

    def __init__(self) -> None:
        """Starts without cold periods."""
        self._periods: dict[str, ColdPeriod] = {}
        # Remaining cold time that the last entry stated, in seconds.
        self._listed_s: dict[str, float | None] = {}
        # When the request was sent whose answer made the last statement.
        self._answered_s: dict[str, float] = {}
        # When the first entry arrived; starts before it can't be told by list.
        self._listed_since_s: float | None = None

    def find(self, endpoint_id: str) -> ColdPeriod | None:
        """Returns the latest cold period, which may be over, or None."""
        return self._periods.get(endpoint_id)

    def list_ids(self) -> list[str]:
        """Returns the ids of the endpoints that are or were cold."""
        return list(self._periods)

    def is_cold(
        self, endpoint_id: str, cold_start_s: float, now_s: float
    ) -> bool:
        """Returns whether an endpoint is known to be cold now."""
        period = self._periods.get(endpoint_id)
        return period is not None and now_s < period.find_end(cold_start_s)

    def note_entry(
        self,
        entry: lists.ListedEndpoint,
        arrival: Arrival,
        cold_start_s: float,
        now_s: float,
    ) -> None:
        """Applies an entry that differs from the one before.

        Args:
          entry: the entry.
          arrival: how it relates to what was known before.
          cold_start_s: cold time of its service, 0 if unknown.
          now_s: current time in monotonic seconds.
        """
        name = entry.endpoint_id
        if self._listed_since_s is None:
            self._listed_since_s = now_s
        left_s = entry.cold_remaining_s
        before_s = self._listed_s.get(name)
        self._listed_s[name] = left_s
        if arrival is Arrival.RESTARTED:
            self._forget_start(name)
            before_s = None
        started = arrival in (Arrival.RESTARTED, Arrival.NEW)
        if started and left_s != 0.0:
            if arrival is Arrival.RESTARTED or not self.is_cold(
                name, cold_start_s, now_s
            ):
                cause = Cause.NEW if arrival is Arrival.NEW else Cause.RESTART
                self._begin(name, cause, now_s, left_s)
        elif left_s == 0.0:
            if before_s != 0.0:
                self._end(name, now_s)
        elif left_s is not None:
            self._apply_stated(name, left_s, before_s, cold_start_s, now_s)

    def note_answer(
        self,
        endpoint_id: str,
        left_s: float,
        sent_s: float,
        cold_start_s: float,
        now_s: float,
    ) -> None:
        """Applies the remaining cold time that an answer stated.

        Args:
          endpoint_id: the endpoint that answered.
          left_s: seconds for which it stays cold, 0 if it is warm.
          sent_s: when the request was sent, in monotonic seconds.
          cold_start_s: cold time of its service, 0 if unknown.
          now_s: current time in monotonic seconds.
        """
        if sent_s < self._answered_s.get(endpoint_id, -math.inf):
            return
        self._answered_s[endpoint_id] = sent_s
        period = self._periods.get(endpoint_id)
        if left_s <= 0.0:
            if period is not None and sent_s >= period.begun_s:
                self._end(endpoint_id, sent_s, is_observed=True)
            return
        if period is None or now_s >= period.find_end(cold_start_s):
            if period is None or sent_s >= (period.ended_s or -math.inf):
                self._begin(endpoint_id, Cause.ANSWER, now_s, left_s)
            return
        known_s = period.find_end(cold_start_s)
        if now_s + left_s > known_s + RESTART_S:
            self._begin(endpoint_id, Cause.ANSWER, now_s, left_s)
        else:
            self._shorten(endpoint_id, period, now_s + left_s)

    def note_return(self, endpoint_id: str, now_s: float) -> None:
        """Takes an endpoint for cold whose evacuation ended."""
        self._begin(endpoint_id, Cause.RETURN, now_s, None)

    def note_reached_again(
        self, endpoint_id: str, failed_s: float, sent_s: float
    ) -> None:
        """Takes an endpoint for cold that failed and responds again.

        A period that began after the failure covers this absence already.

        Args:
          endpoint_id: the endpoint.
          failed_s: when it last failed here, in monotonic seconds.
          sent_s: when the request was sent that it answered.
        """
        period = self._periods.get(endpoint_id)
        if period is None or failed_s > period.begun_s:
            self._begin(endpoint_id, Cause.REACHED_AGAIN, sent_s, None)

    def note_peer_cold(
        self,
        endpoint_id: str,
        begun_s: float,
        until_s: float,
        is_observed: bool,
        cold_start_s: float,
    ) -> None:
        """Applies a peer's report of a cold period.

        Args:
          endpoint_id: the endpoint.
          begun_s: begin on this instance's clock, in monotonic seconds.
          until_s: end on this instance's clock, in monotonic seconds.
          is_observed: whether an instance observed it at the endpoint.
          cold_start_s: cold time of its service, 0 if unknown.
        """
        follows_list = self._listed_since_s is not None and (
            begun_s > self._listed_since_s
        )
        if follows_list and not is_observed:
            return
        if self._is_new(endpoint_id, begun_s, until_s, cold_start_s):
            self._periods[endpoint_id] = ColdPeriod(
                Cause.PEER, begun_s, until_s, is_observed=is_observed
            )

    def note_peer_warm(self, endpoint_id: str, ended_s: float) -> None:
        """Applies a peer's report that an answer showed the endpoint warm.

        Args:
          endpoint_id: the endpoint.
          ended_s: when the answered request was sent, in monotonic seconds.
        """
        period = self._periods.get(endpoint_id)
        if period is not None and ended_s >= period.begun_s:
            self._end(endpoint_id, ended_s, is_observed=True)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that are no longer listed."""
        for name in set(self._periods) - endpoint_ids:
            del self._periods[name]
        for name in set(self._listed_s) - endpoint_ids:
            del self._listed_s[name]
        for name in set(self._answered_s) - endpoint_ids:
            del self._answered_s[name]

    def _apply_stated(
        self,
        name: str,
        left_s: float,
        before_s: float | None,
        cold_start_s: float,
        now_s: float,
    ) -> None:
        """Applies a remaining time that the entry of a known start states.

        Entries are seconds old, so only a time that rises shows a new period.
        """
        period = self._periods.get(name)
        rises = before_s is not None and left_s > before_s
        if period is not None and now_s < period.find_end(cold_start_s):
            if not rises:
                self._shorten(name, period, now_s + left_s)
                return
        elif before_s is not None and not rises:
            return
        self._begin(name, Cause.ENTRY, now_s, left_s)

    def _is_new(
        self, name: str, begun_s: float, until_s: float, cold_start_s: float
    ) -> bool:
        """Returns whether a peer's period is another one than is known here.

        It either began after the known one ended, or shows another start within
        that, as it began and ends clearly later.
        """
        period = self._periods.get(name)
        if period is None or begun_s > period.find_end(cold_start_s):
            return True
        return (
            period.ended_s is None
            and begun_s > period.begun_s + RESTART_S
            and until_s > period.find_end(cold_start_s) + RESTART_S
        )

    def _begin(
        self, name: str, cause: Cause, now_s: float, left_s: float | None
    ) -> None:
        until_s = None if left_s is None else now_s + left_s
        observed = cause in (Cause.ANSWER, Cause.REACHED_AGAIN)
        self._periods[name] = ColdPeriod(
            cause, now_s, until_s, is_observed=observed
        )

    def _shorten(self, name: str, period: ColdPeriod, until_s: float) -> None:
        if period.stated_until_s is not None:
            until_s = min(until_s, period.stated_until_s)
        self._periods[name] = dataclasses.replace(
            period, stated_until_s=until_s
        )

    def _end(
        self, name: str, ended_s: float, is_observed: bool = False
    ) -> None:
        period = self._periods.get(name)
        if period is not None and period.ended_s is None:
            self._periods[name] = dataclasses.replace(
                period, ended_s=ended_s, is_observed=is_observed
            )

    def _forget_start(self, name: str) -> None:
        self._periods.pop(name, None)
        self._answered_s.pop(name, None)
