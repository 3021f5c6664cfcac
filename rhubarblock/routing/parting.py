"""Chooses where a prompt is read, in how many parts, and where it is written.

Reading in parts costs no extra work, so a long prompt starts soonest when many
engines read it. But each part lengthens a pass of its engine, and those who
write there pause for as long. So short prompts are packed onto few engines as
long as their passes stay short, and long ones are read by the others.
"""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing import enginebook

# Most engines that read one prompt: the one that is asked and 16 helpers.
MAX_PARTS = 17
# Reading below this many seconds is not parted further: it is a fraction of
# the shortest pass, which each part may have to wait for.
SMALL_READ_S = 0.02
# Part of a writer's longest pause that a predicted pass may fill; the rest is
# for what other instances place at the same moment.
PAUSE_PART = 0.8
# Writers of short prompts that an engine gets before the next one is opened.
# Steps get only a few hundredths longer up to there, and a crash takes no more.
PACKED_WRITERS = 4
# Tokens of a prompt that count as much as one short prompt.
TOKENS_OF_VALUE = 12_000.0
# Seconds of delay that one more writer with an overlong pause outweighs.
HARM_S = 1.0
# Seconds of delay that are worth one more engine reading a part.
PART_S = 0.002
# Part of an engine's memory that placed work may fill; the rest takes what
# other instances place at the same moment.
MEMORY_PART = 0.95


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """What is to be placed.

    Attributes:
      job_id: unique over all instances.
      prompt_tokens: length.
      answer_tokens: most tokens of its answer.
      pause_s: longest pause that is on time, in seconds; 0 where any is.
      objective_s: time to the first event that is on time, in seconds.
    """

    job_id: str
    prompt_tokens: int
    answer_tokens: int
    pause_s: float
    objective_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Where a prompt goes.

    Attributes:
      job: what the book is told.
      engines: the engines of the job's parts, in the same order.
      expected_s: seconds until its first event, as predicted.
    """

    job: enginebook.Job
    engines: tuple[lists.ListedEndpoint, ...]
    expected_s: float


@dataclasses.dataclass(slots=True)
class _Candidate:
    endpoint: lists.ListedEndpoint
    load: enginebook.EngineLoad
    wait_s: float
    stride_s: float
    tightest_s: float
    # Whether another request can begin to write there.
    is_open: bool

    def is_harmed(self, read_s: float) -> bool:
        """Whether its writers would pause too long while it reads."""
        pass_s = self.stride_s + self.wait_s + read_s
        return pass_s > PAUSE_PART * self.tightest_s


@dataclasses.dataclass(slots=True)
class _Plan:
    cost: float
    parts: list[_Candidate]
    read_s: float
    expected_s: float


class Parter:
    """Places prompts by what the book of engines predicts."""

    __slots__ = ("_book",)

    def __init__(self, book: enginebook.EngineBook):
        """Creates a parter over a book."""
        self._book = book

    def choose(
        self,
        prompt: Prompt,
        engines: list[lists.ListedEndpoint],
        model: routes.EngineModel,
        now_s: float,
    ) -> Choice | None:
        """Chooses the engines of a prompt.

        Args:
          prompt: what is to be placed.
          engines: engines that may be used.
          model: what their steps cost.
          now_s: monotonic seconds.

        Returns:
          The choice, or None if no engine has room for it.
        """
        tokens = prompt.prompt_tokens + prompt.answer_tokens
        candidates = [
            self._examine(endpoint, model, tokens, now_s)
            for endpoint in engines
        ]
        if not any(candidate.is_open for candidate in candidates):
            return None
        plans = [
            self._plan(prompt, candidates, model, count)
            for count in _list_counts(prompt, model, len(candidates))
        ]
        best = min(plans, key=lambda plan: plan.cost)
        parts = tuple(
            enginebook.Part(part.endpoint.endpoint_id, best.read_s)
            for part in best.parts
        )
        return Choice(
            enginebook.Job(prompt.job_id, parts, tokens, prompt.pause_s),
            tuple(part.endpoint for part in best.parts),
            best.expected_s,
        )

    def _examine(
        self,
        endpoint: lists.ListedEndpoint,
        model: routes.EngineModel,
        tokens: int,
        now_s: float,
    ) -> _Candidate:
        load = self._book.find(endpoint.endpoint_id)
        room = MEMORY_PART * model.memory_tokens - load.tokens
        return _Candidate(
            endpoint,
            load,
            load.predict_wait(now_s),
            load.predict_stride(model),
            load.tightest_pause_s,
            len(load.jobs) < model.slots and tokens <= room,
        )

    def _plan(
        self,
        prompt: Prompt,
        candidates: list[_Candidate],
        model: routes.EngineModel,
        count: int,
    ) -> _Plan:
        read_s = model.predict_read(prompt.prompt_tokens, count)
        if count == 1:
            ranked = sorted(candidates, key=lambda c: _rank_short(c, read_s))
        else:
            ranked = sorted(candidates, key=lambda c: _rank_long(c, read_s))
        first = next(c for c in ranked if c.is_open)
        others = [c for c in ranked if c is not first][: count - 1]
        parts = [first, *others]
        expected_s = first.stride_s + max(
            part.wait_s + read_s + part.stride_s / 2 for part in parts
        )
        harmed = sum(len(p.load.jobs) for p in parts if p.is_harmed(read_s))
        value = 1.0 + prompt.prompt_tokens / TOKENS_OF_VALUE
        lateness = _weigh_delay(expected_s, prompt.objective_s)
        cost = value * lateness + HARM_S * harmed + PART_S * count
        return _Plan(cost, parts, read_s, expected_s)


def _list_counts(
    prompt: Prompt, model: routes.EngineModel, engines: int
) -> list[int]:
    """Returns the numbers of parts that are worth looking at."""
    whole_s = model.predict_read(prompt.prompt_tokens)
    most = min(MAX_PARTS, engines, max(1, int(whole_s / SMALL_READ_S)))
    return [n for n in (1, 2, 3, 4, 6, 8, 10, 12, 14, 17) if n <= most] or [1]


def _rank_short(candidate: _Candidate, read_s: float) -> tuple[object, ...]:
    """Prefers engines that already write for others, up to a number."""
    writers = len(candidate.load.jobs)
    packed = writers < PACKED_WRITERS
    return (
        candidate.is_harmed(read_s),
        round(candidate.wait_s, 2),
        not packed,
        -writers if packed else writers,
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
    """Returns what a delay costs, 1 where it makes an answer late.

    Up to half of the objective a delay costs little, as it is still on time;
    beyond, the prediction may be wrong by more than what is left.
    """
    share = expected_s / objective_s
    if share < 0.5:
        return 0.1 * share
    return 0.05 + min(1.0, (share - 0.5) * 2.0) + 0.05 * share
