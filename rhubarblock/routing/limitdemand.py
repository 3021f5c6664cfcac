"""Measures how much of an entry's limits one instance could use.

Refused requests count as well: otherwise an instance with too small a share
would never appear to need more.
"""

from rhubarblock.core import catalogue as catalogues
from rhubarblock.routing import limitshare

# Shortest time over which the offered load is measured, in seconds.
WINDOW_S = 1.0
# Part of a window's demand that carries over into the next one: between two
# bursts the share of an instance shrinks over two seconds and not at once.
_DECAY = 0.3
# Requests count as stopped after a pause of at least _SILENT_S seconds in which
# more than _SILENT_REQUESTS of them were expected at the rate of the last
# window.
_SILENT_REQUESTS = 5.0
_SILENT_S = 0.3
# Ratio of the requested to the measured demand, as arrivals are uneven.
_HEADROOM = 1.25
# Time in which debts should be paid, in seconds.
_PAY_S = 4.0


class DemandMeter:
    """Measures the offered load of one entry at one instance."""

    __slots__ = (
        "_last_part",
        "_last_rate",
        "_missed",
        "_missed_before",
        "_offered_s",
        "_requests",
        "_since_s",
        "_tokens",
    )

    def __init__(self, now_s: float):
        self._since_s = now_s
        self._requests = 0
        self._tokens = 0
        self._missed = 0
        self._missed_before = 0
        self._last_part = 0.0
        self._last_rate = 0.0
        self._offered_s = now_s

    def count_offer(self, tokens: int, now_s: float) -> None:
        """Counts a request that this entry admitted or refused."""
        self._offered_s = now_s
        self._requests += 1
        self._tokens += tokens

    def count_missed(self) -> None:
        """Counts a long prompt that found no free slot."""
        self._missed += 1

    def measure(
        self,
        limits: catalogues.Limits,
        unpaid_tokens: float,
        long_held: int,
        now_s: float,
    ) -> limitshare.Demand:
        """Returns the current demand; starts a new window if one is over.

        Args:
          limits: limits of the entry.
          unpaid_tokens: tokens admitted but not paid yet.
          long_held: long prompts that are running.
          now_s: current time in monotonic seconds.
        """
        elapsed_s = max(now_s - self._since_s, WINDOW_S)
        part = max(
            _divide(self._requests, limits.requests_per_s * elapsed_s),
            _divide(self._tokens, limits.tokens_per_s * elapsed_s),
        )
        part = max(part * _HEADROOM, self._last_part * _DECAY)
        if self._is_silent(now_s):
            part = 0.0
        missed = max(self._missed, self._missed_before)
        if now_s - self._since_s >= WINDOW_S:
            self._start_window(part, now_s)
        debt = _divide(unpaid_tokens, limits.tokens_per_s * _PAY_S)
        wanted = max(part, debt)
        return limitshare.Demand(
            units=min(
                int(wanted * limitshare.SHARE_UNITS), limitshare.SHARE_UNITS
            ),
            long_slots=min(long_held + missed, limits.concurrent_long),
            long_held=long_held,
        )

    def _is_silent(self, now_s: float) -> bool:
        silence_s = now_s - self._offered_s
        if silence_s < _SILENT_S:
            return False
        return silence_s * self._last_rate > _SILENT_REQUESTS

    def _start_window(self, part: float, now_s: float) -> None:
        self._last_part = part
        self._last_rate = self._requests / (now_s - self._since_s)
        self._missed_before = self._missed
        self._since_s = now_s
        self._requests = 0
        self._tokens = 0
        self._missed = 0


def _divide(amount: float, limit: float) -> float:
    return amount / limit if limit else 0.0
