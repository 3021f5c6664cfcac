"""Who counts as isolated."""

import pytest

from rhubarblock.exchange.state import isolation as isolations


@pytest.mark.parametrize(
    ("asked", "answered", "is_isolated"),
    [
        # The store is away from all instances.
        (5, 5, False),
        # Two peers are down besides.
        (6, 4, False),
        (4, 2, False),
        # Cut off alone, with a data centre, and with instances of several.
        (5, 0, True),
        (6, 2, True),
        (5, 2, True),
        # Nobody else is known.
        (0, 0, False),
    ],
)
def test_instance_is_isolated_if_most_peers_are_out_of_reach(
    asked, answered, is_isolated
):
    isolation = isolations.Isolation()
    isolation.note_replies(asked, answered)
    assert isolation.is_isolated is is_isolated


def test_instance_is_not_isolated_once_its_state_is_confirmed():
    isolation = isolations.Isolation()
    isolation.note_replies(5, 0)
    isolation.note_confirmed()
    assert not isolation.is_isolated
