"""The retry budget of one service at one instance.

A retry is paid from three sources: a fraction of the successes in the window,
loans of peers, and the instance's own share of the slack. Only the own share is
lent. A loan may be spent for a limited time from when it was requested, and the
lender deducts it for the window and that time from when it lent. So each unit
of the slack is spent at most once in any window, whatever messages are lost,
and no instance needs to know what the others do.

All times are seconds of a clock that also runs while the machine is suspended.
"""

import collections
import dataclasses
import math

# Seconds from the sending of a request for which a loan may be spent: several
# times the delay of a datagram, so that a loan requested ahead of need is of
# use, and short against the window, as an unspent loan is lost.
VALID_S = 3.0
# Seconds by which a deduction outlasts the latest use of a loan, to allow for
# clock drift and for the time between a check and the send that it permits.
MARGIN_S = 0.25
# Largest part of its unspent share that an instance lends at once. Without it,
# the first peer that asks would leave nothing for the instance and the others.
MAX_LENT_FRACTION = 0.5
# Seconds over which retries are counted to predict the need of the next ones.
DEMAND_S = 1.0
# Smallest loan in retries; less would not be worth a datagram.
MIN_LOAN = 0.05
# Largest part of the retries that the successes of a window allow and that may
# be spent in one second. Without it, the budget saved up by many successes
# would be spent in one burst.
MAX_BURST_FRACTION = 0.15
BURST_S = 1.0
# Length of the intervals in which successes are counted, in seconds.
SLOT_S = 1.0
# Loans are rounded down to a multiple of 1 / LOAN_UNITS retries.
LOAN_UNITS = 1000
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Slot:
    start_s: float
    successes: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class _Expense:
    at_s: float
    credit: float
    own: float


@dataclasses.dataclass(slots=True)
class _HeldLoan:
    until_s: float
    left: float


@dataclasses.dataclass(slots=True, frozen=True)
class Balance:
    """The state of a budget at one time, in retries.

    Attributes:
      share: the own share; 0 until the window after the start has passed.
      own: what is left of the share.
      lent: what peers may spend of the share.
      borrowed: loans that are not spent yet.
      credit: retries that successes allow and that are not spent yet.
      burst: the part of this credit that may be spent at once.
      allowed: retries allowed in the window, spent ones included.
      successes: number of successes in the window.
      age_s: seconds since the start of the budget.
    """

    share: float
    own: float
    lent: float
    borrowed: float
    credit: float
    burst: float
    allowed: float
    successes: int
    age_s: float

    @property
    def left(self) -> float:
        """Retries that are not spent yet."""
        return self.own + self.borrowed + self.credit

    @property
    def usable(self) -> float:
        """Retries that can be made at once."""
        return self.own + self.borrowed + self.burst


