"""What each engine has before it, as far as this instance knows.

An engine works in passes: a pass takes one step for each token that it writes
and reads prompts between the steps, so reading makes the pauses of those who
write there longer. The book holds what this instance and its peers placed,
and predicts from it how long an engine's next pass lasts.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses

from rhubarblock.core import route as routes

# Seconds after which a job whose end nobody told is forgotten: twice the
# longest time that a caller waits in the deployments known today.
FORGET_S = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """One engine's share of a prompt.

    Attributes:
      endpoint_id: the engine.
      prefill_s: seconds of reading.
      tokens: memory that it holds until the prompt's end; 0 where another
        engine keeps what was read.
    """

    endpoint_id: str
    prefill_s: float
    tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """A prompt that was placed.

    Attributes:
      job_id: unique over all instances.
      parts: where it is read; the first one also writes the answer.
      pause_s: longest pause between its events that is on time, in seconds;
        0 where any is.
      prompt_tokens: length of the whole prompt; 0 where it is not known.
      objective_s: seconds from its placement in which a first event is on
        time; 0 where it is not known.
    """

    job_id: str
    parts: tuple[Part, ...]
    pause_s: float
    prompt_tokens: int = 0
    objective_s: float = 0.0

    @property
    def endpoint_id(self) -> str:
        """The engine that writes the answer."""
        return self.parts[0].endpoint_id


class PlacedJob:
    """A job in the book.

    Attributes:
      job: what was placed.
      placed_s: when, in monotonic seconds.
      prefills: what is left of its reading, a line for each engine.
    """

    __slots__ = ("job", "placed_s", "prefills")

    def __init__(self, job: Job, placed_s: float):
        """Starts with all of its reading before it."""
        self.job = job
        self.placed_s = placed_s
        self.prefills = [Read(self, part, placed_s) for part in job.parts]

    @property
    def writes(self) -> bool:
        """Whether all of it is read, so that its answer is being written."""
        return all(read.left_s <= 0.0 for read in self.prefills)


class Read:
    """What an engine has to read and to hold for a job.

    Attributes:
      placed: the job.
      endpoint_id: the engine.
      left_s: seconds of reading that are left.
      tokens: memory that it holds until the job's end.
      placed_s: when it was placed, in monotonic seconds.
    """

    __slots__ = ("endpoint_id", "left_s", "placed", "placed_s", "tokens")

    def __init__(self, placed: PlacedJob, part: Part, placed_s: float):
        """Starts unread."""
        self.placed = placed
        self.endpoint_id = part.endpoint_id
        self.left_s = part.prefill_s
        self.tokens = part.tokens
        self.placed_s = placed_s


class EngineLoad:
    """What one engine has before it.

    An engine reads what came last first: a part for another engine goes before
    its other reading. While it writes, all that waits is read in one pass.

    Attributes:
      prefills: reading that is left, the latest last.
      jobs: what it writes, or will write, by job id.
      helps: its part of what others write, by job id.
      tokens: tokens of memory in use.
    """

    __slots__ = ("_settled_s", "helps", "jobs", "prefills", "tokens")

    def __init__(self) -> None:
        self._settled_s = 0.0
        self.helps: dict[str, Read] = {}
        self.prefills: list[Read] = []
        self.jobs: dict[str, PlacedJob] = {}
        self.tokens = 0

    @property
    def writes(self) -> bool:
        """Whether it writes at present, and so reads in long passes."""
        return any(placed.writes for placed in self.jobs.values())

    def count_helped(self) -> int:
        """Returns how many others it reads or holds memory for at present."""
        return sum(
            1 for read in self.helps.values() if read.left_s > 0 or read.tokens
        )

    def settle(self, now_s: float) -> None:
        """Takes off what was read since the last time."""
        spent_s = max(0.0, now_s - self._settled_s)
        self._settled_s = max(now_s, self._settled_s)
        while self.prefills and spent_s > 0.0:
            read = self.prefills[-1]
            taken_s = min(spent_s, read.left_s)
            read.left_s -= taken_s
            spent_s -= taken_s
            if read.left_s <= 0.0:
                self.prefills.pop()

    def settle_from(self, load: "EngineLoad", now_s: float) -> None:
        """Settles reading that was copied from another load."""
        self._settled_s = load._settled_s
        self.settle(now_s)

    def predict_wait(self, now_s: float) -> float:
        """Returns the seconds of reading that lie before it."""
        self.settle(now_s)
        return sum(read.left_s for read in self.prefills)

    def predict_stride(self, model: routes.EngineCostModel) -> float:
        """Returns the seconds of a pass that reads nothing."""
        return model.predict_stride(len(self.jobs), self.tokens)

    def sum_newer(self, read: Read) -> float:
        """Returns the seconds of a read and of all that goes before it."""
        total_s = 0.0
        for other in reversed(self.prefills):
            total_s += other.left_s
            if other is read:
                break
        return total_s

    def drop(self, placed: PlacedJob) -> None:
        """Forgets the reading of a job that ended."""
        self.prefills = [
            read for read in self.prefills if read.placed is not placed
        ]


class JobTracker:
    """Loads of all engines."""

    __slots__ = ("_ends", "_jobs", "_loads", "_watchers")

    def __init__(self) -> None:
        self._loads: dict[str, EngineLoad] = {}
        self._jobs: dict[str, PlacedJob] = {}
        self._ends: dict[str, float] = {}
        self._watchers: dict[str, list[Callable[[], None]]] = {}

    def find(self, endpoint_id: str) -> EngineLoad:
        """Returns the load of an engine; an unknown one has none."""
        load = self._loads.get(endpoint_id)
        if load is None:
            load = self._loads[endpoint_id] = EngineLoad()
        return load

    def add(self, job: Job, now_s: float) -> None:
        """Takes in a job that was placed."""
        if job.job_id in self._jobs:
            return
        placed = PlacedJob(job, now_s)
        self._jobs[job.job_id] = placed
        self._ends[job.job_id] = now_s + FORGET_S
        self.find(job.endpoint_id).jobs[job.job_id] = placed
        for part, read in zip(job.parts, placed.prefills, strict=True):
            load = self.find(part.endpoint_id)
            load.settle(now_s)
            load.tokens += part.tokens
            load.prefills.append(read)
            if part.endpoint_id != job.endpoint_id:
                load.helps[job.job_id] = read
        for part in job.parts:
            for callback in list(self._watchers.get(part.endpoint_id, ())):
                callback()

    def look_ahead(self, at_s: float) -> "JobTracker":
        """Returns the book as it will be if nothing comes or ends until then.

        Args:
          at_s: a moment to come, in monotonic seconds.
        """
        later = JobTracker()
        for placed in self._jobs.values():
            later.copy_job(placed)
        for endpoint_id, load in self._loads.items():
            later.copy_reads(endpoint_id, load, at_s)
        return later

    def copy_job(self, placed: PlacedJob) -> None:
        """Takes in a job of another book, without its reading."""
        job = placed.job
        copied = PlacedJob(job, placed.placed_s)
        for read in copied.prefills:
            read.left_s = 0.0
        self._jobs[job.job_id] = copied
        self.find(job.endpoint_id).jobs[job.job_id] = copied
        for read in copied.prefills[1:]:
            self.find(read.endpoint_id).helps[job.job_id] = read

    def copy_reads(
        self, endpoint_id: str, load: EngineLoad, at_s: float
    ) -> None:
        """Takes in what an engine of another book will still have to read."""
        copied = self.find(endpoint_id)
        copied.tokens = load.tokens
        for read in load.prefills:
            placed = self._jobs[read.placed.job.job_id]
            for own in placed.prefills:
                if own.endpoint_id == endpoint_id:
                    own.left_s = read.left_s
                    copied.prefills.append(own)
        copied.settle_from(load, at_s)

    def predict_finish(self, placed: PlacedJob, now_s: float) -> float:
        """Returns the seconds until a job is read to its end."""
        return max(
            (self._predict_end(read, now_s) for read in placed.prefills),
            default=0.0,
        )

    def _predict_end(self, read: Read, now_s: float) -> float:
        load = self.find(read.endpoint_id)
        load.settle(now_s)
        if read.left_s <= 0.0:
            return 0.0
        if load.writes:
            return load.predict_wait(now_s)
        return load.sum_newer(read)

    @contextlib.contextmanager
    def watch(
        self, endpoint_id: str, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Calls back after each further job placed at an engine.

        Args:
          endpoint_id: the engine.
          callback: must not place anything itself.

        Yields:
          Nothing; it is called while the context is open.
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
        """Takes in the end of a job."""
        placed = self._jobs.pop(job_id, None)
        if placed is None:
            return
        del self._ends[job_id]
        self.find(placed.job.endpoint_id).jobs.pop(job_id, None)
        for read in placed.prefills:
            load = self.find(read.endpoint_id)
            load.tokens -= read.tokens
            load.helps.pop(job_id, None)
            load.drop(placed)

    def remove_source(self, source: str) -> None:
        """Takes in that what placed jobs is no more, and so are they.

        Args:
          source: what the ids of its jobs begin with, before the last dot.
        """
        for job_id in [j for j in self._jobs if j.rpartition(".")[0] == source]:
            self.remove(job_id)

    def remove_engine(self, endpoint_id: str) -> None:
        """Takes in that an engine started anew and holds nothing of before.

        What it was writing is over; what it was reading or holding for others
        is gone, though they may not know it yet.
        """
        load = self._loads.get(endpoint_id)
        if load is None:
            return
        for job_id in list(load.jobs):
            self.remove(job_id)
        for placed in self._jobs.values():
            for read in placed.prefills:
                if read.endpoint_id == endpoint_id:
                    read.left_s = 0.0
                    read.tokens = 0
        del self._loads[endpoint_id]

    def expire(self, now_s: float) -> None:
        """Forgets jobs whose end was never told."""
        for job_id in [j for j, end_s in self._ends.items() if end_s <= now_s]:
            self.remove(job_id)

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forgets engines that are not there any more."""
        kept = set(endpoint_ids)
        for endpoint_id in [e for e in self._loads if e not in kept]:
            load = self._loads[endpoint_id]
            if not load.jobs and not load.tokens:
                del self._loads[endpoint_id]
