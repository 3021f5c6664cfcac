"""A snapshot of one engine, and what a further part would cost the jobs there.

A part of a prompt slows down the jobs that are at its engine already: it
lengthens the pauses of the answers that are decoded there, and it preempts
prefills that were placed earlier. A view predicts both, in the cost unit of
``latencycost``.
"""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import latencycost

# Seconds until an engine that only prefills starts a new part: half of the time
# for the chunk of a long prompt that it processes at once.
PREEMPTION_S = 0.03
# Parts placed within these seconds at an engine that decodes are prefilled in
# one pass: about the length of a pass without any prefill.
SAME_PASS_S = 0.05


class PrefillForecast:
    """When the prefill of each job will be done, as of one moment.

    Attributes:
      now_s: the moment, in monotonic seconds.
    """

    __slots__ = ("_finishes", "_tracker", "now_s")

    def __init__(self, tracker: jobtracker.JobTracker, now_s: float):
        """Starts empty; predictions are computed on demand and cached."""
        self._tracker = tracker
        self._finishes: dict[str, float] = {}
        self.now_s = now_s

    def predict_finish(self, placed: jobtracker.PlacedJob) -> float:
        """Returns the seconds until the prefill of a job is done."""
        job_id = placed.job.job_id
        finish_s = self._finishes.get(job_id)
        if finish_s is None:
            finish_s = self._tracker.predict_finish(placed, self.now_s)
            self._finishes[job_id] = finish_s
        return finish_s

    def compute_delay_cost(
        self, placed: jobtracker.PlacedJob, finish_s: float
    ) -> float:
        """Returns what it costs if the prefill of a job is done later.

        Args:
          placed: the job.
          finish_s: seconds until its prefill would be done in that case.
        """
        job = placed.job
        before_s = self.predict_finish(placed)
        if finish_s <= before_s or not job.objective_s:
            return 0.0
        since_s = self.now_s - placed.placed_s
        losses = [
            latencycost.compute_delay_loss(
                since_s + s, job.objective_s, job.pause_s
            )
            for s in (before_s, finish_s)
        ]
        return latencycost.compute_value(job.prompt_tokens) * (
            losses[1] - losses[0]
        )


@dataclasses.dataclass(slots=True, frozen=True)
class _Answers:
    """The answers of an engine that a pause may cost something.

    Many plans are compared for one prompt, and each asks what its part costs
    here, so the answers are summed up once.

    Attributes:
      decoding: total value of those that are decoded, in short prompts, by the
        longest pause in seconds that counts as on time.
      waiting: seconds until the prefill is done, that pause, and the value of
        each of the others.
    """

    decoding: dict[float, float]
    waiting: list[tuple[float, float, float]]


