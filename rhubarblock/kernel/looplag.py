"""How far the event loop is behind: the delay with which its timers fire.

A loop that has more work than its processor can do takes ever longer for one
pass over what is ready, and everything in it is late by that time. Single long
passes, as for a large configuration or after the process was suspended, mean
nothing, so the smallest delay of consecutive measurements counts.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service

# Seconds between two measurements.
INTERVAL_S = 0.1
# Measurements that must all be late.
SAMPLES = 2
# Standing delay in seconds from which a measurement counts as late: an answer
# takes about ten passes of the loop.
LATE_S = 0.02

Listener = Callable[[float], None]


class LoopLag:
    """Measures the delay of the running event loop.

    Attributes:
      standing_s: smallest delay of the last measurements, in seconds.
    """

    __slots__ = ("_listeners", "_metrics", "_recent", "_timers", "standing_s")

    def __init__(
        self, timers: timer_service.Timers, metrics: metric_store.Metrics
    ):
        """Creates it without measurements.

        Args:
          timers: the clock.
          metrics: gets the delays as the histogram ``loop.lag`` and the number
            of measurements with a standing delay as ``loop.late``.
        """
        self._timers = timers
        self._metrics = metrics
        self._recent: collections.deque[float] = collections.deque(
            [0.0] * SAMPLES, SAMPLES
        )
        self._listeners: list[Listener] = []
        self.standing_s = 0.0

    def add_listener(self, listener: Listener) -> None:
        """Calls ``listener(standing_s)`` after each measurement."""
        self._listeners.append(listener)

    @contextlib.contextmanager
    def measure(self) -> Iterator[None]:
        """Measures while the context is open."""
        due_s = self._timers.read_monotonic() + INTERVAL_S

        async def sample() -> None:
            nonlocal due_s
            now_s = self._timers.read_monotonic()
            self.note(now_s - due_s)
            due_s = self._timers.read_monotonic() + INTERVAL_S

        with self._timers.subscribe(INTERVAL_S, sample):
            yield

    def note(self, delay_s: float) -> None:
        """Records one measured delay in seconds."""
        self._metrics.observe("loop.lag", "timer", max(0.0, delay_s))
        self._recent.append(delay_s)
        self.standing_s = min(self._recent)
        if self.standing_s > LATE_S:
            self._metrics.count("loop.late")
        for listener in self._listeners:
            listener(self.standing_s)
