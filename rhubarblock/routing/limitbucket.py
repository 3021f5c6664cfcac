"""A token bucket with debt: one limit of one entry at one instance.

A request may cost far more than a shallow bucket holds. It is admitted while
there is no debt, and the missing part becomes a debt that the rate pays off
before the next request. Prompts over the long threshold have a separate debt
that is paid with at most half of the rate, so short prompts go on in parallel.
"""

import math

# Seconds of the rate that the bucket holds. All buckets of a limit together
# then exceed it by at most 1.5% in ten seconds.
DEPTH_S = 0.15
# Part of the rate that pays for long prompts while short ones need the rest.
LONG_PART = 0.5


class Bucket:
    """A token bucket; amounts in units of the limit, times in seconds."""

    __slots__ = ("_depth", "_level", "_long_debt", "_rate", "_settled_s")

    def __init__(self, now_s: float):
        """Creates a bucket that fills only once it has a rate."""
        self._settled_s = now_s
        self._rate = 0.0
        self._depth = 0.0
        self._level = 0.0
        self._long_debt = 0.0

    @property
    def rate(self) -> float:
        """Units added each second."""
        return self._rate

    @property
    def unpaid(self) -> float:
        """Units admitted but not paid yet, by short and long prompts."""
        return self._long_debt - min(self._level, 0.0)

    def set_rate(self, rate: float) -> None:
        """Sets the rate from the last settled time on."""
        self._rate = rate
        self._depth = rate * DEPTH_S
        self._level = min(self._level, self._depth)

    def settle(self, now_s: float) -> None:
        """Adds what the rate yields up to a time, and pays debts with it."""
        gain = (now_s - self._settled_s) * self._rate
        self._settled_s = now_s
        if self._long_debt:
            paid = min(self._long_debt, gain * LONG_PART)
            self._long_debt -= paid
            gain -= paid
        level = self._level + gain
        if level > self._depth:
            if self._long_debt:
                # The overflow of the bucket pays for long prompts, too.
                self._long_debt = max(
                    0.0, self._long_debt - (level - self._depth)
                )
            level = self._depth
        self._level = level

    def find_wait(self, long: bool) -> float:
        """Returns the seconds until the next request can be admitted.

        Args:
          long: whether the request is over the long threshold.

        Returns:
          0 if it can be admitted now, infinity without a rate. An upper bound
          while both short and long prompts have debts.
        """
        if not self._rate:
            return math.inf
        if long:
            return self._long_debt / (self._rate * LONG_PART)
        if self._level >= 0:
            return 0.0
        part = 1.0 - LONG_PART if self._long_debt else 1.0
        return -self._level / (self._rate * part)

    def charge(self, cost: float, long: bool) -> None:
        """Deducts the cost of an admitted request."""
        if long:
            self._long_debt += cost
        else:
            self._level -= cost

    def refund(self, cost: float, long: bool) -> None:
        """Returns an unused part of an earlier charge."""
        if long:
            self._long_debt = max(0.0, self._long_debt - cost)
        else:
            self._level = min(self._level + cost, self._depth)
