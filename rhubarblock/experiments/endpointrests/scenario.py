"""The scenario ``endpoint-rests``: one endpoint in ten sheds load at times.

It refuses requests and asks for a cool-down (a rest). The scenario compares
policies by which instances honour cool-downs and share them with their peers.
"""

import bisect
import dataclasses
import statistics

from rhubarblock.experiments import quantiles
from rhubarblock.experiments.endpointrests import fleet as fleets
from rhubarblock.experiments.endpointrests import policies
from rhubarblock.experiments.endpointrests import sheddingendpoint
from rhubarblock.kernel import virtualloop

SIZES = (7, 80, 300)
# Part of its capacity that an endpoint accepts while it sheds, by variant.
QUARTER = "quarter"
FULL = "full"
SHED_RATES = {QUARTER: 0.25, FULL: 0.0}
# Seconds of a run: two shedding periods, each with the time after it.
LENGTH_S = sheddingendpoint.SHED_FROM_S + 2.0 * sheddingendpoint.SHED_EVERY_S
# Seconds from the start of a cool-down that ``most_in_rest`` leaves out.
GRACE_S = 0.5
# Length in seconds of a burst of requests, and the time after the end of a
# cool-down within which the burst begins.
WAVE_S = 0.1
WAVE_WITHIN_S = 1.5
# Seconds after a shedding period over which the use of endpoints is compared.
AFTER_S = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRestsResult:
    """Results of one run.

    Attributes:
      variant: a key of ``SHED_RATES``.
      instances: number of instances.
      way: the cool-down policy, one of ``policies.WAYS``.
      seed: seed of the run.
      mean_ms: mean time of answered requests, including a caller's retry.
      p99_ms: 99th percentile of that time.
      refused: callers refused at least once, per 10,000.
      lost: callers whose retry was refused too, per 10,000.
      repeats: mean number of attempts beyond the first, per caller.
      turned: requests that endpoints refused while they shed.
      in_rest: requests that an instance sent to an endpoint during a cool-down
        that it had received from that endpoint.
      most_in_rest: most of them in one cool-down, without its first
        ``GRACE_S``.
      wave: most requests at one endpoint in a burst of ``WAVE_S`` that begins
        within ``WAVE_WITHIN_S`` after the end of a cool-down, per slot.
      usual: most requests in ``WAVE_S`` at an endpoint that never sheds, per
        slot; the median over those endpoints.
      goodput: requests that shedding endpoints accepted, as a share of those
        that they could accept; None if they could accept none.
      after: requests that a shedding endpoint accepted within ``AFTER_S``
        after a shedding period, relative to those at another endpoint.
      messages_per_s: messages sent and received by an instance a second.
    """

    variant: str
    instances: int
    way: str
    seed: int
    mean_ms: float
    p99_ms: float
    refused: float
    lost: float
    repeats: float
    turned: int
    in_rest: int
    most_in_rest: int
    wave: float
    usual: float
    goodput: float | None
    after: float
    messages_per_s: float


COLUMNS = tuple(f.name for f in dataclasses.fields(EndpointRestsResult))


def measure(
    way: str = policies.ALONE,
    instances: int = 7,
    variant: str = QUARTER,
    seed: int = 1,
    length_s: float = LENGTH_S,
) -> EndpointRestsResult:
    """Runs the scenario on the fake clock.

    Args:
      way: one of ``policies.WAYS``.
      instances: number of instances.
      variant: a key of ``SHED_RATES``.
      seed: seed of arrivals and run times.
      length_s: seconds over which callers arrive; must reach beyond the start
        of the first shedding period.

    Returns:
      The figures, over callers that arrived after the first shedding period
      began.
    """
    run = _run(way, instances, variant, seed, length_s)
    return virtualloop.run(run)


def make_table(results: list[EndpointRestsResult]) -> str:
    """Returns results as a table in Markdown.

    Args:
      results: the rows in their order.
    """
    lines = [_format_row(list(COLUMNS)), _format_row(["---"] * len(COLUMNS))]
    for result in results:
        values = [getattr(result, name) for name in COLUMNS]
        cells = ["-" if x is None else str(x) for x in values]
        lines.append(_format_row(cells))
    return "\n".join(lines)


def _format_row(cells: list[str]) -> str:
    return f"| {' | '.join(cells)} |"


