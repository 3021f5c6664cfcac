"""Measures when the pieces of an answer were forwarded."""

from rhubarblock.core import exchange as exchanges


class Progress:
    """Timing of one exchange, in seconds since its arrival.

    Attributes:
      first_s: when the first piece was forwarded; None before.
      longest_pause_s: longest time between two pieces.
    """

    __slots__ = ("_arrived_s", "_last_s", "first_s", "longest_pause_s")

    def __init__(self, arrived_s: float):
        """Starts at the arrival of the exchange, in monotonic seconds."""
        self._arrived_s = arrived_s
        self._last_s = 0.0
        self.first_s: float | None = None
        self.longest_pause_s = 0.0

    def note_piece(self, now_s: float) -> None:
        """Records that a piece was forwarded."""
        since_s = now_s - self._arrived_s
        if self.first_s is None:
            self.first_s = since_s
        else:
            pause_s = since_s - self._last_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_s = since_s

    def is_late(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether the answer missed the route's objectives."""
        route = exchange.route
        if self.first_s is None or self.first_s > route.objective_s:
            return True
        return 0.0 < route.pause_s < self.longest_pause_s
