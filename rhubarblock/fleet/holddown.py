"""Exponential hold-down of failed endpoints.

A failed endpoint gets no new requests during its hold-down. The time doubles
with each failure up to a cap and is reset only after a stable period, so that
a flapping endpoint is held down for longer each time.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class HoldDownSettings:
    """Settings of a hold-down; times are in seconds.

    Attributes:
      first_s: hold-down after the first failure.
      cap_s: longest hold-down.
      stable_s: time without failures after which the hold-down starts again at
        ``first_s``.
    """

    first_s: float = 0.5
    cap_s: float = 30.0
    stable_s: float = 30.0


class HoldDown:
    """The hold-down of one endpoint.

    Attributes:
      failed_s: time of the latest failure.
      until_s: end of the hold-down.
    """

    __slots__ = ("_settings", "_level", "failed_s", "until_s")

    def __init__(self, settings: HoldDownSettings):
        """Creates the state of an endpoint that has not failed.

        Args:
          settings: first and longest hold-down, and the stable period.
        """
        self._settings = settings
        self._level = 0
        self.failed_s = float("-inf")
        self.until_s = float("-inf")

    def record_failure(self, now_s: float) -> None:
        """Records a failure and starts a hold-down unless one is active.

        Failures during a hold-down are those of requests sent before it, and
        do not extend it.
        """
        settings = self._settings
        healthy_since_s = max(self.failed_s, self.until_s)
        self.failed_s = now_s
        if now_s < self.until_s:
            return
        if now_s - healthy_since_s >= settings.stable_s:
            self._level = 0
        hold_s = min(settings.first_s * 2**self._level, settings.cap_s)
        self._level += hold_s < settings.cap_s
        self.until_s = now_s + hold_s

    def is_held(self, now_s: float) -> bool:
        """Returns whether the hold-down is active."""
        return now_s < self.until_s
