"""Plans on which engines a prompt is prefilled, in how many parts, and decoded.

Splitting the prefill costs no extra work, so a long prompt starts soonest when
many engines share it. But each part lengthens a pass of its engine, and the
answers that are decoded there pause for as long. So short prompts are packed
onto few engines while the passes of these stay short, and long prompts are
prefilled by the other engines.
"""

import dataclasses
import math
import zlib

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import engineview
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import latencycost
from rhubarblock.routing.placement import prompt as prompts
from rhubarblock.routing.placement import speeds

# Most engines that prefill one prompt: the engine that is asked and 16 helpers.
MAX_PARTS = 17
# Numbers of parts that are compared.
PART_COUNTS = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Shortest prefill of a part in seconds: about the shortest pass, which each
# further engine may have to end before it starts its part.
MIN_PART_S = 0.06
# Differences in waiting time below this, in seconds, do not matter to a short
# prompt: about one pass.
WAIT_STEP_S = 0.05
# Seconds of delay that a resumed stream accepts to stay in its data centre.
REMOTE_PENALTY_S = 0.03
# Costs within the same step, in short prompts, rank as equal, as predictions
# are no more precise than that.
COST_STEP = 0.25
# Times until a part is prefilled within the same step, in seconds, are equal
# among engines of different speed, so that concurrent choices differ: about two
# passes.
END_STEP_S = 0.1
# Factor by which the prefill of an engine of unknown speed is taken to last
# longer, in a pool of different speeds, when the slowest engine decides.
UNKNOWN_FACTOR = 1.5
# Free slots of an engine, to decode or to help, that are reserved for what
# other instances place there at the same moment.
RESERVED_SLOTS = 1
# Engines with at most this many free slots rank as equal for a short prompt:
# the reserved one and two to spread over, so that concurrent choices differ.
FEW_SLOTS = 3
# Part of an engine's memory that placed jobs may fill; the rest is for what
# other instances place at the same moment.
MEMORY_PART = 0.95
# Part of an engine's memory that one prompt may take if several engines hold
# it: less than half, so that two such prompts fit side by side.
LEASE_PART = 0.45


@dataclasses.dataclass(slots=True)
class Plan:
    """A possible placement of a prompt.

    Attributes:
      cost: what it costs the caller and all other jobs, in short prompts.
      others_cost: what of it the other jobs lose.
      parts: the engines; the first one also decodes the answer.
      tokens: memory that each of them holds.
      prefill_s: prefill seconds at each of them.
      expected_s: seconds until the first event.
      pause_s: seconds between the first event and the next one.
    """

    cost: float
    others_cost: float
    parts: list[engineview.EngineView]
    tokens: list[int]
    prefill_s: float
    expected_s: float
    pause_s: float


def choose_plan(
    tracker: jobtracker.JobTracker,
    data_centre: str,
    prompt: prompts.Prompt,
    engines: list[lists.ListedEndpoint],
    model: routes.EngineCostModel,
    now_s: float,
) -> Plan | None:
    """Returns the cheapest plan, or None if no engine has room.

    Args:
      tracker: the jobs that are placed on each engine.
      data_centre: where this instance runs; streams within it survive a
        partition between data centres.
      prompt: the prompt to place.
      engines: engines that may be used.
      model: cost model of the engines.
      now_s: time of the placement, in monotonic seconds.
    """
    planner = _Planner(tracker, data_centre, prompt, engines, model, now_s)
    counts = _list_counts(prompt, model, len(engines))
    if counts == [1] and not prompt.is_mid_stream:
        return planner.plan_short()
    views = [planner.view(engine, is_split=True) for engine in engines]
    plans = [_PlanBuilder(prompt, views, model, n).plan() for n in counts]
    possible = [plan for plan in plans if plan is not None]
    # Among plans of equal cost the first one has the fewest parts.
    return min(possible, key=lambda plan: plan.cost, default=None)


