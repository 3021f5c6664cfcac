"""Checks that instances respect the rate limits that endpoints announce."""

import collections

from tools.soak import evidence as evidences

# Seconds after an endpoint announces another limit until instances must respect
# it.
SETTLING_S = 3.0
# Seconds of the sliding window in which requests are counted. A window may have
# the requests that the limit allows times a factor, and a few more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Seconds after an instance first forwarded the limit until its requests are
# counted.
PROPAGATION_S = 0.5
# Seconds after a proxy's fault in which the requests that it held back may
# arrive together.
BACKLOG_S = 1.0


class RateWatch:
    """Rate limits of one run of an endpoint, and the requests that arrive.

    Attributes:
      announcement_id: id of the present limit. Each answer carries it as its
        signature, so that callers can tell which limit was forwarded to them.
      per_s: the present limit in requests a second; None without one.
    """

    def __init__(self, endpoint_id: str, evidence: evidences.Evidence):
        self.per_s: float | None = None
        self._endpoint_id = endpoint_id
        self._evidence = evidence
        self._number = 0
        self._announced_s = 0.0
        self._arrivals_s: collections.deque[float] = collections.deque()
        self._is_reported = False

    @property
    def announcement_id(self) -> str:
        return f"{self._endpoint_id}.{id(self)}.{self._number}"

    def set_limit(self, per_s: float | None) -> None:
        """Announces another limit, or none."""
        self.per_s = per_s
        self._number += 1
        self._announced_s = evidences.read_clock()
        self._arrivals_s.clear()
        self._is_reported = False

    def note_arrival(self, request_id: str, healed_s: float) -> None:
        """Records a request, and checks the limit.

        Args:
          request_id: its id.
          healed_s: when the last fault of the proxy of the endpoint ended.
        """
        now_s = evidences.read_clock()
        if self.per_s is None or now_s < healed_s + BACKLOG_S:
            return
        limit_forwarded_s = self._evidence.find_limit_forwarded(
            self.announcement_id, request_id
        )
        if (
            limit_forwarded_s is None
            or now_s < limit_forwarded_s + PROPAGATION_S
        ):
            return
        self._arrivals_s.append(now_s)
        while self._arrivals_s[0] < now_s - WINDOW_S:
            self._arrivals_s.popleft()
        allowed = ALLOWED_FACTOR * self.per_s * WINDOW_S + ALLOWED_EXTRA
        is_over = len(self._arrivals_s) > allowed
        if is_over and now_s >= self._announced_s + SETTLING_S:
            self._report(allowed)

    def _report(self, allowed: float) -> None:
        if self._is_reported:
            return
        self._is_reported = True
        self._evidence.violations.append(
            f"{self._endpoint_id} announced {self.per_s} requests a second and "
            f"got {len(self._arrivals_s)} in {WINDOW_S:g} s; allowed "
            f"{allowed:g}"
        )
