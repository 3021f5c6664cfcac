"""Counters, gauges and timings.

They are kept in memory, where counting costs one dictionary update, and are
sent to statsd over UDP once per interval. Sending each event over the network
would cost more than relaying the event itself.
"""

import bisect
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools

import statsd

from rhubarblock.kernel import timers as timers_lib

_MS_PER_S = 1000.0


@dataclasses.dataclass(slots=True)
class Timing:
    """Summary of the durations of one name since the last flush.

    Attributes:
      count: number of durations.
      total_s: their sum in seconds.
      longest_s: the longest one in seconds.
    """

    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Adds one duration."""
        self.count += 1
        self.total_s += seconds
        self.longest_s = max(self.longest_s, seconds)

    @property
    def mean_s(self) -> float:
        """The mean duration in seconds; 0 when there is none."""
        return self.total_s / self.count if self.count else 0.0


# Upper bounds of the histogram buckets in seconds, from one pass of an engine
# to the maximum time that a caller waits.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0)


class Histogram:
    """Histogram of the durations of one name and kind.

    Attributes:
      total_s: their sum in seconds.
    """

    __slots__ = ("_counts", "total_s")

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Adds one duration."""
        self._counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def list_buckets(self) -> list[tuple[str, int]]:
        """Returns each upper bound with the cumulative number of durations."""
        bounds = [*map(str, BUCKETS_S), "+Inf"]
        return list(
            zip(bounds, itertools.accumulate(self._counts), strict=True)
        )


class Metrics:
    """Metrics of one instance.

    Attributes:
      counts: totals since the start, by name.
      gauges: values that go up and down, by name.
      histograms: durations by name and kind.
    """

    __slots__ = (
        "_flushed",
        "_recent",
        "_timings",
        "counts",
        "gauges",
        "histograms",
    )

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self._flushed: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._timings: dict[str, Timing] = {}
        self._recent: dict[str, Timing] = {}
        self.histograms: dict[str, dict[str, Histogram]] = {}

    def count(self, name: str, n: int = 1) -> None:
        """Adds to a counter."""
        self.counts[name] = self.counts.get(name, 0) + n

    def gauge(self, name: str, value: float) -> None:
        """Sets a value that goes up and down."""
        self.gauges[name] = value

    def record_time(self, name: str, seconds: float) -> None:
        """Adds a duration in seconds to a timing."""
        for timings in (self._timings, self._recent):
            timing = timings.get(name)
            if timing is None:
                timing = timings[name] = Timing()
            timing.add(seconds)

    def observe(self, name: str, kind: str, seconds: float) -> None:
        """Adds a duration in seconds to the histogram of a kind."""
        by_kind = self.histograms.setdefault(name, {})
        histogram = by_kind.get(kind)
        if histogram is None:
            histogram = by_kind[kind] = Histogram()
        histogram.add(seconds)

    def snapshot(self) -> dict[str, float]:
        """Returns every value since the start, by name.

        A timing ``x`` appears as ``x.count``, ``x.mean_s`` and ``x.max_s``.
        """
        values: dict[str, float] = dict(self.counts)
        values.update(self.gauges)
        for name, timing in self._timings.items():
            values[f"{name}.count"] = timing.count
            values[f"{name}.mean_s"] = timing.mean_s
            values[f"{name}.max_s"] = timing.longest_s
        return values

    def flush(self, client: statsd.StatsClient) -> None:
        """Sends gauges and changes since the last flush in few datagrams.

        Args:
          client: statsd client; a lost datagram loses one interval.
        """
        with client.pipeline() as pipe:
            for name, total in self.counts.items():
                increase = total - self._flushed.get(name, 0)
                if increase:
                    pipe.incr(name, increase)
                    self._flushed[name] = total
            for name, value in self.gauges.items():
                pipe.gauge(name, value)
            for name, timing in self._recent.items():
                pipe.incr(f"{name}.count", timing.count)
                pipe.timing(name, timing.mean_s * _MS_PER_S)
                pipe.gauge(f"{name}.max_ms", timing.longest_s * _MS_PER_S)
        self._recent.clear()


@contextlib.contextmanager
def flush_regularly(
    metrics: Metrics,
    timers: timers_lib.Timers,
    client: statsd.StatsClient,
    interval_s: float,
) -> Iterator[None]:
    """Flushes once per interval while the context is open, and when it closes.

    Args:
      metrics: metrics to send.
      timers: the timer service.
      client: statsd client; it is closed with the context.
      interval_s: seconds between flushes.

    Yields:
      Nothing.
    """

    async def tick() -> None:
        metrics.flush(client)

    try:
        with timers.subscribe(interval_s, tick):
            yield
    finally:
        metrics.flush(client)
        client.close()
