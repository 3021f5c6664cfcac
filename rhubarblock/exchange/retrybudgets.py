"""Retry budgets of an instance by service, with loans of peers.

A peer is asked for a loan ahead of need once a budget runs low. An exchange
that finds its budget spent waits briefly for the answers.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from rhubarblock.core import exchange as exchanges
from rhubarblock.exchange.state import configlease
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.routing.retrylending import borrower as borrowers
from rhubarblock.routing.retrylending import ledger as ledgers
from rhubarblock.routing.retrylending import messages
from rhubarblock.routing.retrylending import peers as loanpeers
from rhubarblock.routing.retrylending import repeats
from rhubarblock.routing.retrylending import reserve as reserves
from rhubarblock.settings import exchange as settings_lib

# Fraction of the retries allowed to all instances that they divide among them.
# The remainder covers instances that count too few peers.
SLACK_FRACTION = 0.8
# Seconds for which an exchange waits for a loan: several round trips between
# data centres, and little against the objective of any route.
WAIT_S = 0.04
# Seconds for which a number of instances counts after it has fallen. Peers that
# a network partition separates are forgotten meanwhile, but use their shares.
COUNT_TTL_S = 3600.0


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Whether a retry was granted, with what the decision was based on.

    Attributes:
      granted: whether it may be made.
      balance: the budget at the decision.
      outlook: what the exchange could still meet.
      is_flooding: whether its workspace repeats its own requests too much.
      waited_s: seconds for which it waited for a loan.
    """

    granted: bool
    balance: ledgers.Balance
    outlook: reserves.Outlook
    is_flooding: bool
    waited_s: float


class _Budget:
    """Budget of one service, and the exchanges that wait for it."""

    __slots__ = ("changed", "ledger", "waiting")

    def __init__(self, ledger: ledgers.Ledger):
        self.ledger = ledger
        self.changed = asyncio.Event()
        self.waiting = 0


