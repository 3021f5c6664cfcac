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
      read_s: seconds of reading.
      tokens: memory that it holds until the prompt's end; 0 where another
        engine keeps what was read.
    """

    endpoint_id: str
    read_s: float
    tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """A prompt that was placed.

    Attributes:
      job_id: unique over all instances.
      parts: where it is read; the first one also writes the answer.
      pause_s: longest pause between its events that is on time, in seconds;
        0 where any is.
    """

    job_id: str
    parts: tuple[Part, ...]
    pause_s: float

    @property
    def endpoint_id(self) -> str:
        """The engine that writes the answer."""
        return self.parts[0].endpoint_id


class EngineLoad:
    """What one engine has before it.

    Attributes:
      busy_until_s: when it has read what was given to it, in monotonic
        seconds.
      jobs: what it writes, or will write, by job id.
      tokens: tokens of memory in use.
    """

    __slots__ = ("busy_until_s", "jobs", "tokens")

    def __init__(self) -> None:
        self.busy_until_s = 0.0
        self.jobs: dict[str, Job] = {}
        self.tokens = 0

    @property
    def tightest_pause_s(self) -> float:
        """The shortest pause that one of its writers allows, in seconds."""
        pauses = [job.pause_s for job in self.jobs.values() if job.pause_s]
        return min(pauses, default=float("inf"))

    def predict_wait(self, now_s: float) -> float:
        """Returns the seconds of reading that lie before new work."""
        return max(0.0, self.busy_until_s - now_s)

    def predict_stride(self, model: routes.EngineModel) -> float:
        """Returns the seconds of a pass that reads nothing."""
        return model.predict_stride(len(self.jobs), self.tokens)


class EngineBook:
    """Loads of all engines."""

    __slots__ = ("_ends", "_jobs", "_loads", "_watchers")

    def __init__(self) -> None:
        self._loads: dict[str, EngineLoad] = {}
        self._jobs: dict[str, Job] = {}
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
        self._jobs[job.job_id] = job
        self._ends[job.job_id] = now_s + FORGET_S
        self.find(job.endpoint_id).jobs[job.job_id] = job
        for part in job.parts:
            load = self.find(part.endpoint_id)
            load.busy_until_s = max(load.busy_until_s, now_s) + part.read_s
            load.tokens += part.tokens
        for part in job.parts:
            for callback in list(self._watchers.get(part.endpoint_id, ())):
                callback()

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
        job = self._jobs.pop(job_id, None)
        if job is None:
            return
        del self._ends[job_id]
        self.find(job.endpoint_id).jobs.pop(job_id, None)
        for part in job.parts:
            self.find(part.endpoint_id).tokens -= part.tokens

    def remove_source(self, source: str) -> None:
        """Takes in that what placed jobs is no more, and so are they.

        Args:
          source: what the ids of its jobs begin with, before the last dot.
        """
        for job_id in [j for j in self._jobs if j.rpartition(".")[0] == source]:
            self.remove(job_id)

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
