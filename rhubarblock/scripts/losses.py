"""``rhubarblock losses``: why requests were not served in time, from logs."""

import dataclasses
import json
import pathlib

import click

from rhubarblock.loganalysis import causes
from rhubarblock.loganalysis import charts
from rhubarblock.loganalysis import lines as log_lines
from rhubarblock.loganalysis import requesttraces
from rhubarblock.loganalysis import summary as summaries


@click.command("losses")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
@click.option("--json", "as_json", is_flag=True, help="prints JSON")
@click.option(
    "--picture",
    type=click.Path(path_type=pathlib.Path),
    help="writes the day as an SVG picture",
)
def losses_command(
    files: tuple[pathlib.Path, ...],
    as_json: bool,
    picture: pathlib.Path | None,
) -> None:
    """Counts requests not served in time, by cause, from instance logs."""
    skipped = log_lines.Skipped()
    index = requesttraces.LogIndex(log_lines.read_lines(files, skipped))
    classified = (causes.classify(trace, index) for trace in index.traces)
    losses = [loss for loss in classified if loss is not None]
    summary = summaries.summarise(index, losses, skipped.count)
    if picture is not None:
        picture.write_text(charts.draw_losses(summary.windows))
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(summary), indent=1))
    else:
        click.echo(summaries.format_summary(summary), nl=False)
