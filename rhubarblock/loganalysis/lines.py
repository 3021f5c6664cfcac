"""Parses log lines of instances.

A line is a JSON object, optionally preceded by a time in seconds and the name
of the instance.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import re
from typing import Any

_PREFIX = re.compile(r"^\s*(?:(-?\d+(?:\.\d+)?)\s+(\S+)\s+)?(\{.*\})\s*$")
_HEADER_FIELDS = ("time", "level", "logger", "message")


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One log line.

    Attributes:
      at_s: time in seconds; only differences are meaningful.
      instance: instance that wrote the line.
      message: text of the log message.
      fields: all other fields of the JSON object.
    """

    at_s: float
    instance: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Id of the request that the line concerns, or empty."""
        return str(self.fields.get("request", ""))

    def __str__(self) -> str:
        others = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.at_s:10.3f} {self.instance:20} {self.message}: {others}"


def parse_line(text: str, source: str) -> Line | None:
    """Parses one line; returns None if it is not a log line of an instance.

    Args:
      text: the line.
      source: instance name for lines that don't contain one.
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
    for name in _HEADER_FIELDS:
        fields.pop(name, None)
    return Line(at_s, match[2] or source, message, fields)


@dataclasses.dataclass(slots=True)
class Skipped:
    """Counts the lines that could not be parsed.

    Attributes:
      count: number of lines from other programs and of truncated lines.
    """

    count: int = 0


def read_lines(
    files: Iterable[pathlib.Path], skipped: Skipped | None = None
) -> Iterator[Line]:
    """Yields the parsed lines of log files, file by file.

    Args:
      files: the log files.
      skipped: incremented for each line that could not be parsed.
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
    """Returns the time of day in a timestamp, in seconds; 0 if invalid."""
    match = re.search(r"(\d+):(\d+):(\d+)[,.](\d+)", text)
    if match is None:
        return 0.0
    hours, minutes, seconds, thousandths = map(int, match.groups())
    return hours * 3600 + minutes * 60 + seconds + thousandths / 1e3
