"""Counts the requests that each endpoint got lately."""

import collections
from collections.abc import Iterable

# Length in seconds of the window for which cold endpoints have a bound.
BOUND_S = 1.0
# Seconds for which a request counts. Requests that are sent further apart than
# the bound's window may arrive within it, as the first ones open connections.
WINDOW_S = BOUND_S + 0.1


class RecentCounts:
    """The times of the latest requests, by endpoint."""

    __slots__ = ("_times_s",)

    def __init__(self) -> None:
        """Starts without requests."""
        self._times_s: dict[str, collections.deque[float]] = {}

    def note(self, endpoint_id: str, now_s: float) -> None:
        """Counts a request that goes to an endpoint at a monotonic time."""
        times_s = self._times_s.setdefault(endpoint_id, collections.deque())
        times_s.append(now_s)
        _trim(times_s, now_s)

    def list_ages(self, endpoint_id: str, now_s: float) -> list[float]:
        """Returns the ages in seconds of the requests in the window."""
        times_s = self._times_s.get(endpoint_id)
        if not times_s:
            return []
        _trim(times_s, now_s)
        return [now_s - at_s for at_s in times_s]

    def count(self, endpoint_id: str, now_s: float) -> int:
        """Returns the number of requests in the window."""
        times_s = self._times_s.get(endpoint_id)
        if not times_s:
            return 0
        _trim(times_s, now_s)
        return len(times_s)

    def count_kept(self, endpoint_id: str) -> int:
        """Returns the number of requests kept, which may include older ones."""
        times_s = self._times_s.get(endpoint_id)
        return len(times_s) if times_s else 0

    def forget(self, endpoint_id: str) -> None:
        """Drops the requests that went to an earlier start of an endpoint."""
        self._times_s.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Drops endpoints that are no longer listed."""
        for endpoint_id in set(self._times_s).difference(endpoint_ids):
            del self._times_s[endpoint_id]


def _trim(times_s: collections.deque[float], now_s: float) -> None:
    while times_s and times_s[0] <= now_s - WINDOW_S:
        times_s.popleft()
