"""One engine as a placement sees it: what it would do, and to whom.

A part of a prompt takes something from those who are at its engine already: it
makes the pauses of answers that are written there longer, and goes before
reading that was placed earlier. A view foretells both, in the unit of
``lateness``.
"""

import dataclasses

from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.placement import lateness

# Seconds until an engine that only reads turns to a new part: half of the
# piece of a long prompt that it reads at once.
TURN_S = 0.03
# Seconds within which what is placed at an engine that writes is read in one
# pass: about the length of a pass that reads nothing.
SAME_PASS_S = 0.05


class Outlook:
    """When each job that is still being read will be, as of one moment.

    Attributes:
      now_s: the moment, in monotonic seconds.
    """

    __slots__ = ("_tracker", "_finishes", "now_s")

    def __init__(self, tracker: jobtracker.JobTracker, now_s: float):
        """Starts without having looked at any job."""
        self._tracker = tracker
        self._finishes: dict[str, float] = {}
        self.now_s = now_s

    def predict_finish(self, placed: jobtracker.PlacedJob) -> float:
        """Returns the seconds until a job is read to its end."""
        job_id = placed.job.job_id
        finish_s = self._finishes.get(job_id)
        if finish_s is None:
            finish_s = self._tracker.predict_finish(placed, self.now_s)
            self._finishes[job_id] = finish_s
        return finish_s

    def weigh_later(
        self, placed: jobtracker.PlacedJob, finish_s: float
    ) -> float:
        """Returns what it costs that a job is read to its end later.

        Args:
          placed: the job.
          finish_s: seconds until then.
        """
        job = placed.job
        before_s = self.predict_finish(placed)
        if finish_s <= before_s or not job.objective_s:
            return 0.0
        since_s = self.now_s - placed.placed_s
        shares = [
            lateness.weigh_delay(since_s + s, job.objective_s, job.pause_s)
            for s in (before_s, finish_s)
        ]
        return lateness.weigh_prompt(job.prompt_tokens) * (
            shares[1] - shares[0]
        )


@dataclasses.dataclass(slots=True)
class EngineView:
    """An engine that may read a part.

    Attributes:
      endpoint: the engine.
      load: what it has before it.
      outlook: when the jobs there will be read.
      stride_s: seconds of a pass that reads nothing.
      wait_s: seconds of reading that it has before it.
      joint_s: the part of these that was placed within the present pass.
      writes: whether it writes at present.
      is_far: whether it stands in another data centre.
      free_slots: places for further requests that write; below 0 where some
        wait for one.
      free_helps: others that it may read or hold memory for besides; below 0
        where it does so for too many.
      room: tokens of memory that are free.
    """

    endpoint: lists.ListedEndpoint
    load: jobtracker.EngineLoad
    outlook: Outlook
    stride_s: float
    wait_s: float
    joint_s: float
    writes: bool
    is_far: bool
    free_slots: int
    free_helps: int
    room: int

    def predict_end(self, prefill_s: float) -> float:
        """Returns the seconds until it has read a part that is placed now."""
        if self.writes:
            return (
                max(self.wait_s, self.stride_s / 2) + self.stride_s + prefill_s
            )
        return prefill_s + (TURN_S if self.wait_s else 0.0)

    def predict_pause(self, prefill_s: float, finish_s: float) -> float:
        """Returns the first pause of an answer that is to be written here.

        Args:
          prefill_s: seconds that its own part here takes.
          finish_s: seconds until all of its parts are read.
        """
        if self.writes:
            return self.stride_s
        idle_s = max(0.0, finish_s - prefill_s)
        return self.stride_s + max(0.0, self.wait_s - idle_s)

    def weigh_pauses(self, prefill_s: float) -> float:
        """Returns what a part costs those whose answers are written here.

        Those that are predicted to be late already count as well: predictions
        err, and further parts would come to where they are.
        """
        cost = 0.0
        calm_s = self.stride_s + self.joint_s
        for placed in self.load.jobs.values():
            if placed.writes:
                before_s, after_s = calm_s, calm_s + prefill_s
            else:
                finish_s = self.outlook.predict_finish(placed)
                before_s = self.stride_s
                after_s = before_s + max(0.0, prefill_s - finish_s)
            pause_s = placed.job.pause_s
            share = lateness.weigh_pause(after_s, pause_s)
            share -= lateness.weigh_pause(before_s, pause_s)
            cost += share * lateness.weigh_prompt(placed.job.prompt_tokens)
        return cost

    def list_delayed(
        self, prefill_s: float
    ) -> list[tuple[jobtracker.PlacedJob, float]]:
        """Returns the jobs that a part goes before, and when they end then."""
        if self.writes:
            return []
        ends = []
        end_s = prefill_s
        for read in reversed(self.load.prefills):
            end_s += read.left_s
            ends.append((read.placed, end_s))
        return ends

    def weigh(self, prefill_s: float) -> float:
        """Returns what a part costs all who are here, in short prompts."""
        return self.weigh_pauses(prefill_s) + weigh_delayed([self], prefill_s)


def weigh_delayed(parts: list[EngineView], prefill_s: float) -> float:
    """Returns what parts cost the jobs that they go before, each one once.

    Args:
      parts: the engines that read one part each; at least one.
      prefill_s: seconds that a part takes.
    """
    ends: dict[str, tuple[jobtracker.PlacedJob, float]] = {}
    for part in parts:
        for placed, end_s in part.list_delayed(prefill_s):
            job_id = placed.job.job_id
            if job_id not in ends or ends[job_id][1] < end_s:
                ends[job_id] = (placed, end_s)
    outlook = parts[0].outlook
    return sum(
        outlook.weigh_later(placed, end_s) for placed, end_s in ends.values()
    )


def view_engine(
    endpoint: lists.ListedEndpoint,
    load: jobtracker.EngineLoad,
    outlook: Outlook,
    model: routes.EngineCostModel,
    data_centre: str,
    memory_part: float,
) -> EngineView:
    """Looks at one engine; its book must have been settled."""
    now_s = outlook.now_s
    joint_s = sum(
        read.left_s
        for read in load.prefills
        if now_s - read.placed_s < SAME_PASS_S
    )
    return EngineView(
        endpoint,
        load,
        outlook,
        load.predict_stride(model),
        load.predict_wait(now_s),
        joint_s,
        load.writes,
        endpoint.data_centre != data_centre,
        model.slots - len(load.jobs),
        model.slots - load.count_helped(),
        int(memory_part * model.kv_capacity_tokens) - load.tokens,
    )
