"""What a measurement of the control cost of one role is made of.

A probe builds real parts at some size, lets them run and says what they cost
there. Lines through several sizes give the slopes.
"""

import abc
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import time
import tracemalloc

from rhubarblock.experiments import slopes

# Names of quantities, each for one instance that has the role unless the probe
# says otherwise.
STATE = "state_bytes"
MEMORY = "memory_bytes"
MESSAGES = "messages_per_s"
MOVED = "bytes_per_s"
CPU = "cpu_share"
READS = "platform_reads_per_s"
WRITES = "platform_writes_per_s"

Sizes = Mapping[str, float]
Values = Mapping[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """How one quantity of a probe depends on the sizes.

    Attributes:
      quantity: its name.
      terms: terms of the sum that it is fitted to.
    """

    quantity: str
    terms: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Point:
    """One measurement.

    Attributes:
      sizes: value of each factor.
      values: value of each quantity.
    """

    sizes: Sizes
    values: Values


@dataclasses.dataclass(slots=True, frozen=True)
class Series:
    """All measurements of one probe, and the lines through them.

    Attributes:
      name: name of the probe.
      role: role whose cost it is.
      note: what was run, in a sentence.
      points: the measurements.
      fits: the line of each quantity.
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
      role: role that it measures.
      note: what is run, in a sentence.
      lines: quantities and what they are fitted to.
      plan: sizes to measure at.
    """

    name = ""
    role = ""
    note = ""
    lines: tuple[Line, ...] = ()
    plan: tuple[Sizes, ...] = ()

    @abc.abstractmethod
    def run(self, sizes: Sizes) -> Values:
        """Builds the parts at some sizes and measures them.

        Args:
          sizes: value of each factor.

        Returns:
          Value of each quantity but ``MEMORY``.
        """

    def count_parts(self, sizes: Sizes) -> float:
        """Returns how many instances share the memory of a run."""
        return 1.0

    def measure(self, plan: Sequence[Sizes] = ()) -> Series:
        """Measures all points and fits the lines.

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
        """Returns the most memory that a run allocated, for one instance.

        Tracing slows everything down, so this is a run of its own.
        """
        tracemalloc.start()
        try:
            self.run(sizes)
            most = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        return most / self.count_parts(sizes)


def read_cpu() -> float:
    """Returns the processor seconds of this thread.

    Nothing but measurements reads this clock.
    """
    return time.thread_time()
