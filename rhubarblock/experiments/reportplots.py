"""Plots of a report, as SVG text to embed in an HTML page."""

from collections.abc import Mapping
import dataclasses
import io

_WIDTH_IN = 9.0
_HEIGHT_IN = 3.5
_BARS_WIDTH = 0.8


@dataclasses.dataclass(slots=True, frozen=True)
class Bars:
    """Data of a grouped bar chart.

    Attributes:
      title: heading.
      groups: names along the horizontal axis.
      values: for each run its value in each group; None leaves a gap.
      unit: label of the vertical axis.
    """

    title: str
    groups: tuple[str, ...]
    values: Mapping[str, tuple[float | None, ...]]
    unit: str


def draw_bars(bars: Bars) -> str:
    """Returns a bar chart with a logarithmic axis as an SVG element."""
    # Part of the extra "report", which entry instances don't install.
    from matplotlib import figure as figures

    figure = figures.Figure(figsize=(_WIDTH_IN, _HEIGHT_IN))
    axes = figure.subplots()
    width = _BARS_WIDTH / max(1, len(bars.values))
    for number, (name, values) in enumerate(bars.values.items()):
        places = [place + number * width for place in range(len(bars.groups))]
        heights = [value or 0.0 for value in values]
        axes.bar(places, heights, width, label=name)
    middle = (_BARS_WIDTH - width) / 2
    axes.set_xticks(
        [place + middle for place in range(len(bars.groups))], bars.groups
    )
    axes.set_yscale("log")
    axes.set_ylabel(bars.unit)
    axes.set_title(bars.title)
    axes.legend(fontsize="small")
    stream = io.StringIO()
    # Omits the date, so that the same results give the same page.
    figure.savefig(
        stream, format="svg", bbox_inches="tight", metadata={"Date": None}
    )
    text = stream.getvalue()
    return text[text.index("<svg") :]
