"""Writes log lines without ever making the event loop wait.

Lines go through a bounded queue to a thread of their own. Whoever reads the
output may be slow or gone: then the queue fills up, and lines are left out and
counted.
"""

from collections.abc import Callable
import os
import queue
import threading
from typing import TextIO

# Lines that wait to be written: four seconds of the budget, a megabyte at
# most with lines of some hundred bytes.
QUEUE_LINES = 1000
# Seconds that the lines in the queue get to be written when a process ends.
CLOSE_S = 0.3

Write = Callable[[str], None]


def make_write(stream: TextIO) -> Write:
    """Returns what writes text to a stream.

    A stream with a descriptor is written past its buffer, whose lock would
    keep the process from ending while nobody reads.
    """
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return lambda text: _write_stream(stream, text)
    return lambda text: _write_descriptor(descriptor, text.encode())


def _write_stream(stream: TextIO, text: str) -> None:
    stream.write(text)
    stream.flush()


def _write_descriptor(descriptor: int, data: bytes) -> None:
    while data:
        written = os.write(descriptor, data)
        data = data[written:]


class LogWriter:
    """A queue of lines and the thread that writes them."""

    __slots__ = ("_lines", "_thread", "_write")

    def __init__(self, write: Write, queue_lines: int = QUEUE_LINES):
        """Starts the thread.

        Args:
          write: writes text; may block for as long as it likes.
          queue_lines: lines that may wait.
        """
        self._write = write
        self._lines: queue.Queue[str | None] = queue.Queue(queue_lines)
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def put(self, line: str) -> bool:
        """Queues a line; False if there is no room for it."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            return False
        return True

    def close(self) -> None:
        """Gives what is queued a moment to be written, then lets it be."""
        try:
            self._lines.put(None, timeout=CLOSE_S)
        except queue.Full:
            return
        self._thread.join(CLOSE_S)

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            try:
                self._write(line)
            except (OSError, ValueError):
                # Nobody is there to be told: the output itself is gone.
                return
