"""Structured logs: one JSON object per line.

A line is written for each decision about a request and for each change of a
state that the process tracks, such as that of an endpoint. The number of lines
per second is limited, and writing them never blocks the event loop.
"""

import logging
import time
from typing import Any
from typing import TextIO

from pythonjsonlogger import json as jsonlogger

from rhubarblock.kernel import linebudget
from rhubarblock.kernel import logwriter

ROOT_LOGGER = "rhubarblock"
_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


class BoundedHandler(logging.Handler):
    """Log handler that limits the rate of lines and queues them."""

    def __init__(
        self, writer: logwriter.LogWriter, budget: linebudget.LineBudget
    ):
        """Creates a handler.

        Args:
          writer: writes the lines; it is closed with the handler.
          budget: limits the lines per second.
        """
        super().__init__()
        self._writer = writer
        self._budget = budget
        self.setFormatter(
            jsonlogger.JsonFormatter(_FIELDS, rename_fields=_RENAMED)
        )

    def emit(self, record: logging.LogRecord) -> None:
        dropped = self._budget.take_dropped()
        if dropped:
            self._put(_make_dropped_record(dropped))
        if self._budget.take(record.levelno, str(record.msg)):
            self._put(record)

    def close(self) -> None:
        self._writer.close()
        super().close()

    def _put(self, record: logging.LogRecord) -> None:
        if not self._writer.put(self.format(record) + "\n"):
            self._budget.count_dropped(str(record.msg))


def configure(level: str, stream: TextIO) -> logging.Logger:
    """Sends the project's log lines to a stream as JSON.

    Args:
      level: lowest level to write, such as ``INFO``.
      stream: where to write.

    Returns:
      The root logger of the project.
    """
    logger = logging.getLogger(ROOT_LOGGER)
    for handler in logger.handlers:
        handler.close()
    handler = BoundedHandler(
        logwriter.LogWriter(logwriter.make_write(stream)),
        linebudget.LineBudget(time.monotonic),
    )
    logger.handlers = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    return logger


def log_state_change(
    logger: logging.Logger,
    subject: str,
    before: str,
    after: str,
    **fields: Any,
) -> None:
    """Logs one change of state.

    Args:
      logger: logger of the module that observed it.
      subject: what changed, such as ``endpoint rhubarb-pool-3``.
      before: previous state.
      after: new state.
      **fields: further fields of the JSON object.
    """
    fields.update(subject=subject, before=before, after=after)
    logger.info("state changed", extra=fields)


def _make_dropped_record(dropped: dict[str, int]) -> logging.LogRecord:
    """Returns the record that reports the dropped lines by message."""
    return logging.makeLogRecord(
        {
            "name": f"{ROOT_LOGGER}.kernel.logs",
            "levelno": logging.WARNING,
            "levelname": "WARNING",
            "msg": "lines left out",
            "by_message": dropped,
        }
    )
