"""Bounds the retries of an instance by its successes.

Retries may be a share of the successes of the last seconds, plus a small floor
so that a quiet instance can retry too. However many endpoints fail at once,
the load that retries add stays below that share.
"""

import collections
from collections.abc import Callable
import dataclasses

from rhubarblock.kernel import timers as timer_service

# Retries allowed for each success in the window.
RETRY_RATIO = 0.2
# Retries allowed in the window whatever the successes.
RETRY_FLOOR = 10
# Part of the window's retries that one slot may take, if that is more than the
# floor: else what a good time saved up would all be spent at once.
BURST_PART = 0.15
# Length of the window in seconds, and of the slots that it moves by.
WINDOW_S = 10.0
SLOT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Slot:
    begun_s: float
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
        """Creates a budget without any success yet.

        Args:
          timers: the timer service.
          read_floor: retries allowed in the window whatever the successes.
          ratio: retries allowed for each success in the window.
          window_s: length of the window in seconds.
        """
        self._read_floor = read_floor
        self._ratio = ratio
        self._window_s = window_s
        self._timers = timers
        self._slots: collections.deque[_Slot] = collections.deque()
        # Sums over the slots.
        self._successes = 0
        self._retries = 0

    def record_success(self) -> None:
        """Counts a request that ended well."""
        self._find_slot().successes += 1
        self._successes += 1

    def try_spend(self) -> bool:
        """Takes one retry from the budget if there is one."""
        slot = self._find_slot()
        floor = self._read_floor()
        allowed = floor + self._ratio * self._successes
        if self._retries + 1 > allowed:
            return False
        if slot.retries + 1 > max(floor, BURST_PART * allowed):
            return False
        slot.retries += 1
        self._retries += 1
        return True

    def _find_slot(self) -> _Slot:
        """Returns the present slot, after those that left the window."""
        now_s = self._timers.read_monotonic()
        slots = self._slots
        while slots and now_s - slots[0].begun_s >= self._window_s:
            gone = slots.popleft()
            self._successes -= gone.successes
            self._retries -= gone.retries
        if not slots or now_s - slots[-1].begun_s >= SLOT_S:
            slots.append(_Slot(now_s))
        return slots[-1]
