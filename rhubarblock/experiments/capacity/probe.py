"""Base class of the probes, each of which measures the cost of one role.

A probe runs real parts at several sizes and measures their cost. Linear fits
over the sizes give the slopes.
"""

import abc
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import time
import tracemalloc

from rhubarblock.experiments import slopes

# Names of quantities. They are per instance that has the role, unless the note
# of a probe says otherwise.
STATE = "state_bytes"
MEMORY = "memory_bytes"
MESSAGES = "messages_per_s"
BYTES = "bytes_per_s"
CPU = "cpu_share"
READS = "platform_reads_per_s"
WRITES = "platform_writes_per_s"

Sizes = Mapping[str, float]
Values = Mapping[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """A linear model for one quantity of a probe.

    Attributes:
      quantity: name of the quantity.
      terms: terms of the sum.
    """

    quantity: str
    terms: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Point:
    """The measurement at one size.

    Attributes:
      sizes: value of each factor.
      values: value of each quantity.
    """

    sizes: Sizes
    values: Values


@dataclasses.dataclass(slots=True, frozen=True)
class Series:
    """All measurements of one probe, and their fits.

    Attributes:
      name: name of the probe.
      role: role whose cost it measures.
      note: description of the run.
      points: the measurements.
      fits: fit of each quantity.
    """

    name: str
    role: str
    note: str
    points: tuple[Point, ...]
    fits: Mapping[str, slopes.Fit]


class Probe(abc.ABC):
    """Measures one role at several sizes.

    Attributes:
      name: its name.
      role: role whose cost it measures.
      note: description of the run.
      lines: linear models of its quantities.
      plan: sizes to measure at.
    """

    name = ""
    role = ""
    note = ""
    lines: tuple[Line, ...] = ()
    plan: tuple[Sizes, ...] = ()

    @abc.abstractmethod
    def run(self, sizes: Sizes) -> Values:
        """Runs the parts at one size and measures them.

        Args:
          sizes: value of each factor.

        Returns:
          Value of each quantity except ``MEMORY``.
        """

    def count_instances(self, sizes: Sizes) -> float:
        """Returns the number of instances over which memory is averaged."""
        return 1.0

    def measure(self, plan: Sequence[Sizes] = ()) -> Series:
        """Measures all points and fits the models.

        Args:
          plan: sizes to measure at; empty for those of the probe.
        """
        points = [self._measure_point(sizes) for sizes in plan or self.plan]
        sizes = [point.sizes for point in points]
        fits = {
            line.quantity: slopes.fit_line(
                line.terms, sizes, [p.values[line.quantity] for p in points]
            )
            for line in self.lines
        }
        return Series(self.name, self.role, self.note, tuple(points), fits)

    def _measure_point(self, sizes: Sizes) -> Point:
        values = dict(self.run(sizes))
        if any(line.quantity == MEMORY for line in self.lines):
            values[MEMORY] = self._measure_memory(sizes)
        return Point(dict(sizes), values)

    def _measure_memory(self, sizes: Sizes) -> float:
        """Returns the peak memory of a run, per instance.

        This is a separate run, because tracing allocations slows it down.
        """
        tracemalloc.start()
        try:
            self.run(sizes)
            most = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        return most / self.count_instances(sizes)


def read_cpu() -> float:
    """Returns the processor seconds used by this thread.

    Only measurements read this clock; the product uses its timer service.
    """
    return time.thread_time()
