"""Summarises losses by cause, time window, prompt length and origin."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import statistics
from typing import TypeVar

from rhubarblock.loganalysis import causes
from rhubarblock.loganalysis import lines as log_lines
from rhubarblock.loganalysis import requesttraces

T = TypeVar("T")

# Length of a time window in seconds.
WINDOW_S = 2.0
# Rows that a table shows at most.
MAX_ROWS = 10
_TAIL_QUANTILE = 0.95


@dataclasses.dataclass(slots=True, frozen=True)
class Window:
    """Losses in one time window.

    Attributes:
      from_s: start of the window in seconds.
      requests: number of requests that arrived in the window.
      losses: number of lost requests, by cause.
      placed: number of prompts placed in the window, by band of their length.
      longest_tokens: length of the longest of these prompts in tokens.
    """

    from_s: float
    requests: int
    losses: dict[str, int]
    placed: dict[str, int]
    longest_tokens: int

    @property
    def lost(self) -> int:
        """Number of lost requests."""
        return sum(self.losses.values())


@dataclasses.dataclass(slots=True, frozen=True)
class Prediction:
    """Error of the predicted time to the first event, for one length band.

    Attributes:
      band: band of the prompt length.
      count: number of prompts that were placed once and served.
      middle_s: median of the absolute error in seconds.
      tail_s: 95th percentile of the absolute error in seconds.
    """

    band: str
    count: int
    middle_s: float
    tail_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Summary:
    """Summary of the losses in a set of logs.

    The counts of each dictionary are in descending order.

    Attributes:
      requests: number of requests that the logs name.
      skipped: number of lines that could not be parsed.
      by_cause: losses by kind and cause.
      by_band: losses by band of the prompt length.
      by_workspace: losses by workspace.
      by_data_centre: losses by data centre of the endpoint.
      by_instance: losses by instance and cause.
      attempts: attempts without a response by cause, including those of
        requests that were served.
      no_connection: attempts that could not open a connection, by instance.
      windows: all time windows in which a request arrived.
      predictions: errors of the predictions by band of the prompt length.
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
    index: requesttraces.LogIndex, losses: list[causes.Loss], skipped: int
) -> Summary:
    """Returns the summary.

    Args:
      index: all requests in the logs.
      losses: the lost requests.
      skipped: number of lines that could not be parsed.
    """
    attempts = [
        x for trace in index.traces for x in trace.list_failed_attempts()
    ]
    return Summary(
        requests=len(index.traces),
        skipped=skipped,
        by_cause=_count(losses, lambda x: f"{x.kind.value}: {x.cause.value}"),
        by_band=_count(losses, lambda x: x.band),
        by_workspace=_count(losses, lambda x: x.workspace),
        by_data_centre=_count(losses, lambda x: x.data_centre),
        by_instance=_count(losses, lambda x: f"{x.instance}: {x.cause.value}"),
        attempts=_count(attempts, _describe_attempt),
        no_connection=_count(
            (x for x in attempts if _lacks_connection(x)), lambda x: x.instance
        ),
        windows=_list_windows(index, losses),
        predictions=_list_predictions(index),
    )


def format_summary(summary: Summary) -> str:
    """Returns the summary as text tables."""
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


def _describe_attempt(line: log_lines.Line) -> str:
    cause, _ = causes.parse_reason(line)
    is_split = int(line.fields.get("parts") or 1) > 1
    return f"{cause.value}, {'in parts' if is_split else 'whole'}"


def _lacks_connection(line: log_lines.Line) -> bool:
    return causes.parse_reason(line)[0] is causes.Cause.NO_CONNECTION


def _count(items: Iterable[T], name: Callable[[T], str]) -> dict[str, int]:
    counted = collections.Counter(name(item) or "unknown" for item in items)
    return dict(sorted(counted.items(), key=lambda item: (-item[1], item[0])))


def _list_windows(
    index: requesttraces.LogIndex, losses: list[causes.Loss]
) -> list[Window]:
    requests = collections.Counter(
        _find_window_start(trace.arrived_s) for trace in index.traces
    )
    lost: dict[float, list[causes.Loss]] = {}
    for loss in losses:
        lost.setdefault(_find_window_start(loss.at_s), []).append(loss)
    placed: dict[float, list[requesttraces.Placement]] = {}
    for placement in index.placements:
        placed.setdefault(_find_window_start(placement.at_s), []).append(
            placement
        )
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


def _find_window_start(at_s: float) -> float:
    return WINDOW_S * math.floor(at_s / WINDOW_S)


def _list_predictions(index: requesttraces.LogIndex) -> list[Prediction]:
    errors: dict[str, list[float]] = {}
    for trace in index.traces:
        end = trace.end
        placed = trace.list_placement_lines()
        if (
            end is None
            or end.message == requesttraces.FAILED
            or len(placed) != 1
        ):
            continue
        tokens = trace.find_prompt_tokens()
        first_s = float(end.fields.get("first_s") or 0.0)
        if not tokens or not first_s:
            continue
        placed_after_s = float(placed[0].fields.get("since_arrival_s") or 0.0)
        expected_s = placed_after_s + float(
            placed[0].fields.get("expected_s") or 0.0
        )
        band = causes.name_band(tokens)
        errors.setdefault(band, []).append(abs(first_s - expected_s))
    return [
        Prediction(
            band,
            len(found),
            statistics.median(found),
            sorted(found)[
                min(len(found) - 1, int(_TAIL_QUANTILE * len(found)))
            ],
        )
        for band, found in sorted(errors.items())
    ]


def _format_counts(counts: dict[str, int]) -> list[str]:
    shown = list(counts.items())[:MAX_ROWS]
    lines = [f"  {count:6}  {name}" for name, count in shown]
    remainder = sum(counts.values()) - sum(count for _, count in shown)
    if remainder:
        lines.append(f"  {remainder:6}  others")
    return lines or ["       -"]


def _format_windows(windows: list[Window]) -> list[str]:
    worst = sorted(windows, key=lambda w: (-w.lost, w.from_s))[:MAX_ROWS]
    return [
        f"  {w.from_s:8.1f} s  {w.lost} of {w.requests} lost ("
        + ", ".join(f"{name} {count}" for name, count in w.losses.items())
        + "); placed: "
        + ", ".join(f"{name} {n}" for name, n in sorted(w.placed.items()))
        + f"; longest prompt {w.longest_tokens} tokens"
        for w in worst
        if w.lost
    ]
