"""``rhubarblock measure``: runs one scenario and prints its figures."""

import asyncio
import dataclasses
import json
import sys
from typing import Any

import click

from rhubarblock.experiments import admission
from rhubarblock.experiments import fleet
from rhubarblock.experiments import fleetsockets
from rhubarblock.experiments import listchanges
from rhubarblock.experiments import mixed
from rhubarblock.experiments import neighbour
from rhubarblock.experiments import quarantine
from rhubarblock.experiments import quarantineparts
from rhubarblock.experiments import retrystorm
from rhubarblock.experiments import simulation
from rhubarblock.experiments.endpointlimits import fleet as limitfleet
from rhubarblock.experiments.endpointlimits import scenario as endpointlimits
from rhubarblock.experiments.endpointrests import policies as restpolicies
from rhubarblock.experiments.endpointrests import scenario as endpointrests
from rhubarblock.experiments.faults import scenario as faults
from rhubarblock.experiments.limits import scenario as limits
from rhubarblock.experiments.platform import deployments as platformdeployments
from rhubarblock.experiments.platform import overload
from rhubarblock.experiments.platform import scenario as platformscenario
from rhubarblock.experiments.storereturn import fleet as returnfleet
from rhubarblock.experiments.storereturn import scenario as storereturn
from rhubarblock.kernel import registry as registries
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.placement import splitpolicy
from rhubarblock.scripts import measurecosts

DEFAULT_LOAD = 0.7
VIOLATION_STATUS = 1

policy_option = click.option(
    "--policy", default="length_aware", show_default=True
)
seed_option = click.option("--seed", default=1, show_default=True)
load_option = click.option(
    "--load",
    default=DEFAULT_LOAD,
    show_default=True,
    help="Share of the fleet's prefill capacity.",
)
limit_policy_option = click.option(
    "--policy",
    type=click.Choice(limitfleet.POLICIES),
    default=limitfleet.PERMITS,
    show_default=True,
)
instances_option = click.option(
    "--instances", type=click.IntRange(min=2), default=7, show_default=True
)
json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object."
)


@click.group("measure")
def measure_group() -> None:
    """Runs a scenario and prints what it measured."""


def print_result(figures: Any, as_json: bool) -> None:
    """Prints a result as one JSON object, or as one line per field."""
    fields = dataclasses.asdict(figures)
    if as_json:
        click.echo(json.dumps(fields))
        return
    for name, value in fields.items():
        click.echo(f"{name:26} {value}")


def add_mixed(name: str, plan: simulation.FleetPlan) -> None:
    """Adds the command that measures one fleet plan under a mixed load."""

    @measure_group.command(name)
    @policy_option
    @seed_option
    @load_option
    @json_option
    def run(policy: str, seed: int, load: float, as_json: bool) -> None:
        print_result(mixed.measure(plan, policy, seed, load), as_json)

    run.help = f"Mixed lengths at the size of {plan.name}."


add_mixed("mixed-adwoa", mixed.ADWOA)
add_mixed("mixed-hofbauer", mixed.HOFBAUER)


def add_platform(plan: platformdeployments.Plan) -> None:
    """Adds the command that measures one deployment on the users' platform."""

    @measure_group.command(plan.name)
    @click.option(
        "--policy",
        default=splitpolicy.SplitPromptPolicy.plugin_name,
        show_default=True,
    )
    @seed_option
    @click.option(
        "--load",
        default=1.0,
        show_default=True,
        help="Factor of the rates of the sheet.",
    )
    @click.option(
        "--speeds",
        type=(click.FloatRange(min=0.0, min_open=True),) * 2,
        default=platformscenario.EQUAL_SPEEDS,
        show_default=True,
        help="Lowest and highest speed of an engine, 1 as the sheet says.",
    )
    @click.option(
        "--warmup-s",
        default=0.0,
        show_default=True,
        help="Seconds at the begin whose requests are not counted.",
    )
    @json_option
    def run(
        policy: str,
        seed: int,
        load: float,
        speeds: tuple[float, float],
        warmup_s: float,
        as_json: bool,
    ) -> None:
        try:
            figures = platformscenario.measure(
                plan, policy, seed, load, speeds=speeds, warmup_s=warmup_s
            )
        except registries.RegistryError as error:
            raise click.UsageError(str(error)) from error
        print_result(figures, as_json)

    run.help = "Prompts on modelled engines of the users' platform."


add_platform(platformdeployments.ADWOA)
add_platform(platformdeployments.HOFBAUER)
add_platform(platformdeployments.CARONI)
add_platform(platformdeployments.LARGE)
add_platform(platformdeployments.SITE_ONE)
add_platform(platformdeployments.SITE_TWO)


