"""Which word of an endpoint on its limit counts."""

import pytest

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.endpointlimits import limittable as limittables


def make_book(*answers):
    """Returns a book after answers of one endpoint.

    Args:
      answers: stated limit a second, moment of sending, moment of hearing.
    """
    book = limittables.LimitTable(metric_store.Metrics())
    changes = [
        book.note_answer("e1", ratelimits.StatedLimit(per_s), sent_s, heard_s)
        for per_s, sent_s, heard_s in answers
    ]
    return book, changes


def find_rate(book):
    limit = book.find("e1")
    return limit.per_s if limit else None


@pytest.mark.parametrize(
    ("answers", "rate"),
    [
        ([(None, 1.0, 2.0)], None),
        ([(1.0, 1.0, 2.0)], 1.0),
        ([(0.0, 1.0, 2.0)], 0.0),
        # A later answer without the field ends it.
        ([(1.0, 1.0, 2.0), (None, 2.0, 3.0)], None),
        # One to a request that was sent before the limit was heard does not.
        ([(1.0, 1.0, 2.0), (None, 1.5, 3.0)], 1.0),
        ([(1.0, 1.0, 2.0), (5.0, 1.5, 3.0)], 1.0),
        ([(1.0, 1.0, 2.0), (5.0, 2.5, 3.0)], 5.0),
        # A lower one counts whenever it was asked for.
        ([(5.0, 1.0, 2.0), (1.0, 0.5, 3.0)], 1.0),
        ([(1e300, 1.0, 2.0)], limittables.MOST_PER_S),
    ],
)
def test_newest_word_counts_and_a_lower_one_always(answers, rate):
    book, _ = make_book(*answers)
    assert find_rate(book) == rate


def test_limit_that_cannot_be_read_leaves_the_one_before():
    book, changes = make_book((2.0, 1.0, 2.0))
    bad = ratelimits.StatedLimit(unreadable="soon")
    assert not book.note_answer("e1", bad, 3.0, 4.0)
    assert (changes, find_rate(book)) == ([True], 2.0)


def test_each_change_writes_one_line(caplog):
    with caplog.at_level("INFO", logger="rhubarblock"):
        make_book((2.0, 1.0, 2.0), (2.0, 2.0, 3.0), (None, 3.0, 4.0))
    lines = [
        (r.before_per_s, r.after_per_s, r.named_for_s) for r in caplog.records
    ]
    assert lines == [(None, 2.0, 0.0), (2.0, None, 2.0)]


def test_endpoint_that_is_gone_is_forgotten():
    book, _ = make_book((2.0, 1.0, 2.0))
    book.keep_only({"e1"})
    assert book
    book.keep_only({"e2"})
    assert not book
