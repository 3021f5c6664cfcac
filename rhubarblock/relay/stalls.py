"""Aborts attempts that make no progress.

One periodic check covers all running attempts, which is cheaper than a timer
that is reset for each token.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timer_service

# Seconds between two checks of the running attempts.
CHECK_INTERVAL_S = 0.25


class ProgressWatch:
    """Progress of one attempt.

    Attributes:
      awaits_engine: whether the attempt waits for the engine. While it waits
        for the caller to read a chunk, no stall is counted.
      stalled: whether the attempt was aborted.
    """

    __slots__ = (
        "_last_progress_s",
        "_timeout",
        "_timeout_s",
        "awaits_engine",
        "stalled",
    )

    def __init__(
        self, timeout: asyncio.Timeout, now_s: float, timeout_s: float
    ):
        self._timeout = timeout
        self._last_progress_s = now_s
        self._timeout_s = timeout_s
        self.awaits_engine = True
        self.stalled = False

    def note_progress(self, now_s: float, timeout_s: float) -> None:
        """Restarts the timeout.

        Args:
          now_s: monotonic time.
          timeout_s: seconds until the next progress is due.
        """
        self._last_progress_s = now_s
        self._timeout_s = timeout_s
        self.awaits_engine = True

    def check(self, now_s: float) -> None:
        """Aborts the attempt if its timeout has passed."""
        if self.stalled or not self.awaits_engine:
            return
        if now_s - self._last_progress_s > self._timeout_s:
            self.stalled = True
            self._timeout.reschedule(now_s)


class StallDetector:
    """Detects stalls among the running attempts of one instance."""

    __slots__ = ("_timers", "_watches")

    def __init__(self, timers: timer_service.Timers):
        self._timers = timers
        self._watches: set[ProgressWatch] = set()

    @contextlib.asynccontextmanager
    async def watch_progress(
        self, timeout_s: float
    ) -> AsyncIterator[ProgressWatch]:
        """Aborts the enclosed code if it makes no progress.

        Args:
          timeout_s: longest time without progress, in seconds.

        Yields:
          The object on which to note progress.

        Raises:
          failures.FailureError: ENDPOINT_FAILED, MAY_HAVE_RUN, on a stall.
        """
        try:
            async with asyncio.timeout(None) as timeout:
                watch = ProgressWatch(
                    timeout, self._timers.read_monotonic(), timeout_s
                )
                self._watches.add(watch)
                try:
                    yield watch
                finally:
                    self._watches.discard(watch)
        except TimeoutError:
            if not watch.stalled:
                raise
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.ENDPOINT_FAILED,
                    "the engine made no progress",
                    verdicts.Verdict.MAY_HAVE_RUN,
                )
            ) from None

    async def check(self) -> None:
        """Checks all running attempts; called by the timer service."""
        now_s = self._timers.read_monotonic()
        for watch in list(self._watches):
            watch.check(now_s)


@contextlib.contextmanager
def run_stall_detector(
    stalls: StallDetector, timers: timer_service.Timers
) -> Iterator[None]:
    """Runs the periodic check while the context is open."""
    with timers.subscribe(CHECK_INTERVAL_S, stalls.check):
        yield
