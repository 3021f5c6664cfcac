"""A coordinator's book of one resource of one entry: who lends, who borrows.

Only pledged amounts are ever lent, a loan lapses before the pledges behind it
do, and a loan counts in full until its borrower has said that it holds less
or until it has lapsed. So the sum of all shares cannot pass the limit,
whatever other coordinators believe.
"""

import dataclasses

from rhubarblock.routing import limitshare
from rhubarblock.routing.lending import lending_pb2
from rhubarblock.routing.lending import targets as lendingtargets

# Time for which a division among the instances is used again, in seconds.
_TARGETS_S = 0.2


@dataclasses.dataclass(slots=True)
class _Party:
    """What the book says of one instance.

    Attributes:
      since_s: time since which it has reported without a gap.
      heard_s: time of its last report.
      own: its static share.
      pledged: the part that it lent to this pool.
      pledged_until_s: time at which that lapses.
      locked: the part that it lent elsewhere.
      loan: what it may have borrowed from this pool at most.
      loan_until_s: time at which that lapses.
      demand: what it could use.
    """

    since_s: float
    heard_s: float = 0.0
    own: int = 0
    pledged: int = 0
    pledged_until_s: float = 0.0
    locked: int = 0
    loan: int = 0
    loan_until_s: float = 0.0
    demand: int = 0


@dataclasses.dataclass(slots=True)
class _Survey:
    """Sums over all parties.

    Attributes:
      pledged: what is pledged for longer than a new loan would last.
      lent: what may have been borrowed.
      is_short: whether anyone needs more than its own share.
    """

    pledged: int = 0
    lent: int = 0
    is_short: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class PoolSettings:
    """Times of a pool in seconds.

    Attributes:
      lease_s: time for which a loan can be used.
      hold_s: time for which what was begun on a loan may go on after that.
      pledge_s: time from a stamp to the end of a pledge given with it.
    """

    lease_s: float = 3.0
    hold_s: float = 0.0
    pledge_s: float = 6.0


class Pool:
    """What the instances pledge and borrow of one resource."""

    __slots__ = ("_parties", "_settings", "_targets", "_targets_s")

    def __init__(self, settings: PoolSettings):
        self._parties: dict[str, _Party] = {}
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
        """Takes a report and answers it.

        Args:
          sender: instance that reports.
          report: its view.
          stamp_s: this coordinator's clock in the last answer that the sender
            had from it, or minus infinity.
          holders: instances that have a static share of the limits.
          now_s: monotonic time.

        Returns:
          What the sender may have from now on.
        """
        party = self._note(sender, report, stamp_s, now_s)
        survey = self._survey(holders, now_s)
        target = party.own
        if survey.is_short:
            target = self._find_target(sender, now_s)
        grant = lending_pb2.ResourceGrant()
        self._settle_own(party, target, survey, grant)
        self._settle_loan(party, target, survey, grant, now_s)
        grant.adopt = party.locked > 0 and self._knows_all(holders, now_s)
        return grant

    def has_room(
        self, sender: str, holders: frozenset[str], now_s: float
    ) -> bool:
        """Says whether everyone else left room for a sender's own share.

        Args:
          sender: instance that has reported.
          holders: instances that have a static share of the limits.
          now_s: monotonic time.
        """
        if sender not in holders:
            return False
        part = limitshare.SHARE_UNITS // len(holders)
        others = [self._parties.get(name) for name in holders - {sender}]
        return all(
            party is not None
            and now_s - party.heard_s <= self._settings.lease_s
            and party.own <= part
            for party in others
        )

    def _survey(self, holders: frozenset[str], now_s: float) -> _Survey:
        """Looks at all parties once, and forgets those that are gone."""
        lease_s = self._settings.lease_s
        survey = _Survey()
        gone = []
        for instance_id, party in self._parties.items():
            if party.pledged_until_s >= now_s + lease_s:
                survey.pledged += party.pledged
            if party.loan_until_s > now_s:
                survey.lent += party.loan
            if party.heard_s + lease_s >= now_s:
                survey.is_short |= party.demand > party.own
            elif instance_id not in holders:
                gone.append(instance_id)
        for instance_id in gone:
            del self._parties[instance_id]
        return survey

    def _note(
        self,
        sender: str,
        report: lending_pb2.ResourceReport,
        stamp_s: float,
        now_s: float,
    ) -> _Party:
        party = self._parties.get(sender)
        if party is None:
            party = self._parties[sender] = _Party(since_s=now_s)
        elif now_s - party.heard_s > self._settings.lease_s:
            party.since_s = now_s
        party.heard_s = now_s
        party.own = report.own
        party.pledged = report.pledged
        party.pledged_until_s = stamp_s + self._settings.pledge_s
        party.locked = report.locked
        party.loan = max(report.loan, report.held)
        party.demand = report.demand
        return party

    def _find_target(self, sender: str, now_s: float) -> int:
        """Returns what the sender should have, computed a moment ago or now."""
        is_old = now_s - self._targets_s >= _TARGETS_S
        if is_old or sender not in self._targets:
            self._compute_targets(now_s)
        return self._targets[sender]

    def _compute_targets(self, now_s: float) -> None:
        heard_s = now_s - self._settings.lease_s
        self._targets = lendingtargets.compute_targets(
            [
                lendingtargets.Standing(
                    instance_id, party.own, party.pledged, party.demand
                )
                for instance_id, party in self._parties.items()
                if party.heard_s >= heard_s
            ]
        )
        self._targets_s = now_s

    def _settle_own(
        self,
        party: _Party,
        target: int,
        survey: _Survey,
        grant: lending_pb2.ResourceGrant,
    ) -> None:
        """Decides what the sender pledges and takes back."""
        kept = max(0, party.own - party.pledged - party.locked)
        wanted = min(party.own, target)
        if wanted < kept:
            grant.take = kept - wanted
            return
        free = max(0, survey.pledged - survey.lent)
        grant.release = min(wanted - kept, party.pledged, free)
        party.pledged -= grant.release
        survey.pledged -= grant.release

    def _settle_loan(
        self,
        party: _Party,
        target: int,
        survey: _Survey,
        grant: lending_pb2.ResourceGrant,
        now_s: float,
    ) -> None:
        """Decides what the sender borrows."""
        lent_to_others = survey.lent
        if party.loan_until_s > now_s:
            lent_to_others -= party.loan
        free = max(0, survey.pledged - lent_to_others)
        grant.loan = min(max(0, target - party.own), free)
        # A smaller loan counts only once the sender says that it has it.
        party.loan = max(party.loan, grant.loan)
        settings = self._settings
        party.loan_until_s = now_s + settings.lease_s + settings.hold_s

    def _knows_all(self, holders: frozenset[str], now_s: float) -> bool:
        """Says whether no loan of another coordinator can be in force.

        That is so once every instance has reported here, and nowhere else,
        for longer than a pledge lasts.
        """
        if any(name not in self._parties for name in holders):
            return False
        return all(
            now_s - party.heard_s <= self._settings.lease_s
            and now_s - party.since_s > self._settings.pledge_s
            for party in self._parties.values()
        )