class _Planner:
    """The engines at the moment of one placement."""

    __slots__ = (
        "_data_centre",
        "_engines",
        "_forecast",
        "_is_uneven",
        "_loads",
        "_model",
        "_prompt",
    )

    def __init__(
        self,
        tracker: jobtracker.JobTracker,
        data_centre: str,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineCostModel,
        now_s: float,
    ):
        """Settles the engines' loads; for the arguments see ``choose_plan``."""
        self._data_centre = data_centre
        self._prompt = prompt
        self._engines = engines
        self._model = model
        self._forecast = engineview.PrefillForecast(tracker, now_s)
        self._loads = {
            e.endpoint_id: tracker.find(e.endpoint_id) for e in engines
        }
        self._is_uneven = any(
            load.factors.deviates for load in self._loads.values()
        )
        # All are settled first, as a view reads jobs that span several engines.
        for load in self._loads.values():
            load.settle(now_s)

    def view(
        self, engine: lists.ListedEndpoint, is_split: bool = False
    ) -> engineview.EngineView:
        """Returns the view of one engine.

        Args:
          engine: the engine.
          is_split: whether several engines may prefill the prompt. The slowest
            one decides then, so an engine of unknown speed is a risk.
        """
        view = engineview.view_engine(
            engine,
            self._loads[engine.endpoint_id],
            self._forecast,
            self._model,
            self._data_centre,
            MEMORY_PART,
        )
        if self._is_uneven:
            factors = view.load.factors
            view.doubt = _compute_doubt(factors)
            if is_split and not factors.is_known:
                view.prefill_factor *= UNKNOWN_FACTOR
        return view

    def plan_short(self) -> Plan | None:
        """Returns the best plan of a prompt that one engine prefills.

        Tries the engines in their order of preference at equal cost and stops
        at the first one whose cost and wait are below one step, as no other
        engine could rank higher. Most of the time that is the very first.
        """
        best: Plan | None = None
        least: tuple[int, int] | None = None
        for engine in sorted(self._engines, key=self._rank_equal_cost):
            view = self.view(engine)
            plan = _PlanBuilder(self._prompt, [view], self._model, 1).plan()
            if plan is None:
                continue
            rank = _rank_cost(view, plan.cost)
            if least is None or rank < least:
                best, least = plan, rank
            if least == (0, 0):
                break
        return best

    def _rank_equal_cost(
        self, engine: lists.ListedEndpoint
    ) -> tuple[object, ...]:
        load = self._loads[engine.endpoint_id]
        return _rank_equal_cost(
            engine,
            engine.data_centre != self._data_centre,
            self._model.slots - len(load.jobs),
            self._prompt.job_id,
            _compute_doubt(load.factors) if self._is_uneven else 0,
        )


