"""Tracks the jobs placed on each engine and predicts the engine's backlog.

An engine works in forward passes: a pass takes one step for each token that it
decodes and prefills prompts between the steps, so a prefill lengthens the
pauses of the answers that are decoded there. The tracker holds the jobs placed
by this instance and its peers and predicts how long an engine's next pass will
last.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses

from rhubarblock.core import route as routes
from rhubarblock.routing.coldstart import recentcounts
from rhubarblock.routing.placement import speeds

# Seconds after which a job is dropped if its end was not announced: twice the
# longest time that callers wait in known deployments.
JOB_TTL_S = 30.0
# Seconds over which placed work is averaged: it counts less and less for twice
# this time.
WORK_DECAY_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """One engine's share of a prompt.

    Attributes:
      endpoint_id: the engine.
      prefill_s: seconds of prefill.
      tokens: memory that it holds until the job ends; 0 if another engine keeps
        the KV cache of this part.
    """

    endpoint_id: str
    prefill_s: float
    tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """A prompt that was placed.

    Attributes:
      job_id: unique across all instances.
      parts: the engines that prefill it; the first one also decodes the answer.
      pause_s: longest pause between its events that counts as on time, in
        seconds; 0 for no limit.
      prompt_tokens: length of the whole prompt; 0 if unknown.
      objective_s: seconds from its placement within which the first event is on
        time; 0 if unknown.
    """

    job_id: str
    parts: tuple[Part, ...]
    pause_s: float
    prompt_tokens: int = 0
    objective_s: float = 0.0

    @property
    def endpoint_id(self) -> str:
        """The engine that decodes the answer."""
        return self.parts[0].endpoint_id


class PlacedJob:
    """A job that the tracker holds.

    Attributes:
      job: the placed job.
      placed_s: when it was placed, in monotonic seconds.
      prefills: the remaining prefill at each engine.
    """

    __slots__ = ("job", "placed_s", "prefills")

    def __init__(self, job: Job, placed_s: float):
        """Starts with the whole prefill remaining."""
        self.job = job
        self.placed_s = placed_s
        self.prefills = [Prefill(self, part, placed_s) for part in job.parts]

    @property
    def is_decoding(self) -> bool:
        """Whether its prefill is done, so that its answer is being decoded."""
        return all(prefill.left_s <= 0.0 for prefill in self.prefills)


class Prefill:
    """What an engine has to prefill and to hold for a job.

    Attributes:
      placed: the job.
      endpoint_id: the engine.
      left_s: remaining seconds of prefill.
      tokens: memory that it holds until the job ends.
      placed_s: when the job was placed, in monotonic seconds.
    """

    __slots__ = ("endpoint_id", "left_s", "placed", "placed_s", "tokens")

    def __init__(self, placed: PlacedJob, part: Part, placed_s: float):
        """Starts with the whole part remaining."""
        self.placed = placed
        self.endpoint_id = part.endpoint_id
        self.left_s = part.prefill_s
        self.tokens = part.tokens
        self.placed_s = placed_s


class EngineLoad:
    """The work that one engine has been given.

    An engine prefills the latest arrival first: a part for another engine
    preempts its other prefills. While it decodes, all waiting prefills go into
    one pass.

    Attributes:
      prefills: remaining prefills, the latest last.
      jobs: jobs that it decodes, or will decode, by job id.
      helper_prefills: its parts of jobs that other engines decode, by job id.
      tokens: tokens of memory in use.
      changes: how many times a job was added to it or removed.
      factors: how much longer it takes than the cost model predicts.
    """

    __slots__ = (
        "_settled_s",
        "_work_at_s",
        "_work_s",
        "changes",
        "factors",
        "helper_prefills",
        "jobs",
        "prefills",
        "tokens",
    )

    def __init__(self, factors: speeds.Factors | None = None) -> None:
        """Starts without work.

        Args:
          factors: its learned factors, which change; None for the cost model.
        """
        self._settled_s = 0.0
        # Seconds of prefill placed lately, as of the last one.
        self._work_s = 0.0
        self._work_at_s = 0.0
        self.changes = 0
        self.factors = factors or speeds.Factors()
        self.helper_prefills: dict[str, Prefill] = {}
        self.prefills: list[Prefill] = []
        self.jobs: dict[str, PlacedJob] = {}
        self.tokens = 0

    @property
    def is_decoding(self) -> bool:
        """Whether it decodes at present, and so prefills in long passes."""
        return any(placed.is_decoding for placed in self.jobs.values())

    def count_helped(self) -> int:
        """Counts other engines' jobs that it prefills or holds memory for."""
        return sum(
            1
            for prefill in self.helper_prefills.values()
            if prefill.left_s > 0 or prefill.tokens
        )

    def note_work(self, prefill_s: float, now_s: float) -> None:
        """Adds a prefill to the average of the work placed here."""
        self._work_s = self.measure_work(now_s) + prefill_s
        self._work_at_s = now_s

    def measure_work(self, now_s: float) -> float:
        """Returns the seconds of prefill placed in about ``WORK_DECAY_S``."""
        left_s = 2.0 * WORK_DECAY_S - (now_s - self._work_at_s)
        if left_s <= 0.0:
            return 0.0
        return self._work_s * left_s / (2.0 * WORK_DECAY_S)

    def settle(self, now_s: float) -> None:
        """Deducts the prefill done since the last call."""
        spent_s = max(0.0, now_s - self._settled_s)
        self._settled_s = max(now_s, self._settled_s)
        while self.prefills and spent_s > 0.0:
            prefill = self.prefills[-1]
            taken_s = min(spent_s, prefill.left_s)
            prefill.left_s -= taken_s
            spent_s -= taken_s
            if prefill.left_s <= 0.0:
                self.prefills.pop()

    def settle_copy(self, load: "EngineLoad", now_s: float) -> None:
        """Settles prefills that were copied from another load."""
        self._settled_s = load._settled_s
        self.settle(now_s)

    def predict_wait(self, now_s: float) -> float:
        """Returns the seconds of prefill in its backlog."""
        self.settle(now_s)
        return sum(prefill.left_s for prefill in self.prefills)

    def predict_stride(self, model: routes.EngineCostModel) -> float:
        """Returns the seconds of a pass without any prefill."""
        return self.factors.passes * self.predict_model_stride(model)

    def predict_model_stride(self, model: routes.EngineCostModel) -> float:
        """Returns the same for an engine that is as fast as the cost model."""
        return model.predict_stride(len(self.jobs), self.tokens)

    def sum_prefills_from(self, prefill: Prefill) -> float:
        """Returns the seconds of a prefill and of all that go before it."""
        total_s = 0.0
        for other in reversed(self.prefills):
            total_s += other.left_s
            if other is prefill:
                break
        return total_s

    def drop(self, placed: PlacedJob) -> None:
        """Drops the prefills of a job that ended."""
        self.prefills = [
            prefill for prefill in self.prefills if prefill.placed is not placed
        ]


