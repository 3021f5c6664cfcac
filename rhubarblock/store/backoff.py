"""Waits between tries of a call to the platform."""

import dataclasses
import random


@dataclasses.dataclass(slots=True, frozen=True)
class BackoffSettings:
    """How waits grow.

    Attributes:
      first_s: longest first wait in seconds.
      max_s: longest wait in seconds.
    """

    first_s: float = 0.02
    max_s: float = 1.0


class Backoff:
    """Gives waits that double in length, spread evenly down to half.

    The spread keeps many instances from coming back at the same moment.
    """

    __slots__ = ("_next_s", "_rng", "_settings")

    def __init__(self, rng: random.Random, settings: BackoffSettings):
        """Starts with the first wait."""
        self._rng = rng
        self._settings = settings
        self._next_s = settings.first_s

    def take_delay(self) -> float:
        """Returns the next wait in seconds."""
        delay_s = self._next_s * (0.5 + 0.5 * self._rng.random())
        self._next_s = min(2 * self._next_s, self._settings.max_s)
        return delay_s

    def reset(self) -> None:
        """Starts with the first wait again, after a success."""
        self._next_s = self._settings.first_s
