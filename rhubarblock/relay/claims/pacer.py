"""Limits the write rate of one shard to its share of the platform's rate."""

from rhubarblock.kernel import timers as timer_service

# After idle time, as many writes may follow at once as the rate allows in this
# many seconds.
BURST_S = 0.5


class WritePacer:
    """Delays writes so that they keep to a rate.

    Claims that arrive during a delay share the next write.
    """

    __slots__ = ("_next_write_s", "_rate_per_s", "_timers")

    def __init__(self, timers: timer_service.Timers, rate_per_s: float):
        """Creates a pacer.

        Args:
          timers: clock and sleeps.
          rate_per_s: most writes per second.
        """
        self._timers = timers
        self._rate_per_s = rate_per_s
        self._next_write_s = float("-inf")

    async def wait_turn(self) -> None:
        """Waits until a write is allowed and counts it."""
        now_s = self._timers.read_monotonic()
        earliest_s = max(self._next_write_s, now_s - BURST_S)
        self._next_write_s = earliest_s + 1.0 / self._rate_per_s
        if earliest_s > now_s:
            await self._timers.sleep(earliest_s - now_s)
