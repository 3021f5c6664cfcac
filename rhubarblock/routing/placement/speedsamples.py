"""Derives observations of engine speeds from the events of one answer.

Prefills and decoding of other callers lengthen the times of an answer as well.
So a time counts only if the tracked jobs of the engine explain it:

* A pause counts if the engine had no prefill left and no job came or went in it
  and in the pause before: a prefill that arrives in a pass is done in the next.
  Of several pauses the one at the lower quartile counts, as prefills that are
  announced late lengthen pauses and nothing shortens them.
* A first event counts if its engine had no other prefill and no job came or
  went until then. A prompt that several engines prefill bounds the factors of
  all of them, and shows that of the one of which least is known if the others
  were fast enough.
* Nothing counts at an engine that is nearly full, as some are slower then.
"""

from rhubarblock.core import route as routes
from rhubarblock.routing.placement import jobtracker

# Number of pauses that give one observation: the first one comes soon after the
# first event, and the pauses of one answer are few.
PAUSES = 4
# Shortest prefill, in seconds by the cost model, whose duration is observed:
# the time on the way would count as much as the prefill in a shorter one.
MIN_PREFILL_S = 0.02
# Shortest prefill that is observed at an engine that decodes, in its passes: it
# begins at an unknown time within a pass.
MIN_PREFILL_PASSES = 4.0
# Largest ratio of the times of a pass with and without the memory that is held
# for other engines at which a pause is observed.
MAX_UNCERTAINTY = 1.05
# Longest time between placement and sending, in seconds, at which the tracked
# state explains the first event.
MAX_SENDING_S = 0.02
# Events in a row, with the same jobs, after which a pause counts.
QUIET_EVENTS = 2
# Share of the slots above which an engine is nearly full.
NEARLY_FULL = 0.9


