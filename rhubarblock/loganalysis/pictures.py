"""A day's losses as a picture: a stack of causes for each window."""

from rhubarblock.loganalysis import causes
from rhubarblock.loganalysis import summary as summaries

_BAR = 14
_HEIGHT = 240
_LEFT = 40
_TOP = 16
_LINE = 16
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
    "#7f7f7f",
)


def draw_day(windows: list[summaries.Window]) -> str:
    """Returns the picture as SVG text.

    Args:
      windows: the stretches of the day, in order.
    """
    names = [cause.value for cause in causes.Cause]
    colours = dict(zip(names, _COLOURS, strict=True))
    most = max((window.lost for window in windows), default=0) or 1
    used = [n for n in names if any(n in w.losses for w in windows)]
    width = _LEFT + _BAR * len(windows) + _LEFT
    height = _TOP + _HEIGHT + _LINE * (2 + len(used))
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" font-family="sans-serif" font-size="11">',
        f'<text x="4" y="{_TOP}">{most} lost</text>',
    ]
    for number, window in enumerate(windows):
        x = _LEFT + _BAR * number
        y = float(_TOP + _HEIGHT)
        for name in used:
            tall = _HEIGHT * window.losses.get(name, 0) / most
            if not tall:
                continue
            y -= tall
            parts.append(
                f'<rect x="{x}" y="{y:.1f}" width="{_BAR - 2}" '
                f'height="{tall:.1f}" fill="{colours[name]}">'
                f"<title>{window.from_s:.0f} s: {name}</title></rect>"
            )
        if number % 5 == 0:
            parts.append(
                f'<text x="{x}" y="{_TOP + _HEIGHT + _LINE}">'
                f"{window.from_s:.0f} s</text>"
            )
    for number, name in enumerate(used):
        y = _TOP + _HEIGHT + _LINE * (2 + number)
        parts.append(
            f'<rect x="{_LEFT}" y="{y - 9}" width="10" height="10" '
            f'fill="{colours[name]}"/><text x="{_LEFT + 16}" y="{y}">'
            f"{name}</text>"
        )
    return "\n".join([*parts, "</svg>"]) + "\n"
