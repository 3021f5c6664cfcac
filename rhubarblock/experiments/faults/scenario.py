"""The scenario ``faults``: seeded faults of every kind against real code.

A run draws one fault, two, or the same one twice, injects them into a small
fleet under load, heals them, and then judges each promise of the brief.
"""

import asyncio
import collections
import dataclasses
import random

from returns import result

from rhubarblock.core import verdict as verdicts
from rhubarblock.experiments import mixed
from rhubarblock.experiments import simulation
from rhubarblock.experiments import workload
from rhubarblock.experiments.faults import fleet as faultfleet
from rhubarblock.experiments.faults import kinds as faultkinds
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.quarantine import registry as quarantineregistry

TRAFFIC_S = 12.0
PROMPTS_PER_S = 10.0
CALLS_PER_S = 3.0
LONGEST_PROMPT = 90_000
LONGEST_OUTPUT = 400
FAULT_FROM_S = 1.0
FAULT_UNTIL_S = 8.0
FAULT_DURATION_S = (0.3, 6.0)
# How long after the last answer the engines' memory is looked at.
SETTLE_S = 20.0
# An answer later than this after its deadline counts as late, in seconds.
LATE_S = 0.5
# The promise for a new revision in force, in seconds.
IN_FORCE_S = 9.0
# Seconds after which a leaving endpoint may get no new work.
LEAVING_S = 3.0
# Engines that each such request may crash before it is stopped.
MOST_LOST_TO_POISON = 2
_KINDS_BY_NAME = {kind.kind: kind for kind in faultkinds.KINDS}


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """A fault and when it begins."""

    at_s: float
    fault: faultkinds.Fault


@dataclasses.dataclass(slots=True, frozen=True)
class FaultResult:
    """What one seed showed; every count but the first two should be 0."""

    scenario: str
    seed: int
    requests: int
    faults: int
    lost: int
    duplicated: int
    double_runs: int
    crossed: int
    truncated: int
    false_not_run: int
    late: int
    kv_leaked_tokens: int
    leaving_got_work_s: float
    cut_by_stop: int
    config_reverts: int
    config_in_force_max_s: float
    endpoints_lost_to_poison: int
    innocents_quarantined: int
    faults_by_kind: dict[str, int]

    def list_violations(self) -> list[str]:
        """Returns the names of the promises that this run broke."""
        broken = [
            name
            for name in (
                "lost",
                "duplicated",
                "double_runs",
                "crossed",
                "truncated",
                "false_not_run",
                "late",
                "kv_leaked_tokens",
                "cut_by_stop",
                "config_reverts",
                "innocents_quarantined",
            )
            if getattr(self, name)
        ]
        poisons = self.faults_by_kind.get(faultkinds.PoisonRequest.kind, 0)
        if self.endpoints_lost_to_poison > MOST_LOST_TO_POISON * poisons:
            broken.append("endpoints_lost_to_poison")
        if self.leaving_got_work_s > LEAVING_S:
            broken.append("leaving_got_work_s")
        if self.config_in_force_max_s > IN_FORCE_S:
            broken.append("config_in_force_max_s")
        return broken


def plan_faults(
    seed: int, kinds: tuple[str, ...] | None = None
) -> list[Planned]:
    """Draws the faults of a seed: one, a pair, or the same one twice.

    Args:
      seed: decides kinds, moments and details.
      kinds: names of the kinds to inject instead of drawn ones.
    """
    rng = random.Random(f"faults {seed}")
    if kinds is None:
        first, second = rng.sample(sorted(_KINDS_BY_NAME), 2)
        kinds = rng.choice(((first,), (first, second), (first, first)))
    planned = []
    for name in kinds:
        duration_s = rng.uniform(*FAULT_DURATION_S)
        fault = _KINDS_BY_NAME[name](random.Random(rng.random()), duration_s)
        at_s = rng.uniform(FAULT_FROM_S, FAULT_UNTIL_S)
        planned.append(Planned(at_s, fault))
    return sorted(planned, key=lambda each: each.at_s)


def measure(seed: int, kinds: tuple[str, ...] | None = None) -> FaultResult:
    """Runs one seed on the fake clock.

    Args:
      seed: decides everything random.
      kinds: names of the kinds to inject instead of drawn ones.
    """
    planned = plan_faults(seed, kinds)
    return virtualloop.run(_run(seed, planned))


