"""Tests of how an exchange gets a retry, with loans of peers."""

import asyncio
import dataclasses
import random

import pytest

from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import retrybudgets
from rhubarblock.exchange.peering import retryupdates
from rhubarblock.exchange.peering import updates_test
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.retrylending import ledger as ledgers
from rhubarblock.routing.retrylending import messages
from rhubarblock.routing.retrylending import peers as loanpeers
from rhubarblock.routing.retrylending import reserve as reserves

OBJECTIVE = reserves.Outlook.OBJECTIVE
BOUNDS = dataclasses.replace(fakes.BOUNDS, retry_slack=10)
# Own share of each of two instances.
SHARE = 4


class Clock:
    """A clock that also runs while the machine is suspended."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class Peers(loanpeers.LoanPeers):
    """Two peers that answer as told, or not at all."""

    def __init__(self, amount=None, delay_s=0.001):
        self.amount = amount
        self.delay_s = delay_s
        self.budgets = None
        self.requests = []
        self.grants = []

    def list_names(self, near):
        return ["p1", "p2"] if near else []

    def send_request(self, peer, request):
        self.requests.append((peer, request))
        if self.amount is None:
            return
        grant = messages.LoanGrant(request.number, self.amount)
        asyncio.get_running_loop().call_later(
            self.delay_s, lambda: self.budgets.receive_grant(peer, grant)
        )

    def send_grant(self, peer, grant):
        self.grants.append(grant)


def make_budgets(peers, bounds=BOUNDS, **options):
    metrics = metric_store.Metrics()
    budgets = retrybudgets.RetryBudgets(
        peers,
        lambda: 2,
        bounds,
        random.Random(1),
        metrics,
        is_first_start=True,
        **options,
    )
    peers.budgets = budgets
    return budgets


def spend_all(budgets, exchange):
    count = 0
    while budgets.try_grant(exchange, OBJECTIVE).granted:
        count += 1
    return count


def ask_when_spent(peers):
    """Returns the decision on a retry once the own share is spent."""

    async def main():
        budgets = make_budgets(peers)
        exchange = fakes.make_exchange()
        amount, peers.amount = peers.amount, 0.0
        assert spend_all(budgets, exchange) == SHARE
        await asyncio.sleep(0.25)
        peers.amount = amount
        return await budgets.grant(exchange, OBJECTIVE)

    return asyncio.run(main())


def test_exchange_waits_for_a_loan():
    assert ask_when_spent(Peers(0.5)).granted


def test_exchange_is_denied_once_all_peers_have_nothing_to_lend():
    decision = ask_when_spent(Peers(0.0))
    assert not decision.granted
    assert decision.waited_s < retrybudgets.WAIT_S


@pytest.mark.parametrize("peers", [Peers(None), Peers(5.0, 0.3)])
def test_exchange_does_not_wait_long_for_silent_peers(peers):
    decision = ask_when_spent(peers)
    assert not decision.granted
    assert decision.waited_s < 5.0 * retrybudgets.WAIT_S


def test_loan_is_requested_ahead_of_need():
    async def main():
        peers = Peers()
        budgets = make_budgets(peers)
        exchange = fakes.make_exchange()
        for _ in range(SHARE):
            assert not peers.requests
            assert budgets.try_grant(exchange, OBJECTIVE).granted
        return peers.requests

    assert len(asyncio.run(main())) == 2


def test_paused_instance_does_not_use_an_old_loan():
    async def main():
        peers = Peers()
        clock = Clock()
        budgets = make_budgets(peers, read_clock=clock)
        exchange = fakes.make_exchange()
        spend_all(budgets, exchange)
        (first, request), (second, _) = peers.requests
        grant = messages.LoanGrant(request.number, 3.0)
        budgets.receive_grant(first, grant)
        held = budgets.try_grant(exchange, OBJECTIVE).granted
        # The second answer waits in the socket during the pause.
        clock.now_s += ledgers.VALID_S
        budgets.receive_grant(second, grant)
        return held, budgets.try_grant(exchange, OBJECTIVE)

    held, decision = asyncio.run(main())
    assert held
    assert not decision.granted
    assert decision.balance.borrowed == 0.0


def test_share_does_not_grow_when_peers_are_forgotten():
    # In a network partition both halves would otherwise have the whole slack.
    async def main():
        clock = Clock()
        peers = Peers()
        counts = [2]
        budgets = retrybudgets.RetryBudgets(
            peers,
            lambda: counts[0],
            BOUNDS,
            random.Random(1),
            metric_store.Metrics(),
            True,
            clock,
        )
        await budgets.count_instances()
        counts[0] = 1
        clock.now_s += 600.0
        return spend_all(budgets, fakes.make_exchange())

    assert asyncio.run(main()) == SHARE


def test_low_budget_is_kept_for_exchanges_that_can_meet_their_objective():
    async def main():
        bounds = dataclasses.replace(BOUNDS, retry_slack=40)
        budgets = make_budgets(Peers(), bounds=bounds)
        exchange = fakes.make_exchange()
        granted = []
        for outlook in (
            reserves.Outlook.NOTHING,
            reserves.Outlook.DEADLINE,
            OBJECTIVE,
        ):
            count = 0
            while budgets.try_grant(exchange, outlook).granted:
                count += 1
            granted.append(count)
        return granted

    # A share of 16: a quarter is kept, and an eighth of it longer.
    assert asyncio.run(main()) == [12, 2, 2]


def test_budget_that_only_a_burst_has_used_up_is_not_low():
    async def main():
        peers = Peers()
        budgets = make_budgets(peers)
        for _ in range(500):
            budgets.record_success("desk")
        decision = budgets.try_grant(
            fakes.make_exchange(), reserves.Outlook.NOTHING
        )
        return decision.granted, peers.requests

    assert asyncio.run(main()) == (True, [])


def test_low_budget_is_not_spent_on_a_workspace_that_floods():
    async def main():
        budgets = make_budgets(Peers())
        for number in range(40):
            budgets.note_arrival(fakes.make_exchange(digest="same"))
            other = fakes.make_exchange(workspace="b", digest=f"b{number}")
            budgets.note_arrival(other)
        flooding = spend_all(budgets, fakes.make_exchange())
        return flooding, spend_all(budgets, other)

    assert asyncio.run(main()) == (SHARE - 1, 1)


class Node(updates_test.Node):
    """An instance that lends over real datagrams."""

    def __init__(self, name, data_centre="osu"):
        super().__init__(name, data_centre)
        timers = timer_service.LoopTimers()
        self.metrics = metric_store.Metrics()
        self.budgets = retrybudgets.RetryBudgets(
            retryupdates.DatagramLoanPeers(
                self.updates, self.peers, data_centre, timers
            ),
            lambda: 2,
            BOUNDS,
            random.Random(1),
            self.metrics,
            is_first_start=True,
        )
        retryupdates.connect(self.updates, self.budgets)


def run_nodes(step):
    async def main():
        first, second = Node("i1"), Node("i2")
        async with (
            first.updates.open("127.0.0.1", 0),
            second.updates.open("127.0.0.1", 0),
        ):
            first.peers.add(*second.address, "i2", "osu")
            second.peers.add(*first.address, "i1", "osu")
            return await step(first, second)

    return asyncio.run(main())


def test_retries_are_lent_over_datagrams():
    async def step(first, second):
        exchange = fakes.make_exchange()
        granted = 0
        while (await first.budgets.grant(exchange, OBJECTIVE)).granted:
            granted += 1
        return granted, spend_all(second.budgets, exchange)

    borrowing, lending = run_nodes(step)
    assert borrowing > SHARE
    assert borrowing + lending <= 2 * SHARE


def test_malformed_loan_datagrams_are_ignored():
    async def step(first, second):
        for fields in (
            [],
            [1, 1, 1],
            ["", 1, 1],
            ["desk", "x", 1.0],
            ["desk", 1, float("nan")],
            ["desk", 1, -4.0],
            [None, None, None],
        ):
            first.updates.send_to(second.address, ["rq", *fields])
            first.updates.send_to(second.address, ["rg", *fields])
        exchange = fakes.make_exchange()
        decision = await second.budgets.grant(exchange, OBJECTIVE)
        assert decision.granted
        return spend_all(second.budgets, exchange)

    assert run_nodes(step) == SHARE - 1


def test_instance_of_an_earlier_version_ignores_requests():
    async def step(first, second):
        second.updates._listeners.clear()
        exchange = fakes.make_exchange()
        spend_all(first.budgets, exchange)
        return await first.budgets.grant(exchange, OBJECTIVE)

    assert not run_nodes(step).granted
