"""Simulates placement of prompts on modelled engines.

Each instance places by its own job tracker, and receives the placements of
its peers after the network latency. The policy is the product's own code or a
baseline. ``oracle`` is the product's policy with one job tracker for all
instances, so its gain is the most that faster peer updates could bring.
Engines may differ in speed. ``known_speeds`` is the product's policy that is
given the speed of each engine, and ``model_speeds`` the one that takes all
engines for as fast as the cost model and learns nothing. ``first_events`` and
``pauses`` learn from these alone, and with ``shared_speeds`` all instances
learn together.

Failures and streams that move to another engine are not modelled.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import statistics

from rhubarblock.core import listed as lists
from rhubarblock.exchange import relay as relays
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.experiments.platform import deployments as platformdeployments
from rhubarblock.kernel import registry as registries
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy
from rhubarblock.routing.placement import speeds as speedlib
from rhubarblock.routing.placement import speedsamples
from rhubarblock.routing.placement import splitpolicy
from rhubarblock.standins.engine import passes as passengine

TrackerUpdate = Callable[[jobtracker.JobTracker], None]

ORACLE = "oracle"
KNOWN_SPEEDS = "known_speeds"
MODEL_SPEEDS = "model_speeds"
# Learn from the first events, or from the pauses, of answers alone.
FIRST_EVENTS = "first_events"
PAUSES = "pauses"
# One estimate for all instances.
SHARED_SPEEDS = "shared_speeds"
_VARIANTS = (
    ORACLE,
    KNOWN_SPEEDS,
    MODEL_SPEEDS,
    FIRST_EVENTS,
    PAUSES,
    SHARED_SPEEDS,
)
# Lowest and highest speed of engines that all work as the cost model says.
EQUAL_SPEEDS = (1.0, 1.0)
# Seconds over which requests arrive.
LENGTH_S = 38.0
# One-way latency between instances of a data centre in seconds.
NEAR_S = 0.0002
# Seconds after which a caller retries a refused request, once.
RETRY_S = 0.5
# Length of a window in seconds; the result has the two worst windows.
WINDOW_S = 2.0
# A caller gives up when its first event takes this many times the objective.
PATIENCE = 4.0
# Size in bytes of a datagram that announces a placement, headers included, and
# of each part of the job in it.
UPDATE_BYTES = 95
PART_BYTES = 15
# The weight of a request is a fixed share plus a share that is proportional to
# its size relative to the mean of its kind, up to a maximum. An output token
# counts as much as ten prompt tokens.
FIXED_WEIGHT = 0.3
SIZE_WEIGHT = 0.7
MAX_WEIGHT = 4.0
OUTPUT_TOKEN_WEIGHT = 10


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of one request.

    Attributes:
      arrival: the request.
      refused: whether no engine had room at the first try and at the retry.
      first_s: seconds to its first event; None before it.
      longest_pause_s: longest pause between events in seconds.
    """

    arrival: platformdeployments.Arrival
    refused: bool = False
    first_s: float | None = None
    longest_pause_s: float = 0.0

    @property
    def is_in_time(self) -> bool:
        """Whether the first event and all pauses met the objectives."""
        kind = self.arrival.kind
        return (
            self.first_s is not None
            and self.first_s <= kind.objective_s
            and self.longest_pause_s <= kind.pause_s
        )

    @property
    def is_lost(self) -> bool:
        """Whether it was refused or its caller gave up."""
        kind = self.arrival.kind
        return self.first_s is None or (
            self.first_s > PATIENCE * kind.objective_s
        )


@dataclasses.dataclass(slots=True, frozen=True)
class KindFigures:
    """Figures for one kind of request.

    Attributes:
      requests: number of requests.
      in_time: share that met both objectives.
      late: share that was served, but later.
      refused: share that was refused.
      first_p95_s: 95th percentile of the time to the first event, of served
        requests.
      worth: share of the total worth that was earned.
    """

    requests: int
    in_time: float
    late: float
    refused: float
    first_p95_s: float
    worth: float


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformResult:
    """Results of one run.

    Attributes:
      scenario: name of the deployment's scenario.
      policy: name of the policy.
      seed: seed of the run.
      load: factor on the specified rates.
      worth: share of the total worth of all requests that was earned.
      worst_windows: mean of that share in the two worst windows of two
        seconds.
      kinds: figures by kind of request.
    """

    scenario: str
    policy: str
    seed: int
    load: float
    worth: float
    worst_windows: float
    kinds: dict[str, KindFigures]


