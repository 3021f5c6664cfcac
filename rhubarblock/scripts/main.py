"""The command ``rhubarblock``, the group of all commands of this package."""

import click

from rhubarblock import __version__
from rhubarblock.scripts import audit
from rhubarblock.scripts import capacity
from rhubarblock.scripts import catalogue
from rhubarblock.scripts import check
from rhubarblock.scripts import compare
from rhubarblock.scripts import counts
from rhubarblock.scripts import demo
from rhubarblock.scripts import drain
from rhubarblock.scripts import edge
from rhubarblock.scripts import explain
from rhubarblock.scripts import losses
from rhubarblock.scripts import measure
from rhubarblock.scripts import report
from rhubarblock.scripts import serve
from rhubarblock.scripts import standin
from rhubarblock.scripts import status


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Serves language-model prompts of very unlike lengths."""


for _command in (
    audit.audit_command,
    capacity.capacity_command,
    catalogue.catalogue_group,
    check.check_command,
    compare.compare_command,
    counts.counts_command,
    demo.demo_command,
    drain.drain_command,
    edge.edge_command,
    losses.losses_command,
    explain.explain_command,
    measure.measure_group,
    report.report_command,
    serve.serve_command,
    standin.standin_group,
    status.status_command,
):
    main.add_command(_command)
