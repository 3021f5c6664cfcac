"""Gives up an attempt whose endpoint keeps silent, or soon will, for too long.

An engine says nothing while it reads a long prompt for somebody, and is sound
all the same. So a silence that the book of engines explains is waited out if
it ends soon; if not, the exchange goes on elsewhere, and nothing is held
against the endpoint. A short stream does not even wait for it: it leaves as
soon as such a prompt is placed at its engine. Nothing is given up that could
not go on elsewhere.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum

from rhubarblock.kernel import timers as timer_service

# Seconds of an explained silence that are still waited out: a caller leaves
# a stream after two seconds, and going on elsewhere takes a tenth of one.
WAIT_OUT_S = 0.9
# Seconds after the predicted end of a silence in which a sign must come: a
# pass without reading takes 50 ms, and predictions err by some passes.
SLACK_S = 0.3
# Seconds until it is asked again whether an attempt may be given up.
ASK_AGAIN_S = 0.25


class Reason(enum.Enum):
    """Why an attempt was given up."""

    SILENT = "silent"
    BUSY = "busy"


class SilenceWatch:
    """Watches one attempt.

    Attributes:
      reason: why the attempt was given up, or None.
    """

    __slots__ = (
        "_deadline_s",
        "_handle",
        "_limit",
        "_may_leave",
        "_predict_free",
        "_timers",
        "reason",
    )

    def __init__(
        self,
        limit: asyncio.Timeout,
        predict_free: Callable[[], float],
        may_leave: Callable[[Reason], bool],
        timers: timer_service.Timers,
    ):
        """Creates a watch that does not watch yet.

        Args:
          limit: is made to expire when the attempt is given up.
          predict_free: says until when silence is explained, in monotonic
            seconds.
          may_leave: takes what another attempt costs; False if there is to be
            none, or nothing is gained by it.
          timers: clock and callbacks.
        """
        self._limit = limit
        self._predict_free = predict_free
        self._may_leave = may_leave
        self._timers = timers
        self._deadline_s = float("inf")
        self._handle: asyncio.TimerHandle | None = None
        self.reason: Reason | None = None

    def expect(self, patience_s: float) -> None:
        """Expects a sign within some seconds."""
        self._deadline_s = self._timers.read_monotonic() + patience_s
        if self._handle is None:
            self._wake_in(patience_s)

    def stop(self) -> None:
        """Watches no more."""
        self._deadline_s = float("inf")
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def leave(self, reason: Reason) -> bool:
        """Gives the attempt up if it may go on elsewhere."""
        if self.reason is not None or not self._may_leave(reason):
            return False
        self.reason = reason
        self._limit.reschedule(self._timers.read_monotonic())
        return True

    def _wake_in(self, delay_s: float) -> None:
        self._handle = self._timers.call_later(delay_s, self._check)

    def _check(self) -> None:
        self._handle = None
        now_s = self._timers.read_monotonic()
        if now_s < self._deadline_s:
            self._wake_in(self._deadline_s - now_s)
            return
        left_s = self._predict_free() + SLACK_S - now_s
        if 0.0 < left_s <= WAIT_OUT_S:
            self._wake_in(left_s)
            return
        reason = Reason.BUSY if left_s > 0.0 else Reason.SILENT
        if not self.leave(reason):
            self._wake_in(ASK_AGAIN_S)


@contextlib.contextmanager
def watch_silence(
    limit: asyncio.Timeout,
    predict_free: Callable[[], float],
    may_leave: Callable[[Reason], bool],
    timers: timer_service.Timers,
) -> Iterator[SilenceWatch]:
    """Owns a watch while the context is open."""
    watch = SilenceWatch(limit, predict_free, may_leave, timers)
    try:
        yield watch
    finally:
        watch.stop()
