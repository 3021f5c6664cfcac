"""``rhubarblock explain``: prints the trace of one request from all logs.

The trace consists of the log lines of the request and of the lines without a
request id that its instance logged while the request ran. The latter show state
changes of the instance, of the configuration and of the endpoints that the
request used; lines about other endpoints are omitted. Lines are sorted by time;
the last line of the output is the cause.
"""

from collections.abc import Iterable
import pathlib
import sys

import click

from rhubarblock.loganalysis import lines as log_lines

# Seconds before the first and after the last line of a request in which other
# lines of its instance belong to the trace.
CONTEXT_BEFORE_S = 3.0
CONTEXT_AFTER_S = 0.5


def format_trace(request_id: str, lines: Iterable[log_lines.Line]) -> list[str]:
    """Returns the trace of a request in the order of time, and the cause.

    Args:
      request_id: id of the request.
      lines: log lines of all instances, in any order.

    Returns:
      Lines of text; only one if no log line names the request.
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    own_lines = [line for line in ordered if line.request == request_id]
    if not own_lines:
        return [
            f"no line names request {request_id}: "
            "it never arrived, or its lines were left out (see "
            "lines that say so)"
        ]
    start_s, end_s = (
        own_lines[0].at_s - CONTEXT_BEFORE_S,
        own_lines[-1].at_s + CONTEXT_AFTER_S,
    )
    instances = {line.instance for line in own_lines}
    endpoints = {str(line.fields.get("endpoint", "")) for line in own_lines} - {
        ""
    }
    selected = [
        line
        for line in ordered
        if line in own_lines
        or (
            start_s <= line.at_s <= end_s
            and line.instance in instances
            and _is_context(line, endpoints)
        )
    ]
    return [*map(str, selected), f"cause: {_find_cause(own_lines)}"]


def _is_context(line: log_lines.Line, endpoints: set[str]) -> bool:
    if line.request:
        return False
    subject = str(line.fields.get("subject", ""))
    if subject.startswith("endpoint "):
        return subject.removeprefix("endpoint ") in endpoints
    return True


def _find_cause(own_lines: list[log_lines.Line]) -> str:
    last = own_lines[-1]
    if last.message == "served":
        return f"served in time, first after {last.fields.get('first_s')} s"
    if last.message == "served late":
        reasons = [
            str(line.fields["reason"])
            for line in own_lines[:-1]
            if "reason" in line.fields
        ]
        timing = (
            f"first after {last.fields.get('first_s')} s "
            f"({last.fields.get('expected_s')} s were predicted), "
            f"longest pause {last.fields.get('longest_pause_s')} s"
        )
        return "; ".join([*reasons, timing])
    reasons = [
        str(line.fields.get("reason", line.message))
        for line in own_lines
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
    """Explains the outcome of a request from the logs of all instances."""
    trace = format_trace(request_id, log_lines.read_lines(files))
    click.echo("\n".join(trace))
    sys.exit(0 if len(trace) > 1 else 1)
