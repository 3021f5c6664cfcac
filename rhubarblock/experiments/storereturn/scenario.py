"""The scenario ``store-return``: the store comes back without some lines.

Each instance has one line in it. The ways in which lost lines are written
again are compared.
"""

import bisect
import dataclasses

from rhubarblock.experiments.storereturn import backstore
from rhubarblock.experiments.storereturn import fleet as fleets
from rhubarblock.kernel import virtualloop

# What the platform's store takes, by the largest fleet with such a store.
RATES = {
    7: backstore.Rates(400, 2_000),
    80: backstore.Rates(1_200, 6_000),
    300: backstore.Rates(3_200, 16_000),
}
SIZES = tuple(RATES)
# Part of the lines that is lost, by variant.
TENTH = "tenth"
ALL = "all"
LOST_PARTS = {TENTH: 0.1, ALL: 1.0}
# Seconds for which the store refuses calls after its return, by variant.
READY = "ready"
AWAY = "away"
AWAY_S = {READY: 0.0, AWAY: 0.5}
# Seconds after the return for which a fleet is watched.
LENGTH_S = 6.0
# Seconds over which the most calls are counted.
WINDOW_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class StoreReturnResult:
    """What the scenario measured.

    Attributes:
      instances: how many there were.
      lines: a key of ``LOST_PARTS``.
      store: a key of ``AWAY_S``.
      way: one of ``fleets.WAYS``.
      seed: seed of the run.
      lost: lines that the store came back without.
      whole_s: seconds from the return until all lines are there; None if some
        never were.
      own_s: most seconds from when an instance heard of the new era until its
        lost line is there; None as above.
      reads: reads of one line.
      lists: reads of all lines.
      writes: writes.
      most_reads: most reads and lists in any second.
      reads_per_s: what the store takes of them.
      most_writes: most writes in any second.
      writes_per_s: what the store takes of them.
      limited: calls refused as over the rate.
      away: calls refused as the store was not ready.
    """

    instances: int
    lines: str
    store: str
    way: str
    seed: int
    lost: int
    whole_s: float | None
    own_s: float | None
    reads: int
    lists: int
    writes: int
    most_reads: int
    reads_per_s: int
    most_writes: int
    writes_per_s: int
    limited: int
    away: int


COLUMNS = tuple(f.name for f in dataclasses.fields(StoreReturnResult))


def measure(
    way: str = fleets.EACH,
    instances: int = 7,
    lines: str = TENTH,
    store: str = READY,
    seed: int = 1,
) -> StoreReturnResult:
    """Runs the scenario on the fake clock.

    Args:
      way: one of ``fleets.WAYS``.
      instances: how many there are.
      lines: a key of ``LOST_PARTS``.
      store: a key of ``AWAY_S``.
      seed: decides names, which lines are lost, and delays.
    """
    return virtualloop.run(_play(way, instances, lines, store, seed))


def make_table(results: list[StoreReturnResult]) -> str:
    """Returns results as a table in Markdown.

    Args:
      results: the rows in their order.
    """
    rows = [list(COLUMNS), ["---"] * len(COLUMNS)]
    for result in results:
        values = [getattr(result, name) for name in COLUMNS]
        rows.append(["-" if x is None else str(x) for x in values])
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


async def _play(
    way: str, instances: int, lines: str, store: str, seed: int
) -> StoreReturnResult:
    rates = find_rates(instances)
    fleet = fleets.ReturnFleet(
        instances, LOST_PARTS[lines], rates, AWAY_S[store], seed
    )
    await fleet.play(way, LENGTH_S)
    back = fleet.store
    whole_s, own_s = _find_times(fleet)
    return StoreReturnResult(
        instances,
        lines,
        store,
        way,
        seed,
        len(fleet.lost),
        whole_s,
        own_s,
        len(back.reads_s),
        len(back.lists_s),
        len(back.writes_s),
        _count_most(back.reads_s + back.lists_s),
        rates.reads_per_s,
        _count_most(back.writes_s),
        rates.writes_per_s,
        back.limited,
        back.away,
    )


def find_rates(instances: int) -> backstore.Rates:
    """Returns the rates of the smallest store for a fleet, or the largest."""
    fitting = [size for size in SIZES if size >= instances]
    return RATES[fitting[0] if fitting else SIZES[-1]]


def _find_times(
    fleet: fleets.ReturnFleet,
) -> tuple[float | None, float | None]:
    """Returns when the fleet was whole, and the longest of one instance."""
    if fleet.store.find_missing(member.name for member in fleet.members):
        return None, None
    written_s = fleet.store.written_s
    heard_s = {member.name: member.heard_s for member in fleet.members}
    whole_s = max(written_s[name] for name in fleet.lost)
    own_s = max(written_s[name] - heard_s[name] for name in fleet.lost)
    return round(whole_s, 3), round(own_s, 3)


def _count_most(calls_s: list[float]) -> int:
    """Returns the most calls in any ``WINDOW_S``."""
    ordered = sorted(calls_s)
    return max(
        (
            bisect.bisect_left(ordered, begin_s + WINDOW_S) - number
            for number, begin_s in enumerate(ordered)
        ),
        default=0,
    )
