"""What was lost over a day, summed by cause, window, length and place."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import statistics
from typing import TypeVar

from rhubarblock.loganalysis import causes
from rhubarblock.loganalysis import lines as log_lines
from rhubarblock.loganalysis import stories

T = TypeVar("T")

# Seconds of a window.
WINDOW_S = 2.0
# Windows, instances and workspaces that a table shows.
SHOWN = 10
_TAIL = 0.95


@dataclasses.dataclass(slots=True, frozen=True)
class Window:
    """The losses of one stretch of time.

    Attributes:
      from_s: where it begins.
      requests: requests that arrived in it.
      losses: how many fared badly, by cause.
      placed: prompts that were placed in it, by length.
      longest_tokens: the longest of them.
    """

    from_s: float
    requests: int
    losses: dict[str, int]
    placed: dict[str, int]
    longest_tokens: int

    @property
    def lost(self) -> int:
        """Requests that fared badly."""
        return sum(self.losses.values())


@dataclasses.dataclass(slots=True, frozen=True)
class Prediction:
    """Predicted against seen first events of one length of prompts.

    Attributes:
      band: the length.
      count: prompts that one attempt served.
      middle_s: median of the error in seconds, either way.
      tail_s: error that 95 in 100 keep, in seconds.
    """

    band: str
    count: int
    middle_s: float
    tail_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Summary:
    """A day's losses.

    Attributes:
      requests: requests that some line names.
      skipped: lines that were passed over.
      by_cause: losses by kind and cause.
      by_band: losses by length of the prompt.
      by_workspace: losses by workspace, the worst first.
      by_data_centre: losses by data centre of the endpoint.
      by_instance: losses by cause and instance, the worst first.
      attempts: attempts that gave no answer, by cause, whatever became of their
        requests.
      no_connection: attempts that could open no connection, by instance.
      windows: all stretches of time in which something arrived.
      predictions: how good predictions were, by length.
    """

    requests: int
    skipped: int
    by_cause: dict[str, int]
    by_band: dict[str, int]
    by_workspace: dict[str, int]
    by_data_centre: dict[str, int]
    by_instance: dict[str, int]
    attempts: dict[str, int]
    no_connection: dict[str, int]
    windows: list[Window]
    predictions: list[Prediction]


def summarise(
    day: stories.Day, losses: list[causes.Loss], skipped: int
) -> Summary:
    """Returns the sums.

    Args:
      day: all requests.
      losses: what was lost.
      skipped: lines that were passed over.
    """
    attempts = [x for story in day.stories for x in story.list_attempts()]
    return Summary(
        requests=len(day.stories),
        skipped=skipped,
        by_cause=_count(losses, lambda x: f"{x.kind.value}: {x.cause.value}"),
        by_band=_count(losses, lambda x: x.band),
        by_workspace=_count(losses, lambda x: x.workspace),
        by_data_centre=_count(losses, lambda x: x.data_centre),
        by_instance=_count(losses, lambda x: f"{x.instance}: {x.cause.value}"),
        attempts=_count(attempts, _name_attempt),
        no_connection=_count(
            (x for x in attempts if _lacks_connection(x)), lambda x: x.instance
        ),
        windows=_list_windows(day, losses),
        predictions=_list_predictions(day),
    )


def format_summary(summary: Summary) -> str:
    """Returns the tables as text."""
    lines = [
        f"{summary.requests} requests, "
        f"{sum(summary.by_cause.values())} fared badly, "
        f"{summary.skipped} lines passed over",
    ]
    for title, counts in (
        ("how and why", summary.by_cause),
        ("length of the prompt", summary.by_band),
        ("data centre of the endpoint", summary.by_data_centre),
        ("workspace", summary.by_workspace),
        ("instance", summary.by_instance),
        ("attempts without an answer", summary.attempts),
        ("of these without a connection, by instance", summary.no_connection),
    ):
        lines += ["", title, *_format_counts(counts)]
    lines += ["", "worst windows", *_format_windows(summary.windows)]
    lines += ["", "first events, predicted against seen"]
    lines += [
        f"  {p.band:8} {p.count:6}  median error {p.middle_s:.3f} s, "
        f"95 in 100 within {p.tail_s:.3f} s"
        for p in summary.predictions
    ]
    return "\n".join(lines) + "\n"


def _name_attempt(line: log_lines.Line) -> str:
    cause, _ = causes.read_reason(line)
    is_parted = int(line.fields.get("parts") or 1) > 1
    return f"{cause.value}, {'in parts' if is_parted else 'whole'}"


def _lacks_connection(line: log_lines.Line) -> bool:
    return causes.read_reason(line)[0] is causes.Cause.NO_CONNECTION


def _count(items: Iterable[T], name: Callable[[T], str]) -> dict[str, int]:
    counted = collections.Counter(name(item) or "unknown" for item in items)
    return dict(sorted(counted.items(), key=lambda item: (-item[1], item[0])))


def _list_windows(day: stories.Day, losses: list[causes.Loss]) -> list[Window]:
    requests = collections.Counter(
        _find_window(story.arrived_s) for story in day.stories
    )
    lost: dict[float, list[causes.Loss]] = {}
    for loss in losses:
        lost.setdefault(_find_window(loss.at_s), []).append(loss)
    placed: dict[float, list[stories.Placement]] = {}
    for placement in day.placed:
        placed.setdefault(_find_window(placement.at_s), []).append(placement)
    return [
        Window(
            from_s,
            requests[from_s],
            _count(lost.get(from_s, ()), lambda x: x.cause.value),
            dict(
                collections.Counter(
                    causes.name_band(p.tokens) for p in placed.get(from_s, ())
                )
            ),
            max((p.tokens for p in placed.get(from_s, ())), default=0),
        )
        for from_s in sorted(requests)
    ]


def _find_window(at_s: float) -> float:
    return WINDOW_S * math.floor(at_s / WINDOW_S)


def _list_predictions(day: stories.Day) -> list[Prediction]:
    errors: dict[str, list[float]] = {}
    for story in day.stories:
        end = story.end
        placed = story.list_placements()
        if end is None or end.message == stories.FAILED or len(placed) != 1:
            continue
        tokens = story.find_tokens()
        first_s = float(end.fields.get("first_s") or 0.0)
        if not tokens or not first_s:
            continue
        since_s = float(placed[0].fields.get("since_arrival_s") or 0.0)
        expected_s = since_s + float(placed[0].fields.get("expected_s") or 0.0)
        band = causes.name_band(tokens)
        errors.setdefault(band, []).append(abs(first_s - expected_s))
    return [
        Prediction(
            band,
            len(found),
            statistics.median(found),
            sorted(found)[min(len(found) - 1, int(_TAIL * len(found)))],
        )
        for band, found in sorted(errors.items())
    ]


def _format_counts(counts: dict[str, int]) -> list[str]:
    shown = list(counts.items())[:SHOWN]
    lines = [f"  {count:6}  {name}" for name, count in shown]
    rest = sum(counts.values()) - sum(count for _, count in shown)
    if rest:
        lines.append(f"  {rest:6}  others")
    return lines or ["       -"]


def _format_windows(windows: list[Window]) -> list[str]:
    worst = sorted(windows, key=lambda w: (-w.lost, w.from_s))[:SHOWN]
    return [
        f"  {w.from_s:8.1f} s  {w.lost} of {w.requests} lost ("
        + ", ".join(f"{name} {count}" for name, count in w.losses.items())
        + "); placed: "
        + ", ".join(f"{name} {n}" for name, n in sorted(w.placed.items()))
        + f"; longest prompt {w.longest_tokens} tokens"
        for w in worst
        if w.lost
    ]
