"""Plays a mix of prompts on modelled engines of the users' platform.

Each instance places by its own book and hears of what the others placed a
moment later, as over the network. The policy is the product's own code, or a
baseline; ``oracle`` is the product's rule with one book for all instances, so
that what it gains is what quicker news could gain.

Left out: everything that fails, and streams that move to another engine.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import statistics

from rhubarblock.core import listed as lists
from rhubarblock.exchange import relay as relays
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.experiments.platform import mix as mixes
from rhubarblock.kernel import registry as registries
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import parting
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import promptpolicy
from rhubarblock.standins.engine import passes as passengine

BookStep = Callable[[jobtracker.JobTracker], None]

ORACLE = "oracle"
# Seconds in which requests arrive.
LENGTH_S = 38.0
# Seconds between instances of one data centre.
NEAR_S = 0.0002
# Seconds after which a caller that was refused comes back, once.
RETRY_S = 0.5
# Length of a window in seconds; the two worst ones are told.
WINDOW_S = 2.0
# Objectives after which a caller gives up before the first event.
PATIENCE = 4.0
# Size of a datagram that tells of a placement, with its headers, and what each
# part adds, in bytes.
NEWS_BYTES = 95
PART_BYTES = 15
# What a request is worth by its size: a fixed part, a part that grows with its
# tokens against the mean of its kind, and the most; a written token counts as
# ten of a prompt.
FIXED_WORTH = 0.3
SIZED_WORTH = 0.7
MOST_WORTH = 4.0
WRITTEN_WEIGHT = 10


@dataclasses.dataclass(slots=True)
class Outcome:
    """How one request ended.

    Attributes:
      arrival: the request.
      refused: whether it found no room twice.
      first_s: seconds to its first event; None before it.
      longest_pause_s: longest pause between events.
    """

    arrival: mixes.Arrival
    refused: bool = False
    first_s: float | None = None
    longest_pause_s: float = 0.0

    @property
    def is_in_time(self) -> bool:
        """Whether the first event and all pauses were in time."""
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
    """What one kind of request got.

    Attributes:
      requests: how many there were.
      in_time: share with the first event and all pauses in time.
      late: share that was served, but late.
      refused: share that found no room.
      first_p95_s: time to the first event that 95 of 100 served ones had.
      worth: share of the worth of all that was earned.
    """

    requests: int
    in_time: float
    late: float
    refused: float
    first_p95_s: float
    worth: float


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformResult:
    """What a run measured.

    Attributes:
      scenario: name of the deployment's scenario.
      policy: name of the policy.
      seed: seed of the run.
      load: factor of the rates of the sheet.
      worth: share of the worth of all requests that was earned.
      worst_windows: the same over the two worst windows of two seconds.
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
    plan: mixes.Plan,
    policy: str = parting.Parter.plugin_name,
    seed: int = 1,
    load: float = 1.0,
    length_s: float = LENGTH_S,
) -> PlatformResult:
    """Plays one run on the fake clock.

    Args:
      plan: the deployment.
      policy: a prompt policy, or ``oracle``.
      seed: decides arrivals and lengths.
      load: factor of the rates of the sheet.
      length_s: seconds in which requests arrive.

    Raises:
      registries.RegistryError: there is no such policy.
    """
    arrivals = mixes.draw_arrivals(plan, seed, load, length_s)
    outcomes = virtualloop.run(_play(plan, policy, arrivals))
    by_kind = {
        kind.name: _sum_up([o for o in outcomes if o.arrival.kind is kind])
        for kind in plan.kinds
    }
    return PlatformResult(
        plan.name,
        policy,
        seed,
        load,
        round(_earn(outcomes), 4),
        round(_find_worst(outcomes), 4),
        by_kind,
    )


async def _play(
    plan: mixes.Plan, policy: str, arrivals: list[mixes.Arrival]
) -> list[Outcome]:
    fleet = Fleet(plan, policy)
    async with asyncio.TaskGroup() as working:
        engines = [
            working.create_task(engine.run())
            for engine in fleet.engines.values()
        ]
        async with asyncio.TaskGroup() as serving:
            tasks = [
                serving.create_task(fleet.serve(arrival))
                for arrival in arrivals
            ]
        for engine in engines:
            engine.cancel()
    return [task.result() for task in tasks]


