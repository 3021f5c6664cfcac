"""``rhubarblock edge``: the daemon of an instance on the users' platform.

``edgestart`` starts the same daemon faster; without options it does not import
this module.
"""

import pathlib
import sys

import click
from returns import result

from rhubarblock.daemon import edge
from rhubarblock.platform import settings as settings_loader

CONFIG_STATUS = 2


@click.command("edge")
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help="settings file; else the platform's variable names it",
)
@click.option("--check", is_flag=True, help="only check the settings file")
def edge_command(path: pathlib.Path | None, check: bool) -> None:
    """Serves on the users' platform until SIGTERM, then drains."""
    path = path or settings_loader.find_path()
    if check:
        sys.exit(check_settings(path))
    edge.run(path)


def check_settings(path: pathlib.Path) -> int:
    """Prints every error in a settings file and returns the exit status."""
    loaded = settings_loader.load_settings(path)
    if isinstance(loaded, result.Success):
        return 0
    for error in loaded.failure():
        click.echo(str(error), err=True)
    return CONFIG_STATUS
