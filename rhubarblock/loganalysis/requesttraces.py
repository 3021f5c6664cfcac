"""Groups log lines by request, and indexes placements and instance starts."""

import bisect
from collections.abc import Iterable
import dataclasses

from rhubarblock.loganalysis import lines as log_lines

PLACED = "placed"
SERVED = "served"
SERVED_LATE = "served late"
FAILED = "request failed"
ATTEMPT_ENDED = "attempt ended"
RETRY_DENIED = "retry denied"
_END_MESSAGES = frozenset({SERVED, SERVED_LATE, FAILED})
_STARTING = "starting"
_IN_FORCE = "configuration in force"


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """Log lines of one request at one instance.

    Attributes:
      request: id of the request.
      instance: instance that received the request.
      lines: lines of the request in the order of the log.
    """

    request: str
    instance: str
    lines: list[log_lines.Line] = dataclasses.field(default_factory=list)

    @property
    def end(self) -> log_lines.Line | None:
        """The line that logs the end of the request, or None if missing."""
        last = self.lines[-1]
        return last if last.message in _END_MESSAGES else None

    @property
    def arrived_s(self) -> float:
        """Arrival time in seconds, derived from the first line."""
        first = self.lines[0]
        return first.at_s - float(first.fields.get("since_arrival_s", 0.0))

    def list_failed_attempts(self) -> list[log_lines.Line]:
        """Returns the lines of attempts that ended without a response."""
        return [x for x in self.lines if x.message == ATTEMPT_ENDED]

    def has_ended_by_denial(self) -> bool:
        """Returns whether it failed because a retry was denied.

        An error response of an endpoint that is forwarded to the caller after
        that has no line of its own.
        """
        messages = [line.message for line in self.lines if line is not self.end]
        is_served = self.end is not None and self.end.message != FAILED
        return not is_served and messages[-1:] == [RETRY_DENIED]

    def list_placement_lines(self) -> list[log_lines.Line]:
        """Returns the lines of the request's placements."""
        return [x for x in self.lines if x.message == PLACED]

    def find(self, name: str) -> str:
        """Returns the last non-empty value of a field, or empty."""
        for line in reversed(self.lines):
            if line.fields.get(name):
                return str(line.fields[name])
        return ""

    def find_prompt_tokens(self) -> int:
        """Returns the prompt length in tokens, or 0 if it is not logged."""
        return int(self.find("prompt_tokens") or 0)


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """A prompt placed on engines.

    Attributes:
      at_s: time of the placement in seconds, on the clock of the log.
      request: id of the request.
      tokens: prompt length in tokens.
      parts: number of engines that share the prefill.
    """

    at_s: float
    request: str
    tokens: int
    parts: int


class LogIndex:
    """Index of a set of logs.

    Attributes:
      traces: traces of all requests.
      placements: all placements in the order of time.
    """

    __slots__ = (
        "_last_s",
        "_placements_by_engine",
        "_starts_by_instance",
        "placements",
        "traces",
    )

    def __init__(self, lines: Iterable[log_lines.Line]):
        """Builds the index.

        Args:
          lines: lines of any instances; those of one instance must be in the
            order of its log.
        """
        by_request: dict[tuple[str, str], RequestTrace] = {}
        self.placements: list[Placement] = []
        self._placements_by_engine: dict[str, list[Placement]] = {}
        self._starts_by_instance: dict[str, list[float]] = {}
        self._last_s: dict[str, float] = {}
        for line in lines:
            self._last_s[line.instance] = line.at_s
            if _is_start(line):
                self._starts_by_instance.setdefault(line.instance, []).append(
                    line.at_s
                )
            if not line.request:
                continue
            key = line.instance, line.request
            trace = by_request.setdefault(
                key, RequestTrace(line.request, key[0])
            )
            trace.lines.append(line)
            if line.message == PLACED:
                self._add_placement(line)
        self.traces = list(by_request.values())
        self.placements.sort(key=lambda placement: placement.at_s)
        for placements in self._placements_by_engine.values():
            placements.sort(key=lambda placement: placement.at_s)

    def find_last_start(self, instance: str, before_s: float) -> float | None:
        """Returns an instance's last start before a time, or None if unknown.

        Args:
          instance: the instance.
          before_s: the time in seconds.
        """
        earlier = [
            s
            for s in self._starts_by_instance.get(instance, ())
            if s <= before_s
        ]
        return max(earlier, default=None)

    def has_lost_instance(self, trace: RequestTrace) -> bool:
        """Returns whether the instance stopped while it had the request.

        That is the case if the instance logged nothing after the last line of
        the request, or restarted before the request's deadline.
        """
        last = trace.lines[-1]
        deadline_s = last.at_s + float(last.fields.get("left_s", 0.0))
        starts = self._starts_by_instance.get(trace.instance, ())
        if any(last.at_s < start_s <= deadline_s for start_s in starts):
            return True
        return self._last_s[trace.instance] <= last.at_s

    def list_placements(
        self, engine: str, after_s: float, before_s: float
    ) -> list[Placement]:
        """Returns the placements on an engine between two times."""
        placements = self._placements_by_engine.get(engine, [])
        first = bisect.bisect_right(
            placements, after_s, key=lambda placement: placement.at_s
        )
        last = bisect.bisect_left(
            placements, before_s, key=lambda placement: placement.at_s
        )
        return placements[first:last]

    def _add_placement(self, line: log_lines.Line) -> None:
        placement = Placement(
            line.at_s,
            line.request,
            int(line.fields.get("prompt_tokens") or 0),
            int(line.fields.get("parts") or 1),
        )
        self.placements.append(placement)
        for engine in list_engines(line):
            self._placements_by_engine.setdefault(engine, []).append(placement)


def list_engines(line: log_lines.Line) -> list[str]:
    """Returns the engines of a placement; the first one runs the decode."""
    return [str(line.fields.get("endpoint", "")), *line.fields["engines"]]


def _is_start(line: log_lines.Line) -> bool:
    if line.message == _STARTING:
        return True
    return line.message == _IN_FORCE and line.fields.get("before") == 0
