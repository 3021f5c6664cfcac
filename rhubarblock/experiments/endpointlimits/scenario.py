"""The scenarios ``endpoint-limits`` and ``cold-endpoints``.

One endpoint states a rate limit, or starts cold. First all instances send to
it, then a single one, then all again while the instances are partitioned into
two halves. A request that is not admitted waits for a moment and is then
dropped.
"""

import dataclasses

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.experiments.endpointlimits import coldfleet as coldfleets
from rhubarblock.experiments.endpointlimits import fleet as fleets
from rhubarblock.kernel import virtualloop

# Seconds of each phase, and of its warm-up, which isn't counted.
PHASE_S = 24.0
WARM_UP_S = 4.0
# Offered load as a multiple of the limit.
OFFERED = 5.0
# Seconds until the last instance receives an entry, as it takes a second until
# all of them know a change.
LIST_DELAY_S = 1.0


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


@dataclasses.dataclass(slots=True, frozen=True)
class ColdEndpointsResult:
    """Results of one run.

    Attributes:
      policy: one of ``fleet.POLICIES``.
      instances: number of instances.
      cold_per_s: requests a second that the cold endpoint handles.
      seed: seed of the run.
      bound: most requests in any second that it may get.
      worst_second: most requests in any second, as a multiple of the bound.
      used_all: part of ``cold_per_s`` that was used while all instances sent.
      used_one: the same while one instance sent.
      used_cut: the same during the partition.
      messages_per_s: messages sent and received by an instance a second.
    """

    policy: str
    instances: int
    cold_per_s: float
    seed: int
    bound: float
    worst_second: float
    used_all: float
    used_one: float
    used_cut: float
    messages_per_s: float


def measure_cold(
    policy: str = fleets.PERMITS,
    instances: int = 7,
    cold_per_s: float = 26.0,
    seed: int = 1,
) -> ColdEndpointsResult:
    """Runs the scenario of a cold endpoint on the fake clock.

    Args:
      policy: one of ``fleet.POLICIES``.
      instances: number of instances.
      cold_per_s: requests a second that the endpoint handles, above 0.
      seed: seed of the arrivals.
    """
    return virtualloop.run(_run_cold(policy, instances, cold_per_s, seed))


async def _run_cold(
    policy: str, instances: int, cold_per_s: float, seed: int
) -> ColdEndpointsResult:
    fleet = coldfleets.ColdFleet(instances, cold_per_s, PHASE_S, policy, seed)
    names = list(fleet.limits)
    fleet.restart(LIST_DELAY_S)
    used_all = await _measure_used(fleet, names, cold_per_s)
    fleet.restart(LIST_DELAY_S)
    used_one = await _measure_used(fleet, names[:1], cold_per_s)
    fleet.cut_in_halves()
    await fleet.timers.sleep(peer_table.ALIVE_S)
    fleet.restart(LIST_DELAY_S)
    used_cut = await _measure_used(fleet, names, cold_per_s)
    length_s = fleet.timers.read_monotonic()
    worst = fleet.count_worst_window(0.0, coldfleets.WINDOW_S)
    return ColdEndpointsResult(
        policy,
        instances,
        cold_per_s,
        seed,
        fleet.bound,
        round(worst / fleet.bound, 3),
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
