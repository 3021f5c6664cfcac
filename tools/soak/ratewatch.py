"""Endpoints of the soak that name rate limits, and whether these are kept."""

import collections

from tools.soak import evidence as evidences

# Seconds after an endpoint first named a limit from which it must be kept.
STABLE_S = 3.0
# Seconds of a window in which requests are counted, how much more than the
# limit allows may come in one, and how many besides.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
# Seconds after an instance passed the limit on from which its requests count.
TOLD_S = 0.5
# Seconds after a way healed in which what it kept back may arrive together.
HEALED_S = 1.0


class RateWatch:
    """What one start of an endpoint names, and what arrives there.

    Attributes:
      mark: stands in the signature under each answer, so that callers can say
        which word of the endpoint they got.
      per_s: the limit that it names at present; None without one.
    """

    def __init__(self, endpoint_id: str, evidence: evidences.Evidence):
        self.per_s: float | None = None
        self._endpoint_id = endpoint_id
        self._evidence = evidence
        self._number = 0
        self._named_s = 0.0
        self._arrived_s: collections.deque[float] = collections.deque()
        self._is_broken = False

    @property
    def mark(self) -> str:
        return f"{self._endpoint_id}.{id(self)}.{self._number}"

    def name(self, per_s: float | None) -> None:
        """Begins to name a limit, or ceases to."""
        self.per_s = per_s
        self._number += 1
        self._named_s = evidences.read_clock()
        self._arrived_s.clear()
        self._is_broken = False

    def note_arrival(self, request_id: str, healed_s: float) -> None:
        """Takes in a request, and checks the limit.

        Args:
          request_id: its id.
          healed_s: when the way to the endpoint was broken last.
        """
        now_s = evidences.read_clock()
        if self.per_s is None or now_s < healed_s + HEALED_S:
            return
        told_s = self._evidence.find_told(self.mark, request_id)
        if told_s is None or now_s < told_s + TOLD_S:
            return
        self._arrived_s.append(now_s)
        while self._arrived_s[0] < now_s - WINDOW_S:
            self._arrived_s.popleft()
        allowed = EXCESS * self.per_s * WINDOW_S + SLACK
        is_over = len(self._arrived_s) > allowed
        if is_over and now_s >= self._named_s + STABLE_S:
            self._report(allowed)

    def _report(self, allowed: float) -> None:
        if self._is_broken:
            return
        self._is_broken = True
        self._evidence.faults.append(
            f"{self._endpoint_id} named {self.per_s} requests a second and got "
            f"{len(self._arrived_s)} in {WINDOW_S:g} s; allowed {allowed:g}"
        )
