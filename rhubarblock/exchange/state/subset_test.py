import pytest

from rhubarblock.core import listed as lists
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import timers as timer_service


def make_pool(count, subset_size, centres=("osu",), regions=None):
    directory = directories.Directory(timer_service.LoopTimers())
    engines = [
        lists.ListedEndpoint(
            f"e{n}",
            f"10.0.0.{n}:1",
            centres[n % len(centres)],
            "pool",
            8,
            False,
        )
        for n in range(count)
    ]
    for engine in engines:
        directory.update(engine)
    made = subsets.Subsets(directory, subset_size, regions or {})
    return directory, made, engines


def make_subsets(count, subset_size, centres=("osu",), regions=None):
    return make_pool(count, subset_size, centres, regions)[1:]


def test_small_pool_has_no_subsets():
    made, engines = make_subsets(5, 5)
    assert made.select("i1", "osu", engines) == engines
    assert all(made.uses("i1", "osu", e.endpoint_id) for e in engines)


def test_subset_of_a_large_pool_has_about_the_given_size():
    made, engines = make_subsets(400, 40)
    sizes = [len(made.select(f"i{n}", "osu", engines)) for n in range(20)]
    assert 25 < min(sizes) <= max(sizes) < 60


def test_each_engine_is_used_by_some_instances():
    made, engines = make_subsets(400, 40)
    users = [
        sum(made.uses(f"i{n}", "osu", engine.endpoint_id) for n in range(370))
        for engine in engines
    ]
    assert min(users) >= 15


def test_removal_of_an_engine_keeps_the_rest_of_a_subset():
    made, engines = make_subsets(400, 40)
    before = made.select("i1", "osu", engines)
    after = made.select("i1", "osu", engines[1:])
    assert [e for e in before if e is not engines[0]] == after


def test_instance_with_an_empty_subset_uses_all():
    made, engines = make_subsets(60, 1)
    unserved = next(
        n
        for n in range(100)
        if not any(made.uses(f"i{n}", "osu", e.endpoint_id) for e in engines)
    )
    assert made.select(f"i{unserved}", "osu", engines) == engines


def test_unlisted_endpoint_is_used_by_all():
    made, _ = make_subsets(400, 40)
    assert made.uses("i1", "osu", "unheard")


CENTRES = ("osu", "tema", "achimota", "kaneshie", "madina")


def test_engines_of_the_own_data_centre_come_first():
    made, engines = make_subsets(200, 48, CENTRES)
    for n in range(20):
        used = made.select(f"i{n}", "tema", engines)
        near = [e for e in used if e.data_centre == "tema"]
        assert len(near) == 40
        # Eight more are needed from the others: each is selected with 0.05.
        assert len(used) - len(near) <= 20


def test_data_centre_with_many_engines_uses_only_its_own():
    made, engines = make_subsets(600, 48, CENTRES)
    used = made.select("i1", "osu", engines)
    assert {e.data_centre for e in used} == {"osu"}
    assert 30 < len(used) < 66


def test_data_centre_without_engines_uses_those_of_others():
    made, engines = make_subsets(200, 48, CENTRES)
    assert 30 < len(made.select("i1", "kumasi", engines)) < 66


def test_filter_agrees_with_the_selection():
    made, engines = make_subsets(200, 48, CENTRES)
    for n in range(20):
        centre = CENTRES[n % 5]
        used = made.select(f"i{n}", centre, engines)
        for engine in engines:
            uses = made.make_filter([engine.endpoint_id])
            assert uses(f"i{n}", centre) == (engine in used)


@pytest.mark.parametrize(
    ("count", "centres"), [(4, ("osu",)), (40, ("osu",)), (90, ("osu", "tema"))]
)
def test_list_of_used_endpoints_agrees_with_single_checks(count, centres):
    made, engines = make_subsets(count, 12, centres)
    endpoint_ids = [*(e.endpoint_id for e in engines), "unlisted"]
    for number in range(10):
        for centre in ("osu", "tema", "empty"):
            used = made.list_used(f"i{number}", centre, endpoint_ids)
            assert used == {
                name
                for name in endpoint_ids
                if made.uses(f"i{number}", centre, name)
            }


def test_other_engines_are_used_while_the_own_data_centre_is_evacuated():
    # With only its own engines an instance would refuse everything.
    directory, made, engines = make_pool(400, 40, ("osu", "mill"))
    assert {e.data_centre for e in made.select("i1", "osu", engines)} == {"osu"}
    directory.set_evacuated(frozenset({"osu"}))
    used = made.list_used("i1", "osu", [e.endpoint_id for e in engines])
    usable = directory.list_usable("pool")
    chosen = made.select("i1", "osu", usable)
    assert {e.data_centre for e in chosen} == {"mill"}
    assert 25 < len(chosen) < 60
    assert {e.endpoint_id for e in chosen} <= used


def test_list_of_each_instance_has_engines_of_each_region():
    # Otherwise requests with home regions would find none at some instances.
    regions = {"osu": "accra", "oda": "kumasi", "wa": "kumasi", "x": "tamale"}
    centres = tuple(regions)
    plain, _ = make_subsets(400, 4, centres)
    made, engines = make_subsets(400, 4, centres, regions)
    ids = [engine.endpoint_id for engine in engines]
    for number in range(50):
        used = made.list_used(f"i{number}", "osu", ids)
        listed = [e for e in engines if e.endpoint_id in used]
        found = {regions[e.data_centre] for e in listed}
        assert found == set(regions.values())
        assert plain.list_used(f"i{number}", "osu", ids) <= used
        assert len(used) < 60
        # What an instance uses for other requests stays the same.
        selected = made.select(f"i{number}", "osu", engines)
        assert selected == plain.select(f"i{number}", "osu", engines)