class _PlanBuilder:
    """Builds the plan of a prompt for one number of parts."""

    __slots__ = (
        "_costs",
        "_count",
        "_is_uneven",
        "_max_held",
        "_needed",
        "_prefill_s",
        "_prompt",
        "_views",
    )

    def __init__(
        self,
        prompt: prompts.Prompt,
        views: list[engineview.EngineView],
        model: routes.EngineCostModel,
        count: int,
    ):
        self._prompt = prompt
        self._views = views
        self._count = count
        # Without any deviation the ranks are those of equal engines.
        self._is_uneven = any(view.prefill_factor != 1.0 for view in views)
        self._needed = prompt.prompt_tokens + prompt.answer_tokens
        self._max_held = limit_lease(model)
        self._prefill_s = model.predict_prefill(prompt.prompt_tokens, count)
        self._costs = {
            view.endpoint.endpoint_id: view.compute_cost(self._prefill_s)
            for view in views
        }

    def plan(self) -> Plan | None:
        """Returns the best plan; None if its engines can't hold the prompt."""
        first = self._choose_first()
        if first is None:
            return None
        parts = [first, *self._choose_helpers(first)]
        if len(parts) < self._count:
            return None
        tokens = _divide_memory(parts, self._needed, self._max_held)
        if tokens is None:
            return None
        prefill_s = self._prefill_s
        expected_s = max(part.predict_end(prefill_s) for part in parts)
        pause_s = first.predict_pause(prefill_s, expected_s)
        own_cost = self._compute_own_cost(expected_s, pause_s)
        others_cost = sum(part.compute_pause_cost(prefill_s) for part in parts)
        others_cost += engineview.compute_delayed_cost(parts, prefill_s)
        return Plan(
            own_cost + others_cost,
            others_cost,
            parts,
            tokens,
            prefill_s,
            expected_s,
            pause_s,
        )

    def _choose_first(self) -> engineview.EngineView | None:
        """Returns the engine that decodes the answer, None if none has a slot.

        Prefers engines that can hold the whole prompt; otherwise takes the one
        with the most free memory.
        """
        candidates = [view for view in self._views if view.free_slots > 0]
        large_enough = [
            view for view in candidates if view.free_tokens >= self._needed
        ]
        if large_enough:
            return min(large_enough, key=self._rank_first)
        return max(candidates, key=lambda view: view.free_tokens, default=None)

    def _choose_helpers(
        self, first: engineview.EngineView
    ) -> list[engineview.EngineView]:
        """Returns the best available engines for the other parts.

        An engine helps with as many jobs as it has slots and refuses the next
        one, which makes the whole plan fail.
        """
        others = [
            view
            for view in self._views
            if view is not first and view.free_helper_slots > RESERVED_SLOTS
        ]
        others.sort(key=self._rank_helper)
        return others[: self._count - 1]

    def _rank_first(self, view: engineview.EngineView) -> tuple[object, ...]:
        others_cost = self._find_cost(view)
        if self._prompt.is_mid_stream:
            job_id = self._prompt.job_id
            return _rank_mid_stream(view, others_cost, self._prefill_s, job_id)
        end_s = view.predict_end(self._prefill_s)
        pause_s = view.predict_pause(self._prefill_s, end_s)
        cost = others_cost + self._compute_own_cost(end_s, pause_s)
        if self._count == 1:
            return _rank_short(view, cost, self._prompt.job_id)
        if self._is_uneven:
            return _rank_uneven(view, cost, end_s, self._prompt.job_id)
        return _rank_long(view, cost)

    def _rank_helper(self, view: engineview.EngineView) -> tuple[object, ...]:
        """Prefers helpers that cost others least and, if uneven, end soonest.

        All parts are of one size, so the slowest engine decides when the prompt
        begins. Its delay is thus a cost of each slow engine.
        """
        cost = self._find_cost(view)
        if not self._is_uneven:
            return _rank_long(view, cost)
        end_s = view.predict_end(self._prefill_s)
        cost += self._compute_own_cost(end_s, 0.0)
        return _rank_uneven(view, cost, end_s, self._prompt.job_id)

    def _find_cost(self, view: engineview.EngineView) -> float:
        return self._costs[view.endpoint.endpoint_id]

    def _compute_own_cost(self, expected_s: float, pause_s: float) -> float:
        """Returns what the prompt itself loses, in short prompts.

        Args:
          expected_s: seconds until its first event.
          pause_s: seconds between the first event and the next one.
        """
        prompt = self._prompt
        lost = latencycost.compute_pause_loss(pause_s, prompt.pause_s)
        lost += latencycost.compute_delay_loss(
            prompt.waited_s + expected_s, prompt.objective_s, prompt.pause_s
        )
        return lost * latencycost.compute_value(prompt.prompt_tokens)


def _divide_memory(
    parts: list[engineview.EngineView], needed: int, max_held: int
) -> list[int] | None:
    """Returns the tokens that each engine of a plan holds.

    The first engine holds all of them if it can. Otherwise each one holds a
    share, those with the most free memory first, because every further holder
    costs one more request.
    """
    if parts[0].free_tokens >= needed:
        return [needed, *[0] * (len(parts) - 1)]
    tokens = [0] * len(parts)
    tokens[0] = min(parts[0].free_tokens, max_held)
    remaining = needed - tokens[0]
    by_free_tokens = sorted(
        range(1, len(parts)), key=lambda i: -parts[i].free_tokens
    )
    for index in by_free_tokens:
        taken = max(0, min(remaining, parts[index].free_tokens, max_held))
        tokens[index] = taken
        remaining -= taken
    return tokens if remaining <= 0 and tokens[0] > 0 else None


def limit_lease(model: routes.EngineCostModel) -> int:
    """Returns the most tokens that one of several engines may hold."""
    return int(LEASE_PART * model.kv_capacity_tokens)


