"""``rhubarblock counts``: what an instance sends, asks and does, from logs.

Each instance leaves its counters in its log now and then. The command reads the
last line of each start and gives, for each counter, the total and what the
middle and the busiest instance count a second.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
import statistics

import click

from rhubarblock.kernel import countlog
from rhubarblock.loganalysis import lines as log_lines


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One counter over all instances.

    Attributes:
      name: the counter.
      total: its sum over all starts of all instances.
      middle: the middle instance's, for each second that it ran.
      busiest: the busiest instance's, for each second that it ran.
    """

    name: str
    total: int
    middle: float
    busiest: float


def sum_counts(lines: Iterable[log_lines.Line]) -> list[Row]:
    """Returns a row for each counter, in order of their names.

    Args:
      lines: log lines of all instances, in the order of each log.
    """
    starts = list(_list_starts(lines))
    seconds: dict[str, float] = {}
    totals: dict[str, dict[str, int]] = {}
    for last in starts:
        seconds[last.instance] = (
            seconds.get(last.instance, 0.0) + last.fields["up_s"]
        )
        for name, count in last.fields["counts"].items():
            by_instance = totals.setdefault(name, {})
            by_instance[last.instance] = (
                by_instance.get(last.instance, 0) + count
            )
    return [_make_row(name, totals[name], seconds) for name in sorted(totals)]


def _make_row(
    name: str, by_instance: dict[str, int], seconds: dict[str, float]
) -> Row:
    rates = [by_instance.get(i, 0) / s for i, s in seconds.items()]
    return Row(
        name,
        sum(by_instance.values()),
        statistics.median(rates),
        max(rates),
    )


def _list_starts(lines: Iterable[log_lines.Line]) -> Iterator[log_lines.Line]:
    """Gives the last counters of each start of each instance."""
    latest: dict[str, log_lines.Line] = {}
    for line in lines:
        if line.message != countlog.MESSAGE or not line.fields.get("up_s"):
            continue
        before = latest.get(line.instance)
        if before and before.fields["up_s"] > line.fields["up_s"]:
            yield before
        latest[line.instance] = line
    yield from latest.values()


def format_rows(rows: Iterable[Row]) -> list[str]:
    """Returns a table of rows, one text a line."""
    head = f"{'counter':28} {'total':>9} {'middle/s':>9} {'busiest/s':>9}"
    return [
        head,
        *(
            f"{r.name:28} {r.total:9} {r.middle:9.2f} {r.busiest:9.2f}"
            for r in rows
        ),
    ]


@click.command("counts")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
def counts_command(files: tuple[pathlib.Path, ...]) -> None:
    """Sums what instances count, from their logs."""
    rows = sum_counts(log_lines.read_lines(files))
    if not rows:
        raise click.ClickException("no line of the logs holds counters")
    click.echo("\n".join(format_rows(rows)))
