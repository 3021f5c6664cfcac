"""``rhubarblock measure overhead`` and ``measure capacity``."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import signal

import aiohttp
import click

from rhubarblock.experiments import slopes
from rhubarblock.experiments.capacity import measurement as capacity
from rhubarblock.experiments.overhead import measurement as overhead
from rhubarblock.experiments.overhead import parts as overheadparts
from rhubarblock.experiments.overhead import sweep as overheadsweep
from rhubarblock.experiments.overhead import threads as overheadthreads
from rhubarblock.fleet import httpengine
from rhubarblock.store import instances

_MS_PER_S = 1_000.0


@click.group("overhead", invoke_without_command=True)
@click.option("--requests-per-s", default=overhead.REQUESTS_PER_S)
@click.option("--tokens-per-s", default=overhead.TOKENS_PER_S)
@click.option("--gap-ms", default=overhead.GAP_S * _MS_PER_S)
@click.option("--prompt-tokens", default=0, help="0 draws the lengths.")
@click.option("--rounds", default=2)
@click.option("--window-s", default=10.0)
@click.option("--sweep", is_flag=True, help="Measure slopes over loads.")
@click.option("--platform", default="", help="URL, for separate processes.")
@click.option("--present", nargs=2, default=("", "0"), metavar="ADDRESS PID")
@click.option("--earlier", nargs=2, default=("", "0"), metavar="ADDRESS PID")
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def overhead_command(
    context: click.Context,
    requests_per_s: float,
    tokens_per_s: float,
    gap_ms: float,
    prompt_tokens: int,
    rounds: int,
    window_s: float,
    sweep: bool,
    platform: str,
    present: tuple[str, str],
    earlier: tuple[str, str],
    as_json: bool,
) -> None:
    """Measures the relay's added latency and its cost over real sockets.

    By default all parts run in threads of one process. For representative
    figures, start the parts as processes first: see benchmarks/overhead.sh.
    """
    if context.invoked_subcommand is not None:
        return
    plan = overhead.OverheadPlan(
        requests_per_s,
        tokens_per_s,
        gap_ms / _MS_PER_S,
        prompt_tokens,
        rounds,
        window_s,
    )
    if platform:
        targets_context = _connect_processes(platform, present, earlier)
    else:
        targets_context = overheadthreads.open_targets(
            overheadparts.ENGINES, plan.gap_s
        )
    if sweep:
        measured = asyncio.run(_sweep(plan, targets_context))
        print_capacity(measured, as_json)
        return
    fields = dataclasses.asdict(asyncio.run(_measure(plan, targets_context)))
    if as_json:
        click.echo(json.dumps(fields, indent=1))
        return
    for name, value in fields.items():
        click.echo(f"{name:16} {value}")


_TargetsContext = contextlib.AbstractAsyncContextManager[overhead.Targets]


async def _measure(
    plan: overhead.OverheadPlan, targets_context: _TargetsContext
) -> overhead.OverheadResult:
    async with targets_context as targets:
        return await overhead.measure(plan, targets)


async def _sweep(
    plan: overhead.OverheadPlan, targets_context: _TargetsContext
) -> capacity.CapacityResult:
    async with targets_context as targets:
        return await overheadsweep.measure(plan, targets)


@contextlib.asynccontextmanager
async def _connect_processes(
    platform: str, present: tuple[str, str], earlier: tuple[str, str]
) -> AsyncIterator[overhead.Targets]:
    """Yields the targets that run in separate processes.

    Args:
      platform: URL of the platform, whose instance list names the engines.
      present: address and process id of the instance with the present relay.
      earlier: address and process id of the baseline instance, which parses
        every event.
    """
    async with aiohttp.ClientSession() as session:
        source = instances.HttpInstanceSource(session, platform)
        listed = await source.fetch_instances()
    engines = tuple(
        x.address for x in listed if x.kind is instances.InstanceKind.ENGINE
    )
    targets = [
        overhead.Target(address, overhead.ProcessMeter(int(pid)))
        for address, pid in (present, earlier)
    ]
    yield overhead.Targets(engines, targets[0], targets[1])


@overhead_command.command("surroundings")
@click.option("--port", required=True, type=int, help="Port of the platform.")
@click.option("--gap-ms", default=overhead.GAP_S * _MS_PER_S)
@click.option("--engines", default=overheadparts.ENGINES)
def surroundings_command(port: int, gap_ms: float, engines: int) -> None:
    """Runs the stand-in platform and the token sources until SIGTERM."""
    asyncio.run(
        _run_until_stopped(
            overheadparts.run_environment(engines, gap_ms / _MS_PER_S, port)
        )
    )


@overhead_command.command("entry")
@click.option("--platform", required=True, help="URL of the platform.")
@click.option("--name", required=True, help="Name of the instance.")
@click.option("--port", required=True, type=int, help="Where callers connect.")
@click.option("--parsed", is_flag=True, help="Run the earlier way.")
@click.option(
    "--batch-ms", default=0.0, help="Let connections rest between reads."
)
def entry_command(
    platform: str, name: str, port: int, parsed: bool, batch_ms: float
) -> None:
    """Runs the instance under measurement until SIGTERM."""
    streaming = None
    if parsed or batch_ms:
        streaming = httpengine.StreamSettings(not parsed, batch_ms / _MS_PER_S)
    asyncio.run(
        _run_until_stopped(
            overheadparts.run_entry(platform, name, streaming, port)
        )
    )


async def _run_until_stopped(
    part: contextlib.AbstractAsyncContextManager[object],
) -> None:
    """Keeps a context open until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with part:
        await stop.wait()


@click.command("capacity")
@click.option("--json", "as_json", is_flag=True)
@click.option(
    "--only", multiple=True, help="Run this probe; can be given again."
)
def capacity_measure_command(as_json: bool, only: tuple[str, ...]) -> None:
    """Measures how control costs grow with load; takes a few minutes."""
    measured = capacity.measure(
        only, lambda name: click.echo(f"measuring {name}", err=True)
    )
    print_capacity(measured, as_json)


def print_capacity(measured: capacity.CapacityResult, as_json: bool) -> None:
    """Prints the fits of all series as one JSON object or as text."""
    if as_json:
        click.echo(capacity.encode_result(measured))
        return
    for series in measured.series:
        click.echo(f"{series.name} ({series.role})")
        for quantity, fit in series.fits.items():
            click.echo(f"  {quantity:28} {_describe_fit(fit)}")


def _describe_fit(fit: slopes.Fit) -> str:
    terms = zip(fit.terms, fit.slopes, fit.errors, strict=True)
    parts = [
        f"{slope:.3g}±{error:.1g} x {term}" for term, slope, error in terms
    ]
    return f"{' + '.join(parts)}  (R² {fit.r_squared:.3f})"