class Ledger:
    """Share, loans and expenses of one service at one instance.

    Attributes:
      share: the instance's share of the slack, in retries.
    """

    __slots__ = (
        "_credit_spent",
        "_expenses",
        "_filled_s",
        "_lent",
        "_lent_total",
        "_loans",
        "_own_spent",
        "_ratio",
        "_slots",
        "_start_s",
        "_successes",
        "_window_s",
        "share",
    )

    def __init__(
        self,
        ratio: float,
        window_s: float,
        start_s: float,
        is_first_start: bool = False,
    ):
        """Creates an empty budget.

        The share can be used once no expense and no loan of an earlier start of
        this instance counts any more.

        Args:
          ratio: retries allowed for each success in the window.
          window_s: length of the window in seconds.
          start_s: when the instance started.
          is_first_start: whether it never ran before.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._start_s = start_s
        empty_s = window_s + VALID_S + MARGIN_S
        self._filled_s = start_s + (0.0 if is_first_start else empty_s)
        self.share = 0.0
        self._slots: collections.deque[_Slot] = collections.deque()
        self._expenses: collections.deque[_Expense] = collections.deque()
        # Deducted loans, each with the end of its deduction.
        self._lent: collections.deque[tuple[float, float]] = collections.deque()
        self._loans: list[_HeldLoan] = []
        # Totals over these collections.
        self._successes = 0
        self._credit_spent = 0.0
        self._own_spent = 0.0
        self._lent_total = 0.0

    def record_success(self, now_s: float) -> None:
        """Counts a request that succeeded."""
        if not self._slots or now_s - self._slots[-1].start_s >= SLOT_S:
            self._slots.append(_Slot(now_s))
        self._slots[-1].successes += 1
        self._successes += 1

    def read(self, now_s: float) -> Balance:
        """Returns the balance."""
        self._expire(now_s)
        share = self.share if now_s >= self._filled_s else 0.0
        earned = self._ratio * self._successes
        # Retries that were paid by successes which have left the window count
        # against the share.
        overdrawn = max(0.0, self._credit_spent - earned)
        used = self._own_spent + self._lent_total + overdrawn
        own = max(0.0, share - used)
        borrowed = sum(loan.left for loan in self._loans)
        credit = max(0.0, earned - self._credit_spent)
        return Balance(
            share,
            own,
            self._lent_total,
            borrowed,
            credit,
            min(credit, self._find_burst(earned, now_s)),
            max(0.0, share - self._lent_total) + borrowed + earned,
            self._successes,
            now_s - self._start_s,
        )

    def try_spend(self, now_s: float, reserve: float = 0.0) -> bool:
        """Spends one retry unless less than a reserve would be left."""
        balance = self.read(now_s)
        if balance.usable + _ROUNDING < 1.0:
            return False
        if balance.left + _ROUNDING < 1.0 + reserve:
            return False
        credit = min(1.0, balance.burst)
        rest = self._spend_loans(1.0 - credit)
        own = min(rest, balance.own)
        self._expenses.append(_Expense(now_s, credit, own))
        self._credit_spent += credit
        self._own_spent += own
        return True

    def count_spent(self, now_s: float, within_s: float) -> int:
        """Returns the number of retries made in the last seconds."""
        count = 0
        for expense in reversed(self._expenses):
            if now_s - expense.at_s > within_s:
                break
            count += 1
        return count

    def lend(self, wanted: float, now_s: float) -> float:
        """Deducts a loan from the own share.

        Args:
          wanted: retries that a peer asks for.
          now_s: current time.

        Returns:
          The retries that it may spend, at most half of what is left here. An
          instance that retries itself keeps what it is about to need.
        """
        own = self.read(now_s).own
        needed = self.count_spent(now_s, DEMAND_S)
        most = min(MAX_LENT_FRACTION * own, own - needed)
        amount = math.floor(min(wanted, most) * LOAN_UNITS) / LOAN_UNITS
        if amount < MIN_LOAN:
            return 0.0
        until_s = now_s + self._window_s + VALID_S + MARGIN_S
        self._lent.append((until_s, amount))
        self._lent_total += amount
        return amount

    def add_loan(self, amount: float, sent_s: float, now_s: float) -> bool:
        """Adds a loan; returns False if it is too late to be used.

        Args:
          amount: retries that were lent.
          sent_s: when its request was sent.
          now_s: current time.
        """
        until_s = sent_s + VALID_S
        if now_s >= until_s:
            return False
        self._loans.append(_HeldLoan(until_s, amount))
        self._loans.sort(key=lambda loan: loan.until_s)
        return True

    def _find_burst(self, earned: float, now_s: float) -> float:
        """Returns the retries that successes may still pay in this second."""
        recent = 0.0
        for expense in reversed(self._expenses):
            if now_s - expense.at_s >= BURST_S:
                break
            recent += expense.credit
        return max(0.0, max(1.0, MAX_BURST_FRACTION * earned) - recent)

    def _spend_loans(self, amount: float) -> float:
        """Spends loans, those that end first; returns what they lack."""
        for loan in self._loans:
            part = min(amount, loan.left)
            loan.left -= part
            amount -= part
        return amount

    def _expire(self, now_s: float) -> None:
        """Drops what has left the window, and loans that have ended."""
        while self._slots and now_s - self._slots[0].start_s >= self._window_s:
            self._successes -= self._slots.popleft().successes
        while (
            self._expenses and now_s - self._expenses[0].at_s > self._window_s
        ):
            expense = self._expenses.popleft()
            self._credit_spent -= expense.credit
            self._own_spent -= expense.own
        if not self._expenses:
            # Rounding errors must not add up.
            self._credit_spent = self._own_spent = 0.0
        while self._lent and now_s > self._lent[0][0]:
            self._lent_total -= self._lent.popleft()[1]
        if not self._lent:
            self._lent_total = 0.0
        self._loans = [
            loan
            for loan in self._loans
            if now_s < loan.until_s and loan.left > 0.0
        ]
