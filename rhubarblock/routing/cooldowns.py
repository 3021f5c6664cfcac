"""Which endpoints asked this instance for rest, and their use after it.

An endpoint that turned a request away may name a time for which it wants
nothing from this instance; it gets nothing then, whatever else is left. After
that one request tries it, and the others follow once it has taken one, since
the callers of all instances would else come back to it together.
"""

import dataclasses
import math

from rhubarblock.kernel import metrics as metric_store

# Seconds for which one request tries an endpoint after its rest before another
# one may.
TRIAL_S = 1.0
# Seconds after a rest for which an endpoint that nobody tried is remembered.
KEPT_S = 60.0


@dataclasses.dataclass(slots=True)
class _Rest:
    """A rest that lasts, or ended and was not followed by a good answer.

    Attributes:
      until_s: its end, in monotonic seconds.
      trial_until_s: until when a request tries the endpoint, in monotonic
        seconds.
    """

    until_s: float
    trial_until_s: float = -math.inf


class Cooldowns:
    """The rests that endpoints asked of one instance."""

    __slots__ = ("_metrics", "_rests")

    def __init__(self, metrics: metric_store.Metrics):
        """Starts with none.

        Args:
          metrics: counts the rests.
        """
        self._rests: dict[str, _Rest] = {}
        self._metrics = metrics

    def __bool__(self) -> bool:
        return bool(self._rests)

    def note(self, endpoint_id: str, length_s: float, now_s: float) -> None:
        """Takes in that an endpoint wants nothing for a time.

        A shorter time after a longer one doesn't end that.

        Args:
          endpoint_id: the endpoint.
          length_s: seconds from now on.
          now_s: the present moment, in monotonic seconds.
        """
        self._metrics.count("rests.asked")
        until_s = now_s + length_s
        known = self._rests.get(endpoint_id)
        if known is None:
            self._rests[endpoint_id] = _Rest(until_s)
            return
        known.until_s = max(known.until_s, until_s)
        known.trial_until_s = -math.inf

    def note_chosen(self, endpoint_id: str, now_s: float) -> None:
        """Takes in that a request goes there; it may be the one that tries."""
        rest = self._rests.get(endpoint_id)
        if rest is not None:
            rest.trial_until_s = now_s + TRIAL_S

    def note_accepted(self, endpoint_id: str) -> None:
        """Takes in that an endpoint took a request."""
        rest = self._rests.get(endpoint_id)
        if rest is not None and rest.trial_until_s > -math.inf:
            del self._rests[endpoint_id]

    def is_cooling_down(self, endpoint_id: str, now_s: float) -> bool:
        """Says whether an endpoint must get nothing at present."""
        return self.find_remaining(endpoint_id, now_s) > 0.0

    def is_probed(self, endpoint_id: str, now_s: float) -> bool:
        """Says whether a request tries an endpoint after its rest."""
        rest = self._rests.get(endpoint_id)
        return rest is not None and now_s < rest.trial_until_s

    def find_remaining(self, endpoint_id: str, now_s: float) -> float:
        """Returns the seconds that a rest still lasts, 0 without one."""
        rest = self._rests.get(endpoint_id)
        return max(0.0, rest.until_s - now_s) if rest else 0.0

    def forget(self, endpoint_id: str) -> None:
        """Forgets what an earlier start of an endpoint asked for."""
        self._rests.pop(endpoint_id, None)

    def expire(self, now_s: float) -> None:
        """Forgets endpoints that nobody tried for long after their rest."""
        oldest_s = now_s - KEPT_S
        for endpoint_id, rest in list(self._rests.items()):
            if rest.until_s < oldest_s:
                del self._rests[endpoint_id]
