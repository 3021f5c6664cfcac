"""Writes log lines without blocking the event loop.

Lines pass through a bounded queue to a thread of their own. If the reader of
the output is slow or gone, the queue fills up and further lines are dropped and
counted.
"""

from collections.abc import Callable
import os
import queue
import threading
from typing import TextIO

# Maximum number of queued lines: four seconds of the line budget, and at most a
# megabyte with lines of some hundred bytes.
QUEUE_LINES = 1000
# Seconds for writing the queued lines when the process ends.
CLOSE_S = 0.3

Write = Callable[[str], None]


def make_write(stream: TextIO) -> Write:
    """Returns a function that writes text to a stream.

    It bypasses the buffer of a stream with a file descriptor, as the buffer's
    lock would keep the process from ending while nobody reads the output.
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
          write: writes text; may block for any time.
          queue_lines: maximum number of queued lines.
        """
        self._write = write
        self._lines: queue.Queue[str | None] = queue.Queue(queue_lines)
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def put(self, line: str) -> bool:
        """Queues a line; returns False if the queue is full."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            return False
        return True

    def close(self) -> None:
        """Waits briefly for queued lines to be written, then gives up."""
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
                # The error cannot be logged, as the log output is gone.
                return
