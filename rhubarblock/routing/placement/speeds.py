"""Learns how much slower or faster each engine is than the cost model.

Each observation is a ratio of an observed to a predicted time. The estimate of
an engine is the mean of the logarithms of its ratios, weighted by their age,
and is drawn towards the cost model: one observation counts less than several,
and an engine that is no longer observed returns to the cost model. Estimates
below the noise threshold have no effect at all, so that placement on engines
of equal speed is exactly that of the cost model.

An instance sees the answers of few engines. Of the others it knows how long the
jobs of its peers ran, as their begin and end are announced anyway. The lengths
of their answers are unknown, so that one such duration says little, and it is
compared with the mean of jobs of like prompts. Durations count only in a pool
in which some engine was observed to deviate.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

# Seconds after which the weight of an observation has halved.
HALF_LIFE_S = 120.0
# Weight of the cost model against the observations of an engine, which have at
# most the weight 1. Such a one summarises several pauses or a long prefill, so
# that a single one already outweighs the cost model.
MODEL_WEIGHT = 0.15
# Seconds of a prefill, by the cost model, from which on it has the weight 1.
# What the engine did before delays a prefill by up to a pass, so that shorter
# ones say less of its speed.
FULL_WEIGHT_S = 0.6
# Largest weight of all observations of an engine together, so that its estimate
# follows within a few observations when its speed changes.
MAX_WEIGHT = 4.0
# Weight of what is known of an engine in general against the observations of
# its prefills or of its passes alone.
COMMON_WEIGHT = 0.5
# An engine deviates once its estimate differs from the cost model by the first
# factor, until it differs by less than the second one. Predictions for engines
# that are as fast as the model err by up to about a tenth.
DEVIATION = 1.25
NO_DEVIATION = 1.15
# Bounds of a factor: a ratio beyond them has another cause than speed.
MIN_FACTOR = 0.2
MAX_FACTOR = 6.0
# Weight of the observations of an engine from which its speed is known.
KNOWN_WEIGHT = 0.4
# Weight of the duration of a peer's job. Lengths of answers vary by a factor of
# two, which is more than speeds do, so about twenty durations weigh as much
# as one observation.
DURATION_WEIGHT = 0.05
# Jobs of like prompts from which their mean duration is known, and the largest
# number that counts in it, so that it follows the load.
MIN_BAND_JOBS = 5
MAX_BAND_JOBS = 200
# Upper bounds of the bands of like prompts, in tokens.
BANDS = (16_000, 120_000)
# Seconds between two updates of the estimates for their age.
REFRESH_S = 1.0


@dataclasses.dataclass(slots=True)
class Factors:
    """How much longer an engine takes than the cost model predicts.

    Attributes:
      prefill: factor of the time of a prefill.
      passes: factor of the time of a pass that only decodes.
      is_known: whether enough of it was observed of late.
    """

    prefill: float = 1.0
    passes: float = 1.0
    is_known: bool = False

    @property
    def deviates(self) -> bool:
        """Whether the engine deviates from the cost model."""
        return self.prefill != 1.0 or self.passes != 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """An engine began or ceased to deviate from the cost model.

    Attributes:
      endpoint_id: the engine.
      deviates: whether it deviates now.
      prefill: estimated factor of its prefills.
      passes: estimated factor of its passes.
      weight: weight of all its observations, by which they are trusted.
      age_s: seconds since its last observation.
      deviating: number of all engines that deviate now.
    """

    endpoint_id: str
    deviates: bool
    prefill: float
    passes: float
    weight: float
    age_s: float
    deviating: int


class _Mean:
    """A mean of logarithms of ratios whose weights decay with age."""

    __slots__ = ("_log", "_noted_s", "_weight")

    def __init__(self) -> None:
        self._log = 0.0
        self._noted_s = 0.0
        self._weight = 0.0

    @property
    def log(self) -> float:
        """The mean of the logarithms."""
        return self._log

    @property
    def noted_s(self) -> float:
        """When the last ratio was added, in monotonic seconds."""
        return self._noted_s

    def find_weight(self, now_s: float) -> float:
        """Returns the weight of all ratios at a time."""
        age_s = max(0.0, now_s - self._noted_s)
        return self._weight * 0.5 ** (age_s / HALF_LIFE_S)

    def add(self, ratio: float, weight: float, now_s: float) -> None:
        """Adds a ratio."""
        bounded = min(MAX_FACTOR, max(MIN_FACTOR, ratio))
        before = min(MAX_WEIGHT - weight, self.find_weight(now_s))
        self._weight = before + weight
        self._log += (math.log(bounded) - self._log) * weight / self._weight
        self._noted_s = now_s


class _Estimate:
    """What is known of one engine.

    Attributes:
      pool: the pool that it belongs to.
      durations: ratios of the durations of peers' jobs to the mean.
      prefill: ratios of its prefills.
      passes: ratios of its passes.
      factors: what placement uses.
      deviates: whether it deviates from the cost model.
    """

    __slots__ = (
        "deviates",
        "durations",
        "factors",
        "passes",
        "pool",
        "prefill",
    )

    def __init__(self, pool: str, factors: Factors) -> None:
        self.pool = pool
        self.durations = _Mean()
        self.prefill = _Mean()
        self.passes = _Mean()
        self.factors = factors
        self.deviates = False

    def compute_logs(
        self, now_s: float, middle_log: float | None = None
    ) -> tuple[float, float]:
        """Returns the logarithms of the factors of prefills and of passes.

        An engine is taken to be as slow in one as in the other until
        observations of both differ.

        Args:
          now_s: current time in monotonic seconds.
          middle_log: logarithm of the factor of an average engine of the pool;
            None if the durations of peers' jobs do not count.
        """
        prefill_weight = self.prefill.find_weight(now_s)
        pass_weight = self.passes.find_weight(now_s)
        common = prefill_weight * self.prefill.log
        common += pass_weight * self.passes.log
        weight = prefill_weight + pass_weight + MODEL_WEIGHT
        if middle_log is not None:
            duration_weight = self.durations.find_weight(now_s)
            common += duration_weight * (self.durations.log + middle_log)
            weight += duration_weight
        common /= weight
        return (
            _combine(self.prefill.log, prefill_weight, common),
            _combine(self.passes.log, pass_weight, common),
        )

    def find_weight(self, now_s: float) -> float:
        """Returns the weight of all observations."""
        weight = self.prefill.find_weight(now_s)
        return weight + self.passes.find_weight(now_s)

    def is_seen_to_deviate(self, now_s: float) -> bool:
        """Says whether its own answers show that it deviates."""
        if self.find_weight(now_s) < KNOWN_WEIGHT:
            return False
        logs = self.compute_logs(now_s)
        return max(map(abs, logs)) >= math.log(DEVIATION)

    def apply(self, now_s: float, middle_log: float | None) -> bool:
        """Updates the factors; returns whether it began or ceased to deviate.

        Below the threshold the factors are exactly 1. For the arguments see
        ``compute_logs``.
        """
        logs = self.compute_logs(now_s, middle_log)
        limit = NO_DEVIATION if self.deviates else DEVIATION
        before = self.deviates
        self.deviates = max(map(abs, logs)) >= math.log(limit)
        used = logs if self.deviates else (0.0, 0.0)
        weight = self.find_weight(now_s)
        if middle_log is not None:
            weight += self.durations.find_weight(now_s)
        self.factors.is_known = weight >= KNOWN_WEIGHT
        self.factors.prefill, self.factors.passes = map(math.exp, used)
        return self.deviates is not before


class EngineSpeeds:
    """The learned speeds of all engines.

    Attributes:
      on_change: called when an engine begins or ceases to deviate.
      find_pool: returns the pool of an engine; engines of different pools are
        not compared.
    """

    __slots__ = (
        "_bands",
        "_estimates",
        "_factors",
        "_middle_logs",
        "_refreshed_s",
        "find_pool",
        "on_change",
    )

    def __init__(self) -> None:
        self._factors: dict[str, Factors] = {}
        self._estimates: dict[str, _Estimate] = {}
        # Number of jobs and mean logarithm of their durations by pool and band.
        self._bands: dict[tuple[str, int], tuple[int, float]] = {}
        # Of the pools in which some engine deviates.
        self._middle_logs: dict[str, float] = {}
        self._refreshed_s = 0.0
        self.find_pool: Callable[[str], str] = _find_only_pool
        self.on_change: Callable[[Change], None] = _ignore

    def find(self, endpoint_id: str) -> Factors:
        """Returns the factors of an engine, which change as it is observed."""
        factors = self._factors.get(endpoint_id)
        if factors is None:
            factors = self._factors[endpoint_id] = Factors()
        return factors

    def note_prefill(
        self, endpoint_id: str, ratio: float, prefill_s: float, now_s: float
    ) -> None:
        """Records how long a prefill took.

        Args:
          endpoint_id: the engine.
          ratio: observed time divided by that of the cost model.
          prefill_s: seconds of the prefill by the cost model; a short one has
            little weight.
          now_s: current time in monotonic seconds.
        """
        estimate = self._find_estimate(endpoint_id)
        weight = min(1.0, prefill_s / FULL_WEIGHT_S)
        estimate.prefill.add(ratio, weight, now_s)
        self._apply(endpoint_id, estimate, now_s)

    def note_pass(self, endpoint_id: str, ratio: float, now_s: float) -> None:
        """Records how long passes took; for the arguments see above."""
        estimate = self._find_estimate(endpoint_id)
        estimate.passes.add(ratio, 1.0, now_s)
        self._apply(endpoint_id, estimate, now_s)

    def note_duration(
        self, endpoint_id: str, tokens: int, taken_s: float, now_s: float
    ) -> None:
        """Records how long a peer's job ran; it counts at the next refresh.

        Args:
          endpoint_id: the engine that decoded it.
          tokens: length of its prompt.
          taken_s: seconds from its placement to its end.
          now_s: current time in monotonic seconds.
        """
        if taken_s <= 0.0:
            return
        estimate = self._find_estimate(endpoint_id)
        band = (estimate.pool, bisect.bisect_left(BANDS, tokens))
        jobs, mean = self._bands.get(band, (0, 0.0))
        jobs = min(MAX_BAND_JOBS, jobs + 1)
        log = math.log(taken_s)
        mean += (log - mean) / jobs
        self._bands[band] = (jobs, mean)
        if jobs >= MIN_BAND_JOBS:
            ratio = math.exp(log - mean)
            estimate.durations.add(ratio, DURATION_WEIGHT, now_s)

    def refresh(self, now_s: float) -> None:
        """Lets the estimates age; does nothing if that was done recently."""
        if now_s - self._refreshed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        self._compute_middles(now_s)
        for endpoint_id, estimate in self._estimates.items():
            self._apply(endpoint_id, estimate, now_s)

    def forget(self, endpoint_id: str) -> None:
        """Forgets what was learned of an engine that restarted."""
        if self._estimates.pop(endpoint_id, None) is not None:
            # Loads keep a reference, so the factors are reset in place.
            factors = self._factors[endpoint_id]
            factors.prefill = factors.passes = 1.0
            factors.is_known = False

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Drops all engines but these."""
        kept = set(endpoint_ids)
        for endpoint_id in [e for e in self._factors if e not in kept]:
            self.forget(endpoint_id)
            del self._factors[endpoint_id]

    def _find_estimate(self, endpoint_id: str) -> _Estimate:
        found = self._estimates.get(endpoint_id)
        if found is None:
            pool = self.find_pool(endpoint_id)
            found = _Estimate(pool, self.find(endpoint_id))
            self._estimates[endpoint_id] = found
        return found

    def _compute_middles(self, now_s: float) -> None:
        """Computes the factor of an average engine of each uneven pool.

        Durations show only how engines compare with each other. Those that were
        observed themselves show how they compare with the cost model.
        """
        uneven = {
            estimate.pool
            for estimate in self._estimates.values()
            if estimate.is_seen_to_deviate(now_s)
        }
        self._middle_logs = {}
        for pool in uneven:
            differences = [
                estimate.compute_logs(now_s)[1] - estimate.durations.log
                for estimate in self._estimates.values()
                if estimate.pool == pool
                and estimate.passes.find_weight(now_s) >= KNOWN_WEIGHT
                and estimate.durations.find_weight(now_s) > 0.0
            ]
            # The cost model counts as one more engine.
            middle_log = sum(differences) / (len(differences) + 1)
            self._middle_logs[pool] = middle_log

    def _apply(
        self, endpoint_id: str, estimate: _Estimate, now_s: float
    ) -> None:
        middle_log = self._middle_logs.get(estimate.pool)
        if not estimate.apply(now_s, middle_log):
            return
        logs = estimate.compute_logs(now_s, middle_log)
        prefill, passes = map(math.exp, logs)
        means = (estimate.prefill, estimate.passes, estimate.durations)
        noted_s = max(mean.noted_s for mean in means)
        weight = estimate.find_weight(now_s)
        self.on_change(
            Change(
                endpoint_id,
                estimate.deviates,
                prefill,
                passes,
                weight,
                now_s - noted_s,
                sum(found.deviates for found in self._estimates.values()),
            )
        )


def _combine(log: float, weight: float, common: float) -> float:
    """Returns the mean of one kind, drawn towards what is known in general."""
    return (weight * log + COMMON_WEIGHT * common) / (weight + COMMON_WEIGHT)


def _find_only_pool(endpoint_id: str) -> str:
    del endpoint_id
    return ""


def _ignore(change: Change) -> None:
    del change
