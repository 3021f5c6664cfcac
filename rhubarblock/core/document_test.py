"""Tests differences of documents by examples and by random histories."""

import hypothesis
from hypothesis import strategies
import pytest

from rhubarblock.core import document as documents

PIECES = strategies.dictionaries(
    strategies.sampled_from("abcdefgh"),
    strategies.sampled_from("123"),
    max_size=8,
)


def make(version, **pieces):
    difference = documents.compare(documents.EMPTY, version, pieces)
    return documents.apply(documents.EMPTY, difference)


def test_difference_names_changed_and_removed_pieces():
    before = make(1, a="1", b="1", c="1")
    difference = documents.compare(before, 4, {"a": "1", "b": "2", "d": "1"})
    assert difference.changed == {"b": "2", "d": "1"}
    assert difference.removed == ("c",)
    assert documents.apply(before, difference) == make(4, a="1", b="2", d="1")


def test_digest_does_not_depend_on_order():
    assert make(1, a="1", b="2").identity == make(1, b="2", a="1").identity


def test_digest_depends_on_the_names_of_pieces():
    assert make(1, a="1").identity != make(1, b="1").identity


def test_difference_of_another_document_is_refused():
    difference = documents.compare(make(1, a="1"), 2, {"a": "2"})
    with pytest.raises(documents.DifferenceError) as caught:
        documents.apply(make(1, a="3"), difference)
    assert str(caught.value) == (
        "it follows version 1, not the content of version 1 that is here"
    )


def test_difference_that_lacks_a_piece_is_refused():
    before = make(1, a="1")
    whole = documents.compare(before, 2, {"a": "2", "b": "2"})
    incomplete = documents.Difference(whole.before, whole.after, {"a": "2"})
    with pytest.raises(documents.DifferenceError) as caught:
        documents.apply(before, incomplete)
    assert str(caught.value) == "it does not lead to version 2"


@hypothesis.given(strategies.lists(PIECES, min_size=2, max_size=6))
def test_joined_differences_equal_applying_each_in_turn(history):
    document = documents.EMPTY
    first = None
    differences = []
    for version, pieces in enumerate(history, 1):
        difference = documents.compare(document, version, pieces)
        document = documents.apply(document, difference)
        first = first or document
        differences.append(difference)
    joined = documents.join(differences[1:])
    assert documents.apply(first, joined) == document
    assert document.pieces == history[-1]
    assert document.identity == make(len(history), **history[-1]).identity
