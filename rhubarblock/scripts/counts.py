"""``rhubarblock counts``: sums the counters in the logs of instances.

Each instance logs its counters periodically; they are cumulative and begin at 0
when it starts. The command takes the last such line of each run of an instance
and prints, for each counter, the total and the rates per second of the median
and of the busiest instance.
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
class CounterRow:
    """One counter over all instances.

    Attributes:
      name: name of the counter.
      total: sum over all runs of all instances.
      median_per_s: median over the instances of the count per second of uptime.
      max_per_s: maximum over the instances of the count per second of uptime.
    """

    name: str
    total: int
    median_per_s: float
    max_per_s: float


def sum_counts(lines: Iterable[log_lines.Line]) -> list[CounterRow]:
    """Returns one row per counter, sorted by name.

    Args:
      lines: log lines of all instances; those of one instance must be in the
        order of its log.
    """
    final_lines = list(_list_final_lines(lines))
    run_s: dict[str, float] = {}
    totals: dict[str, dict[str, int]] = {}
    for last in final_lines:
        run_s[last.instance] = (
            run_s.get(last.instance, 0.0) + last.fields["up_s"]
        )
        for name, count in last.fields["counts"].items():
            by_instance = totals.setdefault(name, {})
            by_instance[last.instance] = (
                by_instance.get(last.instance, 0) + count
            )
    return [_make_row(name, totals[name], run_s) for name in sorted(totals)]


def _make_row(
    name: str, by_instance: dict[str, int], run_s: dict[str, float]
) -> CounterRow:
    rates = [by_instance.get(i, 0) / s for i, s in run_s.items()]
    return CounterRow(
        name,
        sum(by_instance.values()),
        statistics.median(rates),
        max(rates),
    )


def _list_final_lines(
    lines: Iterable[log_lines.Line],
) -> Iterator[log_lines.Line]:
    """Yields the last counters line of each run of each instance.

    A smaller uptime than in the previous line means that the instance
    restarted.
    """
    latest: dict[str, log_lines.Line] = {}
    for line in lines:
        if line.message != countlog.MESSAGE or not line.fields.get("up_s"):
            continue
        previous = latest.get(line.instance)
        if previous and previous.fields["up_s"] > line.fields["up_s"]:
            yield previous
        latest[line.instance] = line
    yield from latest.values()


def format_rows(rows: Iterable[CounterRow]) -> list[str]:
    """Returns the lines of a table, with a header."""
    header = f"{'counter':28} {'total':>9} {'middle/s':>9} {'busiest/s':>9}"
    return [
        header,
        *(
            f"{r.name:28} {r.total:9} {r.median_per_s:9.2f} {r.max_per_s:9.2f}"
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
    """Sums the counters in the logs of instances."""
    rows = sum_counts(log_lines.read_lines(files))
    if not rows:
        raise click.ClickException("no line of the logs holds counters")
    click.echo("\n".join(format_rows(rows)))
