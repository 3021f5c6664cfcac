"""A coordinator's record of one resource of one entry: pledges and loans.

Only pledged amounts are lent, a loan expires before the pledges behind it do,
and a loan counts in full until its borrower has reported a smaller one or until
it has expired. So the sum of all shares cannot exceed the limit, whatever other
coordinators assume.
"""

import dataclasses

from rhubarblock.routing import limitshare
from rhubarblock.routing.lending import lending_pb2
from rhubarblock.routing.lending import targets as lendingtargets

# Seconds for which computed targets are reused.
_TARGETS_TTL_S = 0.2


@dataclasses.dataclass(slots=True)
class _Participant:
    """The state of one instance in the pool.

    Attributes:
      since_s: time since which it has reported without a gap.
      reported_s: time of its last report.
      own: its static share.
      pledged: the part of it that is pledged to this pool.
      pledged_until_s: time at which the pledge expires.
      locked: the part of it that is pledged to other coordinators.
      loan: upper bound of what it has borrowed from this pool.
      loan_until_s: time at which the loan expires.
      demand: what it could use.
    """

    since_s: float
    reported_s: float = 0.0
    own: int = 0
    pledged: int = 0
    pledged_until_s: float = 0.0
    locked: int = 0
    loan: int = 0
    loan_until_s: float = 0.0
    demand: int = 0


@dataclasses.dataclass(slots=True)
class _Totals:
    """Sums over all participants.

    Attributes:
      pledged: amount that is pledged for longer than a new loan would last.
      lent: upper bound of the amount that is lent.
      is_short: whether any participant needs more than its static share.
    """

    pledged: int = 0
    lent: int = 0
    is_short: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class PoolSettings:
    """Times of a pool in seconds.

    Attributes:
      lease_s: time for which a loan can be used.
      hold_s: time for which work that started on a loan may continue after
        that.
      pledge_s: time from a stamp to the end of a pledge that was made with it.
    """

    lease_s: float = 3.0
    hold_s: float = 0.0
    pledge_s: float = 6.0


class Pool:
    """The pledges and loans of one resource."""

    __slots__ = ("_participants", "_settings", "_targets", "_targets_s")

    def __init__(self, settings: PoolSettings):
        self._participants: dict[str, _Participant] = {}
        self._settings = settings
        self._targets: dict[str, int] = {}
        self._targets_s = 0.0

    def exchange(
        self,
        sender: str,
        report: lending_pb2.ResourceReport,
        stamp_s: float,
        holders: frozenset[str],
        now_s: float,
    ) -> lending_pb2.ResourceGrant:
        """Records a report and answers it.

        Args:
          sender: instance that reports.
          report: its state.
          stamp_s: this coordinator's clock in the last answer that the sender
            received from it, or minus infinity.
          holders: instances that have a static share of the limits.
          now_s: current time in monotonic seconds.

        Returns:
          What the sender may use from now on.
        """
        participant = self._record_report(sender, report, stamp_s, now_s)
        totals = self._sum_up(holders, now_s)
        target = participant.own
        if totals.is_short:
            target = self._find_target(sender, now_s)
        grant = lending_pb2.ResourceGrant()
        self._settle_own(participant, target, totals, grant)
        self._settle_loan(participant, target, totals, grant, now_s)
        grant.adopt = participant.locked > 0 and self._knows_all(holders, now_s)
        return grant

    def has_room(
        self, sender: str, holders: frozenset[str], now_s: float
    ) -> bool:
        """Says whether all others left room for the static share of a sender.

        Args:
          sender: instance that has reported.
          holders: instances that have a static share of the limits.
          now_s: current time in monotonic seconds.
        """
        if sender not in holders:
            return False
        part = limitshare.SHARE_UNITS // len(holders)
        others = [self._participants.get(name) for name in holders - {sender}]
        return all(
            participant is not None
            and now_s - participant.reported_s <= self._settings.lease_s
            and participant.own <= part
            for participant in others
        )

    def _sum_up(self, holders: frozenset[str], now_s: float) -> _Totals:
        """Sums over all participants and forgets those that are gone."""
        lease_s = self._settings.lease_s
        totals = _Totals()
        gone = []
        for instance_id, participant in self._participants.items():
            if participant.pledged_until_s >= now_s + lease_s:
                totals.pledged += participant.pledged
            if participant.loan_until_s > now_s:
                totals.lent += participant.loan
            if participant.reported_s + lease_s >= now_s:
                totals.is_short |= participant.demand > participant.own
            elif instance_id not in holders:
                gone.append(instance_id)
        for instance_id in gone:
            del self._participants[instance_id]
        return totals

    def _record_report(
        self,
        sender: str,
        report: lending_pb2.ResourceReport,
        stamp_s: float,
        now_s: float,
    ) -> _Participant:
        participant = self._participants.get(sender)
        if participant is None:
            participant = self._participants[sender] = _Participant(
                since_s=now_s
            )
        elif now_s - participant.reported_s > self._settings.lease_s:
            participant.since_s = now_s
        participant.reported_s = now_s
        participant.own = report.own
        participant.pledged = report.pledged
        participant.pledged_until_s = stamp_s + self._settings.pledge_s
        participant.locked = report.locked
        participant.loan = max(report.loan, report.held)
        participant.demand = report.demand
        return participant

    def _find_target(self, sender: str, now_s: float) -> int:
        """Returns the target of the sender, recomputed if it is too old."""
        is_old = now_s - self._targets_s >= _TARGETS_TTL_S
        if is_old or sender not in self._targets:
            self._compute_targets(now_s)
        return self._targets[sender]

    def _compute_targets(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.lease_s
        self._targets = lendingtargets.compute_targets(
            [
                lendingtargets.Participant(
                    instance_id,
                    participant.own,
                    participant.pledged,
                    participant.demand,
                )
                for instance_id, participant in self._participants.items()
                if participant.reported_s >= oldest_s
            ]
        )
        self._targets_s = now_s

    def _settle_own(
        self,
        participant: _Participant,
        target: int,
        totals: _Totals,
        grant: lending_pb2.ResourceGrant,
    ) -> None:
        """Decides what the sender pledges and what it takes back."""
        usable = max(
            0, participant.own - participant.pledged - participant.locked
        )
        wanted = min(participant.own, target)
        if wanted < usable:
            grant.take = usable - wanted
            return
        free = max(0, totals.pledged - totals.lent)
        grant.release = min(wanted - usable, participant.pledged, free)
        participant.pledged -= grant.release
        totals.pledged -= grant.release

    def _settle_loan(
        self,
        participant: _Participant,
        target: int,
        totals: _Totals,
        grant: lending_pb2.ResourceGrant,
        now_s: float,
    ) -> None:
        """Decides what the sender borrows."""
        lent_to_others = totals.lent
        if participant.loan_until_s > now_s:
            lent_to_others -= participant.loan
        free = max(0, totals.pledged - lent_to_others)
        grant.loan = min(max(0, target - participant.own), free)
        # A smaller loan counts only once the sender has reported it.
        participant.loan = max(participant.loan, grant.loan)
        settings = self._settings
        participant.loan_until_s = now_s + settings.lease_s + settings.hold_s

    def _knows_all(self, holders: frozenset[str], now_s: float) -> bool:
        """Says whether no loan of another coordinator can be in force.

        That is the case once every instance has reported here, and only here,
        for longer than a pledge lasts.
        """
        if any(name not in self._participants for name in holders):
            return False
        return all(
            now_s - participant.reported_s <= self._settings.lease_s
            and now_s - participant.since_s > self._settings.pledge_s
            for participant in self._participants.values()
        )