def _list_counts(
    prompt: prompts.Prompt, model: routes.EngineCostModel, engines: int
) -> list[int]:
    """Returns the numbers of parts that are worth planning.

    A prompt with a short prefill is split little, unless it does not fit into
    one engine. Each refusal halves the number of parts: any engine of a plan
    may refuse it, so with half as many engines a refusal is half as likely.
    """
    whole_s = model.predict_prefill(prompt.prompt_tokens)
    most = min(MAX_PARTS, int(whole_s / MIN_PART_S))
    most = max(1, most >> prompt.refusals)
    needed = prompt.prompt_tokens + prompt.answer_tokens
    if needed > MEMORY_PART * model.kv_capacity_tokens:
        most = max(most, 2 * math.ceil(needed / limit_lease(model)))
    most = min(MAX_PARTS, engines, most)
    return [n for n in PART_COUNTS if n <= most]


def _rank_short(
    view: engineview.EngineView, cost: float, job_id: str
) -> tuple[object, ...]:
    """Prefers engines with a low cost and a short wait for a short prompt."""
    return (
        *_rank_cost(view, cost),
        *_rank_equal_cost(
            view.endpoint,
            view.is_remote,
            view.free_slots,
            job_id,
            view.doubt,
        ),
    )


def _rank_cost(view: engineview.EngineView, cost: float) -> tuple[int, int]:
    return int(cost / COST_STEP), int(view.wait_s / WAIT_STEP_S)


def _rank_equal_cost(
    endpoint: lists.ListedEndpoint,
    is_remote: bool,
    free_slots: int,
    job_id: str,
    doubt: int,
) -> tuple[object, ...]:
    """Prefers local engines that already decode, but for the last free slots.

    A further answer lengthens the steps of an engine by only a few percent, and
    every engine that decodes nothing prefills long prompts without pausing
    anyone. But a request that arrives at an engine whose last slot was taken in
    the meantime has to wait for one, and announcements of placements take some
    milliseconds to reach all instances. So the last slot is used only if there
    is no other engine, and engines with few free slots rank as equal.

    Where engines differ in speed, those that are known to be fast go first.
    """
    return (
        is_remote,
        doubt,
        free_slots <= RESERVED_SLOTS,
        max(free_slots, FEW_SLOTS),
        _hash_rank(endpoint.endpoint_id, job_id),
    )


def _compute_doubt(factors: speeds.Factors) -> int:
    """Returns a rank among engines of different speeds, 0 for the best ones."""
    if not factors.is_known:
        return 1
    return 2 if max(factors.prefill, factors.passes) > 1.0 else 0


def _hash_rank(endpoint_id: str, job_id: str) -> int:
    """Returns a rank among equal engines that differs from prompt to prompt."""
    return zlib.crc32(f"{job_id} {endpoint_id}".encode())


def _rank_mid_stream(
    view: engineview.EngineView, cost: float, prefill_s: float, job_id: str
) -> tuple[object, ...]:
    """Prefers engines that continue soonest, and spreads equal ones by hash.

    Many streams leave an engine at the same moment and from several instances,
    which do not know each other's choices yet.
    """
    end_s = view.predict_end(prefill_s)
    pause_s = view.predict_pause(prefill_s, end_s)
    gap_s = max(end_s, pause_s) + REMOTE_PENALTY_S * view.is_remote
    return (
        int(cost / COST_STEP),
        int(gap_s / WAIT_STEP_S),
        _hash_rank(view.endpoint.endpoint_id, job_id),
    )


def _rank_long(view: engineview.EngineView, cost: float) -> tuple[object, ...]:
    """Prefers engines that decode nothing and have no backlog."""
    return (
        int(cost / COST_STEP),
        len(view.load.jobs) > 0,
        view.wait_s,
        view.endpoint.endpoint_id,
    )


def _rank_uneven(
    view: engineview.EngineView, cost: float, end_s: float, job_id: str
) -> tuple[object, ...]:
    """Prefers idle engines that end soon, and spreads equal ones by hash.

    All instances would otherwise take the same fastest engines for prompts that
    arrive at the same moment.
    """
    return (
        int(cost / COST_STEP),
        len(view.load.jobs) > 0,
        int(end_s / END_STEP_S),
        _hash_rank(view.endpoint.endpoint_id, job_id),
    )
