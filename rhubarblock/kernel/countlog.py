"""Writes the counters of an instance to its log at regular intervals.

The logs of two hundred instances are collected anyway, and scraping each
instance costs more than one log line.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service

# Seconds between two lines. A killed instance loses the counts of one interval
# at most, and writing a line takes a tenth of a millisecond.
INTERVAL_S = 5.0
MESSAGE = "counters"

_logger = logging.getLogger(__name__)


@contextlib.contextmanager
def log_counts(
    metrics: metric_store.Metrics,
    read_wakeups: Callable[[], int],
    timers: timer_service.Timers,
    interval_s: float = INTERVAL_S,
) -> Iterator[None]:
    """Logs all counters since the start at intervals while the context is open.

    Args:
      metrics: holds the counters.
      read_wakeups: returns how often timers woke the process.
      timers: the timer service.
      interval_s: seconds between two lines.

    Yields:
      Nothing.
    """
    started_s = timers.read_monotonic()

    async def write() -> None:
        up_s = timers.read_monotonic() - started_s
        counts = {"timers.wakeups": read_wakeups(), **metrics.counts}
        _logger.info(MESSAGE, extra={"up_s": round(up_s, 3), "counts": counts})

    with timers.subscribe(interval_s, write):
        yield
