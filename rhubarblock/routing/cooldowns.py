"""The cool-downs that endpoints requested, and the probe after each of them.

An endpoint that refuses a request may name a time for which it wants no
requests from this instance (Retry-After). It then gets none, even if no other
endpoint is left. After that one request probes it, and the others follow once
it has accepted one; otherwise the callers of all instances would return to it
at the same moment.
"""

import dataclasses
import math

from rhubarblock.kernel import metrics as metric_store

# Seconds for which one request probes an endpoint after its cool-down before
# another one may.
PROBE_S = 1.0
# Seconds after a cool-down for which an endpoint that was not probed is
# remembered.
RETENTION_S = 60.0


@dataclasses.dataclass(slots=True)
class _Cooldown:
    """A cool-down that is in force, or is over and awaits a successful probe.

    Attributes:
      until_s: its end, in monotonic seconds.
      probe_until_s: until when a request probes the endpoint, in monotonic
        seconds.
    """

    until_s: float
    probe_until_s: float = -math.inf


class Cooldowns:
    """The cool-downs that endpoints asked one instance for."""

    __slots__ = ("_cooldowns", "_metrics")

    def __init__(self, metrics: metric_store.Metrics):
        """Starts without any cool-down.

        Args:
          metrics: counts the cool-downs.
        """
        self._cooldowns: dict[str, _Cooldown] = {}
        self._metrics = metrics

    def __bool__(self) -> bool:
        return bool(self._cooldowns)

    def note(self, endpoint_id: str, length_s: float, now_s: float) -> None:
        """Records that an endpoint wants no requests for a time.

        A shorter cool-down does not end a longer one.

        Args:
          endpoint_id: the endpoint.
          length_s: seconds from now on.
          now_s: current time in monotonic seconds.
        """
        self._metrics.count("rests.asked")
        until_s = now_s + length_s
        known = self._cooldowns.get(endpoint_id)
        if known is None:
            self._cooldowns[endpoint_id] = _Cooldown(until_s)
            return
        known.until_s = max(known.until_s, until_s)
        known.probe_until_s = -math.inf

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        """Records that a request goes there; it may be the probe."""
        cooldown = self._cooldowns.get(endpoint_id)
        if cooldown is not None:
            cooldown.probe_until_s = now_s + PROBE_S

    def note_accepted(self, endpoint_id: str) -> None:
        """Records that an endpoint accepted a request."""
        cooldown = self._cooldowns.get(endpoint_id)
        if cooldown is not None and cooldown.probe_until_s > -math.inf:
            del self._cooldowns[endpoint_id]

    def is_cooling_down(self, endpoint_id: str, now_s: float) -> bool:
        """Says whether an endpoint must not get any request at present."""
        return self.find_remaining(endpoint_id, now_s) > 0.0

    def is_probed(self, endpoint_id: str, now_s: float) -> bool:
        """Says whether a request probes an endpoint after its cool-down."""
        cooldown = self._cooldowns.get(endpoint_id)
        return cooldown is not None and now_s < cooldown.probe_until_s

    def find_remaining(self, endpoint_id: str, now_s: float) -> float:
        """Returns the remaining seconds of a cool-down, 0 without one."""
        cooldown = self._cooldowns.get(endpoint_id)
        return max(0.0, cooldown.until_s - now_s) if cooldown else 0.0

    def forget(self, endpoint_id: str) -> None:
        """Forgets the cool-down of an endpoint that restarted."""
        self._cooldowns.pop(endpoint_id, None)

    def expire(self, now_s: float) -> None:
        """Forgets endpoints that nobody probed for long after a cool-down."""
        oldest_s = now_s - RETENTION_S
        for endpoint_id, cooldown in list(self._cooldowns.items()):
            if cooldown.until_s < oldest_s:
                del self._cooldowns[endpoint_id]
