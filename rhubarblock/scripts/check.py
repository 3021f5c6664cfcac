"""``rhubarblock check``: validates settings and catalogue files offline."""

from collections.abc import Sequence
import pathlib
import sys

import click
from returns import result

from rhubarblock.catalogue import files
from rhubarblock.catalogue import schema as schemas
from rhubarblock.kernel import registry as registries
from rhubarblock.settings import inifile
from rhubarblock.settings import loader

POLICY_GROUP = "policy"
_ENTRY_KINDS = frozenset(kind.value for kind in schemas.EntryKind)


@click.command("check")
@click.option(
    "-c",
    "--config",
    "paths",
    required=True,
    multiple=True,
    metavar="FILE",
    help="An entry.ini or a catalogue.ini; may be given several times.",
)
def check_command(paths: tuple[str, ...]) -> None:
    """Checks settings and catalogue files; prints one line per error."""
    invalid_paths = [path for path in paths if not _print_check(path)]
    if invalid_paths:
        sys.exit(1)


def _print_check(path: str) -> bool:
    errors = find_errors(path)
    for error in errors:
        click.echo(str(error), err=True)
    if not errors:
        click.echo(f"{path}: no errors")
    return not errors


def find_errors(path: str) -> Sequence[object]:
    """Returns the errors of a settings or catalogue file.

    ``str`` of each error is one line of text.
    """
    text = loader.read_text(path)
    if isinstance(text, result.Failure):
        return (text.failure(),)
    if is_catalogue(text.unwrap()):
        parsed = files.load_catalogue(text.unwrap(), path)
        return parsed.failure() if isinstance(parsed, result.Failure) else ()
    loaded = loader.load_entry_settings(pathlib.Path(path), list_policies())
    return loaded.failure() if isinstance(loaded, result.Failure) else ()


def is_catalogue(text: str) -> bool:
    """Returns whether the section names are those of a catalogue file."""
    sections = inifile.parse_document(text).sections
    kinds = {name.partition(" ")[0] for name in sections if " " in name}
    return bool(kinds & _ENTRY_KINDS)


def list_policies() -> tuple[str, ...]:
    """Returns the names of the installed policy plug-ins."""
    registry = registries.Registry()
    registry.load(registries.default_modules())
    return registry.list_names(POLICY_GROUP)
