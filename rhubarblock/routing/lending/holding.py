"""What one instance owns, pledges and borrows of one resource of one entry."""

import math

from rhubarblock.routing.lending import lending_pb2

# Time in which a new pledge is reported, in seconds; else it ends unused.
UNREPORTED_S = 2.0


class Holding:
    """Amounts of one resource; times in seconds of the monotonic clock.

    Attributes:
      own: static share.
      loan: amount borrowed; the entry knows when it lapses.
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
        """Creates a holding of nothing.

        Args:
          lock_s: time from the receipt of a stamp until a pledge that was
            given with it is certainly unused.
        """
        self._lock_s = lock_s
        self._pledged = 0
        self._pledged_until_s = -math.inf
        self._locked = 0
        self._locked_until_s = -math.inf
        self.own = 0
        self.loan = 0

    @property
    def kept(self) -> int:
        """The part of its own share that the instance may use."""
        return max(0, self.own - self._pledged - self._locked)

    def free_lapsed(self, now_s: float) -> None:
        """Takes back what nobody can use any more."""
        if now_s >= self._pledged_until_s:
            self._pledged = 0
        if now_s >= self._locked_until_s:
            self._locked = 0

    def change_coordinator(self) -> None:
        """Forgets the loan and locks what the last coordinator may lend."""
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
          in_use: amount that is taken up whatever lapses.
          stamp_received_s: when the stamp came that is sent along.
        """
        if self._pledged:
            until_s = stamp_received_s + self._lock_s
            self._pledged_until_s = max(self._pledged_until_s, until_s)
        return lending_pb2.ResourceReport(
            own=self.own,
            pledged=self._pledged,
            locked=self._locked,
            loan=self.loan,
            held=max(0, in_use - self.kept),
            demand=demand,
        )

    def apply(
        self,
        grant: lending_pb2.ResourceGrant,
        in_use: int,
        received_s: float,
    ) -> int:
        """Puts the coordinator's answer in force.

        Args:
          grant: the answer.
          in_use: amount that is taken up and cannot be pledged.
          received_s: when the answer came.

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
        taken = min(grant.take, max(0, self.kept - in_use))
        if taken:
            self._pledged += taken
            until_s = received_s + UNREPORTED_S
            self._pledged_until_s = max(self._pledged_until_s, until_s)
        return taken + max(0, loan_before - self.loan)
