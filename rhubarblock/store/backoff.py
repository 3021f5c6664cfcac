"""Exponential backoff with jitter between the tries of a call."""

import dataclasses
import random


@dataclasses.dataclass(slots=True, frozen=True)
class BackoffSettings:
    """Bounds of the delays.

    Attributes:
      first_s: maximum of the first delay, in seconds.
      max_s: maximum of any delay, in seconds.
    """

    first_s: float = 0.02
    max_s: float = 1.0


class Backoff:
    """Computes delays that double, each with a uniform jitter down to half.

    The jitter keeps many instances from retrying at the same moment.
    """

    __slots__ = ("_next_s", "_rng", "_settings")

    def __init__(self, rng: random.Random, settings: BackoffSettings):
        """Starts with the first delay."""
        self._rng = rng
        self._settings = settings
        self._next_s = settings.first_s

    def take_delay(self) -> float:
        """Returns the next delay in seconds."""
        delay_s = self._next_s * (0.5 + 0.5 * self._rng.random())
        self._next_s = min(2 * self._next_s, self._settings.max_s)
        return delay_s

    def reset(self) -> None:
        """Restarts with the first delay, after a success."""
        self._next_s = self._settings.first_s
