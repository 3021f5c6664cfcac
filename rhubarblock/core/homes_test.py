import pytest

from rhubarblock.core import homes

ACCRA = frozenset({"accra"})
BOTH = frozenset({"accra", "kumasi"})
NONE = frozenset()


@pytest.mark.parametrize(
    ("route", "workspace", "allowed"),
    [
        (NONE, NONE, None),
        (ACCRA, NONE, ACCRA),
        (NONE, ACCRA, ACCRA),
        (BOTH, ACCRA, ACCRA),
        # An empty intersection must not read as no bound.
        (ACCRA, frozenset({"kumasi"}), NONE),
    ],
)
def test_bounds_of_route_and_workspace_both_apply(route, workspace, allowed):
    assert homes.combine(route, workspace) == allowed


def test_unknown_regions_exclude_nothing_for_good():
    assert homes.can_serve(ACCRA, {})
    assert not homes.can_serve(NONE, {})
    assert homes.can_serve(None, {})
