"""Plans where a prompt is read, in how many parts, and where it is written.

Reading in parts costs no extra work, so a long prompt starts soonest when many
engines read it. But each part lengthens a pass of its engine, and those who
write there pause for as long. So short prompts are packed onto few engines as
long as their passes stay short, and long ones are read by the others.
"""

import dataclasses
import math
import zlib

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import engineview
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import lateness
from rhubarblock.routing.placement import prompt as prompts

# Most engines that read one prompt: the one that is asked and 16 helpers.
MAX_PARTS = 17
# Numbers of parts that are compared.
COUNTS = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Parts are not made shorter than this many seconds: about the shortest pass,
# which each further engine may have to end before it reads its part.
SMALL_READ_S = 0.06
# Seconds of waiting that are all the same to a short prompt: about a pass.
SHORT_WAIT_S = 0.05
# Seconds of delay that a stream which moves takes to stay within its data
# centre.
FAR_S = 0.03
# Costs within the same step, in short prompts, are alike when engines are
# ranked: predictions are no better than that.
COST_STEP = 0.25
# Free slots of an engine, to write or to help, that are left for what other
# instances place there at the same moment.
LAST_SLOTS = 1
# Free slots up to which engines are alike to a short prompt: the last ones, and
# two to spread over, so that those who choose at once take different engines.
FEW_SLOTS = 3
# Part of an engine's memory that placed work may fill; the rest takes what
# other instances place at the same moment.
MEMORY_PART = 0.95
# Most of an engine's memory that one prompt takes while others hold more of it:
# less than half, so that two such prompts fit side by side.
LEASE_PART = 0.45


@dataclasses.dataclass(slots=True)
class Plan:
    """Where a prompt would go.

    Attributes:
      cost: what that costs its caller and all others, in short prompts.
      parts: the engines, the first of which also writes the answer.
      tokens: memory that each of them holds.
      prefill_s: seconds that each of them reads.
      expected_s: seconds until the first event.
      pause_s: seconds between that and the next one.
    """

    cost: float
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
    """Returns the plan that costs least, or None if no engine has room.

    Args:
      tracker: what each engine has before it.
      data_centre: where the instance runs; streams within it outlast a cut
        between data centres.
      prompt: what is to be placed.
      engines: engines that may be used.
      model: what their steps cost.
      now_s: the moment of the placement, in monotonic seconds.
    """
    look = _Look(tracker, data_centre, prompt, engines, model, now_s)
    counts = _list_counts(prompt, model, len(engines))
    if counts == [1] and not prompt.is_mid_stream:
        return look.plan_short()
    views = [look.view(engine) for engine in engines]
    plans = [_Draft(prompt, views, model, n).plan() for n in counts]
    possible = [plan for plan in plans if plan is not None]
    # Of those that cost the same the first one has the fewest parts.
    return min(possible, key=lambda plan: plan.cost, default=None)


