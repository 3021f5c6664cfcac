"""Checks that endpoints get few requests while they are cold."""

import collections

from tools.soak import evidence as evidences
from tools.soak import proxy as proxies
from tools.soak import ratewatch

# Whether endpoints are cold after each start.
IS_ON = False
# Seconds for which an endpoint is cold, and the requests a second that it can
# handle then; the storms send several times as many.
COLD_START_S = 4.0
COLD_PER_S = 4.0
# Requests in any second that a cold endpoint may get from all instances, as a
# factor of its rate and a few more.
EXCESS = 1.5
SLACK = 5
ALLOWED = COLD_PER_S * EXCESS + SLACK
WINDOW_S = 1.0
BOUNDS = f"coldExcess = {EXCESS}\ncoldSlack = {SLACK}\n" if IS_ON else ""
# Fields of a service with cold endpoints.
SERVICE = {"coldStartS": COLD_START_S, "coldPerS": COLD_PER_S} if IS_ON else {}


class ColdWatch:
    """The cold time of one run of an endpoint, and the requests in it."""

    def __init__(self, endpoint_id: str, evidence: evidences.Evidence):
        self._endpoint_id = endpoint_id
        self._evidence = evidence
        self._warm_s = evidences.read_clock() + COLD_START_S * IS_ON
        self._arrivals_s: collections.deque[float] = collections.deque()
        self._is_reported = False

    @property
    def remaining_ms(self) -> int:
        """Milliseconds for which the endpoint stays cold; 0 if it is warm."""
        left_s = self._warm_s - evidences.read_clock()
        return max(0, round(left_s * 1e3))

    def note_arrival(self, proxy: proxies.SoakProxy) -> None:
        """Records a request from any instance, and checks the bound.

        Args:
          proxy: that of the endpoint; requests that it held back may arrive
            together and are exempt.
        """
        now_s = evidences.read_clock()
        if now_s >= self._warm_s or proxy.was_broken_since(
            now_s - ratewatch.BACKLOG_S
        ):
            return
        self._arrivals_s.append(now_s)
        while self._arrivals_s[0] <= now_s - WINDOW_S:
            self._arrivals_s.popleft()
        if len(self._arrivals_s) > ALLOWED and not self._is_reported:
            self._is_reported = True
            self._evidence.violations.append(
                f"{self._endpoint_id} got {len(self._arrivals_s)} requests in "
                f"{WINDOW_S:g} s while cold; allowed {ALLOWED:g}"
            )
