"""What one instance owns, pledges and borrows of one resource of one entry."""

import math

from rhubarblock.routing.lending import lending_pb2

# Seconds within which a new pledge has to be reported; otherwise it ends
# unused.
UNREPORTED_S = 2.0


class Holding:
    """Amounts of one resource; times in monotonic seconds.

    Attributes:
      own: static share.
      loan: borrowed amount; the entry knows when it expires.
    """

    __slots__ = (
        "_lock_s",
        "_locked",
        "_locked_until_s",
        "_pledged",
        "_pledged_until_s",
        "loan",
        "own",
    )

    def __init__(self, lock_s: float):
        """Creates an empty holding.

        Args:
          lock_s: time from the receipt of a stamp until a pledge that was made
            with it is certainly unused.
        """
        self._lock_s = lock_s
        self._pledged = 0
        self._pledged_until_s = -math.inf
        self._locked = 0
        self._locked_until_s = -math.inf
        self.own = 0
        self.loan = 0

    @property
    def usable(self) -> int:
        """The part of the static share that the instance may use."""
        return max(0, self.own - self._pledged - self._locked)

    def free_expired(self, now_s: float) -> None:
        """Takes back pledged and locked amounts that have expired."""
        if now_s >= self._pledged_until_s:
            self._pledged = 0
        if now_s >= self._locked_until_s:
            self._locked = 0

    def change_coordinator(self) -> None:
        """Drops the loan and locks what the last coordinator may still lend."""
        self.loan = 0
        self._locked += self._pledged
        self._locked_until_s = max(self._locked_until_s, self._pledged_until_s)
        self._pledged = 0
        self._pledged_until_s = -math.inf

    def report(
        self, demand: int, in_use: int, stamp_received_s: float
    ) -> lending_pb2.ResourceReport:
        """Builds the report to the coordinator, which renews the pledge.

        Args:
          demand: what the instance could use.
          in_use: amount that stays in use even if a loan expires.
          stamp_received_s: when the stamp in the report was received.
        """
        if self._pledged:
            until_s = stamp_received_s + self._lock_s
            self._pledged_until_s = max(self._pledged_until_s, until_s)
        return lending_pb2.ResourceReport(
            own=self.own,
            pledged=self._pledged,
            locked=self._locked,
            loan=self.loan,
            held=max(0, in_use - self.usable),
            demand=demand,
        )

    def apply(
        self,
        grant: lending_pb2.ResourceGrant,
        in_use: int,
        received_s: float,
    ) -> int:
        """Applies the coordinator's answer.

        Args:
          grant: the answer.
          in_use: amount that is in use and cannot be pledged.
          received_s: when the answer was received.

        Returns:
          The amount that others can have after the next report.
        """
        loan_before = self.loan
        if grant.adopt:
            self._pledged += self._locked
            self._pledged_until_s = max(
                self._pledged_until_s, self._locked_until_s
            )
            self._locked = 0
        self._pledged = max(0, self._pledged - grant.release)
        self.loan = grant.loan
        taken = min(grant.take, max(0, self.usable - in_use))
        if taken:
            self._pledged += taken
            until_s = received_s + UNREPORTED_S
            self._pledged_until_s = max(self._pledged_until_s, until_s)
        return taken + max(0, loan_before - self.loan)
