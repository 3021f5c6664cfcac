import pytest

from rhubarblock.experiments import machine as machines
from rhubarblock.experiments import slopes
from rhubarblock.experiments.capacity import measurement as capacity
from rhubarblock.experiments.capacity import page as capacitypage
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.experiments.capacity import roles as capacityroles
from rhubarblock.plugins import length_aware
from rhubarblock.routing.placement import decision as placements

MACHINE = machines.Machine(4, 1.5, 100.0)
TEMPLATE = "docs/capacity-template.md"


def make_fit(**terms):
    """Returns a fit with the given slopes, each with an error of a tenth."""
    names = tuple("1" if name == "constant" else name for name in terms)
    values = tuple(float(x) for x in terms.values())
    return slopes.Fit(names, values, tuple(abs(x) / 10 for x in values), 1.0)


def make_series(name, **fits):
    point = capacityprobe.Point({"endpoints": 4.0}, {})
    other = capacityprobe.Point({"endpoints": 64.0}, {})
    return capacityprobe.Series(
        name, "entry instance", "A note.", (point, other), fits
    )


def make_part(**more):
    fields = {
        "name": "load reports",
        "mechanism": "asked",
        "series": "loads",
        "sizes": {"endpoints": 100.0},
        "columns": (capacityprobe.CPU,),
    }
    return capacityroles.Part(**fields | more)


SERIES = {
    "loads": make_series(
        "loads", cpu_share=make_fit(constant=0.01, endpoints=0.002)
    )
}


def test_part_is_predicted_by_its_fit():
    value, error = capacitypage.predict(make_part(), capacityprobe.CPU, SERIES)
    assert (value, error) == pytest.approx((0.21, 0.021))


def test_growth_part_excludes_the_constant():
    part = make_part(is_growth=True)
    value, error = capacitypage.predict(part, capacityprobe.CPU, SERIES)
    assert (value, error) == pytest.approx((0.2, 0.02))


def test_missing_series_is_named_in_the_error():
    with pytest.raises(capacitypage.MissingSeriesError, match="'gone'"):
        capacitypage.predict(
            make_part(series="gone"), capacityprobe.CPU, SERIES
        )


def test_role_table_compares_its_sum_with_the_budget(monkeypatch):
    role = capacityroles.Role("entry", "entry", "all", (make_part(),))
    monkeypatch.setattr(capacityroles, "ROLES", (role,))
    monkeypatch.setattr(capacityroles, "PLATFORM", ())
    relay = make_series(
        "relay",
        cpu_share=make_fit(constant=0.0, requests_per_s=1, tokens_per_s=0),
        memory_bytes=make_fit(constant=0.0, requests_per_s=1, tokens_per_s=0),
    )
    result = capacity.CapacityResult(
        "capacity", MACHINE, (SERIES["loads"], relay, rename_to_earlier(relay))
    )
    page = capacitypage.write_page("$role_entry\n", [result])
    assert page == (
        "Held by: all.\n\n"
        "| part | state, KB | messages/s | KB/s | % of a core | mechanism |\n"
        "| --- | --- | --- | --- | --- | --- |\n"
        "| load reports | - | - | - | 21.0 ± 2.10 | asked |\n"
        "| **sum** | 0 | 0 | 0 | 21.0 |  |\n"
        "| budget of a node | 131,072 |  | 7.00 | 4.80 |  |\n"
        "| **share of the budget** | 0%, fits |  | 0%, fits | "
        "438%, does not fit |  |\n"
    )


def rename_to_earlier(series):
    """Returns the same series under the name of the baseline."""
    return capacityprobe.Series(
        "earlier", series.role, series.note, series.points, series.fits
    )


def test_parts_give_every_factor_that_their_probes_fit():
    probes = {probe.name: probe for probe in capacity.PROBES}
    for role in capacityroles.ROLES:
        for part in role.parts:
            lines = {x.quantity: x for x in probes[part.series].lines}
            for column in part.columns:
                line = lines[part.prefix + column]
                factors = {
                    name
                    for term in line.terms
                    if term != slopes.CONSTANT
                    for name in term.split("*")
                }
                assert factors <= part.sizes.keys(), (role.key, part.name)


def test_platform_parts_use_quantities_that_their_probes_measure():
    probes = {probe.name: probe for probe in capacity.PROBES}
    for part in capacityroles.PLATFORM:
        quantities = {x.quantity for x in probes[part.series].lines}
        assert part.quantity in quantities


def test_every_prompt_counts_as_placed_by_the_coordinator():
    shortest = placements.PlacementQuery("r", "pool", "m", 1, 1, 10.0)
    assert length_aware.LengthAwarePolicy().needs_coordinator(shortest)
    assert capacityroles.PLACED_PER_S == capacityroles.REQUESTS_PER_S
