"""``rhubarblock audit``: lists and filters the audit trail."""

import datetime
from typing import Any

import click

from rhubarblock.catalogue import audit
from rhubarblock.catalogue import codec
from rhubarblock.catalogue import diff
from rhubarblock.scripts import client

_TIME_FORMATS = ["%Y-%m-%d", "%Y-%m-%dT%H:%M:%S"]


@click.command("audit")
@client.connection_options
@client.json_option
@click.option("--who", help="Name of a credential.")
@click.option(
    "--action", type=click.Choice([action.value for action in audit.Action])
)
@click.option(
    "--kind", help="Kind of entry that changed, or of what was drained."
)
@click.option("--name", help="Name of the entry or of what was drained.")
@click.option("--since", type=click.DateTime(_TIME_FORMATS), help="UTC.")
@click.option("--until", type=click.DateTime(_TIME_FORMATS), help="UTC.")
@click.option("--limit", default=20, show_default=True, help="Most records.")
def audit_command(
    url: str,
    token: str,
    as_json: bool,
    who: str | None,
    action: str | None,
    kind: str | None,
    name: str | None,
    since: datetime.datetime | None,
    until: datetime.datetime | None,
    limit: int,
) -> None:
    """Lists who changed what, when and why; the latest first."""
    filters = {
        "who": who,
        "action": action,
        "kind": kind,
        "name": name,
        "since_s": _to_seconds(since),
        "until_s": _to_seconds(until),
        "limit": str(limit),
    }
    query = {key: value for key, value in filters.items() if value}
    response = client.fetch(client.Connection(url, token), "audit", query)
    if as_json:
        client.print_json(response)
        return
    for document in response["audit"]:
        click.echo(format_record(document), nl=False)


def _to_seconds(time: datetime.datetime | None) -> str:
    if time is None:
        return ""
    return str(int(time.replace(tzinfo=datetime.UTC).timestamp()))


def format_record(document: dict[str, Any]) -> str:
    """Returns a record as a line of text, followed by its indented changes.

    Args:
      document: audit record in the JSON format of the API.
    """
    record = codec.parse_record_document(document)
    action = f"{record.action.value} {record.target}".strip()
    heading = (
        f"{document['when']} revision {record.revision} {action} by "
        f"{record.who}: {record.why}\n"
    )
    changes = diff.format_changes(record.changes)
    indented = [f"  {line}\n" for line in changes.splitlines()]
    return heading + "".join(indented)
