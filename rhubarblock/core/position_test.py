from rhubarblock.core import position as positions

Position = positions.Position


def test_later_era_follows_every_revision_of_an_earlier_era():
    assert Position(1, 900) < Position(2, 3) < Position(2, 4)
    assert Position(1, 4) != Position(2, 4)


def test_nowhere_precedes_every_position():
    assert not positions.NOWHERE
    assert Position(0, 1) > positions.NOWHERE
    assert Position(1, 0)


def test_copied_state_differs_from_a_write_in_the_new_era():
    earlier = Position(1, 40)
    assert Position(2, 40).may_be_copy_of(earlier)
    assert Position(3, 12).may_be_copy_of(earlier)
    assert not Position(2, 41).may_be_copy_of(earlier)
    assert not Position(1, 39).may_be_copy_of(earlier)
