"""How many log lines a second an instance may write, and which go first.

Under the worst load most lines tell the same. So each level may use a part of
what a second allows: what was served well goes first, failures last. What was
left out is counted by message and told with the next second.
"""

from collections.abc import Callable
import logging

# Lines a second of one instance: three for each of some eighty requests that
# it takes a second at the size that the project is built for.
LINES_PER_S = 250
# Part of these that lines up to a level may use together with those below it.
# The rest stays for what is worse.
_PARTS = (
    (logging.DEBUG, 0.4),
    (logging.INFO, 0.7),
)


class LineBudget:
    """Counts the lines of the present second."""

    __slots__ = ("_left_out", "_lines_per_s", "_read_clock", "_second", "_used")

    def __init__(
        self, read_clock: Callable[[], float], lines_per_s: int = LINES_PER_S
    ):
        """Starts with a whole second's lines.

        Args:
          read_clock: monotonic seconds.
          lines_per_s: lines of all levels a second.
        """
        self._read_clock = read_clock
        self._lines_per_s = lines_per_s
        self._second = 0
        self._used = 0
        self._left_out: dict[str, int] = {}

    def take(self, level: int, message: str) -> bool:
        """Takes one line; False if it is to be left out.

        Args:
          level: level of the line.
          message: its text without values, by which it is counted.
        """
        second = int(self._read_clock())
        if second != self._second:
            self._second = second
            self._used = 0
        if self._used >= self._find_bound(level):
            self.count_left_out(message)
            return False
        self._used += 1
        return True

    def count_left_out(self, message: str) -> None:
        """Counts a line that was not written."""
        self._left_out[message] = self._left_out.get(message, 0) + 1

    def take_left_out(self) -> dict[str, int]:
        """Returns how many lines were left out, by message, and forgets them.

        It is empty as long as lines of the present second are left out, so
        that it is told once a second at most.
        """
        if not self._left_out or int(self._read_clock()) == self._second:
            return {}
        left_out = self._left_out
        self._left_out = {}
        return left_out

    def _find_bound(self, level: int) -> float:
        for upto, part in _PARTS:
            if level <= upto:
                return part * self._lines_per_s
        return self._lines_per_s
