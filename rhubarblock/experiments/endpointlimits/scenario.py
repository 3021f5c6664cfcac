"""The scenario ``endpoint-limits``: one endpoint states a rate limit.

First all instances send to it, then a single one, then all again while the
instances are partitioned into two halves. A request that is not admitted waits
for a moment and is then dropped.
"""

import dataclasses

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.experiments.endpointlimits import fleet as fleets
from rhubarblock.kernel import virtualloop

# Seconds of each phase, and of its warm-up, which isn't counted.
PHASE_S = 24.0
WARM_UP_S = 4.0
# Offered load as a multiple of the limit.
OFFERED = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLimitsResult:
    """Results of one run.

    Attributes:
      policy: one of ``fleet.POLICIES``.
      instances: number of instances.
      limit_per_s: limit of the endpoint in requests a second.
      seed: seed of the run.
      worst_window: most requests in any four seconds, as a multiple of what
        the limit allows in that time, which is at least one.
      used_all: part of the limit that was used while all instances sent.
      used_one: the same while one instance sent.
      used_cut: the same during the partition.
      messages_per_s: messages sent and received by an instance a second.
    """

    policy: str
    instances: int
    limit_per_s: float
    seed: int
    worst_window: float
    used_all: float
    used_one: float
    used_cut: float
    messages_per_s: float


def measure(
    policy: str = fleets.PERMITS,
    instances: int = 7,
    limit_per_s: float = 1.0,
    seed: int = 1,
) -> EndpointLimitsResult:
    """Runs the scenario on the fake clock.

    Args:
      policy: one of ``fleet.POLICIES``.
      instances: number of instances.
      limit_per_s: limit of the endpoint in requests a second, above 0.
      seed: seed of the arrivals.
    """
    return virtualloop.run(_run(policy, instances, limit_per_s, seed))


async def _run(
    policy: str, instances: int, limit_per_s: float, seed: int
) -> EndpointLimitsResult:
    stated = ratelimits.StatedLimit(limit_per_s)
    fleet = fleets.LimitFleet(instances, stated, policy, seed)
    names = list(fleet.limits)
    used_all = await _measure_used(fleet, names, limit_per_s)
    used_one = await _measure_used(fleet, names[:1], limit_per_s)
    half = instances // 2
    fleet.partitions = [set(names[:half]), set(names[half:])]
    used_cut = await _measure_used(fleet, names, limit_per_s)
    length_s = fleet.timers.read_monotonic()
    allowed = max(1.0, limit_per_s * fleets.WINDOW_S)
    return EndpointLimitsResult(
        policy,
        instances,
        limit_per_s,
        seed,
        round(fleet.count_worst_window(1.0) / allowed, 3),
        used_all,
        used_one,
        used_cut,
        round(2.0 * fleet.messages / instances / length_s, 2),
    )


async def _measure_used(
    fleet: fleets.LimitFleet, names: list[str], limit_per_s: float
) -> float:
    """Runs one phase and returns the part of the limit that was used."""
    started_s = fleet.timers.read_monotonic() + WARM_UP_S
    per_s = OFFERED * limit_per_s / len(names)
    await fleet.load(names, per_s, PHASE_S, waits=True)
    until_s = started_s + PHASE_S - WARM_UP_S
    used = sum(started_s <= at_s < until_s for at_s in fleet.arrived_s)
    return round(used / (PHASE_S - WARM_UP_S) / limit_per_s, 3)
