"""Generates docs/CAPACITY.md from measured results and a template.

The template holds the prose, with ``$name`` in place of each table, so a new
measurement updates only the tables.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import string

from rhubarblock.experiments import slopes
from rhubarblock.experiments.capacity import measurement as capacity
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.experiments.capacity import roles as capacityroles

_KIB = 1024.0
_HEADINGS = {
    capacityprobe.STATE: "state, KB",
    capacityprobe.MESSAGES: "messages/s",
    capacityprobe.BYTES: "KB/s",
    capacityprobe.CPU: "% of a core",
}
_FACTORS = {
    capacityprobe.STATE: 1 / _KIB,
    capacityprobe.MESSAGES: 1.0,
    capacityprobe.BYTES: 1e-3,
    capacityprobe.CPU: 100.0,
}
_BUDGETS = {
    capacityprobe.STATE: capacityroles.MEMORY_BUDGET,
    capacityprobe.BYTES: capacityroles.TRAFFIC_BUDGET,
    capacityprobe.CPU: capacityroles.CPU_BUDGET,
}
_PERCENT = 100.0

SeriesByName = Mapping[str, capacityprobe.Series]


class MissingSeriesError(ValueError):
    """The results lack a series that the page needs."""


def write_page(
    template: str, results: Sequence[capacity.CapacityResult]
) -> str:
    """Fills the template with tables.

    Args:
      template: page with ``$name`` for each table.
      results: measurements; of several series with the same name, the last
        one is used.

    Returns:
      The page.

    Raises:
      MissingSeriesError: a series that a table needs is missing.
      KeyError: the template has an unknown name.
    """
    series = {each.name: each for part in results for each in part.series}
    fields = {
        f"role_{role.key}": _write_role(role, series)
        for role in capacityroles.ROLES
    }
    fields["platform"] = _write_platform(series)
    fields["relay"] = _write_relay(series)
    fields["slopes"] = _write_slopes(series)
    fields["points"] = _write_points(series)
    fields["machines"] = _write_machines(results)
    return string.Template(template).substitute(fields)


def find_fit(series: SeriesByName, name: str, quantity: str) -> slopes.Fit:
    """Returns the fit of a quantity in a series.

    Raises:
      MissingSeriesError: the quantity was not measured.
    """
    found = series.get(name)
    if found is None or quantity not in found.fits:
        raise MissingSeriesError(f"no {quantity} in series {name!r}")
    return found.fits[quantity]


def predict(
    part: capacityroles.Part, column: str, series: SeriesByName
) -> tuple[float, float]:
    """Predicts one quantity of a part at the target size, with its error."""
    fit = find_fit(series, part.series, part.prefix + column)
    value, error = fit.predict(part.sizes), fit.predict_error(part.sizes)
    if part.is_growth:
        zero_sizes = dict.fromkeys(part.sizes, 0.0)
        value -= fit.predict(zero_sizes)
        error -= fit.predict_error(zero_sizes)
    return max(0.0, value), error


def _write_role(role: capacityroles.Role, series: SeriesByName) -> str:
    columns = capacityroles.COLUMNS
    totals = dict.fromkeys(columns, 0.0)
    rows = []
    for part in role.parts:
        cells = [part.name]
        for column in columns:
            if column not in part.columns:
                cells.append("-")
                continue
            value, error = predict(part, column, series)
            totals[column] += value
            cells.append(_write_value(column, value, error))
        rows.append([*cells, part.mechanism])
    total = [_write_number(totals[x] * _FACTORS[x]) for x in columns]
    rows.append(["**sum**", *total, ""])
    budget = ["budget of a node"]
    verdict = ["**share of the budget**"]
    for column in columns:
        if column not in _BUDGETS:
            budget.append("")
            verdict.append("")
            continue
        budget.append(_write_number(_BUDGETS[column] * _FACTORS[column]))
        share = totals[column] / _BUDGETS[column]
        verdict.append(_write_share(share))
    rows += [[*budget, ""], [*verdict, ""]]
    headings = ["part", *(_HEADINGS[x] for x in columns), "mechanism"]
    return f"Held by: {role.holders}.\n\n" + write_table(headings, rows)


def _write_platform(series: SeriesByName) -> str:
    rows = []
    totals = {False: 0.0, True: 0.0}
    for part in capacityroles.PLATFORM:
        fit = find_fit(series, part.series, part.quantity)
        calls = fit.predict(part.sizes) * part.times
        error = fit.predict_error(part.sizes) * part.times
        totals[part.is_write] += calls
        cell = f"{_write_number(calls)} ± {_write_number(error)}"
        rows.append([part.name, *_put_in_column(part.is_write, cell)])
    changes = capacityroles.CHANGE_WRITES_PER_S
    totals[True] += changes
    rows.append(
        [
            "changes of the catalogue, two writes each",
            *_put_in_column(True, _write_number(changes)),
        ]
    )
    limits = {
        False: capacityroles.PLATFORM_READS_PER_S,
        True: capacityroles.PLATFORM_WRITES_PER_S,
    }
    rows += [
        ["**sum**", *(_write_number(totals[x]) for x in (False, True))],
        ["the platform takes", *(f"{limits[x]:.0f}" for x in (False, True))],
        [
            "**share**",
            *(_write_share(totals[x] / limits[x]) for x in (False, True)),
        ],
    ]
    return write_table(["calls of the fleet", "reads/s", "writes/s"], rows)


def _put_in_column(is_write: bool, cell: str) -> tuple[str, str]:
    return ("", cell) if is_write else (cell, "")


def _write_relay(series: SeriesByName) -> str:
    sizes = {
        "requests_per_s": capacityroles.REQUESTS_PER_S / capacityroles.NODES,
        "tokens_per_s": capacityroles.TOKENS_PER_S / capacityroles.NODES,
    }
    rows = []
    for name, label in (("relay", "present"), ("earlier", "earlier")):
        cpu = find_fit(series, name, capacityprobe.CPU)
        memory = find_fit(series, name, capacityprobe.MEMORY)
        rows.append(
            [
                label,
                _write_slope(cpu, "requests_per_s", 1e3),
                _write_slope(cpu, "tokens_per_s", 1e6),
                f"{cpu.predict(sizes):.2f} ± {cpu.predict_error(sizes):.2f}",
                f"{memory.predict(sizes) / _KIB / _KIB:.0f}",
            ]
        )
    headings = [
        "way",
        "ms of a core for a request",
        "µs of a core for a token",
        "cores at a node's share of the peak",
        "resident MiB there",
    ]
    return write_table(headings, rows)


def _write_slope(fit: slopes.Fit, term: str, factor: float) -> str:
    number = fit.terms.index(term)
    slope, error = fit.slopes[number] * factor, fit.errors[number] * factor
    return f"{_write_number(slope)} ± {_write_number(error)}"


def _write_slopes(series: SeriesByName) -> str:
    rows = [
        [
            each.name,
            quantity,
            term,
            f"{slope:.3g}",
            f"{error:.2g}",
            f"{fit.r_squared:.3f}",
        ]
        for each in series.values()
        for quantity, fit in each.fits.items()
        for term, slope, error in zip(
            fit.terms, fit.slopes, fit.errors, strict=True
        )
    ]
    return write_table(
        ["series", "quantity", "for each", "slope", "error", "R²"], rows
    )


def _write_points(series: SeriesByName) -> str:
    rows = [
        [
            f"`{each.name}`",
            each.role,
            str(len(each.points)),
            ", ".join(
                f"{name} {_write_range(each, name)}"
                for name in each.points[0].sizes
            ),
            each.note,
        ]
        for each in series.values()
    ]
    return write_table(["series", "role", "points", "sizes", "run"], rows)


def _write_range(series: capacityprobe.Series, factor: str) -> str:
    values = [point.sizes[factor] for point in series.points]
    return f"{min(values):g} to {max(values):g}"


def _write_machines(results: Sequence[capacity.CapacityResult]) -> str:
    rows = [
        [
            each.scenario,
            str(each.machine.cores),
            f"{each.machine.load_average:g}",
            f"{each.machine.loop_us:g}",
        ]
        for each in results
    ]
    return write_table(
        [
            "result",
            "processors",
            "load average at the end",
            "µs for 1,000 rounds of a plain loop",
        ],
        rows,
    )


def write_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a table in Markdown."""
    lines = [headings, ["---"] * len(headings), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _write_value(column: str, value: float, error: float) -> str:
    factor = _FACTORS[column]
    return f"{_write_number(value * factor)} ± {_write_number(error * factor)}"


def _write_number(value: float) -> str:
    """Formats a number with about three significant digits."""
    size = abs(value)
    if size >= 100 or size == 0:
        return f"{value:,.0f}"
    if size >= 10:
        return f"{value:.1f}"
    if size >= 0.01:
        return f"{value:.2f}"
    return f"{value:.1g}"


def _write_share(share: float) -> str:
    percent = share * _PERCENT
    verdict = "fits" if share <= 1.0 else "does not fit"
    return f"{_write_number(percent)}%, {verdict}"