async def _run(
    way: str, instances: int, variant: str, seed: int, length_s: float
) -> EndpointRestsResult:
    fleet = fleets.RestFleet(way, instances, SHED_RATES[variant], seed)
    await fleet.load(length_s)
    calls = [
        c for c in fleet.calls if c.begun_s >= sheddingendpoint.SHED_FROM_S
    ]
    times_s = [c.time_s for c in calls if c.time_s is not None]
    p99_s = quantiles.pick_quantile(sorted(times_s), 0.99) or 0.0
    shedding = [e for e in fleet.endpoints.values() if e.sheds]
    in_rest, most_in_rest = _count_in_cooldowns(fleet)
    return EndpointRestsResult(
        variant,
        instances,
        way,
        seed,
        round(1_000.0 * statistics.fmean(times_s), 2),
        round(1_000.0 * p99_s, 1),
        _compute_per_10000(sum(c.refusals > 0 for c in calls), len(calls)),
        _compute_per_10000(sum(c.time_s is None for c in calls), len(calls)),
        round(sum(max(0, c.sent - 1) for c in calls) / len(calls), 4),
        sum(len(e.refused_s) for e in shedding),
        in_rest,
        most_in_rest,
        round(
            max(_count_largest_burst(e) for e in shedding)
            / sheddingendpoint.SLOTS,
            2,
        ),
        _compute_usual_burst(fleet),
        _compute_goodput(shedding, variant, length_s),
        _compute_use_after(list(fleet.endpoints.values()), length_s),
        round(2.0 * fleet.messages / instances / length_s, 3),
    )


def _compute_per_10000(count: int, of: int) -> float:
    """Returns a fraction per 10,000."""
    return round(10_000.0 * count / of, 2)


def _count_between(ordered: list[float], low: float, high: float) -> int:
    """Returns how many sorted values lie strictly between two bounds."""
    return max(
        0, bisect.bisect_left(ordered, high) - bisect.bisect_right(ordered, low)
    )


def _count_in_cooldowns(fleet: fleets.RestFleet) -> tuple[int, int]:
    """Returns the requests in all cool-downs, and the most in one of them.

    The second figure leaves out the first ``GRACE_S`` of each cool-down.
    """
    total = 0
    most = 0
    for traffic in fleet.traffic.values():
        total += sum(
            _count_between(
                traffic.cooldowns_s,
                sent_s - sheddingendpoint.COOLDOWN_S,
                sent_s,
            )
            > 0
            for sent_s in traffic.sent_s
        )
        for begin_s in traffic.cooldowns_s:
            until_s = begin_s + sheddingendpoint.COOLDOWN_S
            count = _count_between(traffic.sent_s, begin_s + GRACE_S, until_s)
            most = max(most, count)
    return total, most


def _count_largest_burst(endpoint: sheddingendpoint.Endpoint) -> int:
    """Returns the largest burst of requests after the end of a cool-down."""
    most = 0
    ends_s = [at_s + sheddingendpoint.COOLDOWN_S for at_s in endpoint.refused_s]
    for at_s in endpoint.arrived_s:
        if _count_between(ends_s, at_s - WAVE_WITHIN_S, at_s):
            last_s = at_s + WAVE_S
            count = 1 + _count_between(endpoint.arrived_s, at_s, last_s)
            most = max(most, count)
    return most


def _compute_usual_burst(fleet: fleets.RestFleet) -> float:
    """Returns the median largest burst, per slot, of other endpoints.

    These are the endpoints that never shed.
    """
    most = []
    for endpoint in fleet.endpoints.values():
        if not endpoint.sheds:
            at_s = endpoint.arrived_s
            counts = (_count_between(at_s, x, x + WAVE_S) for x in at_s)
            most.append(1 + max(counts, default=0))
    return round(statistics.median(most) / sheddingendpoint.SLOTS, 2)


def _compute_goodput(
    shedding: list[sheddingendpoint.Endpoint], variant: str, length_s: float
) -> float | None:
    """Returns the accepted requests as a share of the reduced capacity.

    Only shedding periods count; None if endpoints can accept
    nothing in them.
    """
    per_s = (
        SHED_RATES[variant]
        * sheddingendpoint.SLOTS
        / sheddingendpoint.SERVICE_S
    )
    spans_s = [
        (b, min(b + sheddingendpoint.SHED_S, length_s))
        for b in _list_shed_starts(length_s)
    ]
    possible = (
        len(shedding) * per_s * sum(end - begin for begin, end in spans_s)
    )
    if not possible:
        return None
    taken = sum(
        _count_between(endpoint.accepted_s, begin, end)
        for endpoint in shedding
        for begin, end in spans_s
    )
    return round(taken / possible, 3)


def _compute_use_after(
    endpoints: list[sheddingendpoint.Endpoint], length_s: float
) -> float:
    """Returns the use of shedding endpoints afterwards, relative to others."""
    taken: dict[bool, list[int]] = {True: [], False: []}
    for endpoint in endpoints:
        for begin_s in _list_shed_starts(length_s):
            end_s = begin_s + sheddingendpoint.SHED_S
            count = _count_between(endpoint.accepted_s, end_s, end_s + AFTER_S)
            taken[endpoint.sheds].append(count)
    others = statistics.fmean(taken[False])
    return round(statistics.fmean(taken[True]) / others, 3) if others else 0.0


def _list_shed_starts(length_s: float) -> list[float]:
    """Returns the start times of the shedding periods of a run."""
    begins_s = []
    begin_s = sheddingendpoint.SHED_FROM_S
    while begin_s < length_s:
        begins_s.append(begin_s)
        begin_s += sheddingendpoint.SHED_EVERY_S
    return begins_s