@measure_group.command("platform-overload")
@click.option(
    "--policy",
    type=click.Choice(overload.POLICIES),
    default=overload.ADMISSION,
    show_default=True,
)
@click.option(
    "--load",
    type=click.FloatRange(min=0.0, min_open=True),
    default=4.0,
    show_default=True,
    help="Factor of the rates of the sheet.",
)
@click.option(
    "--flood",
    type=click.FloatRange(min=1.0),
    default=1.0,
    show_default=True,
    help="Factor on the load of one workspace, besides.",
)
@seed_option
@json_option
def platform_overload_command(
    policy: str, load: float, flood: float, seed: int, as_json: bool
) -> None:
    """Measures what is earned past saturation, with and without admission.

    The load lasts for the whole run. Refused callers return once.
    """
    surge = overload.Surge(load, flood=flood)
    print_result(
        overload.measure(platformdeployments.ADWOA, policy, surge, seed),
        as_json,
    )


@measure_group.command("endpoint-limits")
@limit_policy_option
@instances_option
@click.option(
    "--limit",
    type=click.FloatRange(min=0.0, min_open=True),
    default=1.0,
    show_default=True,
    help="Requests a second that the endpoint names.",
)
@seed_option
@json_option
def endpoint_limits_command(
    policy: str, instances: int, limit: float, seed: int, as_json: bool
) -> None:
    """Measures how instances share a rate limit that an endpoint states.

    All instances send, then only one; then a partition splits them into halves.
    """
    print_result(
        endpointlimits.measure(policy, instances, limit, seed), as_json
    )


@measure_group.command("cold-endpoints")
@limit_policy_option
@instances_option
@click.option(
    "--cold-rate",
    type=click.FloatRange(min=0.0, min_open=True),
    default=26.0,
    show_default=True,
    help="Requests a second that the cold endpoint handles.",
)
@seed_option
@json_option
def cold_endpoints_command(
    policy: str, instances: int, cold_rate: float, seed: int, as_json: bool
) -> None:
    """Measures how instances share a cold endpoint.

    All instances send, then only one; then a partition splits them into halves.
    The endpoint starts again before each of the three.
    """
    print_result(
        endpointlimits.measure_cold(policy, instances, cold_rate, seed), as_json
    )


@measure_group.command("endpoint-rests")
@click.option(
    "--way",
    "chosen_ways",
    type=click.Choice(restpolicies.WAYS),
    multiple=True,
    default=restpolicies.WAYS,
    show_default=True,
)
@click.option(
    "--instances",
    "sizes",
    type=click.IntRange(min=2),
    multiple=True,
    default=endpointrests.SIZES,
    show_default=True,
)
@click.option(
    "--variant",
    "variants",
    type=click.Choice(tuple(endpointrests.SHED_RATES)),
    multiple=True,
    default=tuple(endpointrests.SHED_RATES),
    show_default=True,
    help="What a shedding endpoint takes.",
)
@seed_option
def endpoint_rests_command(
    chosen_ways: tuple[str, ...],
    sizes: tuple[int, ...],
    variants: tuple[str, ...],
    seed: int,
) -> None:
    """Compares ways to handle endpoints that ask for a cool-down.

    One endpoint in ten asks for it. Prints a table.
    """
    results = [
        endpointrests.measure(way, size, variant, seed)
        for variant in variants
        for size in sizes
        for way in chosen_ways
    ]
    click.echo(endpointrests.make_table(results))


@measure_group.command("store-return")
@click.option(
    "--way",
    "chosen_ways",
    type=click.Choice(returnfleet.WAYS),
    multiple=True,
    default=returnfleet.WAYS,
    show_default=True,
)
@click.option(
    "--instances",
    "sizes",
    type=click.IntRange(min=1),
    multiple=True,
    default=storereturn.SIZES,
    show_default=True,
)
@click.option(
    "--lines",
    "variants",
    type=click.Choice(tuple(storereturn.LOST_PARTS)),
    multiple=True,
    default=tuple(storereturn.LOST_PARTS),
    show_default=True,
    help="Which lines are lost.",
)
@click.option(
    "--store",
    "store_variants",
    type=click.Choice(tuple(storereturn.AWAY_S)),
    multiple=True,
    default=tuple(storereturn.AWAY_S),
    show_default=True,
    help="Whether the store refuses calls for a moment after its return.",
)
@seed_option
def store_return_command(
    chosen_ways: tuple[str, ...],
    sizes: tuple[int, ...],
    variants: tuple[str, ...],
    store_variants: tuple[str, ...],
    seed: int,
) -> None:
    """Compares ways to rewrite the records that a restored store lacks.

    The store is restored from an older copy. Prints a table.
    """
    results = [
        storereturn.measure(way, size, variant, store, seed)
        for store in store_variants
        for variant in variants
        for size in sizes
        for way in chosen_ways
    ]
    click.echo(storereturn.make_table(results))


@measure_group.command("noisy-neighbour")
@policy_option
@seed_option
@load_option
@json_option
def neighbour_command(
    policy: str, seed: int, load: float, as_json: bool
) -> None:
    """Measures how a neighbour over its limit affects a victim.

    The neighbour sends ten times its limit.
    """
    print_result(neighbour.measure(policy, seed, load), as_json)