def list_kinds() -> tuple[str, ...]:
    """Returns the names of all kinds of fault."""
    return tuple(sorted(_KINDS_BY_NAME))


def find_shortest(seed: int, kinds: tuple[str, ...]) -> list[str]:
    """Returns the fewest faults of a seed that still break a promise.

    Args:
      seed: a seed that breaks one.
      kinds: names of the kinds that were injected; empty for drawn ones.

    Returns:
      One line for each fault, in order.
    """
    planned = plan_faults(seed, kinds or None)
    for number in range(len(planned)):
        alone = plan_faults(seed, kinds or None)[number : number + 1]
        figures = virtualloop.run(_run(seed, alone))
        if figures.list_violations():
            planned = alone
            break
    return [
        f"{x.at_s:.3f} s: {x.fault.kind} for {x.fault.duration_s:.3f} s"
        for x in planned
    ]


async def _run(seed: int, planned: list[Planned]) -> FaultResult:
    plan = faultfleet.PLAN
    catalogue = mixed.make_catalogue(plan, mixed.make_tenants(plan.name))
    fleet = faultfleet.FaultFleet(seed, catalogue)
    await fleet.start_instances(faultfleet.SETTLE_S)
    rng = random.Random(f"load {seed}")
    fleet.traffic_s = fleet.timers.read_monotonic()
    await asyncio.gather(
        _send_prompts(fleet, rng),
        _send_calls(fleet, rng),
        *(_inject(fleet, each) for each in planned),
    )
    await fleet.timers.sleep(SETTLE_S)
    judged = judge(fleet, seed, planned)
    await fleet.tear_down()
    return judged


async def _inject(fleet: faultfleet.FaultFleet, planned: Planned) -> None:
    await fleet.timers.sleep(planned.at_s)
    await planned.fault.begin(fleet)
    await fleet.timers.sleep(planned.fault.duration_s)
    await planned.fault.end(fleet)


async def _send_prompts(
    fleet: faultfleet.FaultFleet, rng: random.Random
) -> None:
    tenants = mixed.make_tenants(faultfleet.PLAN.name)
    arrivals = workload.draw_requests(
        rng, tenants, PROMPTS_PER_S, TRAFFIC_S, simulation.MODEL
    )
    tasks = []
    start_s = fleet.timers.read_monotonic()
    for turn, arrival in enumerate(arrivals):
        request = arrival.request
        request.prompt_tokens = min(request.prompt_tokens, LONGEST_PROMPT)
        request.max_tokens = min(request.max_tokens, LONGEST_OUTPUT)
        request.deadline_s = workload.choose_deadline(
            request.prompt_tokens, request.max_tokens
        )
        now_s = fleet.timers.read_monotonic()
        await fleet.timers.sleep(max(0.0, start_s + arrival.at_s - now_s))
        tasks.append(asyncio.ensure_future(fleet.send_prompt(arrival, turn)))
    await asyncio.gather(*tasks)


async def _send_calls(fleet: faultfleet.FaultFleet, rng: random.Random) -> None:
    tasks = []
    for number in range(round(TRAFFIC_S * CALLS_PER_S)):
        call = faultfleet.make_call(rng, number)
        sends = rng.choice((1, 1, 2, 3)) if call.idempotency_key else 1
        tasks.append(
            asyncio.ensure_future(fleet.send_call(call, number, sends))
        )
        await fleet.timers.sleep(rng.expovariate(CALLS_PER_S))
    await asyncio.gather(*tasks)


def judge(
    fleet: faultfleet.FaultFleet, seed: int, planned: list[Planned]
) -> FaultResult:
    """Compares what happened with the promises."""
    live = [x for x in fleet.records if not _was_killed(fleet, x)]
    whole = [x for x in live if isinstance(x.outcome, result.Success)]
    counts = collections.Counter(each.fault.kind for each in planned)
    return FaultResult(
        scenario="faults",
        seed=seed,
        requests=len(fleet.records) + len(fleet.calls),
        faults=len(planned),
        lost=sum(1 for x in live if x.outcome is None),
        duplicated=sum(1 for x in whole if x.sink.tokens > _wanted(x)),
        double_runs=_count_double_runs(fleet),
        crossed=sum(1 for x in fleet.records if not x.sink.right),
        truncated=sum(1 for x in whole if x.sink.tokens < _wanted(x)),
        false_not_run=_count_false_prompts(fleet, live)
        + _count_false_calls(fleet),
        late=sum(1 for x in live if _is_late(x)),
        kv_leaked_tokens=mixed.count_leaked(fleet),
        leaving_got_work_s=_measure_leaving(fleet),
        cut_by_stop=_count_cut(fleet, live, planned),
        config_reverts=fleet.reverts,
        config_in_force_max_s=_measure_in_force(fleet, planned),
        endpoints_lost_to_poison=fleet.lost_to_poison,
        innocents_quarantined=_count_innocents(fleet),
        faults_by_kind=dict(counts),
    )


