"""Simulates load past saturation on modelled engines, with admission control.

The load is a multiple of what the engines can serve. Refused callers return
once when they are told to, as the platform's callers do; an answer is on time
if it is within the objective from the caller's first attempt. The policy
``admission`` is the product's; with ``none`` every prompt is placed as long as
an engine has a free slot.
"""

import asyncio
import dataclasses
import math
import random
import statistics

from rhubarblock.experiments.platform import deployments
from rhubarblock.experiments.platform import scenario
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.placement import latencycost
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import splitpolicy

ADMISSION = "admission"
NONE = "none"
POLICIES = (ADMISSION, NONE)
# Seconds between two tries of a waiting prompt, and between two summaries of an
# instance's demand.
POLL_S = 0.02
SUMMARY_S = 0.5
# Seconds that a caller allows in all, and the part of it that it waits at most
# before it returns.
DEADLINE_S = 10.0
LONG_DEADLINE_S = 15.0
LONG_TOKENS = 110_000
RETURN_PART = 1.0 / 3.0
# Retry-After without admission control, in seconds.
PLAIN_RETURN_S = 0.5
# Decisions without admission control, by whether there is a placement.
_DECIDE_PLAINLY = (
    controllers.Decision(
        controllers.Verdict.REFUSE, retry_after_s=PLAIN_RETURN_S
    ),
    controllers.Decision(controllers.Verdict.ADMIT),
)
# Number of workspaces with equal shares of the load.
WORKSPACES = 24
FLOODER = "w0"


@dataclasses.dataclass(slots=True, frozen=True)
class Surge:
    """A multiple of the usual load for a time.

    Attributes:
      load: factor on the rates of all kinds.
      from_s: its begin, in seconds from the start of the run.
      to_s: its end.
      flood: factor on the load of one workspace, besides.
    """

    load: float
    from_s: float = 0.0
    to_s: float = math.inf
    flood: float = 1.0


@dataclasses.dataclass(slots=True)
class Served:
    """How one request ended.

    Attributes:
      kind: its kind.
      workspace: its owner.
      at_s: first arrival in seconds from the start of the run.
      weight: its weight by its size.
      attempts: number of times that its caller came.
      first_s: seconds from the first arrival to the first event; None if it
        was refused.
      longest_pause_s: longest pause between events in seconds.
    """

    kind: deployments.Kind
    workspace: str
    at_s: float
    weight: float
    attempts: int = 1
    first_s: float | None = None
    longest_pause_s: float = 0.0

    @property
    def is_on_time(self) -> bool:
        """Whether the first event and all pauses met the objectives."""
        return (
            self.first_s is not None
            and self.first_s <= self.kind.objective_s
            and self.longest_pause_s <= self.kind.pause_s
        )

    @property
    def offered(self) -> float:
        """Value of an answer on time."""
        return self.weight * self.kind.worth

    @property
    def earned(self) -> float:
        """Value that was earned."""
        if self.is_on_time:
            return self.offered
        return self.weight * self.kind.late_worth if self.first_s else 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class OverloadResult:
    """Figures of one run.

    Attributes:
      policy: name of the policy.
      load: factor on the usual rates.
      goodput: value earned in the surge, in the value offered at load 1 in the
        same time.
      on_time: part of the requests of the surge answered on time, by kind.
      refused: part of the requests of the surge that were refused, by kind.
      by_workspace: part of its value that each workspace earned.
    """

    policy: str
    load: float
    goodput: float
    on_time: dict[str, float]
    refused: dict[str, float]
    by_workspace: dict[str, float]


