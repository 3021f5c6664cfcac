"""Models endpoints, some of which shed load periodically."""

import collections
import dataclasses
import heapq
import random

from rhubarblock.core import listed as lists

# Mean service time in seconds, and the shape of its gamma distribution.
SERVICE_S = 0.09
SERVICE_SHAPE = 4.0
SLOTS = 6
# Most requests in the queue of an endpoint.
QUEUE = 12
# Start of the first shedding period, its length, and the interval between the
# starts of two periods, in seconds.
SHED_FROM_S = 6.0
SHED_S = 12.0
SHED_EVERY_S = 24.0
# Size of the token bucket of a shedding endpoint, in requests.
SHED_BURST = 2.0
# Cool-down that a shedding endpoint asks for, in seconds.
COOLDOWN_S = 3.0


def find_shed_elapsed(now_s: float) -> float | None:
    """Returns the seconds since a shedding period began, None outside."""
    if now_s < SHED_FROM_S:
        return None
    elapsed_s = (now_s - SHED_FROM_S) % SHED_EVERY_S
    return elapsed_s if elapsed_s < SHED_S else None


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """An endpoint's answer to a request.

    Attributes:
      after_s: seconds until the endpoint sends the answer.
      is_accepted: whether it ran the request.
      cooldown_s: requested cool-down in seconds, 0 for none.
    """

    after_s: float
    is_accepted: bool
    cooldown_s: float = 0.0


class Endpoint:
    """An endpoint with some slots and a bounded queue.

    Attributes:
      listed: its entry in the list.
      sheds: whether it sheds load periodically.
      arrived_s: when requests arrived, in monotonic seconds.
      accepted_s: when the accepted requests arrived.
      refused_s: when the requests arrived that it refused with a cool-down.
    """

    def __init__(
        self,
        listed: lists.ListedEndpoint,
        sheds: bool,
        shed_rate: float,
        rng: random.Random,
    ):
        """Creates an idle endpoint.

        Args:
          listed: its entry in the list.
          sheds: whether it sheds load periodically.
          shed_rate: part of its capacity that it accepts while it sheds.
          rng: seeded generator of service times.
        """
        self.listed = listed
        self.sheds = sheds
        self.arrived_s: list[float] = []
        self.accepted_s: list[float] = []
        self.refused_s: list[float] = []
        self._per_s = shed_rate * listed.slots / SERVICE_S
        self._rng = rng
        self._free_s = [0.0] * listed.slots
        self._starts_s: collections.deque[float] = collections.deque()
        self._tokens = SHED_BURST
        self._refilled_s = 0.0

    def answer(self, now_s: float) -> Answer:
        """Accepts or refuses a request that arrives now."""
        self.arrived_s.append(now_s)
        if self.sheds and not self._try_admit(now_s):
            self.refused_s.append(now_s)
            return Answer(0.0, False, COOLDOWN_S)
        while self._starts_s and self._starts_s[0] <= now_s:
            self._starts_s.popleft()
        if len(self._starts_s) >= QUEUE:
            return Answer(0.0, False)
        self.accepted_s.append(now_s)
        start_s = max(now_s, self._free_s[0])
        if start_s > now_s:
            self._starts_s.append(start_s)
        scale_s = SERVICE_S / SERVICE_SHAPE
        end_s = start_s + self._rng.gammavariate(SERVICE_SHAPE, scale_s)
        heapq.heapreplace(self._free_s, end_s)
        return Answer(end_s - now_s, True)

    def _try_admit(self, now_s: float) -> bool:
        """Applies the token bucket during a shedding period."""
        if find_shed_elapsed(now_s) is None:
            return True
        refilled = self._per_s * (now_s - self._refilled_s)
        self._tokens = min(SHED_BURST, self._tokens + refilled)
        self._refilled_s = now_s
        if self._per_s == 0.0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
