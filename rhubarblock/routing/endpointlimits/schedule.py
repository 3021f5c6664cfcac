"""Spaces the permits of one endpoint at a rate that may change."""

import dataclasses

# Longest time ahead for which a permit is granted, in seconds.
HORIZON_S = 0.6
# Seconds of the rate that may accumulate while no permits are requested, but at
# least one permit, so that requests that arrive together needn't be spread.
BURST_S = 0.05
# Part of a permit that may be missing due to rounding.
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class Slots:
    """Times at which permits may be used.

    Attributes:
      count: number of permits.
      delay_s: seconds until the first one.
      spacing_s: seconds from each one to the next.
      retry_after_s: seconds until the next one can be reserved.
    """

    count: int
    delay_s: float
    spacing_s: float
    retry_after_s: float


class PermitSchedule:
    """A token bucket of permits that may be reserved a little ahead."""

    __slots__ = ("_level", "_settled_s")

    def __init__(self, now_s: float):
        """Starts empty, as permits may have been granted elsewhere."""
        self._level = 0.0
        self._settled_s = now_s

    def reserve(
        self,
        wanted: int,
        rate: float,
        now_s: float,
        within_s: float = HORIZON_S,
    ) -> Slots:
        """Reserves the next permits.

        Args:
          wanted: largest number of permits.
          rate: permits a second, above 0.
          now_s: current time in monotonic seconds.
          within_s: longest time until the last of them, in seconds.
        """
        self._settle(rate, now_s)
        ahead_s = min(HORIZON_S, within_s)
        available = self._level + ahead_s * rate + _ROUNDING
        count = max(0, min(wanted, int(available)))
        delay_s = max(0.0, (1.0 - self._level) / rate)
        self._level -= count
        retry_after_s = max(0.0, (1.0 - self._level) / rate - HORIZON_S)
        return Slots(count, delay_s, 1.0 / rate, retry_after_s)

    def _settle(self, rate: float, now_s: float) -> None:
        burst = max(1.0, BURST_S * rate)
        grown = self._level + rate * max(0.0, now_s - self._settled_s)
        self._level = min(burst, grown)
        self._settled_s = now_s
