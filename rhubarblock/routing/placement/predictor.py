"""Predicts the duration of prompts, for admission by deadline.

For each model, prefill and decode times are kept as a smoothed mean of the
ratio between observed and nominal time, with a smoothed mean deviation, like
the round-trip estimate of TCP. The nominal time covers the length of a prompt;
the ratio covers the state of the fleet. Prefill has a ratio for each band of
lengths, because a wait that doubles the time of a short prompt hardly matters
to a long one.
"""

import bisect
import dataclasses

from rhubarblock.routing.placement import loadtable

# Nominal seconds of one engine iteration, and of the gap between two tokens.
NOMINAL_START_S = 0.010
NOMINAL_GAP_S = 0.010
# Prompt lengths in tokens at which a new band begins.
BAND_TOKENS = (8_000, 64_000, 200_000)
# Weight of a new observation in the mean and the deviation.
GAIN = 0.05
# Mean deviations that a prediction adds to the mean.
DEVIATIONS = 3.0


@dataclasses.dataclass(slots=True)
class Estimate:
    """Smoothed mean and mean deviation of a ratio."""

    mean: float = 1.0
    deviation: float = 0.25

    def observe(self, value: float) -> None:
        """Adds one observed ratio."""
        error = value - self.mean
        self.mean += GAIN * error
        self.deviation += GAIN * (abs(error) - self.deviation)

    def bound(self) -> float:
        """Returns a ratio that few observations exceed."""
        return self.mean + DEVIATIONS * self.deviation


class Predictor:
    """Predicts the duration of the prompts of each model."""

    __slots__ = ("_gaps", "_starts")

    def __init__(self) -> None:
        self._starts: dict[str, tuple[Estimate, ...]] = {}
        self._gaps: dict[str, Estimate] = {}

    def observe_first_token(
        self, model: str, prompt_tokens: int, elapsed_s: float
    ) -> None:
        """Adds the seconds from dispatch to the first token."""
        estimate = self._find_start(model, prompt_tokens)
        estimate.observe(elapsed_s / nominal_start(prompt_tokens))

    def observe_decode(self, model: str, tokens: int, elapsed_s: float) -> None:
        """Adds the seconds that the tokens after the first one took."""
        if tokens > 0:
            estimate = self._gaps.setdefault(model, Estimate())
            estimate.observe(elapsed_s / (tokens * NOMINAL_GAP_S))

    def bound_total(
        self, model: str, prompt_tokens: int, max_tokens: int
    ) -> float:
        """Returns seconds from dispatch to the end that few prompts exceed."""
        start = self._find_start(model, prompt_tokens).bound()
        decode_s = self.bound_decode(model, max_tokens)
        return nominal_start(prompt_tokens) * start + decode_s

    def bound_decode(self, model: str, max_tokens: int) -> float:
        """Returns seconds of decoding that few outputs exceed."""
        gap = self._gaps.setdefault(model, Estimate()).bound()
        return max_tokens * NOMINAL_GAP_S * gap

    def _find_start(self, model: str, prompt_tokens: int) -> Estimate:
        bands = self._starts.get(model)
        if bands is None:
            bands = tuple(Estimate() for _ in range(len(BAND_TOKENS) + 1))
            self._starts[model] = bands
        return bands[bisect.bisect_right(BAND_TOKENS, prompt_tokens)]


def nominal_start(prompt_tokens: int) -> float:
    """Returns the seconds until the first token on an otherwise idle engine."""
    return NOMINAL_START_S + prompt_tokens / loadtable.PRIOR_PREFILL_RATE
