"""What one instance owns, pledges and borrows of one entry."""

from collections.abc import Iterable
import functools

from rhubarblock.core import catalogue as catalogues
from rhubarblock.fleet import rendezvous
from rhubarblock.routing import limitshare
from rhubarblock.routing.lending import holding as lendingholding
from rhubarblock.routing.lending import lending_pb2

_CACHED_OWNERS = 4096
# Additional reports of an instance whose share no longer suffices; after them
# it waits for the regular reports like all others.
EARLY_REPORTS = 4
# Part of a limit below which others can wait for the next regular report.
_MIN_REPORTED_UNITS = limitshare.SHARE_UNITS // 50


class LentEntry:
    """Rates and slots of one institution or workspace.

    Attributes:
      key: name of the entry.
      coordinator_id: instance to which it pledges, or None.
      early_left: additional reports allowed until the share suffices again.
    """

    __slots__ = (
        "_loan_until_s",
        "_rates",
        "_slots",
        "coordinator_id",
        "early_left",
        "key",
    )

    def __init__(self, key: str, pledge_s: float, hold_s: float):
        """Creates an entry without a share.

        Args:
          key: name of the entry.
          pledge_s: time in seconds for which a pledge lasts.
          hold_s: longest time in seconds that a long prompt takes.
        """
        self.key = key
        self.coordinator_id: str | None = None
        self.early_left = EARLY_REPORTS
        self._rates = lendingholding.Holding(pledge_s)
        self._slots = lendingholding.Holding(pledge_s + hold_s)
        self._loan_until_s = 0.0

    def set_static_share(self, units: int, slots: int) -> None:
        """Sets the static share."""
        self._rates.own = units
        self._slots.own = slots

    def settle(self, coordinator_id: str | None, now_s: float) -> None:
        """Ends what has expired, and all ties to an earlier coordinator."""
        if coordinator_id != self.coordinator_id:
            self.leave_coordinator()
            self.coordinator_id = coordinator_id
        if now_s >= self._loan_until_s:
            self._rates.loan = 0
            self._slots.loan = 0
        self._rates.free_expired(now_s)
        self._slots.free_expired(now_s)

    def leave_coordinator(self) -> None:
        """Drops the loan and locks the pledge until it expires."""
        self._rates.change_coordinator()
        self._slots.change_coordinator()

    def read_share(self, at_s: float) -> limitshare.Share:
        """Returns the share that applies at a given time, and until when."""
        units, slots = self._rates.usable, self._slots.usable
        borrowed = self._rates.loan or self._slots.loan
        if not borrowed or at_s >= self._loan_until_s:
            return limitshare.Share(units, slots)
        return limitshare.Share(
            units + self._rates.loan,
            slots + self._slots.loan,
            self._loan_until_s,
        )

    def report(
        self, demand: limitshare.Demand, stamp_received_s: float, now_s: float
    ) -> lending_pb2.EntryReport:
        """Builds the report to the coordinator."""
        share = self.read_share(now_s)
        if (
            demand.units <= share.units
            and demand.long_slots <= share.long_slots
        ):
            self.early_left = EARLY_REPORTS
        return lending_pb2.EntryReport(
            key=self.key,
            rates=self._rates.report(demand.units, 0, stamp_received_s),
            slots=self._slots.report(
                demand.long_slots, demand.long_held, stamp_received_s
            ),
        )

    def apply(
        self,
        grant: lending_pb2.EntryGrant,
        long_held: int,
        loan_until_s: float,
        received_s: float,
    ) -> bool:
        """Applies the coordinator's answer.

        Args:
          grant: the answer.
          long_held: long prompts that are running now.
          loan_until_s: time at which the loan expires.
          received_s: time of the answer.

        Returns:
          Whether an immediate report helps others.
        """
        units = self._rates.apply(grant.rates, 0, received_s)
        slots = self._slots.apply(grant.slots, long_held, received_s)
        self._loan_until_s = loan_until_s
        return units >= _MIN_REPORTED_UNITS or slots > 0


def compute_static_share(
    limits: catalogues.Limits,
    key: str,
    instance_id: str,
    holders: frozenset[str],
) -> limitshare.Share:
    """Returns the static share of an instance.

    Args:
      limits: limits of the entry.
      key: name of the entry.
      instance_id: the instance.
      holders: all instances that have a share.
    """
    if instance_id not in holders:
        return limitshare.NO_SHARE
    owners = _choose_owners(key, limits.concurrent_long, holders)
    return limitshare.Share(
        units=limitshare.SHARE_UNITS // len(holders),
        long_slots=owners.count(instance_id),
    )


@functools.lru_cache(maxsize=_CACHED_OWNERS)
def _choose_owners(
    key: str, slots: int, holders: frozenset[str]
) -> tuple[str, ...]:
    """Chooses an owner for each slot by rendezvous hashing.

    Few owners change when an instance is added.
    """
    return tuple(
        _choose_owner(f"limits/{key}/{number}", holders)
        for number in range(slots)
    )


def _choose_owner(slot: str, holders: Iterable[str]) -> str:
    return max(
        holders, key=lambda name: (rendezvous.compute_score(slot, name), name)
    )
