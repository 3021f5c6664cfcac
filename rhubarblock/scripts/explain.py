"""``rhubarblock explain``: the story of one request, from all logs.

It reads lines of JSON, plain or behind a time and an instance's name, and puts
what belongs to a request in order: its own lines, and the changes that its
instance saw of the endpoints it used, of its life and of its configuration
while it ran. The last line is the cause.
"""

from collections.abc import Iterable
import pathlib
import sys

import click

from rhubarblock.loganalysis import lines as log_lines

# Seconds before the first line of a request, and after the last one, in which
# changes that its instance saw belong to the story.
BEFORE_S = 3.0
AFTER_S = 0.5


def tell_story(request_id: str, lines: Iterable[log_lines.Line]) -> list[str]:
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


def _is_context(line: log_lines.Line, endpoints: set[str]) -> bool:
    if line.request:
        return False
    subject = str(line.fields.get("subject", ""))
    if subject.startswith("endpoint "):
        return subject.removeprefix("endpoint ") in endpoints
    return True


def _find_cause(own: list[log_lines.Line]) -> str:
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
    story = tell_story(request_id, log_lines.read_lines(files))
    click.echo("\n".join(story))
    sys.exit(0 if len(story) > 1 else 1)
