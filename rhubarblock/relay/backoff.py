"""Decides whether and when a failed attempt is retried.

Waits grow exponentially with full jitter: each is drawn uniformly between zero
and a ceiling that doubles, so callers whose attempts failed together do not
retry together.
"""

import random

from rhubarblock.core import verdict as verdicts
from rhubarblock.store import backoff as backoffs


class Backoff:
    """Draws the waits between the attempts of requests."""

    __slots__ = ("_rng", "_settings")

    def __init__(
        self,
        rng: random.Random,
        settings: backoffs.BackoffSettings | None = None,
    ):
        """Creates a backoff.

        Args:
          rng: draws the waits.
          settings: first and longest ceiling, or None for the defaults.
        """
        self._rng = rng
        self._settings = settings or backoffs.BackoffSettings()

    def draw_wait(
        self, attempts: int, now_s: float, deadline_s: float
    ) -> float | None:
        """Draws the wait before the next attempt.

        Args:
          attempts: attempts made so far, at least 1.
          now_s: monotonic time.
          deadline_s: deadline of the request, in monotonic seconds.

        Returns:
          Seconds to wait, or None if the deadline would pass meanwhile.
        """
        ceiling_s = self._settings.max_s
        # After 32 attempts the ceiling is max_s anyway; larger powers overflow.
        if attempts <= 32:
            ceiling_s = min(
                ceiling_s, self._settings.first_s * 2 ** (attempts - 1)
            )
        wait_s = self._rng.uniform(0.0, ceiling_s)
        return wait_s if now_s + wait_s < deadline_s else None


def may_retry(verdict: verdicts.Verdict, idempotent: bool) -> bool:
    """Returns whether a failed attempt may be retried at all.

    Args:
      verdict: whether the attempt may have run.
      idempotent: whether running twice has the effect of running once.
    """
    return idempotent or verdict is verdicts.Verdict.NOT_RUN
