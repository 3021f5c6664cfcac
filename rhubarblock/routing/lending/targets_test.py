from hypothesis import given
from hypothesis import strategies

from rhubarblock.routing.lending import targets as lendingtargets


def stand(name, own, demand, pledged=0):
    return lendingtargets.Standing(name, own, pledged, demand)


def test_enough_for_all_moves_nothing():
    standings = [stand("a", 50, 50), stand("b", 50, 0)]
    assert lendingtargets.compute_targets(standings) == {"a": 50, "b": 50}


def test_unused_parts_go_to_those_in_need():
    standings = [stand("a", 30, 90), stand("b", 30, 0), stand("c", 30, 20)]
    assert lendingtargets.compute_targets(standings) == {
        "a": 67,
        "b": 3,
        "c": 20,
    }


def test_those_in_need_share_evenly():
    standings = [stand("a", 10, 99), stand("b", 10, 14), stand("c", 20, 0)]
    assert lendingtargets.compute_targets(standings) == {
        "a": 24,
        "b": 14,
        "c": 2,
    }


def test_whole_slots_come_from_who_lends_already():
    standings = [
        stand("a", 0, 1),
        stand("b", 1, 0),
        stand("c", 1, 0, pledged=1),
    ]
    assert lendingtargets.compute_targets(standings) == {
        "a": 1,
        "b": 1,
        "c": 0,
    }


AMOUNTS = strategies.integers(0, 1_000)


@given(strategies.lists(strategies.tuples(AMOUNTS, AMOUNTS), max_size=8))
def test_the_sum_stays_and_nobody_loses_what_it_needs(amounts):
    standings = [
        stand(str(number), own, demand)
        for number, (own, demand) in enumerate(amounts)
    ]
    targets = lendingtargets.compute_targets(standings)
    assert sum(targets.values()) == sum(own for own, _ in amounts)
    for standing in standings:
        target = targets[standing.instance_id]
        assert target >= min(standing.own, standing.demand)
        assert target <= max(standing.own, standing.demand)
