"""Describes the speed and the load of the machine of a measurement."""

import dataclasses
import os
import time

_LOOPS = 200_000
_TRIES = 5
_US_PER_S = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Machine:
    """Context for figures of processor time.

    Attributes:
      cores: number of processors.
      load_average: load average of the last minute; processes besides the
        measurement's own lengthen the measured times.
      loop_us: microseconds for 1,000 iterations of a plain Python loop, the
        shortest of a few runs, to compare machines.
    """

    cores: int
    load_average: float
    loop_us: float


def describe_machine() -> Machine:
    """Returns the present speed and load of this machine."""
    shortest_s = min(_time_loop() for _ in range(_TRIES))
    per_thousand = shortest_s / _LOOPS * 1_000
    return Machine(
        os.cpu_count() or 1,
        round(os.getloadavg()[0], 2),
        round(per_thousand * _US_PER_S, 2),
    )


def _time_loop() -> float:
    started_s = time.thread_time()
    total = 0
    for number in range(_LOOPS):
        total += number
    return time.thread_time() - started_s
