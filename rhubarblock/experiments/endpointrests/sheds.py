"""Modelled endpoints, some of which shed load at times."""

import collections
import dataclasses
import heapq
import random

from rhubarblock.core import listed as lists

# Mean seconds of service, and the shape of its gamma distribution.
SERVICE_S = 0.09
SERVICE_SHAPE = 4.0
SLOTS = 6
# Requests that wait at an endpoint at most.
QUEUE = 12
# Seconds at which the first shedding begins, for which each lasts, and from
# the begin of one to the begin of the next.
SHED_FROM_S = 6.0
SHED_S = 12.0
SHED_EVERY_S = 24.0
# Requests that a shedding endpoint may take at once.
SHED_BURST = 2.0
# Seconds of rest that a shedding endpoint asks for.
REST_S = 3.0


def find_shed_part(now_s: float) -> float | None:
    """Returns which seconds of a shedding it is, None between sheddings."""
    if now_s < SHED_FROM_S:
        return None
    into_s = (now_s - SHED_FROM_S) % SHED_EVERY_S
    return into_s if into_s < SHED_S else None


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """What an endpoint does with a request.

    Attributes:
      after_s: seconds until the answer leaves it.
      is_taken: whether it ran the request.
      rest_s: seconds for which it wants nothing, 0 if it names none.
    """

    after_s: float
    is_taken: bool
    rest_s: float = 0.0


class Endpoint:
    """Slots before which a few requests wait.

    Attributes:
      listed: its entry in the list.
      sheds: whether it sheds load at times.
      arrived_s: when requests came to it, in monotonic seconds.
      taken_s: when those came that it took.
      turned_s: when those came that it turned away with a rest.
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
          sheds: whether it sheds load at times.
          shed_rate: part of its usual rate that it takes then.
          rng: decides how long requests run.
        """
        self.listed = listed
        self.sheds = sheds
        self.arrived_s: list[float] = []
        self.taken_s: list[float] = []
        self.turned_s: list[float] = []
        self._per_s = shed_rate * listed.slots / SERVICE_S
        self._rng = rng
        self._free_s = [0.0] * listed.slots
        self._starts_s: collections.deque[float] = collections.deque()
        self._saved = SHED_BURST
        self._settled_s = 0.0

    def answer(self, now_s: float) -> Answer:
        """Takes a request in or turns it away."""
        self.arrived_s.append(now_s)
        if self.sheds and not self._may_take(now_s):
            self.turned_s.append(now_s)
            return Answer(0.0, False, REST_S)
        while self._starts_s and self._starts_s[0] <= now_s:
            self._starts_s.popleft()
        if len(self._starts_s) >= QUEUE:
            return Answer(0.0, False)
        self.taken_s.append(now_s)
        start_s = max(now_s, self._free_s[0])
        if start_s > now_s:
            self._starts_s.append(start_s)
        scale_s = SERVICE_S / SERVICE_SHAPE
        end_s = start_s + self._rng.gammavariate(SERVICE_SHAPE, scale_s)
        heapq.heapreplace(self._free_s, end_s)
        return Answer(end_s - now_s, True)

    def _may_take(self, now_s: float) -> bool:
        """Says whether a request is within the rate of a shedding."""
        if find_shed_part(now_s) is None:
            return True
        grown = self._per_s * (now_s - self._settled_s)
        self._saved = min(SHED_BURST, self._saved + grown)
        self._settled_s = now_s
        if self._per_s == 0.0 or self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
