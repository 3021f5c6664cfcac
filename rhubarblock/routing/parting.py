"""Chooses where a prompt is read, in how many parts, and where it is written.

Reading in parts costs no extra work, so a long prompt starts soonest when many
engines read it. But each part lengthens a pass of its engine, and those who
write there pause for as long. So short prompts are packed onto few engines as
long as their passes stay short, and long ones are read by the others.
"""

import dataclasses
import math

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing import enginebook
from rhubarblock.routing import prompt as prompts
from rhubarblock.routing import promptpolicy

# Most engines that read one prompt: the one that is asked and 16 helpers.
MAX_PARTS = 17
# Numbers of parts that are compared.
COUNTS = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Parts are not made shorter than this many seconds: about the shortest pass,
# which each further engine may have to end before it reads its part.
SMALL_READ_S = 0.06
# Part of a writer's longest pause that a predicted pass may fill; the rest is
# for what other instances place at the same moment.
PAUSE_PART = 0.8
# Writers of short prompts that an engine gets before the next one is opened.
# Steps get only a few hundredths longer up to there, and a crash takes no more.
PACKED_WRITERS = 6
# Seconds of waiting that are all the same to a short prompt: about a pass.
SHORT_WAIT_S = 0.05
# Seconds of delay that a stream which moves takes to stay within its data
# centre.
FAR_S = 0.03
# Tokens of a prompt that count as much as one short prompt.
TOKENS_OF_VALUE = 12_000.0
# What one writer with an overlong pause costs, in short prompts.
HARM = 1.2
# What one more engine that reads a part costs, in short prompts.
PART_COST = 0.005
# Share of its objective up to which a prediction counts as safely on time.
SAFE_SHARE = 0.75
# Part of an answer's worth that is lost when it is late: callers of the
# deployments known today value a late answer at a quarter.
LATE_COST = 0.75
# Objectives after which a caller gives up; the figure leaves some for errors
# of the prediction, as callers wait for four.
GIVE_UP_SHARE = 3.3
# Part of an engine's memory that placed work may fill; the rest takes what
# other instances place at the same moment.
MEMORY_PART = 0.95
# Most tokens of one prompt that an engine holds while others hold more of it:
# less than half of its memory, so that two such prompts fit side by side.
LEASE_TOKENS = 200_000


@dataclasses.dataclass(slots=True)
class _Candidate:
    endpoint: lists.ListedEndpoint
    load: enginebook.EngineLoad
    wait_s: float
    stride_s: float
    tightest_s: float
    # Whether it stands in another data centre.
    is_far: bool
    # Whether it has a place for another request that writes.
    has_slot: bool
    # Tokens of memory that are free.
    room: int

    def is_harmed(self, read_s: float) -> bool:
        """Whether its writers would pause too long while it reads."""
        pass_s = self.stride_s + self.wait_s + read_s
        return pass_s > PAUSE_PART * self.tightest_s


@dataclasses.dataclass(slots=True)
class _Plan:
    cost: float
    parts: list[_Candidate]
    tokens: list[int]
    read_s: float
    expected_s: float


class Parter(promptpolicy.PromptPolicy):
    """Places prompts by what the book of engines predicts.

    Short prompts stay in the data centre of the instance if there is room: a
    stream within it outlasts a cut between data centres.
    """

    plugin_name = "parted"

    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineModel,
        now_s: float,
    ) -> prompts.Choice | None:
        candidates = [
            self._examine(endpoint, model, now_s) for endpoint in engines
        ]
        counts = _list_counts(prompt, model, len(candidates))
        plans = [_plan(prompt, candidates, model, n) for n in counts]
        possible = [plan for plan in plans if plan is not None]
        if not possible:
            return None
        best = min(possible, key=lambda plan: plan.cost)
        parts = tuple(
            enginebook.Part(part.endpoint.endpoint_id, best.read_s, tokens)
            for part, tokens in zip(best.parts, best.tokens, strict=True)
        )
        return prompts.Choice(
            enginebook.Job(prompt.job_id, parts, prompt.pause_s),
            tuple(part.endpoint for part in best.parts),
            best.expected_s,
        )

    def _examine(
        self,
        endpoint: lists.ListedEndpoint,
        model: routes.EngineModel,
        now_s: float,
    ) -> _Candidate:
        load = self._book.find(endpoint.endpoint_id)
        return _Candidate(
            endpoint,
            load,
            load.predict_wait(now_s),
            load.predict_stride(model),
            load.tightest_pause_s,
            endpoint.data_centre != self._data_centre,
            len(load.jobs) < model.slots,
            int(MEMORY_PART * model.memory_tokens) - load.tokens,
        )


