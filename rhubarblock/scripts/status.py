"""``rhubarblock status``: prints an instance's view of the fleet."""

import dataclasses
from typing import Any

import click
import rich.console
import rich.table

from rhubarblock.scripts import client


@dataclasses.dataclass(slots=True, frozen=True)
class Column:
    """A column of a table: its title and the JSON field that it shows."""

    title: str
    field: str


@dataclasses.dataclass(slots=True, frozen=True)
class TableLayout:
    """A table: its title, the JSON list that it shows, and its columns."""

    title: str
    field: str
    columns: tuple[Column, ...]


_TABLES = (
    TableLayout(
        "Instances",
        "instances",
        (
            Column("instance", "instance_id"),
            Column("data centre", "data_centre"),
            Column("state", "state"),
            Column("revision", "revision"),
            Column("in flight", "in_flight"),
            Column("heard s ago", "heard_s"),
        ),
    ),
    TableLayout(
        "Endpoints",
        "endpoints",
        (
            Column("endpoint", "endpoint_id"),
            Column("service", "service"),
            Column("data centre", "data_centre"),
            Column("state", "state"),
            Column("role", "role"),
            Column("models", "models"),
            Column("running", "running"),
            Column("waiting", "waiting"),
            Column("KV used", "kv_used"),
            Column("KV size", "kv_capacity"),
        ),
    ),
    TableLayout(
        "Limits",
        "limits",
        (
            Column("owner", "owner"),
            Column("limit", "limit"),
            Column("allowed", "allowed"),
            Column("used", "used"),
            Column("share here", "share"),
        ),
    ),
    TableLayout(
        "Quarantines",
        "quarantines",
        (
            Column("digest", "digest"),
            Column("institution", "institution"),
            Column("crashes", "crashes"),
            Column("ends in s", "ends_in_s"),
        ),
    ),
    TableLayout(
        "Drains",
        "drains",
        (
            Column("kind", "kind"),
            Column("name", "name"),
            Column("state", "state"),
            Column("in flight", "in_flight"),
        ),
    ),
    TableLayout(
        "Evacuations",
        "evacuations",
        (
            Column("data centre", "data_centre"),
            Column("for s", "age_s"),
        ),
    ),
)


@click.command("status")
@client.connection_options
@client.json_option
def status_command(url: str, token: str, as_json: bool) -> None:
    """Shows instances, endpoints, limits, drains and evacuations."""
    response = client.fetch(client.Connection(url, token), "status")
    if as_json:
        client.print_json(response)
        return
    print_status(response, rich.console.Console())


def print_status(status: dict[str, Any], console: rich.console.Console) -> None:
    """Prints a status as tables; empty tables are omitted.

    Args:
      status: response of ``GET /admin/v1/status``.
      console: console to print to.
    """
    console.print(
        f"Seen by {status['instance_id']}, catalogue revision "
        f"{status['revision']}",
        highlight=False,
    )
    for layout in _TABLES:
        if status.get(layout.field):
            console.print(_build_table(layout, status[layout.field]))


def _build_table(
    layout: TableLayout, rows: list[dict[str, Any]]
) -> rich.table.Table:
    titles = [column.title for column in layout.columns]
    table = rich.table.Table(*titles, title=layout.title, title_justify="left")
    for row in rows:
        cells = [
            _format_cell(row.get(column.field)) for column in layout.columns
        ]
        table.add_row(*cells)
    return table


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ", ".join(map(str, value))
    if isinstance(value, float):
        return f"{value:.1f}".removesuffix(".0")
    return str(value)
