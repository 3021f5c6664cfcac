"""The scenario ``faults``: seeded fault injection against the real code.

A run draws one fault, two faults, or two of the same kind, injects them into a
small fleet under load, repairs them, and then checks every guarantee.
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

LOAD_S = 12.0
PROMPTS_PER_S = 10.0
CALLS_PER_S = 3.0
LONGEST_PROMPT = 90_000
LONGEST_OUTPUT = 400
FAULT_FROM_S = 1.0
FAULT_UNTIL_S = 8.0
FAULT_DURATION_S = (0.3, 6.0)
# Seconds between the last answer and the check for leaked KV memory.
SETTLE_S = 20.0
# Seconds after its deadline from which an answer counts as late.
LATE_S = 0.5
# Bound on the seconds until a new revision is in force everywhere.
IN_FORCE_S = 9.0
# Seconds after which a leaving endpoint may get no new work.
LEAVING_S = 3.0
# Engines that each poison request may crash before it is quarantined.
MOST_LOST_TO_POISON = 2
_KINDS_BY_NAME = {kind.kind: kind for kind in faultkinds.KINDS}


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """A fault and its start, in seconds from the start of the load."""

    at_s: float
    fault: faultkinds.Fault


@dataclasses.dataclass(slots=True, frozen=True)
class FaultResult:
    """Results of one seed.

    ``list_violations`` has the bounds on the counts and times.

    Attributes:
      scenario: ``faults``.
      seed: seed of the run.
      requests: prompts and service calls that were sent.
      faults: faults that were injected.
      lost: prompts without an outcome.
      duplicated: answers with more tokens than were requested.
      double_runs: non-idempotent service calls that ran more than once.
      crossed: answers with text of another one.
      truncated: successful answers with fewer tokens than were requested.
      false_not_run: failures with the verdict NOT_RUN although the request
        ran.
      late: prompts that ended too long after their deadline.
      kv_leaked_tokens: KV cache tokens that engines still hold at the end.
      leaving_got_work_s: longest time for which a leaving endpoint still got
        work.
      cut_by_stop: answers that a graceful stop aborted.
      config_reverts: how often an instance went back to an older revision.
      config_in_force_max_s: longest time until a revision was in force at all
        instances.
      endpoints_lost_to_poison: engines that poison requests crashed.
      innocents_quarantined: quarantined digests that crash no engine.
      faults_by_kind: number of faults by kind.
    """

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
        """Returns the names of the fields that violate a guarantee."""
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
    """Draws the faults of a seed: one, two, or two of the same kind.

    Args:
      seed: seed of kinds, times and details.
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
      seed: seed of everything random.
      kinds: names of the kinds to inject instead of drawn ones.
    """
    planned = plan_faults(seed, kinds)
    return virtualloop.run(_run(seed, planned))


def list_kinds() -> tuple[str, ...]:
    """Returns the names of all kinds of fault."""
    return tuple(sorted(_KINDS_BY_NAME))


def find_minimal_faults(seed: int, kinds: tuple[str, ...]) -> list[str]:
    """Returns the fewest faults of a seed that still violate a guarantee.

    Args:
      seed: a seed with a violation.
      kinds: names of the kinds that were injected; empty for drawn ones.

    Returns:
      One line for each fault, in order.
    """
    planned = plan_faults(seed, kinds or None)
    for number in range(len(planned)):
        single = plan_faults(seed, kinds or None)[number : number + 1]
        figures = virtualloop.run(_run(seed, single))
        if figures.list_violations():
            planned = single
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
    fleet.load_started_s = fleet.timers.read_monotonic()
    await asyncio.gather(
        _send_prompts(fleet, rng),
        _send_calls(fleet, rng),
        *(_inject(fleet, each) for each in planned),
    )
    await fleet.timers.sleep(SETTLE_S)
    figures = evaluate(fleet, seed, planned)
    await fleet.tear_down()
    return figures


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
        rng, tenants, PROMPTS_PER_S, LOAD_S, simulation.MODEL
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
    for number in range(round(LOAD_S * CALLS_PER_S)):
        call = faultfleet.make_call(rng, number)
        sends = rng.choice((1, 1, 2, 3)) if call.idempotency_key else 1
        tasks.append(
            asyncio.ensure_future(fleet.send_call(call, number, sends))
        )
        await fleet.timers.sleep(rng.expovariate(CALLS_PER_S))
    await asyncio.gather(*tasks)


def evaluate(
    fleet: faultfleet.FaultFleet, seed: int, planned: list[Planned]
) -> FaultResult:
    """Returns the result of a run that has ended."""
    live = [x for x in fleet.records if not _was_killed(fleet, x)]
    complete = [x for x in live if isinstance(x.outcome, result.Success)]
    counts = collections.Counter(each.fault.kind for each in planned)
    return FaultResult(
        scenario="faults",
        seed=seed,
        requests=len(fleet.records) + len(fleet.calls),
        faults=len(planned),
        lost=sum(1 for x in live if x.outcome is None),
        duplicated=sum(
            1 for x in complete if x.sink.tokens > _get_max_tokens(x)
        ),
        double_runs=_count_double_runs(fleet),
        crossed=sum(1 for x in fleet.records if not x.sink.has_correct_text),
        truncated=sum(
            1 for x in complete if x.sink.tokens < _get_max_tokens(x)
        ),
        false_not_run=_count_false_prompts(fleet, live)
        + _count_false_calls(fleet),
        late=sum(1 for x in live if _is_late(x)),
        kv_leaked_tokens=mixed.count_leaked(fleet),
        leaving_got_work_s=_measure_work_after_leaving(fleet),
        cut_by_stop=_count_cut(fleet, live, planned),
        config_reverts=fleet.reverts,
        config_in_force_max_s=_measure_in_force(fleet, planned),
        endpoints_lost_to_poison=fleet.lost_to_poison,
        innocents_quarantined=_count_quarantined_innocents(fleet),
        faults_by_kind=dict(counts),
    )


def _was_killed(
    fleet: faultfleet.FaultFleet, record: simulation.Record
) -> bool:
    return fleet.killed[record.address].is_set()


def _get_max_tokens(record: simulation.Record) -> int:
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
    """Counts prompts with the verdict NOT_RUN that an engine began to run.

    A prompt that its caller sent more than once is left out, because one of
    the other copies may have run.
    """
    copies = collections.Counter(
        record.arrival.request.digest for record in fleet.records
    )
    false_verdicts = 0
    for record in records:
        digest = record.arrival.request.digest
        if not isinstance(record.outcome, result.Failure):
            continue
        verdict = record.outcome.failure().verdict
        if verdict is not verdicts.Verdict.NOT_RUN or copies[digest] > 1:
            continue
        false_verdicts += any(
            engine.count_runs(digest) for engine in fleet.cluster
        )
    return false_verdicts


def _count_false_calls(fleet: faultfleet.FaultFleet) -> int:
    """Counts calls with the verdict NOT_RUN that a service ran."""
    ran = {run.attempt_id.partition("/")[0] for run in fleet.runs.runs}
    false_verdicts = 0
    for call in fleet.calls:
        for request_id, outcome in zip(
            call.request_ids, call.outcomes, strict=True
        ):
            false_verdicts += (
                faultfleet.says_not_run(outcome) and request_id in ran
            )
    return false_verdicts


def _measure_work_after_leaving(fleet: faultfleet.FaultFleet) -> float:
    """Returns the longest time for which a leaving endpoint got work."""
    longest_s = 0.0
    for leaving in fleet.leaving:
        for attempt in fleet.accepted_attempts:
            if (
                attempt.address == leaving.address
                and leaving.from_s < attempt.at_s < leaving.until_s
            ):
                longest_s = max(longest_s, attempt.at_s - leaving.from_s)
    return round(longest_s, 3)


def _count_quarantined_innocents(fleet: faultfleet.FaultFleet) -> int:
    """Counts digests that an instance quarantined but that crash no engine."""
    poisons = {quarantineregistry.shorten(digest) for digest in fleet.poisons}
    quarantined = {
        entry.digest
        for node in fleet.instances.values()
        for entry in node.instance.quarantine.list_quarantined()
    }
    return len(quarantined - poisons)


def _count_cut(
    fleet: faultfleet.FaultFleet,
    records: list[simulation.Record],
    planned: list[Planned],
) -> int:
    """Counts answers aborted by a graceful stop, if it is the only fault."""
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

    An instance that is paused or cut off receives no revision, so the time
    counts from the end of the last fault at the earliest.
    """
    longest_s = 0.0
    base_s = fleet.load_started_s
    for change in fleet.accepted_changes:
        healed_s = max(
            (base_s + x.at_s + x.fault.duration_s for x in planned), default=0.0
        )
        from_s = max(change.at_s, healed_s)
        for node in fleet.instances.values():
            history = fleet.revisions[node.port.address]
            in_force = [at for at, rev in history if rev >= change.revision]
            reached_s = in_force[0] if in_force else float("inf")
            longest_s = max(longest_s, reached_s - from_s)
    return round(longest_s, 3)
