"""Leaves what an instance counts in its log as well.

Whoever looks at two hundred instances has their logs, and scraping each of
them costs more than the one line here.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service

# Seconds between two lines: an instance that is killed takes at most so much
# of its counters along, and a line takes a tenth of a millisecond.
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
    """Writes all counters since the start regularly while the context is open.

    Args:
      metrics: what is counted.
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