def measure(
    plan: platformdeployments.Plan,
    policy: str = splitpolicy.SplitPromptPolicy.plugin_name,
    seed: int = 1,
    load: float = 1.0,
    length_s: float = LENGTH_S,
    speeds: tuple[float, float] = EQUAL_SPEEDS,
    warmup_s: float = 0.0,
) -> PlatformResult:
    """Simulates one run on the fake clock.

    Args:
      plan: the deployment.
      policy: a prompt policy, ``oracle``, ``known_speeds`` or
        ``model_speeds``.
      seed: seed of arrivals, lengths and speeds.
      load: factor on the specified rates.
      length_s: seconds over which requests arrive.
      speeds: lowest and highest speed of an engine relative to the cost model.
      warmup_s: seconds at the begin whose requests are not counted.

    Raises:
      registries.RegistryError: there is no such policy.
    """
    arrivals = platformdeployments.draw_arrivals(
        plan, seed, load, warmup_s + length_s
    )
    drawn = platformdeployments.draw_speeds(plan, seed, speeds)
    simulated = virtualloop.run(_simulate(plan, policy, arrivals, drawn))
    outcomes = [o for o in simulated if o.arrival.at_s >= warmup_s]
    by_kind = {
        kind.name: _summarise([o for o in outcomes if o.arrival.kind is kind])
        for kind in plan.kinds
    }
    return PlatformResult(
        plan.name,
        policy,
        seed,
        load,
        round(_compute_worth(outcomes), 4),
        round(_compute_worst_windows(outcomes), 4),
        by_kind,
    )


async def _simulate(
    plan: platformdeployments.Plan,
    policy: str,
    arrivals: list[platformdeployments.Arrival],
    speeds: list[float],
) -> list[Outcome]:
    fleet = Fleet(plan, policy, speeds)
    async with asyncio.TaskGroup() as engine_group:
        engines = [
            engine_group.create_task(engine.run())
            for engine in fleet.engines.values()
        ]
        async with asyncio.TaskGroup() as request_group:
            tasks = [
                request_group.create_task(fleet.serve(arrival))
                for arrival in arrivals
            ]
        for engine in engines:
            engine.cancel()
    return [task.result() for task in tasks]


