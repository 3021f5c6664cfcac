"""Formats a comparison as a table with a row for each way and site."""

from collections.abc import Callable
from collections.abc import Mapping
import statistics

from tools.ways import results

_HEAD = (
    "| way | site | plays | worth | worst windows | whole day | prices "
    "| rules broken |"
)
_RULE = "|---|---|---|---|---|---|---|---|"


def format_table(
    outcomes: Mapping[results.Play, results.Outcome], ways: list[str]
) -> str:
    """Returns a table in Markdown.

    Each cell is a mean over plays, followed by their standard deviation. A play
    counts only if every way has one with the same day and seed.

    Args:
      outcomes: by play.
      ways: names of the ways, in the order of the rows.
    """
    lines = [_HEAD, _RULE]
    for site in sorted({play.site for play in outcomes}):
        common = _find_common(outcomes, ways, site)
        for way in ways:
            group = [
                outcome
                for play, outcome in outcomes.items()
                if play.way == way
                and play.site == site
                and _get_key(play) in common
            ]
            if group:
                lines.append(_format_row(way, site, group))
    return "\n".join(lines) + "\n"


def _get_key(play: results.Play) -> tuple[str, int, bool]:
    return play.day, play.seed, play.small


def _find_common(
    outcomes: Mapping[results.Play, results.Outcome],
    ways: list[str],
    site: str,
) -> set[tuple[str, int, bool]]:
    """Returns the days and seeds for which every way has an outcome."""
    played = [
        {_get_key(p) for p in outcomes if p.way == way and p.site == site}
        for way in ways
    ]
    return set.intersection(*played)


def _format_row(way: str, site: str, group: list[results.Outcome]) -> str:
    figures: list[Callable[[results.Outcome], float]] = [
        lambda outcome: outcome.worth,
        lambda outcome: outcome.worst_windows,
        lambda outcome: outcome.whole_day,
        lambda outcome: outcome.prices,
    ]
    cells = [way, site, str(len(group))]
    cells += [_format_figure([read(o) for o in group]) for read in figures]
    broken = sorted({name for outcome in group for name in outcome.broken})
    cells.append(", ".join(broken) or "none")
    return "| " + " | ".join(cells) + " |"


def _format_figure(values: list[float]) -> str:
    mean = statistics.fmean(values)
    if len(values) == 1:
        return f"{mean:.3f}"
    return f"{mean:.3f} ± {statistics.stdev(values):.3f}"