def measure(
    plan: deployments.Plan,
    policy: str,
    surge: Surge,
    seed: int = 1,
    length_s: float = 12.0,
) -> OverloadResult:
    """Simulates one run on the virtual clock.

    Args:
      plan: the deployment; its kinds are ranked in their order.
      policy: one of ``POLICIES``.
      surge: the load.
      seed: seed of arrivals and lengths.
      length_s: seconds over which requests arrive.
    """
    served = virtualloop.run(_simulate(plan, policy, surge, seed, length_s))
    in_surge = [s for s in served if surge.from_s <= s.at_s < surge.to_s]
    offered = sum(s.offered for s in in_surge) / surge.load
    return OverloadResult(
        policy,
        surge.load,
        round(sum(s.earned for s in in_surge) / offered, 4) if offered else 0.0,
        {
            kind.name: _find_share(in_surge, kind, lambda s: s.is_on_time)
            for kind in plan.kinds
        },
        {
            kind.name: _find_share(in_surge, kind, lambda s: s.first_s is None)
            for kind in plan.kinds
        },
        {name: _sum_earned(in_surge, name) for name in _list_workspaces()},
    )


def _find_share(served, kind, predicate):  # type: ignore[no-untyped-def]
    chosen = [bool(predicate(s)) for s in served if s.kind is kind]
    return round(statistics.fmean(chosen), 4) if chosen else 0.0


def _sum_earned(served: list[Served], workspace: str) -> float:
    own = [s for s in served if s.workspace == workspace]
    offered = sum(s.offered for s in own)
    return round(sum(s.earned for s in own) / offered, 4) if offered else 1.0


def _list_workspaces() -> list[str]:
    return [f"w{number}" for number in range(WORKSPACES)]


async def _simulate(
    plan: deployments.Plan,
    policy: str,
    surge: Surge,
    seed: int,
    length_s: float,
) -> list[Served]:
    fleet = _AdmittingFleet(plan, policy, seed)
    rng = random.Random(seed)
    arrivals = _draw(plan, surge, seed, length_s)
    async with asyncio.TaskGroup() as background:
        tasks = [
            background.create_task(engine.run())
            for engine in fleet.engines.values()
        ]
        tasks.append(background.create_task(fleet.share_demand()))
        async with asyncio.TaskGroup() as requests:
            serving = [
                requests.create_task(
                    fleet.serve_caller(arrival, _draw_workspace(rng, surge))
                )
                for arrival in arrivals
            ]
        for task in tasks:
            task.cancel()
    return [task.result() for task in serving]


def _draw_workspace(rng: random.Random, surge: Surge) -> str:
    weights = [surge.flood] + [1.0] * (WORKSPACES - 1)
    return rng.choices(_list_workspaces(), weights)[0]


def _draw(
    plan: deployments.Plan, surge: Surge, seed: int, length_s: float
) -> list[deployments.Arrival]:
    """Draws arrivals at the surge's load, thinned outside of it."""
    rng = random.Random(f"{seed} thinning")
    flood = (surge.flood + WORKSPACES - 1) / WORKSPACES
    drawn = deployments.draw_arrivals(plan, seed, surge.load * flood, length_s)
    return [
        arrival
        for arrival in drawn
        if surge.from_s <= arrival.at_s < surge.to_s
        or rng.random() < 1.0 / (surge.load * flood)
    ]


