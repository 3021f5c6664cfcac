"""Load reports of the stand-in engine, which describe a moment in the past."""

import collections
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import settings as enginesettings


class LoadHistory:
    """The engine's latest states, as far back as the lag."""

    __slots__ = ("_lag_s", "_sequence", "_states", "_timers")

    def __init__(self, clock: timers.Timers, lag_s: float):
        """Creates an empty history.

        Args:
          clock: timer service.
          lag_s: age of the state that a report describes.
        """
        self._timers = clock
        self._lag_s = lag_s
        self._sequence = 0
        self._states: collections.deque[endpoints.LoadReport] = (
            collections.deque()
        )

    def record(self, state: endpoints.LoadReport) -> None:
        """Adds the state of this moment."""
        self._forget(state.measured_s)
        self._states.append(state)

    def make_report(self) -> endpoints.LoadReport:
        """Returns the state that was in force one lag ago."""
        now_s = self._timers.read_monotonic()
        self._forget(now_s)
        self._sequence += 1
        state = self._states[0]
        return dataclasses.replace(
            state,
            measured_s=max(state.measured_s, now_s - self._lag_s),
            sequence=self._sequence,
        )

    def _forget(self, now_s: float) -> None:
        # The newest state that is old enough is the one in force then.
        latest_s = now_s - self._lag_s + enginesettings.RESOLUTION_S
        states = self._states
        while len(states) > 1 and states[1].measured_s <= latest_s:
            states.popleft()