class _Look:
    """The engines at the moment of one placement."""

    __slots__ = (
        "_data_centre",
        "_engines",
        "_loads",
        "_model",
        "_outlook",
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
        """Looks at the engines; see ``choose_plan``."""
        self._data_centre = data_centre
        self._prompt = prompt
        self._engines = engines
        self._model = model
        self._outlook = engineview.Outlook(tracker, now_s)
        self._loads = {
            e.endpoint_id: tracker.find(e.endpoint_id) for e in engines
        }
        # All are settled first, as a view looks at jobs that span several.
        for load in self._loads.values():
            load.settle(now_s)

    def view(self, engine: lists.ListedEndpoint) -> engineview.EngineView:
        """Returns an engine as the placement sees it."""
        return engineview.view_engine(
            engine,
            self._loads[engine.endpoint_id],
            self._outlook,
            self._model,
            self._data_centre,
            MEMORY_PART,
        )

    def plan_short(self) -> Plan | None:
        """Returns the best plan of a prompt that one engine reads.

        Engines are looked at in the order in which they are preferred where
        all cost the same, until one costs nothing: most of the time that is
        the first, and no other could be better.
        """
        best: Plan | None = None
        least: tuple[int, int] | None = None
        for engine in sorted(self._engines, key=self._rank_alike):
            view = self.view(engine)
            plan = _Draft(self._prompt, [view], self._model, 1).plan()
            if plan is None:
                continue
            rank = _rank_cost(view, plan.cost)
            if least is None or rank < least:
                best, least = plan, rank
            if least == (0, 0):
                break
        return best

    def _rank_alike(self, engine: lists.ListedEndpoint) -> tuple[object, ...]:
        load = self._loads[engine.endpoint_id]
        return _rank_alike(
            engine,
            engine.data_centre != self._data_centre,
            self._model.slots - len(load.jobs),
            self._prompt.job_id,
        )


class _Draft:
    """One number of parts of a prompt, and what a part costs at each engine."""

    __slots__ = (
        "_count",
        "_harms",
        "_most_held",
        "_needed",
        "_prompt",
        "_read_s",
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
        self._needed = prompt.prompt_tokens + prompt.answer_tokens
        self._most_held = limit_lease(model)
        self._read_s = model.predict_prefill(prompt.prompt_tokens, count)
        self._harms = {
            view.endpoint.endpoint_id: view.weigh(self._read_s)
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
        tokens = _share_memory(parts, self._needed, self._most_held)
        if tokens is None:
            return None
        prefill_s = self._read_s
        expected_s = max(part.predict_end(prefill_s) for part in parts)
        pause_s = first.predict_pause(prefill_s, expected_s)
        cost = self._weigh_own(expected_s, pause_s)
        cost += sum(part.weigh_pauses(prefill_s) for part in parts)
        cost += engineview.weigh_delayed(parts, prefill_s)
        return Plan(cost, parts, tokens, prefill_s, expected_s, pause_s)

    def _choose_first(self) -> engineview.EngineView | None:
        """Returns the engine that writes the answer, None if none has a slot.

        It holds the whole prompt if one can, else as much as one can.
        """
        open_ones = [view for view in self._views if view.free_slots > 0]
        roomy = [view for view in open_ones if view.room >= self._needed]
        if roomy:
            return min(roomy, key=self._rank_first)
        return max(open_ones, key=lambda view: view.room, default=None)

    def _choose_helpers(
        self, first: engineview.EngineView
    ) -> list[engineview.EngineView]:
        """Returns the engines of the other parts, the best ones there are.

        An engine helps as many others as it has slots and refuses the next
        one, and with it the whole plan.
        """
        others = [
            view
            for view in self._views
            if view is not first and view.free_helps > LAST_SLOTS
        ]
        others.sort(key=lambda view: _rank_long(view, self._find_harm(view)))
        return others[: self._count - 1]

    def _rank_first(self, view: engineview.EngineView) -> tuple[object, ...]:
        harm = self._find_harm(view)
        if self._prompt.is_mid_stream:
            job_id = self._prompt.job_id
            return _rank_hurried(view, harm, self._read_s, job_id)
        end_s = view.predict_end(self._read_s)
        pause_s = view.predict_pause(self._read_s, end_s)
        cost = harm + self._weigh_own(end_s, pause_s)
        if self._count == 1:
            return _rank_short(view, cost, self._prompt.job_id)
        return _rank_long(view, cost)

    def _find_harm(self, view: engineview.EngineView) -> float:
        return self._harms[view.endpoint.endpoint_id]

    def _weigh_own(self, expected_s: float, pause_s: float) -> float:
        """Returns what the prompt itself loses, in short prompts.

        Args:
          expected_s: seconds until its first event.
          pause_s: seconds between that and the next one.
        """
        prompt = self._prompt
        lost = lateness.weigh_pause(pause_s, prompt.pause_s)
        lost += lateness.weigh_delay(
            prompt.waited_s + expected_s, prompt.objective_s, prompt.pause_s
        )
        return lost * lateness.weigh_prompt(prompt.prompt_tokens)


def _share_memory(
    parts: list[engineview.EngineView], needed: int, most_held: int
) -> list[int] | None:
    """Returns the tokens that each engine of a plan holds.

    The first one holds all if it can; else each holds some, the roomiest ones
    first, as every further holder is one more order.
    """
    if parts[0].room >= needed:
        return [needed, *[0] * (len(parts) - 1)]
    tokens = [0] * len(parts)
    tokens[0] = min(parts[0].room, most_held)
    rest = needed - tokens[0]
    by_room = sorted(range(1, len(parts)), key=lambda i: -parts[i].room)
    for index in by_room:
        taken = max(0, min(rest, parts[index].room, most_held))
        tokens[index] = taken
        rest -= taken
    return tokens if rest <= 0 and tokens[0] > 0 else None


def limit_lease(model: routes.EngineCostModel) -> int:
    """Returns the most tokens of a prompt that one of several engines holds."""
    return int(LEASE_PART * model.kv_capacity_tokens)


def _list_counts(
    prompt: prompts.Prompt, model: routes.EngineCostModel, engines: int
) -> list[int]:
    """Returns the numbers of parts that are worth looking at.

    A prompt that is soon read is not parted much, unless one engine can't hold
    it. Nor is one whose plans were refused: any engine of a plan may refuse it,
    so that half as many are half as likely to.
    """
    whole_s = model.predict_prefill(prompt.prompt_tokens)
    most = min(MAX_PARTS, int(whole_s / SMALL_READ_S))
    most = max(1, most >> prompt.refusals)
    needed = prompt.prompt_tokens + prompt.answer_tokens
    if needed > MEMORY_PART * model.kv_capacity_tokens:
        most = max(most, 2 * math.ceil(needed / limit_lease(model)))
    most = min(MAX_PARTS, engines, most)
    return [n for n in COUNTS if n <= most]


def _rank_short(
    view: engineview.EngineView, cost: float, job_id: str
) -> tuple[object, ...]:
    """Prefers engines that cost little and let a short prompt wait least."""
    return (
        *_rank_cost(view, cost),
        *_rank_alike(view.endpoint, view.is_far, view.free_slots, job_id),
    )


def _rank_cost(view: engineview.EngineView, cost: float) -> tuple[int, int]:
    return int(cost / COST_STEP), int(view.wait_s / SHORT_WAIT_S)


def _rank_alike(
    endpoint: lists.ListedEndpoint, is_far: bool, free_slots: int, job_id: str
) -> tuple[object, ...]:
    """Prefers near engines that already write for others, but for a few slots.

    Steps get only a few hundredths longer with each writer, and every engine
    that writes for nobody reads for long prompts without making anyone pause.
    But whoever comes to an engine whose last slot was taken meanwhile waits for
    one, and news of a placement takes some milliseconds to reach all. So the
    last slot is left where there is another engine, and those that have few
    are alike.
    """
    return (
        is_far,
        free_slots <= LAST_SLOTS,
        max(free_slots, FEW_SLOTS),
        _spread(endpoint.endpoint_id, job_id),
    )


def _spread(endpoint_id: str, job_id: str) -> int:
    """Returns a rank among engines that are alike, another for each prompt."""
    return zlib.crc32(f"{job_id} {endpoint_id}".encode())


def _rank_hurried(
    view: engineview.EngineView, cost: float, prefill_s: float, job_id: str
) -> tuple[object, ...]:
    """Prefers engines that go on soonest, and spreads those that are alike.

    Many streams leave an engine at the same moment and from several instances,
    which know nothing of each other's choices yet.
    """
    end_s = view.predict_end(prefill_s)
    pause_s = view.predict_pause(prefill_s, end_s)
    lasts_s = max(end_s, pause_s) + FAR_S * view.is_far
    return (
        int(cost / COST_STEP),
        int(lasts_s / SHORT_WAIT_S),
        _spread(view.endpoint.endpoint_id, job_id),
    )


def _rank_long(view: engineview.EngineView, cost: float) -> tuple[object, ...]:
    """Prefers engines at which nobody writes and nothing waits."""
    return (
        int(cost / COST_STEP),
        len(view.load.jobs) > 0,
        view.wait_s,
        view.endpoint.endpoint_id,
    )
