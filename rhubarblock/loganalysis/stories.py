"""The lines of each request, and what its instance went through meanwhile."""

import bisect
from collections.abc import Iterable
import dataclasses

from rhubarblock.loganalysis import lines as log_lines

PLACED = "placed"
SERVED = "served"
SERVED_LATE = "served late"
FAILED = "request failed"
ATTEMPT_ENDED = "attempt ended"
_ENDS = frozenset({SERVED, SERVED_LATE, FAILED})
_STARTING = "starting"
_IN_FORCE = "configuration in force"


@dataclasses.dataclass(slots=True)
class Story:
    """One request at one instance.

    Attributes:
      request: its id.
      instance: where it was.
      lines: its lines in the order of the log.
    """

    request: str
    instance: str
    lines: list[log_lines.Line] = dataclasses.field(default_factory=list)

    @property
    def end(self) -> log_lines.Line | None:
        """The line that tells how it ended; None if none does."""
        last = self.lines[-1]
        return last if last.message in _ENDS else None

    @property
    def arrived_s(self) -> float:
        """When it arrived, as far as its lines tell."""
        first = self.lines[0]
        return first.at_s - float(first.fields.get("since_arrival_s", 0.0))

    def list_attempts(self) -> list[log_lines.Line]:
        """Returns the lines of attempts that gave no answer."""
        return [x for x in self.lines if x.message == ATTEMPT_ENDED]

    def list_placements(self) -> list[log_lines.Line]:
        """Returns the lines of its placements."""
        return [x for x in self.lines if x.message == PLACED]

    def find(self, name: str) -> str:
        """Returns the last value that a field had, or empty."""
        for line in reversed(self.lines):
            if line.fields.get(name):
                return str(line.fields[name])
        return ""

    def find_tokens(self) -> int:
        """Returns the length of its prompt in tokens, 0 if it has none."""
        return int(self.find("prompt_tokens") or 0)


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """Work that was placed at an engine.

    Attributes:
      at_s: when.
      request: id of the request.
      tokens: length of its prompt in tokens.
      parts: engines that read it.
    """

    at_s: float
    request: str
    tokens: int
    parts: int


class Day:
    """All requests of some logs, and the starts of their instances."""

    __slots__ = ("_last_s", "_placements", "_starts", "placed", "stories")

    def __init__(self, lines: Iterable[log_lines.Line]):
        """Reads lines; those of one instance come in their order.

        Args:
          lines: lines of any instances.
        """
        by_request: dict[tuple[str, str], Story] = {}
        self.placed: list[Placement] = []
        self._placements: dict[str, list[Placement]] = {}
        self._starts: dict[str, list[float]] = {}
        self._last_s: dict[str, float] = {}
        for line in lines:
            self._last_s[line.instance] = line.at_s
            if _is_start(line):
                self._starts.setdefault(line.instance, []).append(line.at_s)
            if not line.request:
                continue
            key = line.instance, line.request
            story = by_request.setdefault(key, Story(line.request, key[0]))
            story.lines.append(line)
            if line.message == PLACED:
                self._note_placement(line)
        self.stories = list(by_request.values())
        self.placed.sort(key=lambda placement: placement.at_s)
        for placements in self._placements.values():
            placements.sort(key=lambda placement: placement.at_s)

    def find_start(self, instance: str, before_s: float) -> float | None:
        """Returns when an instance had started last at a moment."""
        earlier = [s for s in self._starts.get(instance, ()) if s <= before_s]
        return max(earlier, default=None)

    def lost_instance(self, story: Story) -> bool:
        """Says whether an instance ended while it had a request.

        It started anew, or wrote nothing more, before the time of the request
        was over.
        """
        last = story.lines[-1]
        over_s = last.at_s + float(last.fields.get("left_s", 0.0))
        starts = self._starts.get(story.instance, ())
        if any(last.at_s < start_s <= over_s for start_s in starts):
            return True
        return self._last_s[story.instance] <= last.at_s

    def list_placements(
        self, engine: str, after_s: float, before_s: float
    ) -> list[Placement]:
        """Returns what was placed at an engine between two moments."""
        placements = self._placements.get(engine, [])
        first = bisect.bisect_right(
            placements, after_s, key=lambda placement: placement.at_s
        )
        last = bisect.bisect_left(
            placements, before_s, key=lambda placement: placement.at_s
        )
        return placements[first:last]

    def _note_placement(self, line: log_lines.Line) -> None:
        placement = Placement(
            line.at_s,
            line.request,
            int(line.fields.get("prompt_tokens") or 0),
            int(line.fields.get("parts") or 1),
        )
        self.placed.append(placement)
        for engine in list_engines(line):
            self._placements.setdefault(engine, []).append(placement)


def list_engines(line: log_lines.Line) -> list[str]:
    """Returns the engines of a placement, the one that writes first."""
    return [str(line.fields.get("endpoint", "")), *line.fields["engines"]]


def _is_start(line: log_lines.Line) -> bool:
    if line.message == _STARTING:
        return True
    return line.message == _IN_FORCE and line.fields.get("before") == 0
