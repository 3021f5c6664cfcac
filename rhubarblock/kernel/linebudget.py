"""Rate limit for the log lines of an instance.

Under the highest load most lines have the same message. Each level may
therefore use only a share of the lines per second, so that lines about served
requests are dropped first and those about failures last. Dropped lines are
counted by message, and the counts are logged in the next second.
"""

from collections.abc import Callable
import logging

# Three lines for each of the eighty requests per second that one instance
# serves under the load that the project is designed for.
LINES_PER_S = 250
# Share of the lines that a level may use together with all lower levels. The
# remainder is reserved for higher levels.
_LEVEL_SHARES = (
    (logging.DEBUG, 0.4),
    (logging.INFO, 0.7),
)


class LineBudget:
    """Limits the lines of the current second."""

    __slots__ = ("_dropped", "_lines_per_s", "_read_clock", "_second", "_used")

    def __init__(
        self, read_clock: Callable[[], float], lines_per_s: int = LINES_PER_S
    ):
        """Starts with the full budget of a second.

        Args:
          read_clock: returns monotonic seconds.
          lines_per_s: maximum number of lines per second, of all levels.
        """
        self._read_clock = read_clock
        self._lines_per_s = lines_per_s
        self._second = 0
        self._used = 0
        self._dropped: dict[str, int] = {}

    def take(self, level: int, message: str) -> bool:
        """Takes one line from the budget; returns False if it must be dropped.

        Args:
          level: level of the line.
          message: its text without values; dropped lines are counted by it.
        """
        second = int(self._read_clock())
        if second != self._second:
            self._second = second
            self._used = 0
        if self._used >= self._find_limit(level):
            self.count_dropped(message)
            return False
        self._used += 1
        return True

    def count_dropped(self, message: str) -> None:
        """Counts a line that is not written."""
        self._dropped[message] = self._dropped.get(message, 0) + 1

    def take_dropped(self) -> dict[str, int]:
        """Returns the number of dropped lines by message, and resets it.

        The result is empty until the second of the latest line has passed, so
        that the numbers are logged at most once per second.
        """
        if not self._dropped or int(self._read_clock()) == self._second:
            return {}
        dropped = self._dropped
        self._dropped = {}
        return dropped

    def _find_limit(self, level: int) -> float:
        for highest_level, share in _LEVEL_SHARES:
            if level <= highest_level:
                return share * self._lines_per_s
        return self._lines_per_s
