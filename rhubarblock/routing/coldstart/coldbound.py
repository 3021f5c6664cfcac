"""The most requests that an endpoint may get which may be cold unnoticed."""

import dataclasses

from rhubarblock.core import route as routes
from rhubarblock.routing.coldstart import recentcounts

# Seconds from the placement of a request by a peer until this instance counts
# it, on a busy instance behind a slow link. What peers place at the bound
# within this time is not known here yet.
UNDER_WAY_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class ColdBound:
    """A deployment's bound on the requests of a cold endpoint.

    Attributes:
      excess: factor on the cold rate of the service.
      slack: additional requests in any second.
    """

    excess: float
    slack: float

    def compute(self, service: routes.ServiceSpec) -> float:
        """Returns the most requests in any second, over all instances."""
        return self.excess * service.cold_per_s + self.slack

    def compute_allowed(
        self, service: routes.ServiceSpec, reached: float = 1.0
    ) -> int:
        """Returns the number of requests up to which an instance sends.

        It is at least one, so that an endpoint is never unused for good.

        Args:
          service: a service with a cold rate.
          reached: part of the instances whose requests are counted here, as the
            others use their own part of the bound.
        """
        bound = self.compute(service) * reached
        margin = max(1.0, bound * UNDER_WAY_S / recentcounts.BOUND_S)
        return max(1, int(bound - margin))


def predict_room(ages_s: list[float], allowed: int) -> float:
    """Returns the seconds until fewer requests are in the window.

    Args:
      ages_s: ages in seconds of the requests in the window.
      allowed: number of requests that the window may hold.
    """
    excess = len(ages_s) - allowed + 1
    if excess <= 0:
        return 0.0
    return recentcounts.WINDOW_S - sorted(ages_s, reverse=True)[excess - 1]
