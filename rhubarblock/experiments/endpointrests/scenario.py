"""The scenario ``endpoint-rests``: one endpoint in ten sheds load at times.

It turns requests away with a rest, and the ways in which instances take that
in are compared.
"""

import bisect
import dataclasses
import statistics

from rhubarblock.experiments import quantiles
from rhubarblock.experiments.endpointrests import fleet as fleets
from rhubarblock.experiments.endpointrests import sheds
from rhubarblock.experiments.endpointrests import ways
from rhubarblock.kernel import virtualloop

SIZES = (7, 80, 300)
# What a shedding endpoint takes, in parts of its usual rate, by variant.
QUARTER = "quarter"
FULL = "full"
SHED_RATES = {QUARTER: 0.25, FULL: 0.0}
# Seconds of a run: two sheddings, each with the time after it.
LENGTH_S = sheds.SHED_FROM_S + 2.0 * sheds.SHED_EVERY_S
# Seconds after the begin of a rest from which the rule counts requests.
GRACE_S = 0.5
# Seconds in which a wave is counted, and after a rest in which it may begin.
WAVE_S = 0.1
WAVE_WITHIN_S = 1.5
# Seconds after a shedding in which the use of its endpoints is counted.
AFTER_S = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRestsResult:
    """What the scenario measured.

    Attributes:
      variant: a key of ``SHED_RATES``.
      instances: how many there were.
      way: one of ``ways.WAYS``.
      seed: seed of the run.
      mean_ms: mean time of callers that got an answer, with their way back.
      p99_ms: time that 99 in 100 of them did not exceed.
      refused: callers refused at least once, in 10,000.
      lost: callers refused again when they came back, in 10,000.
      repeats: requests to endpoints beyond one for each caller.
      turned: requests that shedding endpoints turned away.
      in_rest: requests sent to an endpoint within a rest that it had asked of
        the same instance.
      most_in_rest: most of them within one rest after ``GRACE_S``.
      wave: most requests at one endpoint in ``WAVE_S`` that begin within
        ``WAVE_WITHIN_S`` after the end of a rest, in its slots.
      usual: the same at any time at endpoints that never shed, the median of
        them.
      goodput: what shedding endpoints took, in what they could take; None if
        they could take nothing.
      after: requests that they took within ``AFTER_S`` after a shedding, in
        what each of the others took then.
      messages_per_s: messages of an instance in a second, sent and received.
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
    way: str = ways.ALONE,
    instances: int = 7,
    variant: str = QUARTER,
    seed: int = 1,
    length_s: float = LENGTH_S,
) -> EndpointRestsResult:
    """Runs the scenario on the fake clock.

    Args:
      way: one of ``ways.WAYS``.
      instances: how many there are.
      variant: a key of ``SHED_RATES``.
      seed: decides when callers come and how long requests run.
      length_s: seconds for which callers come, beyond the begin of the first
        shedding.

    Returns:
      The figures, over callers that came after the first shedding began.
    """
    play = _play(way, instances, variant, seed, length_s)
    return virtualloop.run(play)


def make_table(results: list[EndpointRestsResult]) -> str:
    """Returns results as a table in Markdown.

    Args:
      results: the rows in their order.
    """
    lines = [_make_line(list(COLUMNS)), _make_line(["---"] * len(COLUMNS))]
    for result in results:
        values = [getattr(result, name) for name in COLUMNS]
        cells = ["-" if x is None else str(x) for x in values]
        lines.append(_make_line(cells))
    return "\n".join(lines)


def _make_line(cells: list[str]) -> str:
    return f"| {' | '.join(cells)} |"


async def _play(
    way: str, instances: int, variant: str, seed: int, length_s: float
) -> EndpointRestsResult:
    fleet = fleets.RestFleet(way, instances, SHED_RATES[variant], seed)
    await fleet.load(length_s)
    calls = [c for c in fleet.calls if c.begun_s >= sheds.SHED_FROM_S]
    times_s = [c.time_s for c in calls if c.time_s is not None]
    p99_s = quantiles.pick_quantile(sorted(times_s), 0.99) or 0.0
    shedding = [e for e in fleet.endpoints.values() if e.sheds]
    in_rest, most_in_rest = _count_in_rest(fleet)
    return EndpointRestsResult(
        variant,
        instances,
        way,
        seed,
        round(1_000.0 * statistics.fmean(times_s), 2),
        round(1_000.0 * p99_s, 1),
        _find_part(sum(c.refusals > 0 for c in calls), len(calls)),
        _find_part(sum(c.time_s is None for c in calls), len(calls)),
        round(sum(max(0, c.sent - 1) for c in calls) / len(calls), 4),
        sum(len(e.turned_s) for e in shedding),
        in_rest,
        most_in_rest,
        round(max(_find_wave(e) for e in shedding) / sheds.SLOTS, 2),
        _find_usual(fleet),
        _find_goodput(shedding, variant, length_s),
        _find_use_after(list(fleet.endpoints.values()), length_s),
        round(2.0 * fleet.messages / instances / length_s, 3),
    )


def _find_part(count: int, of: int) -> float:
    """Returns a part, in 10,000."""
    return round(10_000.0 * count / of, 2)


def _count_between(ordered: list[float], low: float, high: float) -> int:
    """Returns how many values lie above one bound and below another."""
    return max(
        0, bisect.bisect_left(ordered, high) - bisect.bisect_right(ordered, low)
    )


def _count_in_rest(fleet: fleets.RestFleet) -> tuple[int, int]:
    """Returns the requests in rests, and the most in one after the grace."""
    total = 0
    most = 0
    for traffic in fleet.traffic.values():
        total += sum(
            _count_between(traffic.asked_s, sent_s - sheds.REST_S, sent_s) > 0
            for sent_s in traffic.sent_s
        )
        for asked_s in traffic.asked_s:
            until_s = asked_s + sheds.REST_S
            count = _count_between(traffic.sent_s, asked_s + GRACE_S, until_s)
            most = max(most, count)
    return total, most


def _find_wave(endpoint: sheds.Endpoint) -> int:
    """Returns the most requests at once after the end of a rest."""
    most = 0
    ends_s = [at_s + sheds.REST_S for at_s in endpoint.turned_s]
    for at_s in endpoint.arrived_s:
        if _count_between(ends_s, at_s - WAVE_WITHIN_S, at_s):
            last_s = at_s + WAVE_S
            count = 1 + _count_between(endpoint.arrived_s, at_s, last_s)
            most = max(most, count)
    return most


def _find_usual(fleet: fleets.RestFleet) -> float:
    """Returns the most requests at once where nothing sheds, in slots."""
    most = []
    for endpoint in fleet.endpoints.values():
        if not endpoint.sheds:
            at_s = endpoint.arrived_s
            counts = (_count_between(at_s, x, x + WAVE_S) for x in at_s)
            most.append(1 + max(counts, default=0))
    return round(statistics.median(most) / sheds.SLOTS, 2)


def _find_goodput(
    shedding: list[sheds.Endpoint], variant: str, length_s: float
) -> float | None:
    """Returns what shedding endpoints took, in what they could take."""
    per_s = SHED_RATES[variant] * sheds.SLOTS / sheds.SERVICE_S
    spans_s = [(b, min(b + sheds.SHED_S, length_s)) for b in _list(length_s)]
    could = len(shedding) * per_s * sum(end - begin for begin, end in spans_s)
    if not could:
        return None
    taken = sum(
        _count_between(endpoint.taken_s, begin, end)
        for endpoint in shedding
        for begin, end in spans_s
    )
    return round(taken / could, 3)


def _find_use_after(endpoints: list[sheds.Endpoint], length_s: float) -> float:
    """Returns what shedding endpoints take afterwards, in what others do."""
    taken: dict[bool, list[int]] = {True: [], False: []}
    for endpoint in endpoints:
        for begin_s in _list(length_s):
            end_s = begin_s + sheds.SHED_S
            count = _count_between(endpoint.taken_s, end_s, end_s + AFTER_S)
            taken[endpoint.sheds].append(count)
    others = statistics.fmean(taken[False])
    return round(statistics.fmean(taken[True]) / others, 3) if others else 0.0


def _list(length_s: float) -> list[float]:
    """Returns the begins of the sheddings of a run."""
    begins_s = []
    begin_s = sheds.SHED_FROM_S
    while begin_s < length_s:
        begins_s.append(begin_s)
        begin_s += sheds.SHED_EVERY_S
    return begins_s
