"""Spaces the permits of one endpoint at a rate that may change."""

import dataclasses

# Longest seconds ahead for which a permit is granted.
HORIZON_S = 0.6
# Seconds of the rate that may be saved up while nobody asks, one permit at
# least, so that requests which come together needn't be spread.
SAVED_S = 0.05
# Part of a permit that rounding may lack.
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class Slots:
    """Moments at which permits may be used.

    Attributes:
      count: how many there are.
      delay_s: seconds until the first one.
      spacing_s: seconds from each one to the next.
      retry_after_s: seconds until the next one can be booked.
    """

    count: int
    delay_s: float
    spacing_s: float
    retry_after_s: float


class PermitSchedule:
    """A bucket of permits that may be booked a little ahead."""

    __slots__ = ("_level", "_settled_s")

    def __init__(self, now_s: float):
        """Starts empty, as nothing is known of permits granted elsewhere."""
        self._level = 0.0
        self._settled_s = now_s

    def book(
        self,
        wanted: int,
        rate: float,
        now_s: float,
        within_s: float = HORIZON_S,
    ) -> Slots:
        """Books the next permits.

        Args:
          wanted: how many at most.
          rate: permits a second, above 0.
          now_s: the present moment, in monotonic seconds.
          within_s: longest seconds until the last of them.
        """
        self._settle(rate, now_s)
        ahead_s = min(HORIZON_S, within_s)
        bookable = self._level + ahead_s * rate + _ROUNDING
        count = max(0, min(wanted, int(bookable)))
        delay_s = max(0.0, (1.0 - self._level) / rate)
        self._level -= count
        retry_after_s = max(0.0, (1.0 - self._level) / rate - HORIZON_S)
        return Slots(count, delay_s, 1.0 / rate, retry_after_s)

    def _settle(self, rate: float, now_s: float) -> None:
        saved = max(1.0, SAVED_S * rate)
        grown = self._level + rate * max(0.0, now_s - self._settled_s)
        self._level = min(saved, grown)
        self._settled_s = now_s
