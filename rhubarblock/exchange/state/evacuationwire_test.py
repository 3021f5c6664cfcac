import pytest

from rhubarblock.core import position as positions
from rhubarblock.exchange.state import evacuations as evacuation_sets
from rhubarblock.exchange.state import evacuationwire

AT = positions.Position(2, 7)


def make_known():
    known = evacuation_sets.Evacuations()
    entries = {
        "osu": positions.Position(2, 5),
        "mill": positions.Position(1, 9),
    }
    known.apply_list(entries, AT, now_s=0.0)
    return known


def test_instance_without_a_known_set_sends_none():
    # An empty set would end the evacuations that others have to learn.
    unknown = evacuation_sets.Evacuations()
    assert evacuationwire.encode(unknown, None) is None
    assert evacuationwire.encode(unknown, positions.NOWHERE) is None


@pytest.mark.parametrize(
    "requester, field",
    [
        (AT, True),
        (positions.Position(2, 8), True),
        # What this instance holds says nothing about a later era.
        (positions.Position(3, 1), None),
    ],
)
def test_requester_that_is_not_behind_gets_no_set(requester, field):
    assert evacuationwire.encode(make_known(), requester) is field


@pytest.mark.parametrize("requester", [None, positions.Position(1, 99)])
def test_set_is_decoded_as_it_was(requester):
    known = make_known()
    sent = evacuationwire.decode(evacuationwire.encode(known, requester))
    assert (sent.at, sent.entries) == (AT, known.entries)
    assert len(sent.entries) == 2


@pytest.mark.parametrize(
    "fields", [{}, {"at": [1]}, {"at": [1, 2], "entries": [["a"]]}, [], "x"]
)
def test_other_content_is_an_error(fields):
    with pytest.raises(ValueError):
        evacuationwire.decode(fields)


def test_position_is_decoded_as_it_was():
    text = evacuationwire.encode_position(make_known())
    assert evacuationwire.decode_position(text) == AT
    unknown = evacuationwire.encode_position(evacuation_sets.Evacuations())
    assert evacuationwire.decode_position(unknown) is None
    with pytest.raises(ValueError):
        evacuationwire.decode_position("x.y")
