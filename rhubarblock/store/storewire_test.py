"""Tests of the encodings of the object API over HTTP."""

import json

import pytest

from rhubarblock.core import position as positions
from rhubarblock.store import store as stores
from rhubarblock.store import storewire


def test_encoded_event_is_decoded_unchanged() -> None:
    stored = stores.StoredObject("a/1", positions.Position(0, 7), b"\xff", True)
    line = storewire.encode_event(stored)
    assert json.loads(line)["version"] == 7
    assert storewire.decode_event(line) == stored


def test_position_of_another_era_is_not_encoded() -> None:
    with pytest.raises(ValueError, match="era 1"):
        storewire.encode_position(positions.Position(1, 7))
