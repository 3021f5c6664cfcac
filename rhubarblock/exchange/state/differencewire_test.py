"""Encoding of configuration deltas between instances."""

import pytest

from rhubarblock.core import document as documents
from rhubarblock.exchange.state import differencewire


def test_delta_survives_encoding():
    change = documents.Difference(
        documents.Identity(3, 10),
        documents.Identity(5, 2**127),
        {"a": "x"},
        ("b",),
    )
    assert differencewire.decode(differencewire.encode(change)) == change


@pytest.mark.parametrize("text", ["", "%", "AAAA", "eJyLjgUAARUAuQ=="])
def test_malformed_delta_is_an_error(text):
    with pytest.raises(ValueError):
        differencewire.decode(text)


def test_truncated_delta_is_an_error():
    change = documents.compare(documents.EMPTY, 1, {"a": "x" * 100})
    with pytest.raises(ValueError):
        differencewire.decode(differencewire.encode(change)[:-8])
