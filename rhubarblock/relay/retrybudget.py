"""Limits the retries of an instance to a share of its successes.

The budget is a share of the successes in a sliding window, plus a small floor
so that an instance with little traffic can retry too. However many endpoints
fail at once, the load that retries add stays below that share.
"""

import collections
from collections.abc import Callable
import dataclasses

from rhubarblock.kernel import timers as timer_service

# Retries allowed for each success in the window.
RETRY_RATIO = 0.2
# Retries allowed in the window without any success.
RETRY_FLOOR = 10
# Largest share of the window's retries that one slot may spend, unless the
# floor is higher. Without it, the budget saved up by many successes would be
# spent in one burst.
MAX_SLOT_SHARE = 0.15
# Length of the window and of its slots, in seconds.
WINDOW_S = 10.0
SLOT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Slot:
    start_s: float
    successes: int = 0
    retries: int = 0


class RetryBudget:
    """Counts successes and retries in a sliding window."""

    __slots__ = (
        "_ratio",
        "_read_floor",
        "_retries",
        "_slots",
        "_successes",
        "_timers",
        "_window_s",
    )

    def __init__(
        self,
        timers: timer_service.Timers,
        read_floor: Callable[[], float] = lambda: RETRY_FLOOR,
        ratio: float = RETRY_RATIO,
        window_s: float = WINDOW_S,
    ):
        """Creates a budget with an empty window.

        Args:
          timers: the timer service.
          read_floor: returns the retries allowed in the window without any
            success.
          ratio: retries allowed for each success in the window.
          window_s: length of the window in seconds.
        """
        self._read_floor = read_floor
        self._ratio = ratio
        self._window_s = window_s
        self._timers = timers
        self._slots: collections.deque[_Slot] = collections.deque()
        # Totals over all slots.
        self._successes = 0
        self._retries = 0

    def record_success(self) -> None:
        """Counts a request that succeeded."""
        self._get_current_slot().successes += 1
        self._successes += 1

    def try_spend(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        slot = self._get_current_slot()
        floor = self._read_floor()
        allowed = floor + self._ratio * self._successes
        if self._retries + 1 > allowed:
            return False
        if slot.retries + 1 > max(floor, MAX_SLOT_SHARE * allowed):
            return False
        slot.retries += 1
        self._retries += 1
        return True

    def _get_current_slot(self) -> _Slot:
        """Removes expired slots and returns the current one."""
        now_s = self._timers.read_monotonic()
        slots = self._slots
        while slots and now_s - slots[0].start_s >= self._window_s:
            expired = slots.popleft()
            self._successes -= expired.successes
            self._retries -= expired.retries
        if not slots or now_s - slots[-1].start_s >= SLOT_S:
            slots.append(_Slot(now_s))
        return slots[-1]