class _AdmittingFleet(scenario.Fleet):
    """Modelled engines and instances with admission control."""

    def __init__(self, plan: deployments.Plan, policy: str, seed: int):
        speeds = [1.0] * sum(plan.engines)
        super().__init__(
            plan, splitpolicy.SplitPromptPolicy.plugin_name, speeds
        )
        self._admits = policy == ADMISSION
        self._ranks = {kind.name: n for n, kind in enumerate(plan.kinds)}
        self._controllers = [
            controllers.AdmissionController(random.Random(f"{seed} {n}"))
            for n in range(len(self._names))
        ]
        self._rng = random.Random(f"{seed} nodes")

    async def share_demand(self) -> None:
        """Sends each instance's summary to all others, again and again."""
        while True:
            await asyncio.sleep(SUMMARY_S)
            now_s = scenario._read_clock()
            for number, controller in enumerate(self._controllers):
                for service in controller.list_pressed(now_s):
                    demand = controller.find_demand(service)
                    summary = demand.summarise(now_s)
                    for other in self._controllers:
                        if other is not controller:
                            other.find_demand(service).receive(
                                str(number), summary, now_s
                            )

    async def serve_caller(
        self, arrival: deployments.Arrival, workspace: str
    ) -> Served:
        """Serves a caller, which returns once if it is refused."""
        await asyncio.sleep(arrival.at_s)
        served = Served(
            arrival.kind,
            workspace,
            arrival.at_s,
            scenario._compute_weight(arrival),
        )
        is_long = arrival.prompt_tokens > LONG_TOKENS
        deadline_s = LONG_DEADLINE_S if is_long else DEADLINE_S
        until_s = scenario._read_clock() + deadline_s
        for attempt in range(2):
            served.attempts = 1 + attempt
            now_s = scenario._read_clock()
            came = dataclasses.replace(arrival, at_s=now_s)
            result = await self._try_serve(came, workspace, attempt, until_s)
            if isinstance(result, scenario.Outcome):
                assert result.first_s is not None
                served.first_s = now_s - arrival.at_s + result.first_s
                served.longest_pause_s = result.longest_pause_s
                break
            left_s = until_s - scenario._read_clock()
            await asyncio.sleep(min(result, RETURN_PART * left_s))
            arrival = dataclasses.replace(
                arrival, instance=self._rng.randrange(len(self._names))
            )
        return served

    async def _try_serve(
        self,
        arrival: deployments.Arrival,
        workspace: str,
        attempt: int,
        until_s: float,
    ) -> scenario.Outcome | float:
        """Returns the outcome, or the Retry-After of a refusal."""
        while True:
            choice = self._choose(arrival)
            decision = _DECIDE_PLAINLY[choice is not None]
            if self._admits:
                decision = self._decide(
                    arrival, workspace, attempt, until_s, choice
                )
            if decision.verdict is controllers.Verdict.ADMIT:
                assert choice is not None
                return await self._run_choice(arrival, choice)
            if decision.verdict is controllers.Verdict.REFUSE:
                return decision.retry_after_s
            await asyncio.sleep(POLL_S)

    async def _run_choice(
        self, arrival: deployments.Arrival, choice: prompts.Choice
    ) -> scenario.Outcome:
        """Runs a prompt where it was placed."""
        outcome = scenario.Outcome(arrival)
        job = choice.job
        self._broadcast(
            arrival.instance,
            job,
            lambda tracker: tracker.add(job, scenario._read_clock()),
        )
        await self._run(outcome, choice)
        self._broadcast(
            arrival.instance,
            job,
            lambda tracker: tracker.remove(job.job_id),
        )
        return outcome

    def _choose(self, arrival: deployments.Arrival) -> prompts.Choice | None:
        prompt = scenario._describe(arrival)
        prompt = dataclasses.replace(
            prompt, job_id=f"{prompt.job_id}-{arrival.at_s:.3f}"
        )
        return self._policies[arrival.instance].choose(
            prompt,
            self._usable[arrival.instance],
            self._plan.model,
            scenario._read_clock(),
        )

    def _decide(
        self,
        arrival: deployments.Arrival,
        workspace: str,
        attempt: int,
        until_s: float,
        choice: prompts.Choice | None,
    ) -> controllers.Decision:
        now_s = scenario._read_clock()
        answer_tokens = arrival.events * arrival.kind.event_tokens
        cost_s = self._plan.model.predict_work(
            arrival.prompt_tokens, answer_tokens
        )
        outlook = None
        if choice is not None:
            outlook = controllers.Outlook(
                choice.cost,
                choice.others_cost,
                choice.expected_s,
                self._measure_utilisation(arrival.instance),
            )
        return self._controllers[arrival.instance].decide(
            controllers.Candidate(
                "pool",
                self._ranks[arrival.kind.name],
                workspace,
                latencycost.compute_value(arrival.prompt_tokens),
                cost_s,
                arrival.kind.objective_s,
                now_s - arrival.at_s,
                until_s - now_s,
                attempt > 0,
                latencycost.find_patience(
                    arrival.kind.objective_s, arrival.kind.pause_s
                ),
            ),
            outlook,
            0,
            now_s,
        )

    def _measure_utilisation(self, instance: int) -> float:
        """Returns the utilisation of the engines that an instance sees."""
        ids = [engine.endpoint_id for engine in self._usable[instance]]
        return self._trackers[instance].measure_utilisation(
            ids, self._plan.model.slots, scenario._read_clock()
        )