class Fleet:
    """Modelled engines and the instances that place prompts on them.

    Attributes:
      engines: the engines by endpoint id.
    """

    def __init__(
        self,
        plan: platformdeployments.Plan,
        policy: str,
        speeds: list[float],
    ):
        """Creates an idle fleet.

        Args:
          plan: the deployment.
          policy: a prompt policy, or a variant of the product's policy.
          speeds: speed of each engine relative to the cost model.
        """
        self._plan = plan
        self._is_oracle = policy == ORACLE
        self._listed = [
            lists.ListedEndpoint(
                f"e{centre}-{number}",
                f"e{centre}-{number}",
                str(centre),
                "pool",
                plan.model.slots,
                False,
            )
            for centre, count in enumerate(plan.engines)
            for number in range(count)
        ]
        self.engines = {
            listed.endpoint_id: passengine.PassEngine(plan.model, speed)
            for listed, speed in zip(self._listed, speeds, strict=True)
        }
        self._centres = [
            str(centre)
            for centre, count in enumerate(plan.instances)
            for _ in range(count)
        ]
        shared = jobtracker.JobTracker()
        self._trackers = [
            shared if self._is_oracle else jobtracker.JobTracker()
            for _ in self._centres
        ]
        self._samples = _find_samples(policy)
        self._learns_durations = self._samples is speedsamples.AnswerSamples
        if policy == SHARED_SPEEDS:
            common = speedlib.EngineSpeeds()
            self._trackers = [
                jobtracker.JobTracker(common) for _ in self._centres
            ]
        if policy == KNOWN_SPEEDS:
            self._tell_speeds(speeds)
        chosen = _find_policy(policy)
        self._names = [f"i{n}" for n in range(len(self._centres))]
        self._subsets = self._make_subsets()
        self._usable = [
            self._subsets.select(name, centre, self._listed)
            for name, centre in zip(self._names, self._centres, strict=True)
        ]
        self._policies = [
            chosen(tracker, centre)
            for tracker, centre in zip(
                self._trackers, self._centres, strict=True
            )
        ]

    def _tell_speeds(self, speeds: list[float]) -> None:
        """Tells all instances the speeds of the engines."""
        for listed, speed in zip(self._listed, speeds, strict=True):
            for tracker in self._trackers:
                factors = tracker.speeds.find(listed.endpoint_id)
                factors.prefill = factors.passes = 1.0 / speed
                factors.is_known = True

    def _make_subsets(self) -> subsets.Subsets:
        """Returns the subsets of engines that the instances use."""
        directory = directories.Directory(timer_service.LoopTimers())
        for listed in self._listed:
            directory.update(listed)
        return subsets.Subsets(directory, self._plan.engines_each)

    async def serve(self, arrival: platformdeployments.Arrival) -> Outcome:
        """Serves one request from its arrival to its last event."""
        await asyncio.sleep(arrival.at_s)
        outcome = Outcome(arrival)
        await self._wait_for_start(arrival)
        choice = self._place(arrival)
        if choice is None:
            await asyncio.sleep(RETRY_S)
            choice = self._place(arrival)
        if choice is None:
            outcome.refused = True
            return outcome
        await self._run(outcome, choice)
        self._broadcast(
            arrival.instance,
            choice.job,
            lambda tracker: self._end(tracker, arrival.instance, choice.job),
        )
        return outcome

    async def _wait_for_start(
        self, arrival: platformdeployments.Arrival
    ) -> None:
        """Waits until the policy allows the request to start."""
        policy = self._policies[arrival.instance]
        model = self._plan.model
        while True:
            prompt = _describe(arrival)
            now_s = _read_clock()
            usable = self._usable[arrival.instance]
            start_s = policy.find_start_delay(prompt, usable, model, now_s)
            if start_s <= 0.0:
                return
            await asyncio.sleep(min(start_s, relays.START_RECHECK_S))

    def _place(
        self, arrival: platformdeployments.Arrival
    ) -> prompts.Choice | None:
        now_s = _read_clock()
        self._trackers[arrival.instance].speeds.refresh(now_s)
        prompt = _describe(arrival)
        choice = self._policies[arrival.instance].choose(
            prompt, self._usable[arrival.instance], self._plan.model, now_s
        )
        if choice is None:
            return None
        job = choice.job
        self._broadcast(
            arrival.instance,
            job,
            lambda tracker: tracker.add(job, _read_clock()),
        )
        return choice

    def _broadcast(
        self, sender: int, job: jobtracker.Job, update: TrackerUpdate
    ) -> None:
        """Updates the sender's job tracker, and later those of its peers.

        Only peers that use an engine of the job get the update. Their
        datagrams are sent one after the other over the sender's link.
        """
        update(self._trackers[sender])
        if self._is_oracle:
            return
        loop = asyncio.get_running_loop()
        uses = self._subsets.make_filter(p.endpoint_id for p in job.parts)
        bits = 8 * (UPDATE_BYTES + PART_BYTES * len(job.parts))
        sending_s = 0.0
        for index in self._list_peers(sender):
            centre = self._centres[index]
            if not uses(self._names[index], centre):
                continue
            sending_s += bits / self._plan.link_bps
            is_near = centre == self._centres[sender]
            latency_s = NEAR_S if is_near else self._plan.cross_s
            loop.call_later(
                latency_s + sending_s, update, self._trackers[index]
            )

    def _end(
        self, tracker: jobtracker.JobTracker, sender: int, job: jobtracker.Job
    ) -> None:
        """Removes a job that ended from a job tracker."""
        if self._learns_durations and tracker is not self._trackers[sender]:
            tracker.end(job.job_id, _read_clock())
        else:
            tracker.remove(job.job_id)

    def _list_peers(self, sender: int) -> list[int]:
        """Returns the other instances in the order in which they get updates.

        Those of the sender's data centre come first.
        """
        own = self._centres[sender]
        others = [n for n in range(len(self._trackers)) if n != sender]
        return sorted(others, key=lambda n: self._centres[n] != own)

    async def _run(self, outcome: Outcome, choice: prompts.Choice) -> None:
        """Runs the prefill of all parts, then decodes the answer."""
        arrival = outcome.arrival
        first = self.engines[choice.job.endpoint_id]
        count = len(choice.job.parts)
        ended = asyncio.Event()
        times: list[float] = []
        samples = self._samples(
            self._trackers[arrival.instance],
            choice.job,
            self._plan.model,
            _read_clock(),
        )

        def record_event(is_last: bool) -> None:
            times.append(_read_clock())
            samples.note_event(times[-1])
            if is_last:
                ended.set()

        held = choice.job.parts[0].tokens
        request = passengine.DecodeRequest(held, arrival.events, record_event)
        left = [count]

        def finish() -> None:
            left[0] -= 1
            if not left[0]:
                first.start_decode(request)

        tokens = arrival.prompt_tokens / count
        for part in choice.job.parts[1:]:
            self.engines[part.endpoint_id].prefill_for_peer(
                passengine.PrefillPart(tokens, part.prefill_s, finish)
            )
        own = passengine.PrefillPart(
            tokens, choice.job.parts[0].prefill_s, finish
        )
        first.submit(request, own)
        await ended.wait()
        outcome.first_s = times[0] - arrival.at_s
        pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
        outcome.longest_pause_s = max(pauses, default=0.0)


