"""``rhubarblock drain``: stops new work for a part of the fleet."""

import click

from rhubarblock.admin import draining
from rhubarblock.scripts import client


@click.command("drain")
@client.connection_options
@client.json_option
@click.option(
    "--why", required=True, help="The reason, kept in the audit trail."
)
@click.option(
    "--unrecorded",
    is_flag=True,
    help="Drain even if the platform cannot keep the audit record.",
)
@click.argument(
    "kind",
    type=click.Choice(
        [kind.value.replace("_", "-") for kind in draining.DrainKind]
    ),
)
@click.argument("name")
def drain_command(
    url: str,
    token: str,
    as_json: bool,
    why: str,
    unrecorded: bool,
    kind: str,
    name: str,
) -> None:
    """Drains an endpoint, an instance or a data centre; aborts no request."""
    body = {
        "kind": kind.replace("-", "_"),
        "name": name,
        "why": why,
        "unrecorded": unrecorded,
    }
    response = client.send(client.Connection(url, token), "drain", body)
    if as_json:
        client.print_json(response)
        return
    drain = response["drain"]
    note = "" if response["recorded"] else " (not in the audit trail)"
    click.echo(f"{kind} {drain['name']}: {drain['state']}{note}")
