"""``rhubarblock demo``: runs an embedded fleet and prints its figures."""

import asyncio
import dataclasses
import json
import sys

import click
from rich import console as consoles
from rich import progress as progresses
from rich import table as tables

from rhubarblock.experiments import demo
from rhubarblock.experiments import quantiles

VIOLATION_STATUS = 1


@click.command("demo")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def demo_command(seed: int, as_json: bool) -> None:
    """Serves a mixed load through an embedded fleet and prints figures."""
    figures = _run_with_progress(seed)
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(figures)))
    else:
        _print_tables(figures)
    if figures.broken_promises:
        sys.exit(VIOLATION_STATUS)


def _run_with_progress(seed: int) -> demo.DemoResult:
    console = consoles.Console(stderr=True)
    with progresses.Progress(console=console) as progress:
        task = progress.add_task("prompts", total=demo.REQUESTS)

        def update_progress(completed: int, total: int) -> None:
            progress.update(task, completed=completed, total=total)

        return asyncio.run(demo.run_demo(seed, update_progress))


def _print_tables(figures: demo.DemoResult) -> None:
    console = consoles.Console()
    latencies = tables.Table(
        title="Time to first token by prompt length, seconds"
    )
    for name in ("institution", "prompt tokens", "n", "p50", "p95", "p99"):
        latencies.add_column(name, justify="right")
    counts = tables.Table(title="Requests")
    names = (
        "institution",
        "admitted",
        "finished",
        "failed",
        "refused",
        "lost",
        "duplicated",
        "slowdown of short p50",
        "p95",
    )
    for name in names:
        counts.add_column(name, justify="right")
    for row in figures.institutions:
        for band, spread in row.ttft_s.items():
            latencies.add_row(row.institution, band, *_format_spread(spread))
        counts.add_row(
            row.institution,
            str(row.admitted),
            str(row.finished),
            str(row.failed),
            str(row.refused),
            str(row.lost),
            str(row.duplicated),
            _format_number(row.short_slowdown.p50),
            _format_number(row.short_slowdown.p95),
        )
    console.print(latencies)
    console.print(counts)
    console.print(
        f"fee notices sent {figures.notices}, run twice {figures.double_runs};"
        f" KV memory left {figures.kv_leaked_tokens} tokens"
    )
    for line in figures.broken_promises:
        console.print(f"BROKEN: {line}")


def _format_spread(spread: quantiles.Quantiles) -> tuple[str, str, str, str]:
    return (
        str(spread.n),
        _format_number(spread.p50),
        _format_number(spread.p95),
        _format_number(spread.p99),
    )


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"