class RetryBudgets:
    """Retry budgets of one instance."""

    __slots__ = (
        "_borrower",
        "_bounds",
        "_budgets",
        "_count_instances",
        "_counted_s",
        "_instances",
        "_is_first_start",
        "_metrics",
        "_peers",
        "_read_clock",
        "_repeats",
        "_start_s",
    )

    def __init__(
        self,
        peers: loanpeers.LoanPeers,
        count_instances: Callable[[], int],
        bounds: settings_lib.ExchangeBounds,
        rng: random.Random,
        metrics: metric_store.Metrics,
        is_first_start: bool = False,
        read_clock: Callable[[], float] = configlease.read_boot_clock,
    ):
        """Starts with empty budgets.

        Args:
          peers: the other instances.
          count_instances: returns the number of instances that share the retry
            slack.
          bounds: limits of retries.
          rng: choice of peers.
          metrics: counts loans.
          is_first_start: whether this instance never ran before, so that its
            share can be used at once.
          read_clock: clock in seconds that also runs during a suspend.
        """
        self._peers = peers
        self._count_instances = count_instances
        self._bounds = bounds
        self._metrics = metrics
        self._is_first_start = is_first_start
        self._read_clock = read_clock
        self._start_s = read_clock()
        self._borrower = borrowers.Borrower(peers, rng, self._start_s)
        self._repeats = repeats.RepeatCounter(bounds.retry_window_s)
        self._budgets: dict[str, _Budget] = {}
        self._instances = 1
        self._counted_s = self._start_s

    def note_arrival(self, exchange: exchanges.Exchange) -> None:
        """Records a request of a caller."""
        self._repeats.note_arrival(
            exchange.service.name,
            exchange.workspace,
            exchange.digest,
            self._read_clock(),
        )

    async def count_instances(self) -> None:
        """Counts the instances; to be called regularly."""
        self._compute_share()

    def record_success(self, service: str) -> None:
        """Counts a request of a service that succeeded."""
        self._find(service).ledger.record_success(self._read_clock())

    def try_grant(
        self, exchange: exchanges.Exchange, outlook: reserves.Outlook
    ) -> Decision:
        """Grants a retry from what is there, and borrows ahead of need.

        Args:
          exchange: the exchange to retry.
          outlook: what it can still meet.
        """
        budget = self._find(exchange.service.name)
        return self._decide(budget, exchange, outlook, 0.0)

    async def grant(
        self, exchange: exchanges.Exchange, outlook: reserves.Outlook
    ) -> Decision:
        """Grants a retry, and waits for a loan if the budget is spent.

        Args:
          exchange: the exchange to retry.
          outlook: what it can still meet.
        """
        service = exchange.service.name
        budget = self._find(service)
        start_s = self._read_clock()
        budget.waiting += 1
        try:
            while True:
                waited_s = self._read_clock() - start_s
                decision = self._decide(budget, exchange, outlook, waited_s)
                if decision.granted or decision.is_flooding:
                    return decision
                if not await self._wait_for_answer(service, budget, waited_s):
                    return decision
        finally:
            budget.waiting -= 1

    def receive_request(self, peer: str, request: messages.LoanRequest) -> None:
        """Lends a part of the unspent share to a peer."""
        ledger = self._find(request.service).ledger
        ledger.share = self._compute_share()
        amount = ledger.lend(request.wanted, self._read_clock())
        name = "lent" if amount else "not_lent"
        self._metrics.count(f"retry_loans.{name}")
        self._peers.send_grant(peer, messages.LoanGrant(request.number, amount))

    def receive_grant(self, peer: str, grant: messages.LoanGrant) -> None:
        """Adds the loan of a peer unless it is late or a duplicate."""
        now_s = self._read_clock()
        loan = self._borrower.receive(peer, grant, now_s)
        if loan is not None:
            ledger = self._find(loan.service).ledger
            is_used = ledger.add_loan(loan.amount, loan.sent_s, now_s)
            name = "borrowed" if is_used else "discarded"
            self._metrics.count(f"retry_loans.{name}")
        elif grant.amount > 0.0:
            self._metrics.count("retry_loans.discarded")
        for budget in self._budgets.values():
            if budget.waiting:
                budget.changed.set()

    def _decide(
        self,
        budget: _Budget,
        exchange: exchanges.Exchange,
        outlook: reserves.Outlook,
        waited_s: float,
    ) -> Decision:
        now_s = self._read_clock()
        service = exchange.service.name
        budget.ledger.share = self._compute_share()
        balance = budget.ledger.read(now_s)
        is_flooding = self._repeats.is_flooding(
            service, exchange.workspace, now_s
        )
        reserve = reserves.compute_reserve(
            balance.allowed, outlook, is_flooding
        )
        granted = budget.ledger.try_spend(now_s, reserve)
        if not is_flooding:
            self._borrow(service, budget, granted, now_s)
        return Decision(granted, balance, outlook, is_flooding, waited_s)

    def _borrow(
        self, service: str, budget: _Budget, granted: bool, now_s: float
    ) -> None:
        """Asks peers for loans if the budget is spent or will be soon."""
        balance = budget.ledger.read(now_s)
        low = max(1.0, reserves.LOW_FRACTION * balance.allowed)
        if granted and balance.left >= low:
            return
        spent = budget.ledger.count_spent(now_s, ledgers.DEMAND_S)
        demand = spent + budget.waiting
        asked = self._borrower.ask(service, max(low, float(demand)), now_s)
        if asked:
            self._metrics.count("retry_loans.asked", asked)

    async def _wait_for_answer(
        self, service: str, budget: _Budget, waited_s: float
    ) -> bool:
        """Waits until a peer answers; returns False if none is going to."""
        left_s = WAIT_S - waited_s
        now_s = self._read_clock()
        if left_s <= 0.0 or not self._borrower.awaits_answer(
            service, now_s, WAIT_S
        ):
            return False
        budget.changed.clear()
        try:
            async with asyncio.timeout(left_s):
                await budget.changed.wait()
        except TimeoutError:
            return False
        return True

    def _find(self, service: str) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            ledger = ledgers.Ledger(
                self._bounds.retry_ratio,
                self._bounds.retry_window_s,
                self._start_s,
                self._is_first_start,
            )
            budget = self._budgets[service] = _Budget(ledger)
        return budget

    def _compute_share(self) -> float:
        """Returns the retries that this instance may always make."""
        now_s = self._read_clock()
        count = self._count_instances()
        if count >= self._instances or now_s - self._counted_s >= COUNT_TTL_S:
            self._instances = count
            self._counted_s = now_s
        slack = SLACK_FRACTION * self._bounds.retry_slack
        return slack / self._instances
