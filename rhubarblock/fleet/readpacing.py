"""Limits reads from a connection to one per interval.

Tokens of an answer arrive every few milliseconds. Reading each one separately
costs a wake-up, a read and a write; after a short pause one read returns
several tokens. One timer serves all connections.
"""

import asyncio
import collections

from rhubarblock.kernel import timers as timer_service

# Ticks per interval; a pause may be up to one tick shorter than the interval.
TICKS = 4


class ReadPacer:
    """Pauses reading from connections."""

    __slots__ = ("_slots", "_tick_s", "_timers")

    def __init__(self, timers: timer_service.Timers, interval_s: float):
        """Creates a pacer.

        Args:
          timers: timer service.
          interval_s: longest pause in seconds.
        """
        self._timers = timers
        self._tick_s = interval_s / TICKS
        # The connections to resume at each of the next ticks. The timer runs
        # while there are any.
        self._slots: collections.deque[list[asyncio.ReadTransport]] = (
            collections.deque()
        )

    def pause(self, transport: asyncio.ReadTransport) -> None:
        """Pauses reading from a connection for about the interval.

        Args:
          transport: a connection whose received data has all been consumed,
            so that nothing else pauses or resumes its reading meanwhile.
        """
        if not self._slots:
            self._slots.extend([] for _ in range(TICKS))
            self._timers.call_later(self._tick_s, self._tick)
        transport.pause_reading()
        self._slots[-1].append(transport)

    def _tick(self) -> None:
        for transport in self._slots.popleft():
            transport.resume_reading()
        if any(self._slots):
            self._slots.append([])
            self._timers.call_later(self._tick_s, self._tick)
        else:
            self._slots.clear()
