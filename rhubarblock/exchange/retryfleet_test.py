"""Retry budgets of a whole fleet under random faults, on a simulated clock.

Datagrams are lost, doubled and late; instances are cut off, paused and
restarted. In no window may the fleet spend more than the platform allows.
"""

import asyncio
import bisect
import dataclasses
import heapq
import random

import pytest

from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import retrybudgets
from rhubarblock.exchange.peering import retryupdates
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.retrylending import borrower as borrowers
from rhubarblock.routing.retrylending import ledger as ledgers
from rhubarblock.routing.retrylending import reserve as reserves
from rhubarblock.settings import exchange as settings_lib

RATIO = 0.2
WINDOW_S = 10.0
# So little that a busy fleet spends all of it.
SLACK_PER_INSTANCE = 3
CENTRES = 3
# An exchange that was denied a retry tries once more after this time.
AGAIN_S = 0.04
RUN_S = 90.0
# Bytes of the IP and UDP headers of a datagram.
HEADER_BYTES = 28


class Updates:
    """Carries the datagrams of one instance over the simulated network."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.listeners = {}

    def listen(self, code, listener):
        self.listeners[code] = listener

    def send_to(self, address, fields):
        self.fleet.send(self.number, address[1], fields)


class Peers(retryupdates.DatagramLoanPeers):
    def list_names(self, near):
        own = self._updates.number
        return [
            f"h:{number}"
            for number in range(len(self._updates.fleet.instances))
            if number != own and (number % CENTRES == own % CENTRES) is near
        ]


class Instance:
    def __init__(self, fleet, number, is_first_start=False):
        self.fleet = fleet
        self.number = number
        self.paused_until_s = 0.0
        self.started_s = fleet.now_s
        self.updates = Updates(fleet, number)
        self.budgets = retrybudgets.RetryBudgets(
            Peers(self.updates, None, "", None),
            self.count_instances,
            fleet.bounds,
            fleet.rng,
            fleet.metrics,
            is_first_start,
            lambda: fleet.now_s,
        )
        retryupdates.connect(self.updates, self.budgets)
        asyncio.run(self.budgets.count_instances())

    def count_instances(self):
        """Returns what the peer table counts: it forgets peers in a cut."""
        fleet = self.fleet
        if fleet.now_s - self.started_s < 1.0:
            return len(fleet.instances)
        return sum(
            not fleet.is_cut(self.number, number)
            for number in range(len(fleet.instances))
        )


@dataclasses.dataclass
class Spent:
    at_s: float
    slack: float


class Fleet:
    def __init__(self, size, seed, faults=True):
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.bounds = settings_lib.ExchangeBounds(
            retry_ratio=RATIO,
            retry_slack=SLACK_PER_INSTANCE * size,
            retry_window_s=WINDOW_S,
        )
        self.metrics = metric_store.Metrics()
        self.events = []
        self.numbers = 0
        self.loss = self.rng.choice((0.0, 0.05)) if faults else 0.0
        self.doubled = self.rng.choice((0.0, 0.1, 1.0)) if faults else 0.0
        self.late = self.rng.choice((0.0, 0.1, 0.5)) if faults else 0.0
        self.fault_s = self.rng.choice((5.0, 30.0, 1e9))
        self.cut = set()
        self.spent = []
        self.requests = []
        # Bytes that each instance sent or received, with packet headers.
        self.traffic = [0] * size
        self.services = 1
        self.instances = [None] * size
        self.instances = [Instance(self, n, True) for n in range(size)]
        self.failing = 0.0
        self.rates = [1.0] * size
        for number in range(size):
            self.after(self.rng.random(), lambda n=number: self.request(n))
        if faults:
            self.change_phase()
            self.after(1.0, self.make_fault)

    def is_cut(self, first, second):
        return (first in self.cut) != (second in self.cut)

    def after(self, delay_s, action):
        self.numbers += 1
        heapq.heappush(
            self.events, (self.now_s + delay_s, self.numbers, action)
        )

    def run(self, length_s):
        end_s = self.now_s + length_s
        while self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s

    def run_on(self, number, action):
        """Runs an action of an instance once that is not paused."""
        left_s = self.instances[number].paused_until_s - self.now_s
        if left_s > 0.0:
            self.after(left_s, lambda: self.run_on(number, action))
            return
        action()

    def change_phase(self):
        """Draws who is busy and how many requests fail."""
        rng = self.rng
        self.failing = rng.choice((0.02, 0.3, 0.9))
        busy = rng.choice((0.05, 0.3, 1.0, 1.0))
        self.rates = [
            rng.choice((2.0, 8.0)) if rng.random() < busy else 0.1
            for _ in self.rates
        ]
        self.after(rng.uniform(2.0, 15.0), self.change_phase)

    def make_fault(self):
        rng = self.rng
        number = rng.randrange(len(self.instances))
        kind = rng.choice(("cut", "pause", "restart"))
        if kind == "cut" and not self.cut:
            size = len(self.instances)
            self.cut = set(rng.sample(range(size), rng.randint(1, size - 1)))
            self.after(rng.uniform(0.5, 20.0), self.cut.clear)
        elif kind == "pause":
            until_s = self.now_s + rng.uniform(0.5, 15.0)
            self.instances[number].paused_until_s = until_s
        elif kind == "restart":
            self.instances[number] = Instance(self, number)
        self.after(rng.expovariate(1.0 / self.fault_s), self.make_fault)

    def send(self, sender, receiver, fields):
        length = len(peer_updates._encode(fields)) + HEADER_BYTES
        self.traffic[sender] += length
        self.traffic[receiver] += length
        rng = self.rng
        copies = 0 if rng.random() < self.loss else 1
        if rng.random() < self.doubled:
            copies = 2
        if self.is_cut(sender, receiver):
            copies = 0
        for _ in range(copies):
            delay_s = rng.uniform(0.0003, 0.02)
            if rng.random() < self.late:
                delay_s = rng.uniform(1.0, 12.0)
            self.after(
                delay_s,
                lambda: self.run_on(
                    receiver, lambda: self.deliver(sender, receiver, fields)
                ),
            )

    def deliver(self, sender, receiver, fields):
        listener = self.instances[receiver].updates.listeners[fields[0]]
        listener(fields[1:], ("h", sender))

    def request(self, number):
        self.after(
            self.rng.expovariate(self.rates[number]),
            lambda: self.request(number),
        )
        instance = self.instances[number]
        if instance.paused_until_s > self.now_s:
            return
        self.requests.append(self.now_s)
        if self.rng.random() >= self.failing:
            instance.budgets.record_success(EXCHANGES[0].service.name)
        elif not self.retry(number):
            self.after(
                AGAIN_S,
                lambda: self.run_on(number, lambda: self.retry(number)),
            )

    def retry(self, number):
        decision = self.instances[number].budgets.try_grant(
            EXCHANGES[self.rng.randrange(self.services)],
            reserves.Outlook.OBJECTIVE,
        )
        if decision.granted:
            slack = 1.0 - min(1.0, decision.balance.burst)
            self.spent.append(Spent(self.now_s, slack))
        return decision.granted

    def find_excess(self):
        """Returns by how much a window exceeds a bound at most, in retries.

        The first bound is that of the slack alone, which instances divide; the
        second one that of the platform. Windows begin or end with a retry.
        """
        slack = total = float("-inf")
        shares = retrybudgets.SLACK_FRACTION * self.bounds.retry_slack
        times = [spent.at_s for spent in self.spent]
        starts = [at_s - WINDOW_S for at_s in times] + times
        for start_s in starts:
            end_s = start_s + WINDOW_S
            window = self.spent[
                bisect.bisect_left(times, start_s) : bisect.bisect_right(
                    times, end_s
                )
            ]
            slack = max(slack, sum(x.slack for x in window) - shares)
            since = bisect.bisect_left(self.requests, start_s)
            requests = bisect.bisect_right(self.requests, end_s) - since
            allowed = self.bounds.retry_slack + RATIO * requests
            total = max(total, len(window) - allowed)
        return slack, total


@dataclasses.dataclass
class _Exchange:
    service: object
    workspace: str = "members"
    digest: str = ""


EXCHANGES = [
    _Exchange(dataclasses.replace(fakes.SERVICE, name=f"engine-pool-{number}"))
    for number in range(30)
]


def play(size, seed):
    fleet = Fleet(size, seed)
    fleet.run(RUN_S)
    return fleet.find_excess()


@pytest.mark.parametrize("seed", range(12))
def test_small_fleet_never_exceeds_the_bound(seed):
    slack, total = play(7, seed)
    assert slack <= 1e-6
    assert total <= 0.0


@pytest.mark.parametrize("seed", range(3))
def test_large_fleet_never_exceeds_the_bound(seed):
    slack, total = play(82, seed)
    assert slack <= 1e-6
    assert total <= 0.0


def run_low(size, services, length_s):
    """Returns a fleet in which each instance wants more than its budget."""
    fleet = Fleet(size, 1, faults=False)
    fleet.services = services
    fleet.failing = 0.95
    fleet.rates = [6.0] * size
    fleet.run(length_s)
    return fleet


@pytest.mark.parametrize("services", [1, 22])
def test_traffic_is_bounded_while_all_instances_run_low(services):
    length_s = 10.0
    fleet = run_low(300, services, length_s)
    assert max(fleet.traffic) < 2_000 * length_s


def test_one_busy_instance_gets_much_more_than_its_share():
    fleet = Fleet(82, 1, faults=False)
    fleet.failing = 1.0
    fleet.rates = [0.01] * 82
    fleet.rates[0] = 30.0
    fleet.run(20.0)
    share = retrybudgets.SLACK_FRACTION * SLACK_PER_INSTANCE
    assert len(fleet.spent) > 20.0 * share


def lend_without_deduction(monkeypatch):
    lend = ledgers.Ledger.lend

    def mutated(self, wanted, now_s):
        amount = lend(self, wanted, now_s)
        if amount:
            self._lent_total -= self._lent.pop()[1]
        return amount

    monkeypatch.setattr(ledgers.Ledger, "lend", mutated)


def use_doubled_loans(monkeypatch):
    receive = borrowers.Borrower.receive

    def mutated(self, peer, grant, now_s):
        loan = receive(self, peer, grant, now_s)
        if loan is not None:
            self._rounds[grant.number].unanswered.add(peer)
        return loan

    monkeypatch.setattr(borrowers.Borrower, "receive", mutated)


def restart_with_a_full_share(monkeypatch):
    start = ledgers.Ledger.__init__

    def mutated(self, ratio, window_s, start_s, is_first_start=False):
        start(self, ratio, window_s, start_s, True)

    monkeypatch.setattr(ledgers.Ledger, "__init__", mutated)


def forget_peers_in_a_cut(monkeypatch):
    monkeypatch.setattr(retrybudgets, "COUNT_TTL_S", 0.0)


@pytest.mark.parametrize(
    "mutate",
    [
        lend_without_deduction,
        use_doubled_loans,
        restart_with_a_full_share,
        forget_peers_in_a_cut,
    ],
)
def test_mutation_is_detected(mutate, monkeypatch):
    mutate(monkeypatch)
    found = [play(7, seed)[0] > 1e-6 for seed in range(12)]
    assert any(found)
