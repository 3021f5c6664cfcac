"""Tests of the generator of day files."""

import tomllib

from tools import drawday

HEALTH_KINDS = {"srv_flap", "srv_lying_health"}


def draw(seed, **options):
    return tomllib.loads(drawday.draw_day(seed, 40.0, 9, **options))["day"][0]


def list_kinds(day):
    return {entry["kind"] for entry in [*day["plan"], *day["faults"]]}


def test_same_seed_gives_the_same_day():
    assert draw(5) == draw(5)
    assert draw(5) != draw(6)


def test_day_has_the_requested_number_of_faults():
    day = draw(5)
    assert len(day["plan"]) + len(day["faults"]) == 9
    assert all(
        1.0 <= entry["at"] <= 34.0 for entry in [*day["plan"], *day["faults"]]
    )


def test_all_kinds_are_drawn_and_health_kinds_only_with_health_checks():
    without = set().union(*(list_kinds(draw(seed)) for seed in range(80)))
    all_kinds = {kind.name for kind in drawday.KINDS}
    assert without == all_kinds - HEALTH_KINDS
    drawn = (list_kinds(draw(n, with_health=True)) for n in range(80))
    assert set().union(*drawn) >= HEALTH_KINDS
