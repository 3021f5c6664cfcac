"""Reads results of scenarios and compares them, taking noise into account.

A result file holds one JSON object, or one on each line for several seeds or
policies. Runs of the same scenario, policy and load form a group; the
variation of their figures between seeds is the noise. If both files have the
same seeds, runs are compared in pairs, which removes most of the noise.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import json
import math
import pathlib
import statistics
from typing import Any

# Standard errors that a difference must exceed to count as a change. About
# three in a thousand unchanged figures still exceed it.
THRESHOLD_ERRORS = 3.0
# Fields that identify the run and are no figures.
_LABELS = ("scenario", "policy", "load", "instances", "weight_ttft")
_SKIPPED = frozenset({*_LABELS, "seed", "plan", "machine", "points", "note"})


class Verdict(enum.Enum):
    """How a figure changed."""

    SAME = "same"
    HIGHER = "higher"
    LOWER = "lower"
    UNKNOWN = "differs, noise unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """One run of a scenario.

    Attributes:
      group: scenario, policy and load, as one text.
      seed: its seed; None if it has none.
      figures: every number in it, by its dotted path.
      errors: standard errors that the run itself reports, by the same names.
      fields: the result as it was read.
    """

    group: str
    seed: int | None
    figures: Mapping[str, float]
    errors: Mapping[str, float]
    fields: Mapping[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """One figure in two files.

    Attributes:
      group: group of runs.
      figure: its name.
      old: mean in the old file.
      new: mean in the new file.
      noise: standard error of the difference; None if it is unknown.
      verdict: whether it changed beyond the noise.
    """

    group: str
    figure: str
    old: float
    new: float
    noise: float | None
    verdict: Verdict


def read_runs(path: pathlib.Path) -> list[Run]:
    """Reads a result file.

    Raises:
      ValueError: it holds something other than results.
    """
    return [_make_run(fields) for fields in _read_objects(path.read_text())]


def _read_objects(text: str) -> list[dict[str, Any]]:
    try:
        found = [json.loads(text)]
    except ValueError:
        found = [json.loads(line) for line in text.splitlines() if line.strip()]
    for fields in found:
        if not isinstance(fields, dict) or "scenario" not in fields:
            raise ValueError("a result is a JSON object with a scenario")
    return found


def _make_run(fields: dict[str, Any]) -> Run:
    labels = [
        str(fields["scenario"]),
        *(f"{x}={fields[x]}" for x in _LABELS[1:] if x in fields),
    ]
    figures: dict[str, float] = {}
    errors: dict[str, float] = {}
    if "series" in fields:
        _collect_slopes(fields["series"], figures, errors)
    else:
        figures = dict(_list_numbers("", fields))
    return Run(" ".join(labels), fields.get("seed"), figures, errors, fields)


def _collect_slopes(
    series: Sequence[Mapping[str, Any]],
    figures: dict[str, float],
    errors: dict[str, float],
) -> None:
    """Collects the slopes of a ``capacity`` result as its figures."""
    for each in series:
        for quantity, fit in each["fits"].items():
            for term, slope, error in zip(
                fit["terms"], fit["slopes"], fit["errors"], strict=True
            ):
                name = f"{each['name']}.{quantity}.{term}"
                figures[name] = slope
                errors[name] = error


def _list_numbers(prefix: str, value: Any) -> Iterator[tuple[str, float]]:
    """Yields every number in a result with its dotted path."""
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield prefix, float(value)
    elif isinstance(value, dict):
        for name, inner in value.items():
            if not prefix and name in _SKIPPED:
                continue
            yield from _list_numbers(f"{prefix}.{name}".lstrip("."), inner)


def compare(old: Sequence[Run], new: Sequence[Run]) -> list[Change]:
    """Compares every figure of the groups that both files have.

    Args:
      old: runs of the earlier file.
      new: runs of the later file.

    Returns:
      The figures, ordered by group and name.
    """
    changes = []
    for group in sorted({x.group for x in old} & {x.group for x in new}):
        before = [run for run in old if run.group == group]
        after = [run for run in new if run.group == group]
        names = sorted(
            set.intersection(*(set(run.figures) for run in before + after))
        )
        changes += [
            _compare_figure(group, name, before, after) for name in names
        ]
    return changes


def list_unmatched(old: Sequence[Run], new: Sequence[Run]) -> list[str]:
    """Returns the groups that only one of two files has."""
    return sorted({x.group for x in old} ^ {x.group for x in new})


def _compare_figure(
    group: str, name: str, old: Sequence[Run], new: Sequence[Run]
) -> Change:
    before = statistics.mean(run.figures[name] for run in old)
    after = statistics.mean(run.figures[name] for run in new)
    noise = _compute_noise(name, old, new)
    verdict = _classify(after - before, noise)
    return Change(group, name, before, after, noise, verdict)


def _classify(difference: float, noise: float | None) -> Verdict:
    if not difference:
        return Verdict.SAME
    if noise is None:
        return Verdict.UNKNOWN
    if abs(difference) <= THRESHOLD_ERRORS * noise:
        return Verdict.SAME
    return Verdict.HIGHER if difference > 0 else Verdict.LOWER


def _compute_noise(
    name: str, old: Sequence[Run], new: Sequence[Run]
) -> float | None:
    """Returns the standard error of the difference of two means."""
    pairs = _pair(old, new)
    if len(pairs) > 1:
        return _compute_error(
            [b.figures[name] - a.figures[name] for a, b in pairs]
        )
    errors = [_compute_own_error(name, runs) for runs in (old, new)]
    if None in errors:
        return None
    return math.hypot(*(error or 0.0 for error in errors))


def _pair(old: Sequence[Run], new: Sequence[Run]) -> list[tuple[Run, Run]]:
    """Returns pairs of runs with the same seed, if the seeds are the same."""
    before = {run.seed: run for run in old if run.seed is not None}
    after = {run.seed: run for run in new if run.seed is not None}
    if before.keys() != after.keys() or len(before) != len(old):
        return []
    return [(before[seed], after[seed]) for seed in before]


def _compute_own_error(name: str, runs: Sequence[Run]) -> float | None:
    if len(runs) > 1:
        return _compute_error([run.figures[name] for run in runs])
    return runs[0].errors.get(name)


def _compute_error(values: Sequence[float]) -> float:
    return statistics.stdev(values) / math.sqrt(len(values))
