"""Tests of one instance's budget: what it may spend, and for how long."""

import pytest

from rhubarblock.routing.retrylending import ledger as ledgers

WINDOW_S = 10.0
DEDUCTED_S = WINDOW_S + ledgers.VALID_S + ledgers.MARGIN_S


def make_ledger(share=4.0, is_first_start=True):
    ledger = ledgers.Ledger(0.2, WINDOW_S, 0.0, is_first_start)
    ledger.share = share
    return ledger


def spend_all(ledger, now_s):
    """Returns how many retries can be made at once."""
    count = 0
    while ledger.try_spend(now_s):
        count += 1
    return count


def test_share_is_usable_again_after_a_window():
    ledger = make_ledger()
    assert spend_all(ledger, 1.0) == 4
    assert spend_all(ledger, 11.0) == 0
    assert spend_all(ledger, 11.01) == 4


def test_restarted_budget_is_empty_until_its_earlier_loans_have_ended():
    ledger = make_ledger(is_first_start=False)
    assert spend_all(ledger, DEDUCTED_S - 0.01) == 0
    assert ledger.lend(1.0, DEDUCTED_S - 0.01) == 0.0
    assert spend_all(ledger, DEDUCTED_S) == 4


def test_restarted_budget_can_borrow_and_use_its_successes():
    ledger = make_ledger(is_first_start=False)
    for _ in range(5):
        ledger.record_success(1.0)
    assert ledger.add_loan(1.0, 1.0, 1.1)
    assert spend_all(ledger, 1.2) == 2


def test_successes_allow_a_part_of_the_window_in_one_second():
    ledger = make_ledger(0.0)
    for _ in range(100):
        ledger.record_success(0.0)
    assert [spend_all(ledger, s) for s in (0.5, 0.6, 1.5, 9.9)] == [3, 0, 3, 3]
    assert spend_all(ledger, 10.0) == 0


def test_retries_paid_by_successes_that_are_over_count_against_the_share():
    ledger = make_ledger(2.0)
    for _ in range(50):
        ledger.record_success(0.0)
    spent = sum(ledger.try_spend(9.0) for _ in range(2))
    assert spent == 2
    assert ledger.read(10.5).own < 2.0


def test_retry_may_be_paid_by_parts():
    ledger = make_ledger(0.5)
    ledger.record_success(0.0)
    ledger.add_loan(0.3, 0.0, 0.1)
    assert ledger.try_spend(0.2)
    balance = ledger.read(0.2)
    assert (balance.own, balance.borrowed) == (0.0, 0.0)


def test_half_of_what_is_left_is_lent_to_one_asker():
    ledger = make_ledger()
    assert [ledger.lend(9.0, 0.0) for _ in range(3)] == [2.0, 1.0, 0.5]
    assert ledger.lend(0.25, 0.0) == 0.25


def test_deduction_outlasts_the_use_of_the_loan_by_a_window():
    ledger = make_ledger()
    ledger.lend(2.0, 0.0)
    assert ledger.read(DEDUCTED_S).own == 2.0
    assert ledger.read(DEDUCTED_S + 0.01).own == 4.0


def test_borrowed_retries_are_not_lent_on():
    ledger = make_ledger(0.0)
    ledger.add_loan(3.0, 0.0, 0.1)
    assert ledger.lend(1.0, 0.2) == 0.0


def test_instance_that_retries_keeps_its_share():
    ledger = make_ledger()
    ledger.try_spend(0.0)
    ledger.try_spend(0.0)
    assert ledger.lend(9.0, 0.5) == 0.0
    assert ledger.lend(9.0, 1.5) == 1.0


def test_validity_of_a_loan_counts_from_its_request():
    # An answer that took long, or that a paused instance reads late, must not
    # be spent after the lender's deduction has ended.
    ledger = make_ledger(0.0)
    sent_s = 1.0
    until_s = sent_s + ledgers.VALID_S
    assert not ledger.add_loan(1.0, sent_s, until_s)
    assert ledger.add_loan(1.0, sent_s, until_s - 0.5)
    assert not ledger.try_spend(until_s)


def test_reserve_is_kept():
    ledger = make_ledger()
    assert [ledger.try_spend(0.0, 2.0) for _ in range(3)] == [True, True, False]


@pytest.mark.parametrize("share", [4.0, 1.0])
def test_smaller_share_counts_at_once(share):
    ledger = make_ledger()
    ledger.try_spend(0.0)
    ledger.share = share
    assert ledger.read(0.1).own == share - 1.0
