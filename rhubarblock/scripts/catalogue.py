"""``rhubarblock catalogue``: shows and changes the catalogue."""

from collections.abc import Iterator
import contextlib
import re
from typing import Any

import click
from returns import result
import rich.console
import rich.table

from rhubarblock.catalogue import codec
from rhubarblock.catalogue import diff
from rhubarblock.catalogue import faults
from rhubarblock.catalogue import files
from rhubarblock.core import catalogue as catalogues
from rhubarblock.scripts import client
from rhubarblock.settings import loader

# First line of the output of ``show``; ``apply`` parses the revision from it.
_HEADER = "# Revision {}\n\n"
_HEADER_PATTERN = re.compile(r"# Revision (\d+)$")

_why_option = click.option(
    "--why", required=True, help="The reason, kept in the audit trail."
)
_dry_run_option = click.option(
    "--dry-run", is_flag=True, help="Check and show only."
)
_yes_option = click.option(
    "--yes", is_flag=True, help="Do not ask for confirmation."
)
_revision_option = click.option(
    "--revision",
    type=click.IntRange(min=0),
    help="Revision that the change was made from.",
)


@click.group("catalogue")
def catalogue_group() -> None:
    """Shows, compares and changes the catalogue."""


@catalogue_group.command("show")
@client.connection_options
@client.json_option
@click.option(
    "--revision", type=click.IntRange(min=0), help="An older revision."
)
def show_command(
    url: str, token: str, as_json: bool, revision: int | None
) -> None:
    """Prints the catalogue as a file that can be edited and applied."""
    query = {} if revision is None else {"revision": str(revision)}
    response = client.fetch(client.Connection(url, token), "catalogue", query)
    if as_json:
        client.print_json(response)
        return
    click.echo(
        _HEADER.format(response["revision"]) + response["text"], nl=False
    )


@catalogue_group.command("diff")
@client.connection_options
@click.argument("file")
def diff_command(url: str, token: str, file: str) -> None:
    """Prints what FILE would change in the catalogue in force."""
    _, proposed = _load_file(file)
    response = client.fetch(client.Connection(url, token), "catalogue")
    changes = _compare_with_current(response, proposed)
    click.echo(diff.format_changes(changes) or "no difference\n", nl=False)


@catalogue_group.command("apply")
@client.connection_options
@_why_option
@_dry_run_option
@_yes_option
@_revision_option
@click.option("--change-id", help="Id of a change to send again.")
@click.argument("file")
def apply_command(
    url: str,
    token: str,
    why: str,
    dry_run: bool,
    yes: bool,
    revision: int | None,
    change_id: str | None,
    file: str,
) -> None:
    """Replaces the catalogue with FILE.

    The change is based on --revision, else on the revision in the first line of
    FILE, else on the revision in force.
    """
    connection = client.Connection(url, token)
    text, proposed = _load_file(file)
    response = client.fetch(connection, "catalogue")
    if revision is None:
        revision = _parse_header_revision(text)
    if revision is None:
        revision = int(response["revision"])
    if not dry_run and not yes:
        _confirm(
            _compare_with_current(response, proposed), response["revision"]
        )
    body = {"revision": revision, "text": text, "why": why, "dry_run": dry_run}
    if change_id:
        body["change_id"] = change_id
    with _print_refusal_details():
        _print_outcome(client.send(connection, "catalogue", body), dry_run)


@catalogue_group.command("rollback")
@client.connection_options
@_why_option
@_dry_run_option
@_yes_option
@_revision_option
@click.argument("to", type=click.IntRange(min=0))
def rollback_command(
    url: str,
    token: str,
    why: str,
    dry_run: bool,
    yes: bool,
    revision: int | None,
    to: int,
) -> None:
    """Creates a new revision with the content of revision TO."""
    connection = client.Connection(url, token)
    if revision is None:
        revision = int(client.fetch(connection, "catalogue")["revision"])
    body = {"revision": revision, "to": to, "why": why, "dry_run": True}
    with _print_refusal_details():
        response = client.send(connection, "rollback", body)
        if not dry_run:
            if not yes:
                _confirm(_parse_changes(response), revision)
            body["dry_run"] = False
            response = client.send(connection, "rollback", body)
        _print_outcome(response, dry_run)


