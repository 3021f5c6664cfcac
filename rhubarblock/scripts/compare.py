"""``rhubarblock compare``: compares the figures of two result files."""

import pathlib
import sys

import click

from rhubarblock.experiments import history

BAD_RESULT_STATUS = 2


@click.command("compare")
@click.argument("old", type=click.Path(path_type=pathlib.Path))
@click.argument("new", type=click.Path(path_type=pathlib.Path))
@click.option("--all", "show_all", is_flag=True, help="Show the same too.")
def compare_command(
    old: pathlib.Path, new: pathlib.Path, show_all: bool
) -> None:
    """Prints the figures of NEW that differ from OLD beyond the noise."""
    try:
        before, after = history.read_runs(old), history.read_runs(new)
    except (OSError, ValueError) as error:
        click.echo(f"compare: {error}", err=True)
        sys.exit(BAD_RESULT_STATUS)
    changes = history.compare(before, after)
    for change in changes:
        if show_all or change.verdict is not history.Verdict.SAME:
            click.echo(describe_change(change))
    for group in history.list_unmatched(before, after):
        click.echo(f"{group}: in one of the files only")
    unchanged = sum(x.verdict is history.Verdict.SAME for x in changes)
    click.echo(
        f"{unchanged} of {len(changes)} figures the same within the noise"
    )


def describe_change(change: history.Change) -> str:
    """Returns a change as a line of text."""
    ratio = f", {change.new / change.old - 1:+.1%}" if change.old else ""
    noise = "" if change.noise is None else f" (noise {change.noise:.2g})"
    return (
        f"{change.group}: {change.figure} {change.old:.4g} -> "
        f"{change.new:.4g}{ratio}{noise}: {change.verdict.value}"
    )