@dataclasses.dataclass(slots=True)
class EngineView:
    """An engine that may prefill a part.

    Attributes:
      endpoint: the engine.
      load: the work that it has been given.
      forecast: when the prefills there will be done.
      decode_pass_s: seconds of a pass without any prefill.
      wait_s: seconds of prefill in its backlog.
      same_pass_s: seconds of the backlog that were placed within the present
        pass.
      is_decoding: whether it decodes at present.
      is_remote: whether it is in another data centre.
      free_slots: slots for further requests to decode; negative if some
        requests wait for one.
      free_helper_slots: further jobs of other engines that it may prefill or
        hold memory for; negative if it has too many.
      free_tokens: tokens of free memory.
      prefill_factor: how much longer its prefills take than the cost model
        predicts. All methods take the seconds of the cost model.
      doubt: rank among engines of different speeds, 0 for the best ones.
    """

    endpoint: lists.ListedEndpoint
    load: jobtracker.EngineLoad
    forecast: PrefillForecast
    decode_pass_s: float
    wait_s: float
    same_pass_s: float
    is_decoding: bool
    is_remote: bool
    free_slots: int
    free_helper_slots: int
    free_tokens: int
    prefill_factor: float = 1.0
    doubt: int = 0
    _answers: _Answers | None = None

    def predict_end(self, prefill_s: float) -> float:
        """Returns the seconds until a part that is placed now is prefilled."""
        prefill_s *= self.prefill_factor
        if self.is_decoding:
            return (
                max(self.wait_s, self.decode_pass_s / 2)
                + self.decode_pass_s
                + prefill_s
            )
        return prefill_s + (PREEMPTION_S if self.wait_s else 0.0)

    def predict_pause(self, prefill_s: float, finish_s: float) -> float:
        """Returns the first pause of an answer that would be decoded here.

        Args:
          prefill_s: prefill seconds of its own part here.
          finish_s: seconds until all of its parts are prefilled.
        """
        if self.is_decoding:
            return self.decode_pass_s
        idle_s = max(0.0, finish_s - self.prefill_factor * prefill_s)
        return self.decode_pass_s + max(0.0, self.wait_s - idle_s)

    def compute_pause_cost(self, prefill_s: float) -> float:
        """Returns what a part costs the answers that are decoded here.

        Answers that are predicted to be late anyway count as well: predictions
        err, and further parts would otherwise pile up on the engines of late
        answers.
        """
        cost = 0.0
        prefill_s *= self.prefill_factor
        answers = self._answers
        if answers is None:
            answers = self._answers = self._sum_up_answers()
        pass_s = self.decode_pass_s + self.same_pass_s
        for pause_s, value in answers.decoding.items():
            loss = latencycost.compute_pause_loss(pass_s + prefill_s, pause_s)
            loss -= latencycost.compute_pause_loss(pass_s, pause_s)
            cost += loss * value
        for finish_s, pause_s, value in answers.waiting:
            if finish_s < prefill_s:
                before_s = self.decode_pass_s
                after_s = before_s + prefill_s - finish_s
                loss = latencycost.compute_pause_loss(after_s, pause_s)
                loss -= latencycost.compute_pause_loss(before_s, pause_s)
                cost += loss * value
        return cost

    def _sum_up_answers(self) -> _Answers:
        decoding: dict[float, float] = {}
        waiting = []
        for placed in self.load.jobs.values():
            job = placed.job
            if not job.pause_s:
                continue
            value = latencycost.compute_value(job.prompt_tokens)
            if placed.is_decoding:
                decoding[job.pause_s] = decoding.get(job.pause_s, 0.0) + value
            else:
                finish_s = self.forecast.predict_finish(placed)
                waiting.append((finish_s, job.pause_s, value))
        return _Answers(decoding, waiting)

    def list_delayed(
        self, prefill_s: float
    ) -> list[tuple[jobtracker.PlacedJob, float]]:
        """Returns the jobs that a part preempts, and when they end then."""
        if self.is_decoding:
            return []
        ends = []
        end_s = self.prefill_factor * prefill_s
        for prefill in reversed(self.load.prefills):
            end_s += prefill.left_s
            ends.append((prefill.placed, end_s))
        return ends

    def compute_cost(self, prefill_s: float) -> float:
        """Returns what a part costs all jobs here, in short prompts."""
        return self.compute_pause_cost(prefill_s) + compute_delayed_cost(
            [self], prefill_s
        )


def compute_delayed_cost(parts: list[EngineView], prefill_s: float) -> float:
    """Returns what parts cost the jobs that they preempt, each job once.

    Args:
      parts: the engines that prefill one part each; at least one.
      prefill_s: prefill seconds of a part.
    """
    ends: dict[str, tuple[jobtracker.PlacedJob, float]] = {}
    for part in parts:
        for placed, end_s in part.list_delayed(prefill_s):
            job_id = placed.job.job_id
            if job_id not in ends or ends[job_id][1] < end_s:
                ends[job_id] = (placed, end_s)
    forecast = parts[0].forecast
    return sum(
        forecast.compute_delay_cost(placed, end_s)
        for placed, end_s in ends.values()
    )


def view_engine(
    endpoint: lists.ListedEndpoint,
    load: jobtracker.EngineLoad,
    forecast: PrefillForecast,
    model: routes.EngineCostModel,
    data_centre: str,
    memory_part: float,
) -> EngineView:
    """Creates the view of one engine; its load must have been settled."""
    now_s = forecast.now_s
    same_pass_s = sum(
        prefill.left_s
        for prefill in load.prefills
        if now_s - prefill.placed_s < SAME_PASS_S
    )
    return EngineView(
        endpoint,
        load,
        forecast,
        load.predict_stride(model),
        load.predict_wait(now_s),
        same_pass_s,
        load.is_decoding,
        endpoint.data_centre != data_centre,
        model.slots - len(load.jobs),
        model.slots - load.count_helped(),
        int(memory_part * model.kv_capacity_tokens) - load.tokens,
        load.factors.prefill,
    )