class JobTracker:
    """The jobs placed on all engines, and the loads that follow from them.

    Attributes:
      recent: the parts that each engine got lately, also those of jobs that
        have ended.
      speeds: how fast the engines work.
    """

    __slots__ = (
        "_expiries",
        "_jobs",
        "_loads",
        "_watchers",
        "recent",
        "speeds",
    )

    def __init__(self, engine_speeds: speeds.EngineSpeeds | None = None):
        """Starts without jobs.

        Args:
          engine_speeds: how fast the engines work; None for all as in the cost
            model until something is learned.
        """
        self.speeds = engine_speeds or speeds.EngineSpeeds()
        self.recent = recentcounts.RecentCounts()
        self._loads: dict[str, EngineLoad] = {}
        self._jobs: dict[str, PlacedJob] = {}
        self._expiries: dict[str, float] = {}
        self._watchers: dict[str, list[Callable[[], None]]] = {}

    def find(self, endpoint_id: str) -> EngineLoad:
        """Returns the load of an engine; an unknown engine has an empty one."""
        load = self._loads.get(endpoint_id)
        if load is None:
            factors = self.speeds.find(endpoint_id)
            load = self._loads[endpoint_id] = EngineLoad(factors)
        return load

    def measure_utilisation(
        self, endpoint_ids: list[str], slots: int, now_s: float
    ) -> float:
        """Returns the part of the capacity of some engines that is in use.

        It is the larger one of the part of their slots that have jobs, and the
        part of their time that the prefills placed lately take.

        Args:
          endpoint_ids: the engines; at least one.
          slots: slots of each of them.
          now_s: current time in monotonic seconds.
        """
        jobs = 0
        work_s = 0.0
        for name in endpoint_ids:
            load = self._loads.get(name)
            if load is not None:
                jobs += len(load.jobs)
                work_s += load.measure_work(now_s)
        return max(jobs / slots, work_s / WORK_DECAY_S) / len(endpoint_ids)

    def add(self, job: Job, now_s: float) -> None:
        """Adds a placed job; one that is tracked already is ignored."""
        if job.job_id in self._jobs:
            return
        placed = PlacedJob(job, now_s)
        self._jobs[job.job_id] = placed
        self._expiries[job.job_id] = now_s + JOB_TTL_S
        self.find(job.endpoint_id).jobs[job.job_id] = placed
        for part, prefill in zip(job.parts, placed.prefills, strict=True):
            load = self.find(part.endpoint_id)
            load.settle(now_s)
            self.recent.note(part.endpoint_id, now_s)
            load.tokens += part.tokens
            load.changes += 1
            prefill.left_s *= load.factors.prefill
            load.prefills.append(prefill)
            load.note_work(part.prefill_s, now_s)
            if part.endpoint_id != job.endpoint_id:
                load.helper_prefills[job.job_id] = prefill
        for part in job.parts:
            for callback in list(self._watchers.get(part.endpoint_id, ())):
                callback()

    def look_ahead(self, at_s: float) -> "JobTracker":
        """Returns the expected state at a later time if no job starts or ends.

        Args:
          at_s: the later time, in monotonic seconds.
        """
        later = JobTracker(self.speeds)
        for placed in self._jobs.values():
            later.copy_job(placed)
        for endpoint_id, load in self._loads.items():
            later.copy_prefills(endpoint_id, load, at_s)
        return later

    def copy_job(self, placed: PlacedJob) -> None:
        """Adds a job of another tracker, without its prefills."""
        job = placed.job
        copied = PlacedJob(job, placed.placed_s)
        for prefill in copied.prefills:
            prefill.left_s = 0.0
        self._jobs[job.job_id] = copied
        self.find(job.endpoint_id).jobs[job.job_id] = copied
        for prefill in copied.prefills[1:]:
            self.find(prefill.endpoint_id).helper_prefills[job.job_id] = prefill

    def copy_prefills(
        self, endpoint_id: str, load: EngineLoad, at_s: float
    ) -> None:
        """Adds the prefills that an engine of another tracker has remaining."""
        copied = self.find(endpoint_id)
        copied.tokens = load.tokens
        for prefill in load.prefills:
            placed = self._jobs[prefill.placed.job.job_id]
            for copy in placed.prefills:
                if copy.endpoint_id == endpoint_id:
                    copy.left_s = prefill.left_s
                    copied.prefills.append(copy)
        copied.settle_copy(load, at_s)

    def predict_finish(self, placed: PlacedJob, now_s: float) -> float:
        """Returns the seconds until the prefill of a job is done."""
        return max(
            (self._predict_end(prefill, now_s) for prefill in placed.prefills),
            default=0.0,
        )

    def _predict_end(self, prefill: Prefill, now_s: float) -> float:
        load = self.find(prefill.endpoint_id)
        load.settle(now_s)
        if prefill.left_s <= 0.0:
            return 0.0
        if load.is_decoding:
            return load.predict_wait(now_s)
        return load.sum_prefills_from(prefill)

    @contextlib.contextmanager
    def watch(
        self, endpoint_id: str, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Calls a function after each further job that is placed on an engine.

        Args:
          endpoint_id: the engine.
          callback: must not place a job itself.

        Yields:
          Nothing; the callback is called while the context is open.
        """
        callbacks = self._watchers.setdefault(endpoint_id, [])
        callbacks.append(callback)
        try:
            yield
        finally:
            callbacks.remove(callback)
            if not callbacks:
                self._watchers.pop(endpoint_id, None)

    def remove(self, job_id: str) -> None:
        """Removes a job that ended; an unknown one is ignored."""
        placed = self._jobs.pop(job_id, None)
        if placed is None:
            return
        del self._expiries[job_id]
        self.find(placed.job.endpoint_id).jobs.pop(job_id, None)
        for prefill in placed.prefills:
            load = self.find(prefill.endpoint_id)
            load.tokens -= prefill.tokens
            load.changes += 1
            load.helper_prefills.pop(job_id, None)
            load.drop(placed)

    def end(self, job_id: str, now_s: float) -> None:
        """Removes a peer's job that ended, and learns from its duration."""
        placed = self._jobs.get(job_id)
        if placed is None:
            return
        job = placed.job
        taken_s = now_s - placed.placed_s
        self.speeds.note_duration(
            job.endpoint_id, job.prompt_tokens, taken_s, now_s
        )
        self.remove(job_id)

    def remove_source(self, source: str) -> None:
        """Removes all jobs of a source that is gone, such as an instance.

        Args:
          source: the part of its job ids before the last dot.
        """
        for job_id in [j for j in self._jobs if j.rpartition(".")[0] == source]:
            self.remove(job_id)

    def remove_engine(self, endpoint_id: str) -> None:
        """Clears an engine that restarted.

        The jobs that it was decoding are over. What it prefilled or held for
        other engines is lost, although those may not have noticed yet.
        """
        self.recent.forget(endpoint_id)
        load = self._loads.get(endpoint_id)
        if load is None:
            return
        for job_id in list(load.jobs):
            self.remove(job_id)
        for placed in self._jobs.values():
            for prefill in placed.prefills:
                if prefill.endpoint_id == endpoint_id:
                    prefill.left_s = 0.0
                    prefill.tokens = 0
        del self._loads[endpoint_id]

    def expire(self, now_s: float) -> None:
        """Removes the jobs that are older than ``JOB_TTL_S``."""
        for job_id in [
            j for j, end_s in self._expiries.items() if end_s <= now_s
        ]:
            self.remove(job_id)

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forgets unlisted engines without jobs and without memory in use."""
        kept = set(endpoint_ids)
        self.recent.keep_only(kept)
        for endpoint_id in [e for e in self._loads if e not in kept]:
            load = self._loads[endpoint_id]
            if not load.jobs and not load.tokens:
                del self._loads[endpoint_id]
        self.speeds.keep_only(self._loads)
