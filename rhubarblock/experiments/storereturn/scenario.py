"""The scenario ``store-return``: the store is restored without some entries.

Each instance has one entry (a line of the list) in it. The scenario compares
the ways in which lost entries are rewritten.
"""

import bisect
import dataclasses

from rhubarblock.experiments.storereturn import fleet as fleets
from rhubarblock.experiments.storereturn import restoredstore
from rhubarblock.kernel import virtualloop

# Rate limits of the platform's store, by the largest fleet that it serves.
RATES = {
    7: restoredstore.Rates(400, 2_000),
    80: restoredstore.Rates(1_200, 6_000),
    300: restoredstore.Rates(3_200, 16_000),
}
SIZES = tuple(RATES)
# Share of the entries that are lost, by variant.
TENTH = "tenth"
ALL = "all"
LOST_PARTS = {TENTH: 0.1, ALL: 1.0}
# Seconds after the restoration for which the store refuses calls, by variant.
READY = "ready"
AWAY = "away"
AWAY_S = {READY: 0.0, AWAY: 0.5}
# Seconds from the restoration to the end of a run.
LENGTH_S = 6.0
# Length in seconds of the window for the peak rates.
WINDOW_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class StoreReturnResult:
    """Results of one run.

    Attributes:
      instances: number of instances.
      lines: a key of ``LOST_PARTS``.
      store: a key of ``AWAY_S``.
      way: one of ``fleets.WAYS``.
      seed: seed of the run.
      lost: number of lost entries.
      whole_s: seconds from the restoration until all entries are written;
        None if some never were.
      own_s: longest time from when an instance detected the new era until
        its lost entry was written; None as above.
      reads: reads of a single entry.
      lists: reads of all entries.
      writes: writes.
      most_reads: most reads and lists in any second.
      reads_per_s: rate limit of the store for them.
      most_writes: most writes in any second.
      writes_per_s: rate limit of the store for them.
      limited: calls refused by the rate limits.
      away: calls refused because the store was not ready.
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
      instances: number of instances.
      lines: a key of ``LOST_PARTS``.
      store: a key of ``AWAY_S``.
      seed: seed of names, lost entries and delays.
    """
    return virtualloop.run(_run(way, instances, lines, store, seed))


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


async def _run(
    way: str, instances: int, lines: str, store: str, seed: int
) -> StoreReturnResult:
    rates = find_rates(instances)
    fleet = fleets.ReturnFleet(
        instances, LOST_PARTS[lines], rates, AWAY_S[store], seed
    )
    await fleet.run(way, LENGTH_S)
    store_after = fleet.store
    whole_s, own_s = _compute_times(fleet)
    return StoreReturnResult(
        instances,
        lines,
        store,
        way,
        seed,
        len(fleet.lost),
        whole_s,
        own_s,
        len(store_after.reads_s),
        len(store_after.lists_s),
        len(store_after.writes_s),
        _count_peak(store_after.reads_s + store_after.lists_s),
        rates.reads_per_s,
        _count_peak(store_after.writes_s),
        rates.writes_per_s,
        store_after.limited,
        store_after.away,
    )


def find_rates(instances: int) -> restoredstore.Rates:
    """Returns the rates of the smallest store that serves a fleet.

    A fleet that is larger than all of ``SIZES`` gets the largest store.
    """
    fitting = [size for size in SIZES if size >= instances]
    return RATES[fitting[0] if fitting else SIZES[-1]]


def _compute_times(
    fleet: fleets.ReturnFleet,
) -> tuple[float | None, float | None]:
    """Returns ``whole_s`` and ``own_s`` of a result."""
    if fleet.store.find_missing(member.name for member in fleet.members):
        return None, None
    written_s = fleet.store.written_s
    era_known_s = {member.name: member.era_known_s for member in fleet.members}
    whole_s = max(written_s[name] for name in fleet.lost)
    own_s = max(written_s[name] - era_known_s[name] for name in fleet.lost)
    return round(whole_s, 3), round(own_s, 3)


def _count_peak(calls_s: list[float]) -> int:
    """Returns the most calls in any ``WINDOW_S``."""
    ordered = sorted(calls_s)
    return max(
        (
            bisect.bisect_left(ordered, begin_s + WINDOW_S) - number
            for number, begin_s in enumerate(ordered)
        ),
        default=0,
    )