@catalogue_group.command("history")
@client.connection_options
@client.json_option
@click.option("--limit", default=20, show_default=True, help="Most lines.")
def history_command(url: str, token: str, as_json: bool, limit: int) -> None:
    """Lists the revisions, the latest first."""
    connection = client.Connection(url, token)
    response = client.fetch(connection, "history", {"limit": str(limit)})
    if as_json:
        client.print_json(response)
        return
    table = rich.table.Table("revision", "when", "who", "what", "why")
    for entry in response["history"]:
        what = f"{entry['action']} {entry['target']}".strip()
        table.add_row(
            str(entry["revision"]),
            entry["when"],
            entry["who"],
            f"{what}, {entry['entries']} entries",
            entry["why"],
        )
    rich.console.Console().print(table)


def _load_file(path: str) -> tuple[str, catalogues.Catalogue]:
    """Reads and parses a catalogue file; the API validates the references."""
    text = loader.read_text(path)
    if isinstance(text, result.Failure):
        raise click.ClickException(str(text.failure()))
    parsed = files.parse_catalogue(text.unwrap(), path)
    if isinstance(parsed, result.Failure):
        raise click.ClickException("\n".join(map(str, parsed.failure())))
    return text.unwrap(), parsed.unwrap()


def _parse_header_revision(text: str) -> int | None:
    first_line = text.partition("\n")[0]
    match = _HEADER_PATTERN.match(first_line)
    return int(match.group(1)) if match else None


def _compare_with_current(
    response: dict[str, Any], proposed: catalogues.Catalogue
) -> list[diff.Change]:
    present = files.parse_catalogue(response["text"], "answer")
    if isinstance(present, result.Failure):
        raise click.ClickException("the API's catalogue cannot be read")
    return diff.compare(present.unwrap(), proposed)


def _parse_changes(response: dict[str, Any]) -> list[diff.Change]:
    return [codec.parse_change_document(c) for c in response["changes"]]


def _confirm(changes: list[diff.Change], revision: int) -> None:
    if not changes:
        return
    click.echo(diff.format_changes(changes), nl=False)
    click.confirm(f"Change revision {revision}?", abort=True)


def _print_outcome(response: dict[str, Any], dry_run: bool) -> None:
    if dry_run:
        click.echo(response["changes_text"] or "no difference\n", nl=False)
        return
    if not response["applied"]:
        click.echo(f"no difference; revision {response['revision']} stays")
        return
    click.echo(f"revision {response['revision']} ({response['change_id']})")


@contextlib.contextmanager
def _print_refusal_details() -> Iterator[None]:
    """Prints the details of a refusal, which are not part of its message."""
    try:
        yield
    except client.ApiRefusal as refusal:
        for detail in refusal.error.get("details", ()):
            click.echo(str(faults.CatalogueError(**detail)), err=True)
        conflict = refusal.error.get("conflict")
        if conflict:
            click.echo(_format_conflict(conflict), err=True, nl=False)
        raise


def _format_conflict(conflict: dict[str, Any]) -> str:
    parts = []
    record = conflict["record"]
    if record:
        parts.append(
            f"Revision {record['revision']} was made by {record['who']} at "
            f"{record['when']}: {record['why']}\n"
        )
    for side, title in (("theirs", "Their changes"), ("yours", "Yours")):
        if conflict[side] is None:
            parts.append(f"{title}: no longer kept\n")
            continue
        changes = [codec.parse_change_document(c) for c in conflict[side]]
        text = diff.format_changes(changes) or "none\n"
        parts.append(f"{title}:\n{text}")
    return "".join(parts)
