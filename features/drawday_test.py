"""Days that are drawn for the users' bench can be drawn again, and read."""

import tomllib

from tools import drawday

HEALTH_KINDS = {"srv_flap", "srv_lying_health"}


def draw(seed, **options):
    return tomllib.loads(drawday.draw(seed, 40.0, 9, **options))["day"][0]


def list_kinds(day):
    return {entry["kind"] for entry in [*day["plan"], *day["faults"]]}


def test_same_seed_gives_the_same_day():
    assert draw(5) == draw(5)
    assert draw(5) != draw(6)


def test_day_has_as_many_troubles_as_asked():
    day = draw(5)
    assert len(day["plan"]) + len(day["faults"]) == 9
    assert all(
        1.0 <= entry["at"] <= 34.0 for entry in [*day["plan"], *day["faults"]]
    )


def test_all_kinds_are_drawn_and_health_only_where_it_is_checked():
    without = set().union(*(list_kinds(draw(seed)) for seed in range(80)))
    everything = {kind.name for kind in drawday.KINDS}
    assert without == everything - HEALTH_KINDS
    checked = (list_kinds(draw(n, with_health=True)) for n in range(80))
    assert set().union(*checked) >= HEALTH_KINDS
