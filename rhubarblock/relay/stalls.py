"""Breaks off attempts that make no progress.

One tick looks at all running attempts, which is cheaper than a timer that is
set anew for each token.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timer_service

# Seconds between two looks at the running attempts.
CHECK_INTERVAL_S = 0.25


class Watch:
    """Progress of one attempt.

    Attributes:
      awaits_engine: whether it is the engine's turn; while the caller takes in
        a piece, however slowly, no time counts.
      stalled: whether the attempt was broken off.
    """

    __slots__ = (
        "_limit",
        "_patience_s",
        "_progress_s",
        "awaits_engine",
        "stalled",
    )

    def __init__(self, limit: asyncio.Timeout, now_s: float, patience_s: float):
        self._limit = limit
        self._progress_s = now_s
        self._patience_s = patience_s
        self.awaits_engine = True
        self.stalled = False

    def note_progress(self, now_s: float, patience_s: float) -> None:
        """Starts the patience anew, from the present time."""
        self._progress_s = now_s
        self._patience_s = patience_s
        self.awaits_engine = True

    def check(self, now_s: float) -> None:
        """Breaks the attempt off when its patience is over."""
        if self.stalled or not self.awaits_engine:
            return
        if now_s - self._progress_s > self._patience_s:
            self.stalled = True
            self._limit.reschedule(now_s)


class StallDetector:
    """All running attempts of one instance."""

    __slots__ = ("_timers", "_watches")

    def __init__(self, timers: timer_service.Timers):
        self._timers = timers
        self._watches: set[Watch] = set()

    @contextlib.asynccontextmanager
    async def guard(self, patience_s: float) -> AsyncIterator[Watch]:
        """Breaks the enclosed code off when it makes no progress.

        Args:
          patience_s: seconds without progress that are let pass.

        Yields:
          The watch to note progress on.

        Raises:
          failures.FailureError: ENDPOINT_FAILED, MAY_HAVE_RUN, on a stall.
        """
        try:
            async with asyncio.timeout(None) as limit:
                watch = Watch(limit, self._timers.read_monotonic(), patience_s)
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
        """Looks at all running attempts; a tick of the timer service."""
        now_s = self._timers.read_monotonic()
        for watch in list(self._watches):
            watch.check(now_s)


@contextlib.contextmanager
def run_stall_detector(
    stalls: StallDetector, timers: timer_service.Timers
) -> Iterator[None]:
    """Checks regularly while the context is open."""
    with timers.subscribe(CHECK_INTERVAL_S, stalls.check):
        yield
