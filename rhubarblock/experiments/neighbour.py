"""The scenario ``noisy-neighbour``: one workspace far over its limit.

The victim sends the same requests twice: beside a neighbour that keeps to its
limit, and beside one that offers ten times its limit. The scenario measures
the effect on the victim.
"""

import dataclasses
import random

from rhubarblock.core import catalogue as catalogues
from rhubarblock.experiments import mixed
from rhubarblock.experiments import quantiles
from rhubarblock.experiments import simulation
from rhubarblock.experiments import workload
from rhubarblock.kernel import virtualloop

DURATION_S = 40.0
VICTIM_SHARE = 0.6
NEIGHBOUR_SHARE = 0.15
# Load that the neighbour offers, as a multiple of its limit.
OVERLOAD = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class NeighbourResult:
    """Effect on the victim; slowdowns are relative to an idle fleet.

    ``victim_slowdown_p95_alone`` is measured beside a neighbour that keeps to
    its limit; all other figures are those of the run with the overload.
    """

    scenario: str
    policy: str
    seed: int
    load: float
    victim_slowdown_p95: float | None
    victim_slowdown_p95_alone: float | None
    victim_refused: int
    victim_failed: int
    neighbour_offered: int
    neighbour_admitted: int
    lost: int
    duplicated: int
    kv_leaked_tokens: int


def measure(policy: str, seed: int, load: float) -> NeighbourResult:
    """Runs the scenario on the fake clock, without and with the overload.

    Args:
      policy: name of the placement policy.
      seed: decides arrivals, lengths and jitter.
      load: share of the fleet's prefill capacity that both together use while
        the neighbour keeps to its limit.
    """
    baseline = _run(policy, seed, load, overload=1.0)
    noisy = _run(policy, seed, load, overload=OVERLOAD)
    victims = _select(noisy, "victim")
    neighbours = _select(noisy, "neighbour")
    return NeighbourResult(
        scenario="noisy-neighbour",
        policy=policy,
        seed=seed,
        load=load,
        victim_slowdown_p95=_measure_slowdown(victims),
        victim_slowdown_p95_alone=_measure_slowdown(
            _select(baseline, "victim")
        ),
        victim_refused=sum(1 for x in victims if mixed.is_refused(x)),
        victim_failed=sum(
            1
            for x in victims
            if not mixed.is_complete(x) and not mixed.is_refused(x)
        ),
        neighbour_offered=len(neighbours),
        neighbour_admitted=sum(
            1 for x in neighbours if not mixed.is_refused(x)
        ),
        lost=sum(1 for x in noisy.records if x.outcome is None),
        duplicated=sum(1 for x in noisy.records if not x.sink.has_correct_text),
        kv_leaked_tokens=mixed.count_leaked(noisy),
    )


def _run(
    policy: str, seed: int, load: float, overload: float
) -> simulation.Simulation:
    rate = mixed.choose_rate(mixed.ADWOA, load)
    plan = mixed.shape_fleet(mixed.ADWOA, policy, rate)
    victim = workload.Tenant(plan.name, f"{plan.name}/victim")
    neighbour = workload.Tenant(plan.name, f"{plan.name}/neighbour")
    total = VICTIM_SHARE + NEIGHBOUR_SHARE
    victim_rate = rate * VICTIM_SHARE / total
    neighbour_rate = rate * NEIGHBOUR_SHARE / total
    arrivals = [
        *workload.draw_requests(
            random.Random(f"victim {seed}"),
            [victim],
            victim_rate,
            DURATION_S,
            simulation.MODEL,
        ),
        *workload.draw_requests(
            random.Random(f"neighbour {seed}"),
            [neighbour],
            neighbour_rate * overload,
            DURATION_S,
            simulation.MODEL,
        ),
    ]
    arrivals.sort(key=lambda arrival: arrival.at_s)
    tokens = workload.mean_prompt() + workload.MEDIAN_OUTPUT
    limits = catalogues.Limits(
        requests_per_s=neighbour_rate,
        tokens_per_s=neighbour_rate * tokens,
        concurrent_long=2,
    )
    catalogue = mixed.make_catalogue(plan, (victim, neighbour))
    limited = dataclasses.replace(
        catalogue.workspaces[neighbour.workspace], limits=limits
    )
    catalogue = dataclasses.replace(
        catalogue,
        workspaces={**catalogue.workspaces, neighbour.workspace: limited},
    )

    async def run() -> simulation.Simulation:
        fleet = simulation.Simulation(plan, policy, seed, catalogue)
        await fleet.start_instances()
        await fleet.run(arrivals)
        await fleet.stop()
        await fleet.timers.sleep(mixed.SETTLE_S)
        return fleet

    return virtualloop.run(run())


def _select(fleet: simulation.Simulation, name: str) -> list[simulation.Record]:
    return [
        x
        for x in fleet.records
        if x.arrival.request.workspace.endswith(f"/{name}")
    ]


def _measure_slowdown(records: list[simulation.Record]) -> float | None:
    shorts = [
        mixed.measure_slowdown(x)
        for x in records
        if mixed.is_complete(x)
        and x.arrival.request.prompt_tokens < mixed.SHORT_TOKENS
    ]
    return quantiles.summarise(shorts).p95
