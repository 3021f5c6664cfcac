"""Abandons an attempt whose endpoint stalls for too long.

A healthy engine sends nothing while it prefills a long prompt of another
request. A stall that the tracked prefills explain is waited out if it ends
soon; if not, the exchange moves to another endpoint, and this one does not
become suspect. A stall without such an explanation makes it suspect. A short
stream does not wait at all: it moves as soon as a long prompt is placed at its
engine. An attempt is abandoned only if another endpoint can take it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum

from rhubarblock.kernel import timers as timer_service

# Longest explained stall in seconds that is waited out: a caller gives up a
# stalled stream after two seconds, and moving it takes a tenth of a second.
MAX_EXPLAINED_STALL_S = 0.9
# Seconds after the predicted end of a stall within which data must arrive: an
# engine step without prefill takes 50 ms, and predictions err by some steps.
PREDICTION_SLACK_S = 0.3
# Seconds until the next check whether an attempt may be abandoned.
RECHECK_S = 0.25


class Reason(enum.Enum):
    """Why an attempt was abandoned."""

    # No data arrived, and no prefill explains that.
    SILENT = "silent"
    # The engine prefills other prompts for too long.
    BUSY = "busy"
    # The path to the endpoint is lost, and peers still reach it.
    LOST = "lost"
    # Requests with a part of its prompt crash endpoints.
    QUARANTINED = "quarantined"


class StallDetector:
    """Detects stalls of one attempt.

    Attributes:
      reason: why the attempt was abandoned, or None.
    """

    __slots__ = (
        "_deadline_s",
        "_handle",
        "_timeout",
        "_may_abandon",
        "_predict_prefill_end",
        "_timers",
        "reason",
    )

    def __init__(
        self,
        timeout: asyncio.Timeout,
        predict_prefill_end: Callable[[], float],
        may_abandon: Callable[[Reason], bool],
        timers: timer_service.Timers,
    ):
        """Creates an inactive detector.

        Args:
          timeout: expired by the detector when the attempt is abandoned.
          predict_prefill_end: returns when the prefills end that explain a
            stall, in monotonic seconds.
          may_abandon: takes a retry from the budget; returns False if no retry
            is allowed or it would gain nothing.
          timers: the clock, and callbacks.
        """
        self._timeout = timeout
        self._predict_prefill_end = predict_prefill_end
        self._may_abandon = may_abandon
        self._timers = timers
        self._deadline_s = float("inf")
        self._handle: asyncio.TimerHandle | None = None
        self.reason: Reason | None = None

    def expect_data(self, timeout_s: float) -> None:
        """Expects data within a time in seconds."""
        self._deadline_s = self._timers.read_monotonic() + timeout_s
        if self._handle is None:
            self._schedule_check(timeout_s)

    def stop(self) -> None:
        """Stops the detection."""
        self._deadline_s = float("inf")
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def abandon(self, reason: Reason) -> bool:
        """Abandons the attempt if it may move elsewhere."""
        if self.reason is not None or not self._may_abandon(reason):
            return False
        self.reason = reason
        self._timeout.reschedule(self._timers.read_monotonic())
        return True

    def _schedule_check(self, delay_s: float) -> None:
        self._handle = self._timers.call_later(delay_s, self._check)

    def _check(self) -> None:
        self._handle = None
        now_s = self._timers.read_monotonic()
        if now_s < self._deadline_s:
            self._schedule_check(self._deadline_s - now_s)
            return
        left_s = self._predict_prefill_end() + PREDICTION_SLACK_S - now_s
        if 0.0 < left_s <= MAX_EXPLAINED_STALL_S:
            self._schedule_check(left_s)
            return
        reason = Reason.BUSY if left_s > 0.0 else Reason.SILENT
        if not self.abandon(reason):
            self._schedule_check(RECHECK_S)


@contextlib.contextmanager
def detect_stalls(
    timeout: asyncio.Timeout,
    predict_prefill_end: Callable[[], float],
    may_abandon: Callable[[Reason], bool],
    timers: timer_service.Timers,
) -> Iterator[StallDetector]:
    """Provides a detector while the context is open."""
    detector = StallDetector(timeout, predict_prefill_end, may_abandon, timers)
    try:
        yield detector
    finally:
        detector.stop()
