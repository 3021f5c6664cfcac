"""Lines of the logs of instances.

They are lines of JSON, plain or behind a time and an instance's name.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import re
from typing import Any

_PREFIX = re.compile(r"^\s*(?:(-?\d+(?:\.\d+)?)\s+(\S+)\s+)?(\{.*\})\s*$")
_OWN_FIELDS = ("time", "level", "logger", "message")


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of a log.

    Attributes:
      at_s: moment in seconds; only differences count.
      instance: who wrote it.
      message: what happened.
      fields: the rest.
    """

    at_s: float
    instance: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """The request that it is about, or empty."""
        return str(self.fields.get("request", ""))

    def __str__(self) -> str:
        rest = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.at_s:10.3f} {self.instance:20} {self.message}: {rest}"


def parse_line(text: str, source: str) -> Line | None:
    """Reads one line; None if it is none of ours.

    Args:
      text: the line.
      source: name of its file, for lines that don't name their instance.
    """
    match = _PREFIX.match(text)
    if match is None:
        return None
    try:
        fields = json.loads(match[3])
    except (ValueError, RecursionError):
        return None
    at_s = float(match[1]) if match[1] else _read_time(fields.get("time", ""))
    message = str(fields.get("message", ""))
    for name in _OWN_FIELDS:
        fields.pop(name, None)
    return Line(at_s, match[2] or source, message, fields)


@dataclasses.dataclass(slots=True)
class Skipped:
    """Lines that were passed over.

    Attributes:
      count: lines of other writers, and lines that were cut.
    """

    count: int = 0


def read_lines(
    files: Iterable[pathlib.Path], skipped: Skipped | None = None
) -> Iterator[Line]:
    """Gives the lines of log files, one after the other.

    Args:
      files: the logs.
      skipped: counts the lines that are passed over.
    """
    skipped = skipped or Skipped()
    for path in files:
        with path.open(errors="replace") as texts:
            for text in texts:
                line = parse_line(text, path.stem)
                if line is not None:
                    yield line
                elif text.strip():
                    skipped.count += 1


def _read_time(text: str) -> float:
    """Returns the seconds of a day that a line's time stands for."""
    match = re.search(r"(\d+):(\d+):(\d+)[,.](\d+)", text)
    if match is None:
        return 0.0
    hours, minutes, seconds, thousandths = map(int, match.groups())
    return hours * 3600 + minutes * 60 + seconds + thousandths / 1e3
