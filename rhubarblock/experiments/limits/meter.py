"""Measures what a fleet admits against the limits of one entry.

It keeps two totals. *Paid* counts the tokens of a request as they are charged
to the share of its instance over time; this is what the limit guarantees.
*Admitted* counts all tokens at the moment of admission. It shows by how much
a window can exceed the limit when a single request is larger than what its
instance may use in that window.
"""

import dataclasses

WINDOW_S = 10.0


@dataclasses.dataclass(slots=True)
class _Sample:
    at_s: float
    admitted: float
    paid: float


class UseMeter:
    """Use of one rate limit of one entry over all instances.

    Attributes:
      admitted: amount admitted since the start.
    """

    __slots__ = ("_limit", "_samples", "admitted")

    def __init__(self, limit: float):
        """Creates a meter.

        Args:
          limit: the limit per second.
        """
        self._limit = limit
        self._samples: list[_Sample] = []
        self.admitted = 0.0

    def sample(self, now_s: float, unpaid: float) -> None:
        """Records the present totals.

        Args:
          now_s: present time in monotonic seconds.
          unpaid: amount admitted but not yet paid, over all instances.
        """
        self._samples.append(
            _Sample(now_s, self.admitted, self.admitted - unpaid)
        )

    def compute_over_use(self) -> float:
        """Returns the largest share by which paid use exceeded the limit."""
        return self._compute_worst_excess(
            [sample.paid for sample in self._samples]
        )

    def compute_over_admission(self) -> float:
        """Returns the largest share by which admissions exceeded the limit."""
        return self._compute_worst_excess(
            [sample.admitted for sample in self._samples]
        )

    def compute_use(self, since_s: float, until_s: float) -> float:
        """Returns the share of the limit that was paid between two times."""
        inside = [s for s in self._samples if since_s <= s.at_s <= until_s]
        if len(inside) < 2:
            return 0.0
        elapsed_s = inside[-1].at_s - inside[0].at_s
        return (inside[-1].paid - inside[0].paid) / (self._limit * elapsed_s)

    def _compute_worst_excess(self, totals: list[float]) -> float:
        """Returns the largest excess of any window that ends at a sample."""
        worst = 0.0
        start = 0
        for end, sample in enumerate(self._samples):
            while sample.at_s - self._samples[start].at_s > WINDOW_S + 1e-6:
                start += 1
            used = totals[end] - totals[start]
            worst = max(worst, used / (self._limit * WINDOW_S) - 1.0)
        return worst
