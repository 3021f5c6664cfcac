"""Draws losses over time as an SVG chart with one stacked bar per window."""

from rhubarblock.loganalysis import causes
from rhubarblock.loganalysis import summary as summaries

_BAR_WIDTH = 14
_PLOT_HEIGHT = 240
_MARGIN_X = 40
_MARGIN_TOP = 16
_LINE_HEIGHT = 16
_COLOURS = (
    "#4c78a8",
    "#f58518",
    "#54a24b",
    "#e45756",
    "#72b7b2",
    "#eeca3b",
    "#b279a2",
    "#ff9da6",
    "#9d755d",
    "#bab0ac",
    "#1f3b63",
    "#7a4b00",
    "#245a24",
    "#5b2a63",
    "#0b7a75",
    "#7f7f7f",
    "#c2185b",
    "#d4005a",
    "#00868b",
    "#8b7500",
    "#17becf",
    "#6b6ecf",
    "#b5cf6b",
    "#843c39",
    "#a55194",
    "#3182bd",
    "#636363",
)


def draw_losses(windows: list[summaries.Window]) -> str:
    """Returns a chart of the losses by cause, as SVG text.

    Args:
      windows: the windows to draw, in the order of time.
    """
    names = [cause.value for cause in causes.Cause]
    colours = dict(zip(names, _COLOURS, strict=True))
    max_lost = max((window.lost for window in windows), default=0) or 1
    used = [n for n in names if any(n in w.losses for w in windows)]
    width = _MARGIN_X + _BAR_WIDTH * len(windows) + _MARGIN_X
    height = _MARGIN_TOP + _PLOT_HEIGHT + _LINE_HEIGHT * (2 + len(used))
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" font-family="sans-serif" font-size="11">',
        f'<text x="4" y="{_MARGIN_TOP}">{max_lost} lost</text>',
    ]
    for number, window in enumerate(windows):
        x = _MARGIN_X + _BAR_WIDTH * number
        y = float(_MARGIN_TOP + _PLOT_HEIGHT)
        for name in used:
            bar_height = _PLOT_HEIGHT * window.losses.get(name, 0) / max_lost
            if not bar_height:
                continue
            y -= bar_height
            parts.append(
                f'<rect x="{x}" y="{y:.1f}" width="{_BAR_WIDTH - 2}" '
                f'height="{bar_height:.1f}" fill="{colours[name]}">'
                f"<title>{window.from_s:.0f} s: {name}</title></rect>"
            )
        if number % 5 == 0:
            parts.append(
                f'<text x="{x}" '
                f'y="{_MARGIN_TOP + _PLOT_HEIGHT + _LINE_HEIGHT}">'
                f"{window.from_s:.0f} s</text>"
            )
    for number, name in enumerate(used):
        y = _MARGIN_TOP + _PLOT_HEIGHT + _LINE_HEIGHT * (2 + number)
        parts.append(
            f'<rect x="{_MARGIN_X}" y="{y - 9}" width="10" height="10" '
            f'fill="{colours[name]}"/><text x="{_MARGIN_X + 16}" y="{y}">'
            f"{name}</text>"
        )
    return "\n".join([*parts, "</svg>"]) + "\n"
