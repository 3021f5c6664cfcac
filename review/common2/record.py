"""The record of a case: what was sent, answered and run, with times."""

import pathlib
import time


class Record:
    """Lines of text with the seconds since the start, kept in a file."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Adds a line."""
        line = f"{self.now_s():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