def _was_killed(
    fleet: faultfleet.FaultFleet, record: simulation.Record
) -> bool:
    return fleet.killed[record.address].is_set()


def _wanted(record: simulation.Record) -> int:
    return record.arrival.request.max_tokens


def _is_late(record: simulation.Record) -> bool:
    deadline_s = record.arrival.request.deadline_s
    return record.outcome is not None and record.ended_s > deadline_s + LATE_S


def _count_double_runs(fleet: faultfleet.FaultFleet) -> int:
    runs = collections.Counter(
        run.digest for run in fleet.runs.runs if run.path != "/status"
    )
    return sum(1 for count in runs.values() if count > 1)


def _count_false_prompts(
    fleet: faultfleet.FaultFleet, records: list[simulation.Record]
) -> int:
    """Counts prompts said not to have run that an engine began to run.

    A prompt that its caller sent again is left out: another sending of it may
    have run.
    """
    sendings = collections.Counter(
        record.arrival.request.digest for record in fleet.records
    )
    false = 0
    for record in records:
        digest = record.arrival.request.digest
        if not isinstance(record.outcome, result.Failure):
            continue
        verdict = record.outcome.failure().verdict
        if verdict is not verdicts.Verdict.NOT_RUN or sendings[digest] > 1:
            continue
        false += any(engine.count_runs(digest) for engine in fleet.cluster)
    return false


def _count_false_calls(fleet: faultfleet.FaultFleet) -> int:
    """Counts calls said not to have run whose own attempt ran."""
    ran = {run.attempt_id.partition("/")[0] for run in fleet.runs.runs}
    false = 0
    for call in fleet.calls:
        for request_id, outcome in zip(
            call.request_ids, call.outcomes, strict=True
        ):
            false += faultfleet.says_not_run(outcome) and request_id in ran
    return false


def _measure_leaving(fleet: faultfleet.FaultFleet) -> float:
    """Returns the seconds for which a leaving endpoint still got work."""
    longest_s = 0.0
    for leaving in fleet.leaving:
        for sending in fleet.sendings:
            if (
                sending.address == leaving.address
                and leaving.from_s < sending.at_s < leaving.until_s
            ):
                longest_s = max(longest_s, sending.at_s - leaving.from_s)
    return round(longest_s, 3)


def _count_innocents(fleet: faultfleet.FaultFleet) -> int:
    """Counts digests in quarantine anywhere that crash no engine."""
    guilty = {quarantineregistry.shorten(digest) for digest in fleet.poisons}
    blamed = {
        entry.digest
        for node in fleet.instances.values()
        for entry in node.instance.quarantine.list_quarantined()
    }
    return len(blamed - guilty)


def _count_cut(
    fleet: faultfleet.FaultFleet,
    records: list[simulation.Record],
    planned: list[Planned],
) -> int:
    """Counts answers that a planned stop cut, if nothing else was broken."""
    if any(each.fault.kind != "instance_stop" for each in planned):
        return 0
    return sum(
        1
        for record in records
        if record.instance_id in fleet.stopped
        and isinstance(record.outcome, result.Failure)
        and record.sink.tokens
    )


def _measure_in_force(
    fleet: faultfleet.FaultFleet, planned: list[Planned]
) -> float:
    """Returns the longest time until a revision was in force everywhere.

    While an instance is paused or cut off it cannot hear of anything, so the
    time counts from the end of the last fault that was under way.
    """
    longest_s = 0.0
    base_s = fleet.traffic_s
    for accepted in fleet.accepted:
        healed_s = max(
            (base_s + x.at_s + x.fault.duration_s for x in planned), default=0.0
        )
        from_s = max(accepted.at_s, healed_s)
        for node in fleet.instances.values():
            seen = fleet.revisions[node.port.address]
            in_force = [at for at, rev in seen if rev >= accepted.revision]
            reached_s = in_force[0] if in_force else float("inf")
            longest_s = max(longest_s, reached_s - from_s)
    return round(longest_s, 3)
