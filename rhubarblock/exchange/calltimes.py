"""Learns how long plain calls take at each endpoint of a service.

The work of a call is not known beforehand, so an endpoint is compared with the
others of its service: its factor is the mean duration of its calls divided by
that of the middle endpoint. A factor that may be due to chance, or is below the
noise threshold, is exactly 1.
"""

import dataclasses
import math
import statistics

# Seconds after which the weight of a call has halved.
HALF_LIFE_S = 60.0
# Weight of all calls of an endpoint from which it is compared with others.
MIN_WEIGHT = 6.0
# Weight of an average endpoint against the calls of one.
AVERAGE_WEIGHT = 2.0
# Smallest factor that matters, in either direction. Calls of one service take
# different times, so it is larger than that of prompts.
DEVIATION = 1.5
# Standard errors by which a factor must exceed the threshold.
CERTAINTY = 2.0
# Seconds for which computed factors are used.
REFRESH_S = 0.5
# Seconds that a shorter call counts as, since logarithms are compared.
MIN_CALL_S = 1e-4


@dataclasses.dataclass(slots=True)
class _Durations:
    """Logarithms of the durations of an endpoint's calls.

    Attributes:
      weight: sum of the weights.
      mean: their mean.
      variance: their variance.
      noted_s: when the last one was added, in monotonic seconds.
    """

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0
    noted_s: float = 0.0

    def find_weight(self, now_s: float) -> float:
        """Returns the weight of all calls at a time."""
        age_s = max(0.0, now_s - self.noted_s)
        return self.weight * 0.5 ** (age_s / HALF_LIFE_S)

    def add(self, log: float, now_s: float) -> None:
        """Adds a call with the weight 1."""
        self.weight = self.find_weight(now_s) + 1.0
        self.noted_s = now_s
        share = 1.0 / self.weight
        difference = log - self.mean
        self.mean += share * difference
        self.variance += share * ((1.0 - share) * difference**2 - self.variance)


class CallTimes:
    """Durations of the plain calls of one instance."""

    __slots__ = ("_computed_s", "_durations", "_factors")

    def __init__(self) -> None:
        """Starts without calls."""
        self._durations: dict[str, dict[str, _Durations]] = {}
        self._factors: dict[str, float] = {}
        self._computed_s: dict[str, float] = {}

    def note(
        self, service: str, endpoint_id: str, taken_s: float, now_s: float
    ) -> None:
        """Records how long a call took.

        Args:
          service: the service of the endpoint.
          endpoint_id: the endpoint.
          taken_s: seconds from its sending to its whole answer.
          now_s: current time in monotonic seconds.
        """
        of_service = self._durations.setdefault(service, {})
        durations = of_service.setdefault(endpoint_id, _Durations())
        durations.add(math.log(max(MIN_CALL_S, taken_s)), now_s)

    def find_factor(
        self, service: str, endpoint_id: str, now_s: float
    ) -> float:
        """Returns how much longer calls take than at the middle endpoint."""
        computed_s = self._computed_s.get(service, -math.inf)
        if now_s - computed_s >= REFRESH_S:
            self._computed_s[service] = now_s
            self._compute(service, now_s)
        return self._factors.get(endpoint_id, 1.0)

    def forget(self, endpoint_id: str) -> None:
        """Forgets the calls of an endpoint that restarted."""
        self._factors.pop(endpoint_id, None)
        for of_service in self._durations.values():
            of_service.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Drops unlisted endpoints."""
        for of_service in self._durations.values():
            for endpoint_id in set(of_service) - endpoint_ids:
                del of_service[endpoint_id]
        for endpoint_id in set(self._factors) - endpoint_ids:
            del self._factors[endpoint_id]

    def _compute(self, service: str, now_s: float) -> None:
        """Computes the factors of a service's endpoints."""
        known = {}
        for endpoint_id, durations in self._durations.get(service, {}).items():
            self._factors.pop(endpoint_id, None)
            weight = durations.find_weight(now_s)
            if weight >= MIN_WEIGHT:
                known[endpoint_id] = (durations, weight)
        if len(known) < 2:
            return
        middle = statistics.median_low(d.mean for d, _ in known.values())
        for endpoint_id, (durations, weight) in known.items():
            log = durations.mean - middle
            error = math.sqrt(durations.variance / weight)
            if abs(log) < math.log(DEVIATION) + CERTAINTY * error:
                continue
            log *= weight / (weight + AVERAGE_WEIGHT)
            self._factors[endpoint_id] = math.exp(log)
