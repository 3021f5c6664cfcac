"""The limits of one entry of the catalogue at one instance."""

import math

from rhubarblock.core import catalogue as catalogues
from rhubarblock.routing import limitbucket
from rhubarblock.routing import limitdemand
from rhubarblock.routing import limitshare


class EntryLimiter:
    """Token buckets and long-prompt slots of one institution or workspace.

    Attributes:
      key: name of the entry.
      limits: limits in force.
      meter: measures the demand.
      long_held: long prompts that are running.
    """

    __slots__ = (
        "_requests",
        "_share",
        "_shares",
        "_tokens",
        "key",
        "limits",
        "long_held",
        "meter",
    )

    def __init__(
        self,
        key: str,
        limits: catalogues.Limits,
        shares: limitshare.Shares,
        now_s: float,
    ):
        self.key = key
        self.limits = limits
        self.meter = limitdemand.DemandMeter(now_s)
        self.long_held = 0
        self._shares = shares
        self._requests = limitbucket.Bucket(now_s)
        self._tokens = limitbucket.Bucket(now_s)
        self._share = limitshare.NO_SHARE
        self.refresh_share(now_s)

    @property
    def unpaid_tokens(self) -> float:
        """Tokens admitted but not paid yet."""
        return self._tokens.unpaid

    @property
    def unpaid_requests(self) -> float:
        """Requests admitted but not paid yet."""
        return self._requests.unpaid

    def change_limits(self, limits: catalogues.Limits, now_s: float) -> None:
        """Applies new limits."""
        self.settle(now_s)
        self.limits = limits
        self.refresh_share(now_s)

    def refresh_share(self, now_s: float) -> None:
        """Applies the current share."""
        self.settle(now_s)
        self._apply_share(self._shares.read_share(self.key, self.limits, now_s))

    def settle(self, now_s: float) -> None:
        """Fills the buckets up to now, by the shares of the elapsed time.

        A share ends when it expires, even if nothing ran at that moment: a
        paused instance must not go on with a share that others have by then.
        """
        while now_s >= self._share.until_s:
            expired_s = self._share.until_s
            self._requests.settle(expired_s)
            self._tokens.settle(expired_s)
            self._apply_share(
                self._shares.read_share(self.key, self.limits, expired_s)
            )
        self._requests.settle(now_s)
        self._tokens.settle(now_s)

    def find_wait(self, now_s: float, long: bool) -> float:
        """Settles, and returns the seconds until the next request fits.

        Args:
          now_s: current time in monotonic seconds.
          long: whether the request is over the long threshold.

        Returns:
          0 if it fits now, infinity if that depends on other requests or
          instances.
        """
        self.settle(now_s)
        if long and not self._has_slot():
            return math.inf
        wait_s = 0.0
        if self.limits.requests_per_s:
            wait_s = self._requests.find_wait(False)
        if self.limits.tokens_per_s:
            tokens_wait_s = self._tokens.find_wait(long)
            if tokens_wait_s > wait_s:
                return tokens_wait_s
        return wait_s

    def charge(self, tokens: int, long: bool, now_s: float) -> None:
        """Charges an admitted request and counts it as offered load."""
        self.meter.count_offer(tokens, now_s)
        if self.limits.requests_per_s:
            self._requests.charge(1.0, False)
        if self.limits.tokens_per_s:
            self._tokens.charge(tokens, long)
        if long:
            self.long_held += 1

    def release(self, unused_tokens: int, long: bool) -> None:
        """Frees the slot and the unused tokens of a request that ended."""
        if unused_tokens and self.limits.tokens_per_s:
            self._tokens.refund(unused_tokens, long)
        if long:
            self.long_held -= 1

    def count_refused(self, tokens: int, long: bool, now_s: float) -> None:
        """Counts a request that this entry refused."""
        self.meter.count_offer(tokens, now_s)
        if long and not self._has_slot():
            self.meter.count_missed()

    def measure_demand(self, now_s: float) -> limitshare.Demand:
        """Returns the current demand."""
        self.settle(now_s)
        return self.meter.measure(
            self.limits, self._tokens.unpaid, self.long_held, now_s
        )

    def _has_slot(self) -> bool:
        if not self.limits.concurrent_long:
            return True
        return self.long_held < self._share.long_slots

    def _apply_share(self, share: limitshare.Share) -> None:
        self._share = share
        part = share.units / limitshare.SHARE_UNITS
        self._requests.set_rate(self.limits.requests_per_s * part)
        self._tokens.set_rate(self.limits.tokens_per_s * part)
