"""Breaks off an attempt whose endpoint keeps silent for too long.

An engine says nothing while it reads a long prompt for somebody, and is sound
all the same. So a silence that the book of engines explains is waited out if
it ends soon; if not, the exchange goes on elsewhere, and nothing is held
against the endpoint.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from rhubarblock.kernel import timers as timer_service

# Seconds of an explained silence that are still waited out: a caller leaves
# a stream after two seconds, and going on elsewhere takes a tenth of one.
WAIT_OUT_S = 0.9
# Seconds after the predicted end of a silence in which a sign must come: a
# pass without reading takes 50 ms, and predictions err by some passes.
SLACK_S = 0.3


class SilenceWatch:
    """Watches one attempt.

    Attributes:
      explained: whether the silence that ended the attempt was explained.
    """

    __slots__ = (
        "_deadline_s",
        "_handle",
        "_limit",
        "_predict_free",
        "_timers",
        "explained",
    )

    def __init__(
        self,
        limit: asyncio.Timeout,
        predict_free: Callable[[], float],
        timers: timer_service.Timers,
    ):
        """Creates a watch that does not watch yet.

        Args:
          limit: is made to expire when the silence is too long.
          predict_free: says until when silence is explained, in monotonic
            seconds.
          timers: clock and callbacks.
        """
        self._limit = limit
        self._predict_free = predict_free
        self._timers = timers
        self._deadline_s = float("inf")
        self._handle: asyncio.TimerHandle | None = None
        self.explained = False

    def expect(self, patience_s: float | None) -> None:
        """Expects a sign within some seconds; None expects none."""
        if patience_s is None:
            self.stop()
            return
        now_s = self._timers.read_monotonic()
        self._deadline_s = now_s + patience_s
        if self._handle is None:
            self._wake_in(patience_s)

    def stop(self) -> None:
        """Watches no more."""
        self._deadline_s = float("inf")
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wake_in(self, delay_s: float) -> None:
        self._handle = self._timers.call_later(delay_s, self._check)

    def _check(self) -> None:
        self._handle = None
        now_s = self._timers.read_monotonic()
        if now_s < self._deadline_s:
            self._wake_in(self._deadline_s - now_s)
            return
        free_s = self._predict_free() + SLACK_S
        if free_s <= now_s:
            self._limit.reschedule(now_s)
        elif free_s - now_s <= WAIT_OUT_S:
            self._deadline_s = free_s
            self._wake_in(free_s - now_s)
        else:
            self.explained = True
            self._limit.reschedule(now_s)


@contextlib.contextmanager
def watch_silence(
    limit: asyncio.Timeout,
    predict_free: Callable[[], float],
    timers: timer_service.Timers,
) -> Iterator[SilenceWatch]:
    """Owns a watch while the context is open."""
    watch = SilenceWatch(limit, predict_free, timers)
    try:
        yield watch
    finally:
        watch.stop()
