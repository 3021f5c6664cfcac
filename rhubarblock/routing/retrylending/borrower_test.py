"""Tests of whom an instance asks for loans, and how often."""

import random

from rhubarblock.routing.retrylending import borrower as borrowers
from rhubarblock.routing.retrylending import ledger as ledgers
from rhubarblock.routing.retrylending import messages
from rhubarblock.routing.retrylending import peers as loanpeers


class Peers(loanpeers.LoanPeers):
    def __init__(self, near=6, far=6):
        self.near = [f"n{number}" for number in range(near)]
        self.far = [f"f{number}" for number in range(far)]
        self.requests = []

    def list_names(self, near):
        return list(self.near if near else self.far)

    def send_request(self, peer, request):
        self.requests.append((peer, request))

    def send_grant(self, peer, grant):
        raise AssertionError


def make_borrower(seed=1, **sizes):
    peers = Peers(**sizes)
    return peers, borrowers.Borrower(peers, random.Random(seed), 0.0)


def ask_and_lend(peers, borrower, now_s):
    """Asks, and answers with a loan so that the next request is not delayed."""
    borrower.ask("desk", 1.0, now_s)
    peer, request = peers.requests[-1]
    grant = messages.LoanGrant(request.number, 0.5)
    return peer, grant, borrower.receive(peer, grant, now_s + 0.01)


def test_own_data_centre_is_asked_first_and_each_peer_once_in_a_pass():
    peers, borrower = make_borrower()
    for round_number in range(3):
        ask_and_lend(peers, borrower, 5.0 * round_number)
    names = [peer for peer, _ in peers.requests]
    assert set(names[:6]) == set(peers.near)
    assert set(names) == {*peers.near, *peers.far}
    assert len(names) == 12


def test_instances_ask_in_different_orders():
    orders = set()
    for seed in range(5):
        peers, borrower = make_borrower(seed)
        borrower.ask("desk", 1.0, 0.0)
        orders.add(tuple(peer for peer, _ in peers.requests))
    assert len(orders) > 1


def test_after_a_pause_the_own_data_centre_is_asked_again():
    peers, borrower = make_borrower()
    ask_and_lend(peers, borrower, 0.0)
    ask_and_lend(peers, borrower, 5.0)
    ask_and_lend(peers, borrower, 5.0 + borrowers.PASS_TTL_S)
    assert {peer for peer, _ in peers.requests[8:]} <= set(peers.near)


def test_doubled_answer_is_used_once():
    peers, borrower = make_borrower()
    peer, grant, loan = ask_and_lend(peers, borrower, 0.0)
    assert loan == messages.Loan("desk", 0.5, 0.0)
    assert borrower.receive(peer, grant, 0.02) is None


def test_answer_of_a_peer_that_was_not_asked_is_ignored():
    peers, borrower = make_borrower()
    borrower.ask("desk", 1.0, 0.0)
    number = peers.requests[0][1].number
    assert borrower.receive("x", messages.LoanGrant(number, 1.0), 0.1) is None


def test_late_answer_is_ignored():
    peers, borrower = make_borrower()
    borrower.ask("desk", 1.0, 0.0)
    peer, request = peers.requests[0]
    grant = messages.LoanGrant(request.number, 1.0)
    assert borrower.receive(peer, grant, ledgers.VALID_S) is None


def test_answer_to_an_earlier_start_is_ignored():
    peers, borrower = make_borrower(1)
    borrower.ask("desk", 1.0, 0.0)
    old = peers.requests[0][1].number
    peers, borrower = make_borrower(2)
    borrower.ask("desk", 1.0, 0.5)
    for peer, _ in peers.requests:
        grant = messages.LoanGrant(old, 1.0)
        assert borrower.receive(peer, grant, 0.6) is None


def test_rounds_without_a_loan_become_rare():
    _, borrower = make_borrower()
    asked = [
        step for step in range(1000) if borrower.ask("desk", 1.0, step / 50.0)
    ]
    gaps = [
        after - before for before, after in zip(asked, asked[1:], strict=False)
    ]
    assert gaps[0] < 20
    assert gaps[-1] >= 50 * borrowers.MAX_BACKOFF_S


def test_rounds_are_limited_over_all_services():
    _, borrower = make_borrower()
    asked = sum(
        bool(borrower.ask(f"s{number}", 1.0, step / 10.0))
        for step in range(200)
        for number in range(30)
    )
    assert asked <= borrowers.MAX_ROUNDS + 20.0 * borrowers.ROUNDS_PER_S


def test_without_peers_nothing_is_asked_or_awaited():
    _, borrower = make_borrower(near=0, far=0)
    assert not borrower.ask("desk", 1.0, 0.0)
    assert not borrower.awaits_answer("desk", 0.0, 1.0)


def test_answer_is_awaited_until_all_peers_have_answered():
    peers, borrower = make_borrower(near=2, far=0)
    borrower.ask("desk", 1.0, 0.0)
    assert borrower.awaits_answer("desk", 0.01, 0.04)
    assert not borrower.awaits_answer("desk", 0.05, 0.04)
    for peer, request in peers.requests:
        borrower.receive(peer, messages.LoanGrant(request.number, 0.0), 0.01)
    assert not borrower.awaits_answer("desk", 0.01, 0.04)
