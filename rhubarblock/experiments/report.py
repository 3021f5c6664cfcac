"""Renders results as tables, for a terminal or as a self-contained HTML page.

Both are made from the same sections. ``reportplots`` draws the plot of a
section, which the page embeds as SVG.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import html
import io
from typing import Any

from rich import console as consoles
from rich import table as tables

from rhubarblock.experiments import history
from rhubarblock.experiments import reportplots

_QUANTILES = ("p50", "p95", "p99")
# Figures of a mixed run that are quantiles for each band of prompt lengths, and
# those that are quantiles over all requests.
_BY_LENGTH = {
    "ttft_s": "Time to first token by prompt length, seconds",
    "ttft_stretch": "Time to first token over that on an idle fleet",
}
_SINGLE = {
    "short_slowdown": "Slowdown of short requests",
    "gap_ms": "Time between tokens, milliseconds",
}
_WIDTH = 110
_STYLE = (
    "body{font-family:sans-serif;max-width:70em;margin:2em auto}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}"
    "svg{max-width:100%;height:auto}"
)


@dataclasses.dataclass(slots=True, frozen=True)
class Section:
    """One table with an optional plot.

    Attributes:
      title: heading.
      headings: column headings.
      rows: cells as text.
      bars: data of the plot; None for no plot.
    """

    title: str
    headings: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    bars: reportplots.Bars | None = None


def build_sections(runs: Sequence[history.Run]) -> list[Section]:
    """Returns the sections of a report.

    Args:
      runs: results in the order of their columns or rows.
    """
    sections = []
    for field, title in _BY_LENGTH.items():
        chosen = [
            run for run in runs if isinstance(run.fields.get(field), dict)
        ]
        if chosen:
            sections.append(_build_by_length(title, field, chosen))
    for field, title in _SINGLE.items():
        chosen = [run for run in runs if _is_quantiles(run.fields.get(field))]
        if chosen:
            sections.append(_build_single(title, field, chosen))
    sections += [_build_slopes(run) for run in runs if "series" in run.fields]
    others = [run for run in runs if "series" not in run.fields]
    if others:
        sections.append(_build_all(others))
    return sections


def write_text(sections: Sequence[Section]) -> str:
    """Renders sections for a terminal."""
    stream = io.StringIO()
    screen = consoles.Console(file=stream, width=_WIDTH)
    for section in sections:
        table = tables.Table(title=section.title, title_justify="left")
        for name in section.headings:
            table.add_column(name)
        for row in section.rows:
            table.add_row(*row)
        screen.print(table)
    lines = stream.getvalue().splitlines()
    return "".join(f"{line.rstrip()}\n" for line in lines)


def write_page(sections: Sequence[Section]) -> str:
    """Renders sections as an HTML page without references to other files."""
    parts = [_write_section(section) for section in sections]
    return (
        "<!doctype html>\n<html lang=en><meta charset=utf-8>\n"
        f"<title>rhubarblock report</title><style>{_STYLE}</style>\n"
        f"<h1>rhubarblock report</h1>\n{''.join(parts)}</html>\n"
    )


def name_run(run: history.Run) -> str:
    """Returns the label of a run."""
    return run.group if run.seed is None else f"{run.group} seed={run.seed}"


def _write_section(section: Section) -> str:
    plot = reportplots.draw_bars(section.bars) if section.bars else ""
    head = "".join(f"<th>{html.escape(x)}</th>" for x in section.headings)
    rows = "".join(
        "<tr>" + "".join(f"<td>{html.escape(x)}</td>" for x in row) + "</tr>\n"
        for row in section.rows
    )
    title = html.escape(section.title)
    return f"<h2>{title}</h2>\n{plot}<table><tr>{head}</tr>\n{rows}</table>\n"


def _build_by_length(
    title: str, field: str, runs: Sequence[history.Run]
) -> Section:
    bands = list(runs[0].fields[field])
    rows = []
    for band in bands:
        for run in runs:
            spread = run.fields[field].get(band, {})
            rows.append((band, name_run(run), *_write_spread(spread)))
    bars = reportplots.Bars(
        title,
        tuple(bands),
        {
            name_run(run): tuple(
                run.fields[field].get(band, {}).get("p95") for band in bands
            )
            for run in runs
        },
        "p95",
    )
    headings = ("prompt tokens", "run", "n", *_QUANTILES)
    return Section(title, headings, tuple(rows), bars)


def _build_single(
    title: str, field: str, runs: Sequence[history.Run]
) -> Section:
    rows = [(name_run(run), *_write_spread(run.fields[field])) for run in runs]
    bars = reportplots.Bars(
        title,
        _QUANTILES,
        {
            name_run(run): tuple(run.fields[field].get(x) for x in _QUANTILES)
            for run in runs
        },
        "",
    )
    return Section(title, ("run", "n", *_QUANTILES), tuple(rows), bars)


def _build_slopes(run: history.Run) -> Section:
    rows = [
        (name, f"{slope:.4g}", f"{run.errors[name]:.2g}")
        for name, slope in run.figures.items()
    ]
    title = f"Slopes of {run.group}"
    return Section(title, ("slope", "value", "error"), tuple(rows))


def _build_all(runs: Sequence[history.Run]) -> Section:
    names = sorted({name for run in runs for name in run.figures})
    rows = [
        (name, *(_write_number(run.figures.get(name)) for run in runs))
        for name in names
    ]
    headings = ("figure", *(name_run(run) for run in runs))
    return Section("All figures", headings, tuple(rows))


def _is_quantiles(value: Any) -> bool:
    return isinstance(value, dict) and set(_QUANTILES) <= value.keys()


def _write_spread(spread: Mapping[str, Any]) -> tuple[str, ...]:
    count = spread.get("n")
    return (
        "-" if count is None else str(count),
        *(_write_number(spread.get(name)) for name in _QUANTILES),
    )


def _write_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"
