"""Load reports of the stand-in engine, which describe a past state."""

import collections
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import settings as enginesettings


class LoadHistory:
    """Recent states of the engine, kept for as long as the reporting lag."""

    __slots__ = ("_lag_s", "_sequence", "_states", "_timers")

    def __init__(self, clock: timers.Timers, lag_s: float):
        """Creates an empty history.

        Args:
          clock: timer service.
          lag_s: age in seconds of the state that a report describes.
        """
        self._timers = clock
        self._lag_s = lag_s
        self._sequence = 0
        self._states: collections.deque[endpoints.LoadReport] = (
            collections.deque()
        )

    def record(self, state: endpoints.LoadReport) -> None:
        """Adds the current state."""
        self._discard_old(state.measured_s)
        self._states.append(state)

    def make_report(self) -> endpoints.LoadReport:
        """Returns the state as of the lag ago with the next sequence number."""
        now_s = self._timers.read_monotonic()
        self._discard_old(now_s)
        self._sequence += 1
        state = self._states[0]
        return dataclasses.replace(
            state,
            measured_s=max(state.measured_s, now_s - self._lag_s),
            sequence=self._sequence,
        )

    def _discard_old(self, now_s: float) -> None:
        # Keeps the newest state that is at least one lag old: it was current
        # at the time that a report describes.
        latest_s = now_s - self._lag_s + enginesettings.RESOLUTION_S
        states = self._states
        while len(states) > 1 and states[1].measured_s <= latest_s:
            states.popleft()
