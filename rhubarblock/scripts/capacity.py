"""``rhubarblock capacity``: generates docs/CAPACITY.md from results."""

import pathlib
import sys

import click

from rhubarblock.experiments.capacity import measurement as capacity
from rhubarblock.experiments.capacity import page as capacitypage

BAD_RESULT_STATUS = 2


@click.command("capacity")
@click.argument(
    "results", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
@click.option(
    "--template",
    default="docs/capacity-template.md",
    show_default=True,
    type=click.Path(path_type=pathlib.Path),
)
@click.option(
    "-o",
    "--output",
    default="docs/CAPACITY.md",
    show_default=True,
    type=click.Path(path_type=pathlib.Path),
)
def capacity_command(
    results: tuple[pathlib.Path, ...],
    template: pathlib.Path,
    output: pathlib.Path,
) -> None:
    """Generates the tables of the capacity page from RESULTS.

    RESULTS are output files of "rhubarblock measure capacity --json" and of
    "rhubarblock measure overhead --sweep --json".
    """
    try:
        read = [capacity.decode_result(path.read_text()) for path in results]
        page = capacitypage.write_page(template.read_text(), read)
    except (OSError, ValueError, KeyError) as error:
        click.echo(f"capacity: {error}", err=True)
        sys.exit(BAD_RESULT_STATUS)
    output.write_text(page)
    click.echo(f"wrote {output}")