def _plan(
    prompt: prompts.Prompt,
    candidates: list[_Candidate],
    model: routes.EngineModel,
    count: int,
) -> _Plan | None:
    """Plans a number of parts; None if they can't hold the prompt."""
    read_s = model.predict_read(prompt.prompt_tokens, count)
    rank = _rank_short if count == 1 else _rank_long
    if prompt.hurried:
        rank = _rank_hurried
    ranked = sorted(candidates, key=lambda c: rank(c, read_s))
    needed = prompt.prompt_tokens + prompt.answer_tokens
    open_ones = [c for c in ranked if c.has_slot]
    first = next((c for c in open_ones if c.room >= needed), None)
    if first is None:
        first = max(open_ones, key=lambda c: c.room, default=None)
    if first is None:
        return None
    parts = [first, *[c for c in ranked if c is not first][: count - 1]]
    tokens = _share_memory(parts, needed)
    if tokens is None:
        return None
    expected_s = first.stride_s + max(
        part.wait_s + read_s + part.stride_s / 2 for part in parts
    )
    harmed = sum(len(p.load.jobs) for p in parts if p.is_harmed(read_s))
    value = 1.0 + prompt.prompt_tokens / TOKENS_OF_VALUE
    lateness = _weigh_delay(expected_s, prompt.objective_s)
    cost = value * lateness + HARM * harmed + PART_COST * count
    return _Plan(cost, parts, tokens, read_s, expected_s)


def _share_memory(parts: list[_Candidate], needed: int) -> list[int] | None:
    """Returns the tokens that each engine of a plan holds.

    The first one holds all if it can; else each holds some, the roomiest ones
    first, as every further holder is one more order.
    """
    if parts[0].room >= needed:
        return [needed, *[0] * (len(parts) - 1)]
    tokens = [0] * len(parts)
    tokens[0] = min(parts[0].room, LEASE_TOKENS)
    rest = needed - tokens[0]
    by_room = sorted(range(1, len(parts)), key=lambda i: -parts[i].room)
    for index in by_room:
        taken = max(0, min(rest, parts[index].room, LEASE_TOKENS))
        tokens[index] = taken
        rest -= taken
    return tokens if rest <= 0 and tokens[0] > 0 else None


def _list_counts(
    prompt: prompts.Prompt, model: routes.EngineModel, engines: int
) -> list[int]:
    """Returns the numbers of parts that are worth looking at.

    A prompt that is soon read is not parted much, unless one engine can't hold
    it.
    """
    whole_s = model.predict_read(prompt.prompt_tokens)
    most = max(1, int(whole_s / SMALL_READ_S))
    needed = prompt.prompt_tokens + prompt.answer_tokens
    if needed > MEMORY_PART * model.memory_tokens:
        most = max(most, 2 * math.ceil(needed / LEASE_TOKENS))
    most = min(MAX_PARTS, engines, most)
    return [n for n in COUNTS if n <= most]


def _rank_short(candidate: _Candidate, read_s: float) -> tuple[object, ...]:
    """Prefers near engines that already write for others, up to a number."""
    writers = len(candidate.load.jobs)
    packed = writers < PACKED_WRITERS
    return (
        candidate.is_harmed(read_s),
        int(candidate.wait_s / SHORT_WAIT_S),
        not packed,
        candidate.is_far,
        -writers if packed else writers,
        candidate.endpoint.endpoint_id,
    )


def _rank_hurried(candidate: _Candidate, read_s: float) -> tuple[object, ...]:
    """Prefers engines that begin soonest and write most quickly."""
    return (
        candidate.is_harmed(read_s),
        candidate.wait_s + candidate.stride_s + FAR_S * candidate.is_far,
        candidate.endpoint.endpoint_id,
    )


def _rank_long(candidate: _Candidate, read_s: float) -> tuple[object, ...]:
    """Prefers engines at which nobody writes and nothing waits."""
    return (
        candidate.is_harmed(read_s),
        len(candidate.load.jobs) > 0,
        candidate.wait_s,
        candidate.endpoint.endpoint_id,
    )


def _weigh_delay(expected_s: float, objective_s: float) -> float:
    """Returns what a delay costs, 1 where it makes an answer worthless.

    Up to half of the objective a delay costs little, as the answer is still on
    time; beyond, the prediction may be wrong by more than what is left. A late
    answer is worth a part of one in time, however late, until its caller gives
    up.
    """
    share = expected_s / objective_s
    if share < SAFE_SHARE:
        return 0.1 * share
    cost = 0.1 * SAFE_SHARE + 0.01 * share
    cost += LATE_COST * min(1.0, (share - SAFE_SHARE) / (1.0 - SAFE_SHARE))
    if share > GIVE_UP_SHARE:
        cost += 1.0 - LATE_COST
    return cost
