"""Tests of which statement of an endpoint's limit applies."""

import pytest

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.endpointlimits import limittable as limittables
from rhubarblock.routing.endpointlimits import messages


def make_table(*answers):
    """Returns a table after some answers of one endpoint.

    Args:
      answers: stated limit a second, time of sending, time of arrival.
    """
    table = limittables.LimitTable(metric_store.Metrics())
    changes = [
        table.note_answer(
            "e1", ratelimits.StatedLimit(per_s), sent_s, received_s
        )
        for per_s, sent_s, received_s in answers
    ]
    return table, changes


def find_rate(table):
    return table.find_rate("e1")


@pytest.mark.parametrize(
    ("answers", "rate"),
    [
        ([(None, 1.0, 2.0)], None),
        ([(1.0, 1.0, 2.0)], 1.0),
        ([(0.0, 1.0, 2.0)], 0.0),
        # A later answer without the field ends it.
        ([(1.0, 1.0, 2.0), (None, 2.0, 3.0)], None),
        # One to a request that was sent before the limit arrived does not.
        ([(1.0, 1.0, 2.0), (None, 1.5, 3.0)], 1.0),
        ([(1.0, 1.0, 2.0), (5.0, 1.5, 3.0)], 1.0),
        ([(1.0, 1.0, 2.0), (5.0, 2.5, 3.0)], 5.0),
        # A lower limit applies whenever its request was sent.
        ([(5.0, 1.0, 2.0), (1.0, 0.5, 3.0)], 1.0),
        ([(1e300, 1.0, 2.0)], limittables.MAX_PER_S),
    ],
)
def test_newest_statement_applies_and_a_lower_one_always(answers, rate):
    table, _ = make_table(*answers)
    assert find_rate(table) == rate


def test_unreadable_limit_keeps_the_previous_one():
    table, changes = make_table((2.0, 1.0, 2.0))
    bad = ratelimits.StatedLimit(unreadable="soon")
    assert not table.note_answer("e1", bad, 3.0, 4.0)
    assert (changes, find_rate(table)) == ([True], 2.0)


def test_each_change_is_logged_once(caplog):
    with caplog.at_level("INFO", logger="rhubarblock"):
        make_table((2.0, 1.0, 2.0), (2.0, 2.0, 3.0), (None, 3.0, 4.0))
    lines = [
        (r.before_per_s, r.after_per_s, r.named_for_s) for r in caplog.records
    ]
    assert lines == [(None, 2.0, 0.0), (2.0, None, 2.0)]


def test_unlisted_endpoint_is_forgotten():
    table, _ = make_table((2.0, 1.0, 2.0))
    table.keep_only({"e1"})
    assert table
    table.keep_only({"e2"})
    assert not table


def make_cold(per_s, is_over=False, is_observed=False):
    return limittables.ColdLimit(per_s, 1.0, 16.0, is_over, is_observed)


@pytest.mark.parametrize(
    ("stated", "cold", "rate"), [(5.0, 2.0, 2.0), (2.0, 5.0, 2.0)]
)
def test_lower_one_of_a_stated_and_a_cold_limit_applies(stated, cold, rate):
    table, _ = make_table((stated, 1.0, 2.0))
    table.set_cold("e1", make_cold(cold))
    assert find_rate(table) == rate


def test_stated_and_cold_limit_end_independently():
    """Guards against a cold limit that an answer without a limit ends."""
    table, _ = make_table((5.0, 1.0, 2.0))
    assert table.set_cold("e1", make_cold(2.0))
    table.note_answer("e1", ratelimits.NO_STATED_LIMIT, 3.0, 4.0)
    assert find_rate(table) == 2.0
    assert table.list_ids() == ["e1"]
    table.note_answer("e1", ratelimits.StatedLimit(5.0), 5.0, 6.0)
    assert table.set_cold("e1", make_cold(2.0, is_over=True))
    assert find_rate(table) == 5.0


def test_report_of_a_cold_limit_ends_no_stated_limit():
    table, _ = make_table()
    table.set_cold("e1", make_cold(2.0))
    report = table.describe("e1", 6.0)
    assert report.cold == messages.ColdReport(5.0, 10.0)
    other, _ = make_table((5.0, 1.0, 2.0))
    other.receive(report, 6.0)
    assert find_rate(other) == 5.0


def test_only_an_observed_end_is_reported():
    table, _ = make_table()
    table.set_cold("e1", make_cold(2.0))
    # Its time is over, but it has not been removed yet.
    assert table.describe("e1", 16.0) is None
    table.set_cold("e1", make_cold(2.0, is_over=True))
    assert table.describe("e1", 17.0) is None
    table.set_cold("e1", make_cold(2.0, is_over=True, is_observed=True))
    assert table.describe("e1", 17.0).cold.left_s == -1.0
