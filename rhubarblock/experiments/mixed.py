"""The scenarios ``mixed-adwoa`` and ``mixed-hofbauer``: short and long prompts.

A stream of prompts of very different lengths runs through the real routing
and relay code at the size of a deployment. Requests start only after a
warm-up; load is a share of ``idle.predict_capacity`` of all engines.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from returns import result

from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import request as requests
from rhubarblock.experiments import idle
from rhubarblock.experiments import quantiles
from rhubarblock.experiments import simulation
from rhubarblock.experiments import workload
from rhubarblock.kernel import virtualloop

SHORT_TOKENS = 8_000
BANDS = {
    "lt8k": (0, 8_000),
    "8k_32k": (8_000, 32_000),
    "32k_128k": (32_000, 128_000),
    "gt128k": (128_000, 10_000_000),
}
WORKSPACES = 10
# Relative load of each workspace: a few of them are large.
WORKSPACE_SHARES = (8, 6, 4, 1, 1, 1, 1, 1, 1, 1)
DURATION_S = 60.0
# Seconds between the last answer and the check for leaked KV memory.
SETTLE_S = 15.0

ADWOA = simulation.FleetPlan(
    name="adwoa",
    data_centres=("osu-hall", "tema-hall", "achimota-hall"),
    instances=7,
    engines=23,
    latency_s=0.0003,
    weight_ttft=0.7,
)
HOFBAUER = simulation.FleetPlan(
    name="hofbauer",
    data_centres=("halle-steyr", "halle-liezen", "halle-admont"),
    instances=6,
    engines=14,
    latency_s=0.0012,
    weight_ttft=0.3,
)


@dataclasses.dataclass(slots=True, frozen=True)
class TailPair:
    """The 95th percentile of times and that on an idle fleet, in seconds."""

    p95: float | None
    p95_idle: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class MixedResult:
    """Results of a mixed run; times in seconds, gaps in milliseconds."""

    scenario: str
    policy: str
    seed: int
    load: float
    admitted: int
    finished: int
    failed: int
    refused: int
    lost: int
    duplicated: int
    deadline_met: float
    ttft_s: dict[str, quantiles.Quantiles]
    ttft_stretch: dict[str, quantiles.Quantiles]
    ttft_all: TailPair
    short_slowdown: quantiles.Quantiles
    gap_ms: quantiles.Quantiles
    goodput_tokens_per_s: float
    kv_leaked_tokens: int


def make_tenants(institution: str) -> list[workload.Tenant]:
    """Returns ten workspaces of an institution, a few of them large."""
    return [
        workload.Tenant(institution, f"{institution}/w{number}", share)
        for number, share in enumerate(WORKSPACE_SHARES)
    ]


def make_catalogue(
    plan: simulation.FleetPlan,
    tenants: Sequence[workload.Tenant],
) -> catalogues.Catalogue:
    """Returns the catalogue of a deployment, without limits.

    Its split of roles is that of the plan, so that the order service changes
    no engine.
    """
    owner = "measurement"
    unlimited = catalogues.Limits()
    return catalogues.Catalogue(
        revision=1,
        institutions={
            plan.name: catalogues.Institution(plan.name, owner, unlimited)
        },
        workspaces={
            tenant.workspace: catalogues.Workspace(
                tenant.workspace,
                owner,
                plan.name,
                requests.RequestClass.INTERACTIVE,
                unlimited,
            )
            for tenant in tenants
        },
        models={
            simulation.MODEL: catalogues.Model(
                simulation.MODEL, owner, "v1", simulation.POOL, 1_002_000
            )
        },
        services={
            simulation.POOL: catalogues.Service(
                simulation.POOL,
                owner,
                endpoints.EndpointKind.ENGINE,
                kv_tokens=400_000,
                decode_share=plan.decoders / plan.engines,
            ),
            simulation.DESK: catalogues.Service(
                simulation.DESK,
                owner,
                endpoints.EndpointKind.SERVICE,
                idempotent_paths=("/status",),
            ),
        },
        places={
            name: catalogues.Place(name, owner, plan.name)
            for name in plan.data_centres
        },
    )


def choose_rate(plan: simulation.FleetPlan, load: float) -> float:
    """Returns the requests a second for a load."""
    capacity = plan.engines * idle.predict_capacity()
    return load * capacity / workload.mean_prompt()


def measure(
    plan: simulation.FleetPlan,
    policy: str,
    seed: int,
    load: float,
    duration_s: float = DURATION_S,
) -> MixedResult:
    """Runs the scenario on the fake clock.

    Args:
      plan: the deployment.
      policy: name of the placement policy.
      seed: decides arrivals, lengths and jitter.
      load: share of the fleet's prefill capacity.
      duration_s: seconds over which requests arrive.

    Returns:
      The figures of all requests.
    """
    rate = choose_rate(plan, load)
    plan = shape_fleet(plan, policy, rate)
    tenants = make_tenants(plan.name)
    catalogue = make_catalogue(plan, tenants)
    arrivals = list(
        workload.draw_requests(
            random.Random(seed), tenants, rate, duration_s, simulation.MODEL
        )
    )

    async def run() -> simulation.Simulation:
        fleet = simulation.Simulation(plan, policy, seed, catalogue)
        await fleet.start_instances()
        await fleet.run(arrivals)
        await fleet.stop()
        await fleet.timers.sleep(SETTLE_S)
        return fleet

    fleet = virtualloop.run(run())
    return summarise(f"mixed-{plan.name}", policy, seed, load, fleet)


def shape_fleet(
    plan: simulation.FleetPlan, policy: str, requests_per_s: float
) -> simulation.FleetPlan:
    """Returns a plan with the split of roles that a policy uses for a load."""
    if policy == "naive":
        return dataclasses.replace(plan, decoders=0)
    return dataclasses.replace(
        plan, decoders=choose_decoders(plan, requests_per_s)
    )


# Answers that one decode engine can generate concurrently without long gaps.
DECODES_PER_ENGINE = 10
# Mean seconds between two tokens of an answer at that concurrency.
DECODE_GAP_S = 0.0095
# Ratio of the mean of the log-normal output lengths to their median.
MEAN_OUTPUT_RATIO = 1.2


def choose_decoders(plan: simulation.FleetPlan, requests_per_s: float) -> int:
    """Returns the number of decode engines that a load needs.

    Each data centre gets the same number, because its pool has a lease holder
    of its own that assigns the roles.
    """
    tokens_per_s = requests_per_s * workload.MEDIAN_OUTPUT * MEAN_OUTPUT_RATIO
    running = tokens_per_s * DECODE_GAP_S
    centres = len(plan.data_centres)
    decoders_each = max(1, round(running / DECODES_PER_ENGINE / centres))
    return min(decoders_each * centres, plan.engines // 2)


def summarise(
    scenario: str,
    policy: str,
    seed: int,
    load: float,
    fleet: simulation.Simulation,
) -> MixedResult:
    """Returns the figures of a run."""
    complete = [x for x in fleet.records if is_complete(x)]
    admitted = [x for x in fleet.records if not is_refused(x)]
    met = [x for x in complete if x.ended_s <= x.arrival.request.deadline_s]
    shorts = [
        x for x in complete if x.arrival.request.prompt_tokens < SHORT_TOKENS
    ]
    firsts = [x.sink.first_s - x.arrival.request.arrived_s for x in complete]
    idles = [
        idle.predict_first_token(x.arrival.request.prompt_tokens)
        for x in complete
    ]
    gaps = [gap * 1_000 for x in complete for gap in x.sink.gaps_s]
    lasted_s = max((x.ended_s for x in fleet.records), default=1.0)
    return MixedResult(
        scenario=scenario,
        policy=policy,
        seed=seed,
        load=load,
        admitted=len(admitted),
        finished=len(complete),
        failed=len(admitted) - len(complete),
        refused=len(fleet.records) - len(admitted),
        lost=sum(1 for x in fleet.records if x.outcome is None),
        duplicated=sum(1 for x in fleet.records if not x.sink.has_correct_text),
        deadline_met=round(len(met) / max(1, len(admitted)), 5),
        ttft_s=summarise_bands(complete, measure_first_token),
        ttft_stretch=summarise_bands(complete, measure_stretch),
        ttft_all=TailPair(
            quantiles.summarise(firsts).p95, quantiles.summarise(idles).p95
        ),
        short_slowdown=quantiles.summarise(
            [measure_slowdown(x) for x in shorts]
        ),
        gap_ms=quantiles.summarise(gaps),
        goodput_tokens_per_s=round(
            sum(x.arrival.request.prompt_tokens for x in met) / lasted_s
        ),
        kv_leaked_tokens=count_leaked(fleet),
    )


def count_leaked(fleet: simulation.Simulation) -> int:
    """Returns the KV cache tokens that the engines still hold."""
    return sum(sum(engine.kv_held().values()) for engine in fleet.cluster)


def is_complete(record: simulation.Record) -> bool:
    """Says whether the caller got the complete and correct answer."""
    wanted = record.arrival.request.max_tokens
    return (
        isinstance(record.outcome, result.Success)
        and record.sink.has_correct_text
        and record.sink.tokens == wanted
    )


def is_refused(record: simulation.Record) -> bool:
    """Says whether the request was refused before any attempt."""
    if not isinstance(record.outcome, result.Failure):
        return False
    return record.outcome.failure().code.value in (
        "deadline_unreachable",
        "limit_exceeded",
        "queue_full",
        "draining",
        "quarantined",
    )


def summarise_bands(
    records: list[simulation.Record],
    measure_one: Callable[[simulation.Record], float],
) -> dict[str, quantiles.Quantiles]:
    """Returns the percentiles of a figure by band of prompt lengths."""
    found = {}
    for band, (low, high) in BANDS.items():
        samples = [
            measure_one(x)
            for x in records
            if low <= x.arrival.request.prompt_tokens < high
        ]
        found[band] = quantiles.summarise(samples)
    return found


def measure_first_token(record: simulation.Record) -> float:
    """Returns the seconds from arrival to the first token."""
    return record.sink.first_s - record.arrival.request.arrived_s


def measure_stretch(record: simulation.Record) -> float:
    """Returns the ratio of the time to first token to that when idle."""
    tokens = record.arrival.request.prompt_tokens
    return measure_first_token(record) / idle.predict_first_token(tokens)


def measure_slowdown(record: simulation.Record) -> float:
    """Returns the ratio of the total time to that on an idle fleet."""
    request = record.arrival.request
    total_s = record.ended_s - request.arrived_s
    return total_s / idle.predict_total(
        request.prompt_tokens, request.max_tokens
    )
