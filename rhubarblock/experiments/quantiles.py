"""Nearest-rank percentiles, each of which is one of the samples."""

from collections.abc import Sequence
import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class Quantiles:
    """Percentiles of a set of samples; None if there are no samples.

    Attributes:
      p50: median.
      p95: 95th percentile.
      p99: 99th percentile.
      n: number of samples.
    """

    p50: float | None
    p95: float | None
    p99: float | None
    n: int


def pick_quantile(ordered: Sequence[float], share: float) -> float | None:
    """Returns a quantile by nearest rank, None if there are no samples.

    Args:
      ordered: samples in ascending order.
      share: the quantile, from 0 to 1.
    """
    if not ordered:
        return None
    rank = max(1, math.ceil(share * len(ordered)))
    return ordered[rank - 1]


def summarise(samples: Sequence[float], digits: int = 4) -> Quantiles:
    """Returns the rounded percentiles of samples.

    Args:
      samples: values in any order.
      digits: decimal places to keep.
    """
    ordered = sorted(samples)
    values = [pick_quantile(ordered, share) for share in (0.5, 0.95, 0.99)]
    rounded = [None if x is None else round(x, digits) for x in values]
    return Quantiles(rounded[0], rounded[1], rounded[2], len(ordered))