class Fleet:
    """Modelled engines, and instances that place at them.

    Attributes:
      engines: by id.
    """

    def __init__(self, plan: mixes.Plan, policy: str):
        """Creates an idle fleet.

        Args:
          plan: the deployment.
          policy: a prompt policy, or ``oracle``.
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
            listed.endpoint_id: passengine.PassEngine(plan.model)
            for listed in self._listed
        }
        self._centres = [
            str(centre)
            for centre, count in enumerate(plan.instances)
            for _ in range(count)
        ]
        shared = jobtracker.JobTracker()
        self._books = [
            shared if self._is_oracle else jobtracker.JobTracker()
            for _ in self._centres
        ]
        chosen = _find_policy(policy)
        self._names = [f"i{n}" for n in range(len(self._centres))]
        self._subsets = self._make_subsets()
        self._used = [
            self._subsets.select(name, centre, self._listed)
            for name, centre in zip(self._names, self._centres, strict=True)
        ]
        self._policies = [
            chosen(book, centre)
            for book, centre in zip(self._books, self._centres, strict=True)
        ]

    def _make_subsets(self) -> subsets.Subsets:
        """Returns which engines each instance uses."""
        directory = directories.Directory(timer_service.LoopTimers())
        for listed in self._listed:
            directory.update(listed)
        return subsets.Subsets(directory, self._plan.engines_each)

    async def serve(self, arrival: mixes.Arrival) -> Outcome:
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
        self._tell(
            arrival.instance,
            choice.job,
            lambda book: book.remove(choice.job.job_id),
        )
        return outcome

    async def _wait_for_start(self, arrival: mixes.Arrival) -> None:
        """Waits for as long as the policy wants a request to."""
        policy = self._policies[arrival.instance]
        model = self._plan.model
        while True:
            prompt = _describe(arrival)
            now_s = _read_clock()
            used = self._used[arrival.instance]
            start_s = policy.find_start_delay(prompt, used, model, now_s)
            if start_s <= 0.0:
                return
            await asyncio.sleep(min(start_s, relays.START_S))

    def _place(self, arrival: mixes.Arrival) -> prompts.Choice | None:
        now_s = _read_clock()
        prompt = _describe(arrival)
        choice = self._policies[arrival.instance].choose(
            prompt, self._used[arrival.instance], self._plan.model, now_s
        )
        if choice is None:
            return None
        job = choice.job
        self._tell(
            arrival.instance, job, lambda book: book.add(job, _read_clock())
        )
        return choice

    def _tell(self, sender: int, job: jobtracker.Job, step: BookStep) -> None:
        """Takes a step in the sender's book, and later in its peers' books.

        Those hear of it that use an engine of the job, one after the other, as
        the datagrams share the sender's link.
        """
        step(self._books[sender])
        if self._is_oracle:
            return
        loop = asyncio.get_running_loop()
        uses = self._subsets.make_filter(p.endpoint_id for p in job.parts)
        bits = 8 * (NEWS_BYTES + PART_BYTES * len(job.parts))
        sending_s = 0.0
        for index in self._list_peers(sender):
            centre = self._centres[index]
            if not uses(self._names[index], centre):
                continue
            sending_s += bits / self._plan.link_bps
            is_near = centre == self._centres[sender]
            way_s = NEAR_S if is_near else self._plan.cross_s
            loop.call_later(way_s + sending_s, step, self._books[index])

    def _list_peers(self, sender: int) -> list[int]:
        """Returns the other instances in the order in which they are told."""
        own = self._centres[sender]
        others = [n for n in range(len(self._books)) if n != sender]
        return sorted(others, key=lambda n: self._centres[n] != own)

    async def _run(self, outcome: Outcome, choice: prompts.Choice) -> None:
        """Reads a prompt in its parts, then writes its answer."""
        arrival = outcome.arrival
        first = self.engines[choice.job.endpoint_id]
        count = len(choice.job.parts)
        ended = asyncio.Event()
        times: list[float] = []

        def note(is_last: bool) -> None:
            times.append(_read_clock())
            if is_last:
                ended.set()

        held = choice.job.parts[0].tokens
        writer = passengine.Writer(held, arrival.events, note)
        left = [count]

        def finish() -> None:
            left[0] -= 1
            if not left[0]:
                first.start(writer)

        tokens = arrival.prompt_tokens / count
        for part in choice.job.parts[1:]:
            self.engines[part.endpoint_id].help(
                passengine.Part(tokens, part.prefill_s, finish)
            )
        own = passengine.Part(tokens, choice.job.parts[0].prefill_s, finish)
        first.submit(writer, own)
        await ended.wait()
        outcome.first_s = times[0] - arrival.at_s
        pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
        outcome.longest_pause_s = max(pauses, default=0.0)


def _find_policy(name: str) -> type[promptpolicy.PromptPolicy]:
    if name == ORACLE:
        return parting.Parter
    registry = registries.Registry()
    registry.load(registries.default_modules())
    return registry.get(promptpolicy.PLUGIN_GROUP, name)


def _describe(arrival: mixes.Arrival) -> prompts.Prompt:
    """Returns a request as a policy sees it now."""
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


def _weigh(arrival: mixes.Arrival) -> float:
    """Returns what a request is worth for its size, 1 for a usual one."""
    kind = arrival.kind
    event_tokens = kind.event_tokens * WRITTEN_WEIGHT
    size = arrival.prompt_tokens + event_tokens * arrival.events
    usual = kind.prompt.mean + event_tokens * kind.events.mean
    return min(MOST_WORTH, FIXED_WORTH + SIZED_WORTH * size / usual)


def _earn(outcomes: list[Outcome]) -> float:
    """Returns the share of the worth of requests that was earned."""
    owed = 0.0
    earned = 0.0
    for outcome in outcomes:
        kind = outcome.arrival.kind
        weight = _weigh(outcome.arrival)
        owed += weight * kind.worth
        if outcome.is_in_time:
            earned += weight * kind.worth
        elif not outcome.is_lost:
            earned += weight * kind.late_worth
    return earned / owed if owed else 1.0


def _find_worst(outcomes: list[Outcome]) -> float:
    """Returns the mean share of the two worst windows."""
    windows: dict[int, list[Outcome]] = {}
    for outcome in outcomes:
        number = int(outcome.arrival.at_s / WINDOW_S)
        windows.setdefault(number, []).append(outcome)
    shares = sorted(_earn(found) for found in windows.values())
    return statistics.fmean(shares[:2]) if shares else 1.0


def _sum_up(outcomes: list[Outcome]) -> KindFigures:
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
        round(_earn(outcomes), 4),
    )
