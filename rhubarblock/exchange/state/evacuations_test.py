"""Decisions about the set of evacuated data centres."""

from rhubarblock.core import position as positions
from rhubarblock.exchange.state import evacuations as evacuation_sets


def at(era, revision):
    return positions.Position(era, revision)


def make_known(*names, era=1, revision=10):
    known = evacuation_sets.Evacuations()
    known.apply_list(
        dict.fromkeys(names, at(era, 5)), at(era, revision), now_s=0.0
    )
    return known


def test_older_list_of_the_same_era_does_not_end_an_evacuation():
    known = make_known("osu")
    assert not known.apply_list({}, at(1, 9), 1.0)
    assert known.data_centres == {"osu"}


def test_later_list_without_an_entry_ends_its_evacuation():
    known = make_known("osu", "mill")
    assert known.apply_list({"mill": at(1, 5)}, at(1, 11), 1.0)
    assert known.data_centres == {"mill"}


def test_overlapping_evacuations_begin_and_end_separately():
    known = make_known("osu")
    known.apply_change("mill", at(1, 11), False)
    known.apply_change("osu", at(1, 12), True)
    assert (known.data_centres, known.position) == ({"mill"}, at(1, 12))


def test_deletion_of_an_earlier_state_does_not_end_an_evacuation():
    known = make_known()
    known.apply_change("osu", at(1, 13), False)
    known.apply_change("osu", at(1, 12), True)
    assert known.data_centres == {"osu"}


def test_set_advances_with_the_answer_that_ended_an_evacuation():
    # The removed entry has the position of its last write.
    known = make_known("osu")
    known.apply_change("osu", known.entries["osu"], True)
    known.advance(at(1, 12))
    assert (known.data_centres, known.position) == (frozenset(), at(1, 12))
    known.advance(at(2, 1))
    assert known.position == at(1, 12)


def test_change_before_the_first_list_is_ignored():
    known = evacuation_sets.Evacuations()
    known.apply_change("osu", at(1, 1), False)
    assert (known.is_known, known.data_centres) == (False, frozenset())


def test_entry_that_an_older_copy_lacks_is_kept_for_two_seconds():
    known = make_known("osu", "mill")
    known.apply_list({}, at(2, 3), 10.0)
    assert known.kept_until_s == 12.0
    known.apply_list({}, at(2, 3), 11.9)
    known.apply_change("mill", at(2, 4), False)
    assert known.data_centres == {"osu", "mill"}
    known.apply_list({"mill": at(2, 4)}, at(2, 4), 12.0)
    assert (known.data_centres, known.kept_until_s) == ({"mill"}, None)


def test_kept_entry_is_not_dropped_by_time_alone():
    # The store may be down; only a list shows that nobody wrote it again.
    known = make_known("osu")
    known.apply_list({}, at(2, 3), 10.0)
    known.apply_change("mill", at(2, 4), False)
    assert known.data_centres == {"osu", "mill"}
    known.expire(20.0)
    assert known.data_centres == {"mill"}


def test_instance_that_starts_after_a_restore_gets_what_a_peer_keeps():
    peer = make_known("osu")
    peer.apply_list({}, at(2, 3), 10.0)
    known = evacuation_sets.Evacuations()
    known.apply_list(peer.entries, peer.position, 11.0)
    assert known.data_centres == {"osu"}
    known.apply_list(peer.entries, peer.position, 13.0)
    assert known.data_centres == frozenset()


def test_set_of_an_ended_era_is_ignored():
    known = make_known(era=2, revision=3)
    assert not known.apply_list({"osu": at(1, 90)}, at(1, 99), 1.0)
    assert known.data_centres == frozenset()


def test_store_without_eras_and_writes_is_known():
    known = evacuation_sets.Evacuations()
    assert known.apply_list({}, positions.NOWHERE, 0.0)
    assert known.is_known
