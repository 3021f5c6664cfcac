"""``rhubarblock report``: prints results as tables, or plots them on a page."""

import pathlib
import sys

import click

from rhubarblock.experiments import history
from rhubarblock.experiments import report

BAD_RESULT_STATUS = 2


@click.command("report")
@click.argument(
    "results", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
@click.option(
    "-o",
    "--output",
    type=click.Path(path_type=pathlib.Path),
    help="Write an HTML page that needs no other file.",
)
def report_command(
    results: tuple[pathlib.Path, ...], output: pathlib.Path | None
) -> None:
    """Shows RESULTS side by side: policies, seeds, commits.

    A result is the output of "rhubarblock measure ... --json"; a file may
    contain several, one per line.
    """
    try:
        runs = [run for path in results for run in history.read_runs(path)]
    except (OSError, ValueError) as error:
        click.echo(f"report: {error}", err=True)
        sys.exit(BAD_RESULT_STATUS)
    sections = report.build_sections(runs)
    click.echo(report.write_text(sections), nl=False)
    if output is not None:
        output.write_text(report.write_page(sections))
        click.echo(f"wrote {output}")
