"""``rhubarblock losses``: why requests fared badly, from all logs of a day."""

import dataclasses
import json
import pathlib

import click

from rhubarblock.loganalysis import causes
from rhubarblock.loganalysis import lines as log_lines
from rhubarblock.loganalysis import pictures
from rhubarblock.loganalysis import stories
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
    """Says which requests fared badly, and why, from logs of instances."""
    skipped = log_lines.Skipped()
    day = stories.Day(log_lines.read_lines(files, skipped))
    judged = (causes.judge(story, day) for story in day.stories)
    losses = [loss for loss in judged if loss is not None]
    summary = summaries.summarise(day, losses, skipped.count)
    if picture is not None:
        picture.write_text(pictures.draw_day(summary.windows))
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(summary), indent=1))
    else:
        click.echo(summaries.format_summary(summary), nl=False)
