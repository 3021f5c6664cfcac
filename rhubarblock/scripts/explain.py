"""``rhubarblock explain``: the story of one request, from all logs.

It reads lines of JSON, plain or behind a time and an instance's name, and puts
what belongs to a request in order: its own lines, and the changes that its
instance saw of the endpoints it used, of its life and of its configuration
while it ran. The last line is the cause.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import re
import sys
from typing import Any

import click

# Seconds before the first line of a request, and after the last one, in which
# changes that its instance saw belong to the story.
BEFORE_S = 3.0
AFTER_S = 0.5

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
    except ValueError:
        return None
    at_s = float(match[1]) if match[1] else _read_time(fields.get("time", ""))
    message = str(fields.get("message", ""))
    for name in _OWN_FIELDS:
        fields.pop(name, None)
    return Line(at_s, match[2] or source, message, fields)


def read_lines(files: Iterable[pathlib.Path]) -> Iterator[Line]:
    """Gives the lines of log files, one after the other.

    Lines of other writers are passed over, and those that were cut.
    """
    for path in files:
        with path.open(errors="replace") as texts:
            for text in texts:
                line = parse_line(text, path.stem)
                if line is not None:
                    yield line


def tell_story(request_id: str, lines: Iterable[Line]) -> list[str]:
    """Returns the story of a request, in order, with the cause last."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    own = [line for line in ordered if line.request == request_id]
    if not own:
        return [
            f"no line names request {request_id}: "
            "it never arrived, or its lines were left out (see "
            "lines that say so)"
        ]
    first_s, last_s = own[0].at_s - BEFORE_S, own[-1].at_s + AFTER_S
    instances = {line.instance for line in own}
    endpoints = {str(line.fields.get("endpoint", "")) for line in own} - {""}
    told = [
        line
        for line in ordered
        if line in own
        or (
            first_s <= line.at_s <= last_s
            and line.instance in instances
            and _is_context(line, endpoints)
        )
    ]
    return [*map(str, told), f"cause: {_find_cause(own)}"]


def _is_context(line: Line, endpoints: set[str]) -> bool:
    if line.request:
        return False
    subject = str(line.fields.get("subject", ""))
    if subject.startswith("endpoint "):
        return subject.removeprefix("endpoint ") in endpoints
    return True


def _find_cause(own: list[Line]) -> str:
    last = own[-1]
    if last.message == "served":
        return f"served in time, first after {last.fields.get('first_s')} s"
    if last.message == "served late":
        moved = [
            str(line.fields["reason"])
            for line in own[:-1]
            if "reason" in line.fields
        ]
        late = (
            f"first after {last.fields.get('first_s')} s "
            f"({last.fields.get('expected_s')} s were predicted), "
            f"longest pause {last.fields.get('longest_pause_s')} s"
        )
        return "; ".join([*moved, late])
    reasons = [
        str(line.fields.get("reason", line.message))
        for line in own
        if line.message != "placed"
    ] or ["it was placed, and its end was not told"]
    return "; then ".join(dict.fromkeys(reasons))


def _read_time(text: str) -> float:
    """Returns the seconds of a day that a line's time stands for."""
    match = re.search(r"(\d+):(\d+):(\d+)[,.](\d+)", text)
    if match is None:
        return 0.0
    hours, minutes, seconds, thousandths = map(int, match.groups())
    return hours * 3600 + minutes * 60 + seconds + thousandths / 1e3


@click.command("explain")
@click.argument("request_id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
def explain_command(request_id: str, files: tuple[pathlib.Path, ...]) -> None:
    """Says why a request went as it did, from the logs of all instances."""
    story = tell_story(request_id, read_lines(files))
    click.echo("\n".join(story))
    sys.exit(0 if len(story) > 1 else 1)
