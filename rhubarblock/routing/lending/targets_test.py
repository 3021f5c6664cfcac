from hypothesis import given
from hypothesis import strategies

from rhubarblock.routing.lending import targets as lendingtargets


def make_participant(name, own, demand, pledged=0):
    return lendingtargets.Participant(name, own, pledged, demand)


def test_nothing_is_lent_when_static_shares_suffice():
    participants = [make_participant("a", 50, 50), make_participant("b", 50, 0)]
    assert lendingtargets.compute_targets(participants) == {"a": 50, "b": 50}


def test_unused_parts_go_to_instances_with_more_demand():
    participants = [
        make_participant("a", 30, 90),
        make_participant("b", 30, 0),
        make_participant("c", 30, 20),
    ]
    assert lendingtargets.compute_targets(participants) == {
        "a": 67,
        "b": 3,
        "c": 20,
    }


def test_instances_with_more_demand_share_evenly():
    participants = [
        make_participant("a", 10, 99),
        make_participant("b", 10, 14),
        make_participant("c", 20, 0),
    ]
    assert lendingtargets.compute_targets(participants) == {
        "a": 24,
        "b": 14,
        "c": 2,
    }


def test_slots_come_from_current_lenders_first():
    participants = [
        make_participant("a", 0, 1),
        make_participant("b", 1, 0),
        make_participant("c", 1, 0, pledged=1),
    ]
    assert lendingtargets.compute_targets(participants) == {
        "a": 1,
        "b": 1,
        "c": 0,
    }


AMOUNTS = strategies.integers(0, 1_000)


@given(strategies.lists(strategies.tuples(AMOUNTS, AMOUNTS), max_size=8))
def test_targets_keep_the_sum_and_cover_demand_within_static_shares(amounts):
    participants = [
        make_participant(str(number), own, demand)
        for number, (own, demand) in enumerate(amounts)
    ]
    targets = lendingtargets.compute_targets(participants)
    assert sum(targets.values()) == sum(own for own, _ in amounts)
    for participant in participants:
        target = targets[participant.instance_id]
        assert target >= min(participant.own, participant.demand)
        assert target <= max(participant.own, participant.demand)