class AnswerSamples:
    """Observes the engines that serve one prompt."""

    __slots__ = (
        "_changes",
        "_clean_since_s",
        "_ids",
        "_is_decoding",
        "_load",
        "_model",
        "_first_ratio",
        "_pauses",
        "_placed_s",
        "_prefill_s",
        "_quiet",
        "_seen_first",
        "_tracker",
    )

    def __init__(
        self,
        tracker: jobtracker.JobTracker,
        job: jobtracker.Job,
        model: routes.EngineCostModel,
        now_s: float,
    ):
        """Starts when the job has been added to the tracker.

        Args:
          tracker: the jobs that are placed on each engine.
          job: the prompt's job.
          model: cost model of the engines.
          now_s: current time in monotonic seconds.
        """
        self._tracker = tracker
        self._model = model
        self._ids = [part.endpoint_id for part in job.parts]
        self._load = tracker.find(job.endpoint_id)
        self._prefill_s = job.parts[0].prefill_s
        self._placed_s = now_s
        self._seen_first = False
        self._clean_since_s: float | None = None
        self._changes = self._count_changes()
        self._is_decoding = self._load.is_decoding
        self._pauses: list[float] = []
        # Events in a row at which the engine had no prefill left and the same
        # jobs as before.
        self._quiet = 0
        self._first_ratio: float | None = None
        if self._is_clean_prefill(job):
            self._clean_since_s = now_s

    def start(self, sent_s: float) -> None:
        """Records when the request was sent, if that was after its placement.

        A request that waited for memory leases begins later than its job, so
        that the backlog of its engines is no longer the predicted one.
        """
        if sent_s - self._placed_s > MAX_SENDING_S:
            self._clean_since_s = None
        self._placed_s = sent_s

    def note_event(self, now_s: float, events: int = 1) -> None:
        """Records that events of the answer arrived.

        Args:
          now_s: current time in monotonic seconds.
          events: how many arrived at once.
        """
        if not self._seen_first:
            self._seen_first = True
            if self._clean_since_s is not None:
                self._first_ratio = self._compute_first(now_s)
                return
        elif self._first_ratio is not None:
            # Jobs that came before the first event may be announced after it.
            if self._count_changes() == self._changes:
                self._note_first(self._first_ratio, now_s)
            self._first_ratio = None
        else:
            self._note_pause(now_s, events)
        self._start_pause(now_s)

    def disturb(self) -> None:
        """Discards the present pause, which this instance itself lengthens."""
        self._clean_since_s = None

    def _is_clean_prefill(self, job: jobtracker.Job) -> bool:
        """Says whether the engines of a placed job prefill nothing else."""
        if self._prefill_s < MIN_PREFILL_S or self._is_nearly_full():
            return False
        loads = [self._tracker.find(endpoint_id) for endpoint_id in self._ids]
        if any(len(load.prefills) != 1 for load in loads):
            return False
        if not any(load.is_decoding for load in loads):
            return True
        pass_s = self._load.predict_model_stride(self._model)
        is_long = self._prefill_s >= MIN_PREFILL_PASSES * pass_s
        return is_long and len(job.parts) == 1

    def _compute_first(self, now_s: float) -> float:
        """Returns how much longer the first event took than predicted."""
        expected_s = self._prefill_s
        if self._is_decoding:
            expected_s += 1.5 * self._load.predict_model_stride(self._model)
        return (now_s - self._placed_s) / expected_s

    def _note_first(self, ratio: float, now_s: float) -> None:
        speeds = self._tracker.speeds
        if len(self._ids) == 1:
            speeds.note_prefill(self._ids[0], ratio, self._prefill_s, now_s)
            return
        unknown = []
        slowest = 0.0
        for endpoint_id in self._ids:
            factors = speeds.find(endpoint_id)
            slowest = max(slowest, factors.prefill)
            if factors.prefill > ratio:
                speeds.note_prefill(endpoint_id, ratio, self._prefill_s, now_s)
            if not factors.is_known:
                unknown.append(endpoint_id)
        if slowest < ratio and len(unknown) == 1:
            speeds.note_prefill(unknown[0], ratio, self._prefill_s, now_s)

    def _start_pause(self, now_s: float) -> None:
        self._clean_since_s = now_s
        self._ids = self._ids[:1]
        self._load.settle(now_s)
        is_same = self._load.changes == self._changes
        self._quiet = self._quiet + 1 if is_same else 1
        self._changes = self._load.changes
        if self._load.prefills or self._is_nearly_full():
            self._quiet = 0

    def _note_pause(self, now_s: float, events: int) -> None:
        since_s = self._clean_since_s
        if since_s is None or events != 1 or self._quiet < QUIET_EVENTS:
            return
        if self._load.changes != self._changes:
            return
        pass_s = self._predict_pass()
        if pass_s is None:
            return
        self._pauses.append((now_s - since_s) / pass_s)
        if len(self._pauses) < PAUSES:
            return
        ratio = sorted(self._pauses)[PAUSES // 4]
        self._pauses.clear()
        self._tracker.speeds.note_pass(self._ids[0], ratio, now_s)

    def _predict_pass(self) -> float | None:
        """Returns the seconds of a pass; None if its context is uncertain.

        Memory that is held for other engines may or may not lengthen a pass.
        """
        load = self._load
        decoded = sum(
            placed.prefills[0].tokens for placed in load.jobs.values()
        )
        least_s = self._model.predict_stride(len(load.jobs), decoded)
        most_s = load.predict_model_stride(self._model)
        return least_s if most_s <= MAX_UNCERTAINTY * least_s else None

    def _count_changes(self) -> int:
        """Counts the jobs that came to its engines or went."""
        return sum(
            self._tracker.find(endpoint_id).changes for endpoint_id in self._ids
        )

    def _is_nearly_full(self) -> bool:
        used = max(
            len(self._load.jobs) / self._model.slots,
            self._load.tokens / self._model.kv_capacity_tokens,
        )
        return used > NEARLY_FULL
