"""Speeds of endpoints, some of which slow down when nearly full."""

import asyncio
from collections.abc import Iterator
import contextlib
import random

# Times of endpoints relative to the fastest one.
SLOWNESS = (1.0, 1.0, 1.5, 2.0, 3.0)
# Slots of an endpoint, and running requests from which it is nearly full.
SLOTS = 8
NEARLY_FULL = 6
# Share of the endpoints that slow down when nearly full, and by which factor.
# The longest stream then still ends well within its timeout.
SLOWING_SHARE = 0.4
SLOWING_FACTOR = 1.5


class Pace:
    """How long one run of an endpoint takes, relative to the fastest one."""

    def __init__(self, rng: random.Random):
        self._running = 0
        self._slowness = rng.choice(SLOWNESS)
        slows_down = rng.random() < SLOWING_SHARE
        self._full_factor = SLOWING_FACTOR if slows_down else 1.0

    @contextlib.contextmanager
    def hold_slot(self) -> Iterator[None]:
        """Counts a request as running during the context."""
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    @property
    def slowness(self) -> float:
        """Present time of any step, relative to the fastest endpoint."""
        is_full = self._running >= NEARLY_FULL
        return self._slowness * (self._full_factor if is_full else 1.0)

    async def sleep(self, fastest_s: float) -> None:
        """Waits for a step that takes the fastest endpoint some seconds."""
        await asyncio.sleep(fastest_s * self.slowness)