@measure_group.command("admission")
@policy_option
@seed_option
@load_option
@json_option
def admission_command(
    policy: str, seed: int, load: float, as_json: bool
) -> None:
    """Measures whether requests were refused correctly for their deadline."""
    print_result(admission.measure(policy, seed, load), as_json)


@measure_group.command("limits")
@click.option(
    "--policy",
    type=click.Choice(limits.POLICIES),
    default=limits.POLICIES[0],
    show_default=True,
)
@seed_option
@load_option
@click.option("--instances", default=limits.INSTANCES, show_default=True)
@json_option
def limits_command(
    policy: str, seed: int, load: float, instances: int, as_json: bool
) -> None:
    """Measures fleet-wide limits: overuse, lending, partition, crashes."""
    figures = limits.measure(seed, load, policy, instances)
    print_result(figures, as_json)


@measure_group.command("quarantine")
@click.option(
    "--cause",
    type=click.Choice(["request", "part"]),
    default="request",
    show_default=True,
    help="What crashes endpoints: a request, or a part that prompts share.",
)
@seed_option
@json_option
def quarantine_command(cause: str, seed: int, as_json: bool) -> None:
    """Measures the quarantine of what crashes endpoints.

    The caller of a request retries it at once; requests that share a part come
    all the time and are all different.
    """
    if cause == "part":
        print_result(quarantineparts.measure(seed), as_json)
    else:
        print_result(quarantine.measure(seed), as_json)


@measure_group.command("retry-storm")
@seed_option
@load_option
@json_option
def retry_storm_command(seed: int, load: float, as_json: bool) -> None:
    """Counts attempts with and without a retry budget.

    Half the endpoints fail.
    """
    print_result(retrystorm.measure(seed, load), as_json)


@measure_group.command("fleet")
@seed_option
@click.option(
    "--instances",
    type=click.IntRange(fleet.LEAST_INSTANCES, fleet.MOST_INSTANCES),
    default=fleet.LEAST_INSTANCES,
    show_default=True,
)
@click.option(
    "--sockets",
    is_flag=True,
    help="Real sockets: how fast a death is known, and what that costs.",
)
@json_option
def fleet_command(
    seed: int, instances: int, sockets: bool, as_json: bool
) -> None:
    """Measures configuration, membership, endpoints and orders in faults."""
    if sockets:
        measured = asyncio.run(fleetsockets.measure(instances, seed))
        print_result(measured, as_json)
        return
    figures = virtualloop.run(fleet.measure(instances, seed))
    print_result(figures, as_json)


@measure_group.command("list-changes")
@click.option(
    "--endpoints",
    type=click.IntRange(min=1),
    default=200,
    show_default=True,
)
@click.option(
    "--changes",
    "changes_per_s",
    type=click.FloatRange(min=0.0, min_open=True),
    default=5_000.0,
    show_default=True,
    help="Changes of the list in a second.",
)
@seed_option
@json_option
def list_changes_command(
    endpoints: int, changes_per_s: float, seed: int, as_json: bool
) -> None:
    """Measures how fast an instance follows a list of endpoints.

    Also measured: for how long requests would be held up. Real time.
    """
    measured = asyncio.run(listchanges.measure(endpoints, seed, changes_per_s))
    print_result(measured, as_json)


measure_group.add_command(measurecosts.overhead_command, "overhead")
measure_group.add_command(measurecosts.capacity_measure_command, "capacity")


@measure_group.command("faults")
@seed_option
@click.option("--seeds", metavar="A..B", help="Runs many seeds.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(faults.list_kinds()),
    help="Injects these kinds instead of drawn ones.",
)
@json_option
def faults_command(
    seed: int, seeds: str | None, kinds: tuple[str, ...], as_json: bool
) -> None:
    """Injects seeded faults of every kind; fails if a guarantee is violated."""
    first, last = _parse_range(seeds) if seeds else (seed, seed)
    violating_seeds = 0
    for seed_number in range(first, last + 1):
        figures = faults.measure(seed_number, kinds or None)
        violations = figures.list_violations()
        if first == last or violations:
            print_result(figures, as_json)
        if violations:
            violating_seeds += 1
            _print_violations(
                seed_number,
                violations,
                faults.find_minimal_faults(seed_number, kinds),
            )
    if first != last:
        click.echo(
            f"{last - first + 1} seeds, {violating_seeds} with violations"
        )
    if violating_seeds:
        sys.exit(VIOLATION_STATUS)


def _parse_range(text: str) -> tuple[int, int]:
    first, _, last = text.partition("..")
    if not (first.isdigit() and last.isdigit()):
        raise click.BadParameter("write it as A..B", param_hint="--seeds")
    return int(first), int(last)


def _print_violations(
    seed: int, violations: list[str], trace: list[str]
) -> None:
    click.echo(f"seed {seed} broke {', '.join(violations)}", err=True)
    click.echo("the shortest trace that still breaks it:", err=True)
    for line in trace:
        click.echo(f"  {line}", err=True)
