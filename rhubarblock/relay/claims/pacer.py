"""Keeps the writes of one shard within their share of the platform's rate."""

from rhubarblock.kernel import timers as timer_service

# Seconds' worth of writes that may go out at once after a quiet time.
BURST_S = 0.5


class WritePacer:
    """Lets writes through at a rate; those that wait fill up with claims."""

    __slots__ = ("_next_s", "_rate_per_s", "_timers")

    def __init__(self, timers: timer_service.Timers, rate_per_s: float):
        """Creates a pacer.

        Args:
          timers: clock and sleeps.
          rate_per_s: writes a second.
        """
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._next_s = float("-inf")

    async def wait_turn(self) -> None:
        """Waits until a write may go out and counts it."""
        now_s = self._timers.read_monotonic()
        earliest_s = max(self._next_s, now_s - BURST_S)
        self._next_s = earliest_s + 1.0 / self._rate_per_s
        if earliest_s > now_s:
            await self._timers.sleep(earliest_s - now_s)
