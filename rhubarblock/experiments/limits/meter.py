"""Counts what a fleet admits against the limits of one entry.

Two counts are kept. *Paid*: a request counts while its tokens are paid from
the share of its instance; this is what the limit promises. *Admitted*: all of
its tokens count at the moment of admission; it shows how far a window can be
off when a single request is larger than what its instance may use in it.
"""

import dataclasses

WINDOW_S = 10.0


@dataclasses.dataclass(slots=True)
class _Sample:
    at_s: float
    admitted: float
    paid: float


class UseMeter:
    """Use of one rate of one entry over all instances.

    Attributes:
      admitted: amount admitted since the start.
    """

    __slots__ = ("_limit", "_samples", "admitted")

    def __init__(self, limit: float):
        """Creates a meter.

        Args:
          limit: the limit a second.
        """
        self._limit = limit
        self._samples: list[_Sample] = []
        self.admitted = 0.0

    def sample(self, now_s: float, unpaid: float) -> None:
        """Notes the present state.

        Args:
          now_s: time.
          unpaid: amount admitted but not paid yet at all instances.
        """
        self._samples.append(
            _Sample(now_s, self.admitted, self.admitted - unpaid)
        )

    def find_over_use(self) -> float:
        """Returns by what share paid use passed the limit in any window."""
        return self._find_worst([sample.paid for sample in self._samples])

    def find_over_admission(self) -> float:
        """Returns by what share admissions passed the limit in any window."""
        return self._find_worst([sample.admitted for sample in self._samples])

    def find_use(self, since_s: float, until_s: float) -> float:
        """Returns the paid share of the limit between two times."""
        inside = [s for s in self._samples if since_s <= s.at_s <= until_s]
        if len(inside) < 2:
            return 0.0
        elapsed_s = inside[-1].at_s - inside[0].at_s
        return (inside[-1].paid - inside[0].paid) / (self._limit * elapsed_s)

    def _find_worst(self, totals: list[float]) -> float:
        """Compares each window with the limit, by the steps of sampling."""
        worst = 0.0
        start = 0
        for end, sample in enumerate(self._samples):
            while sample.at_s - self._samples[start].at_s > WINDOW_S + 1e-6:
                start += 1
            used = totals[end] - totals[start]
            worst = max(worst, used / (self._limit * WINDOW_S) - 1.0)
        return worst