class _NoSamples(speedsamples.AnswerSamples):
    """Observes nothing."""

    def note_event(self, now_s: float, events: int = 1) -> None:
        del now_s, events


class _FirstSamples(speedsamples.AnswerSamples):
    """Observes first events alone."""

    def note_event(self, now_s: float, events: int = 1) -> None:
        if not self._seen_first:
            super().note_event(now_s, events)


class _PauseSamples(speedsamples.AnswerSamples):
    """Observes pauses alone."""

    def _note_first(self, ratio: float, now_s: float) -> None:
        del ratio, now_s


def _find_samples(policy: str) -> type[speedsamples.AnswerSamples]:
    if policy == FIRST_EVENTS:
        return _FirstSamples
    if policy == PAUSES:
        return _PauseSamples
    if policy in (KNOWN_SPEEDS, MODEL_SPEEDS):
        return _NoSamples
    return speedsamples.AnswerSamples


def _find_policy(name: str) -> type[promptpolicy.PromptPolicy]:
    if name in _VARIANTS:
        return splitpolicy.SplitPromptPolicy
    registry = registries.Registry()
    registry.load(registries.default_modules())
    return registry.get(promptpolicy.PLUGIN_GROUP, name)


def _describe(arrival: platformdeployments.Arrival) -> prompts.Prompt:
    """Returns a request in the form that policies take, at this moment."""
    kind = arrival.kind
    return prompts.Prompt(
        f"i.{arrival.number}",
        arrival.prompt_tokens,
        arrival.events * kind.event_tokens,
        kind.pause_s,
        kind.objective_s,
        waited_s=_read_clock() - arrival.at_s,
    )


def _read_clock() -> float:
    return asyncio.get_running_loop().time()


def _compute_weight(arrival: platformdeployments.Arrival) -> float:
    """Returns the weight of a request by its size, 1 for one of mean size."""
    kind = arrival.kind
    event_tokens = kind.event_tokens * OUTPUT_TOKEN_WEIGHT
    size = arrival.prompt_tokens + event_tokens * arrival.events
    mean = kind.prompt.mean + event_tokens * kind.events.mean
    return min(MAX_WEIGHT, FIXED_WEIGHT + SIZE_WEIGHT * size / mean)


def _compute_worth(outcomes: list[Outcome]) -> float:
    """Returns the share of the total worth of requests that was earned."""
    total = 0.0
    earned = 0.0
    for outcome in outcomes:
        kind = outcome.arrival.kind
        weight = _compute_weight(outcome.arrival)
        total += weight * kind.worth
        if outcome.is_in_time:
            earned += weight * kind.worth
        elif not outcome.is_lost:
            earned += weight * kind.late_worth
    return earned / total if total else 1.0


def _compute_worst_windows(outcomes: list[Outcome]) -> float:
    """Returns the mean of the earned share in the two worst windows."""
    windows: dict[int, list[Outcome]] = {}
    for outcome in outcomes:
        number = int(outcome.arrival.at_s / WINDOW_S)
        windows.setdefault(number, []).append(outcome)
    shares = sorted(_compute_worth(found) for found in windows.values())
    return statistics.fmean(shares[:2]) if shares else 1.0


def _summarise(outcomes: list[Outcome]) -> KindFigures:
    count = len(outcomes)
    firsts = sorted(o.first_s for o in outcomes if o.first_s is not None)
    in_time = sum(o.is_in_time for o in outcomes)
    refused = sum(o.refused for o in outcomes)
    return KindFigures(
        count,
        round(in_time / count, 4) if count else 1.0,
        round((count - in_time - refused) / count, 4) if count else 0.0,
        round(refused / count, 4) if count else 0.0,
        round(firsts[int(0.95 * (len(firsts) - 1))], 3) if firsts else 0.0,
        round(_compute_worth(outcomes), 4),
    )
