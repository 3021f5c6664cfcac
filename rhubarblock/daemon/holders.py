"""Who holds which duty, in the terms of each subsystem that asks.

Every instance computes the same holders from the same live members. While
views disagree two may hold one duty, which each subsystem bears.
"""

from rhubarblock.fleet import assignment
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import view as memberview
from rhubarblock.routing.lending import lender as lending
from rhubarblock.routing.placement import coordination
from rhubarblock.routing.quarantine import gate as quarantines


class HolderFinder:
    """Finds holders among the live instances."""

    __slots__ = ("_members",)

    def __init__(self, membership: memberview.MemberView):
        self._members = membership

    def choose(self, duty: str) -> members.Member:
        """Returns the live instance that holds a duty; this one if alone."""
        alive = self._members.live_instances()
        return assignment.choose_coordinator(duty, alive) or self._members.own

    def count_instances(self) -> int:
        """Returns the number of live instances."""
        return len(self._members.live_instances())

    def find_coordinator(self, service: str) -> coordination.Coordinator:
        """Returns the instance that places for an engine service."""
        chosen = self.choose(f"pool/{service}")
        return coordination.Coordinator(chosen.instance_id, chosen.address)

    def coordinates(self, service: str) -> bool:
        """Says whether this instance places for an engine service."""
        coordinator = self.find_coordinator(service)
        return coordinator.instance_id == self._members.own.instance_id

    def find_lender(self, duty: str) -> lending.Coordinator | None:
        """Returns the instance that lends the shares of some limits."""
        chosen = self.choose(duty)
        return lending.Coordinator(chosen.instance_id, chosen.address)

    def find_claim_writer(self, duty: str) -> str | None:
        """Returns the address of who writes some claims; None for this one."""
        chosen = self.choose(duty)
        own = self._members.own
        if chosen.instance_id == own.instance_id:
            return None
        return chosen.address

    def find_issuer(self, duty: str) -> quarantines.Peer | None:
        """Returns the instance that gives permits to suspects."""
        chosen = self.choose(duty)
        return quarantines.Peer(chosen.instance_id, chosen.address)

    def list_peers(self) -> list[quarantines.Peer]:
        """Returns the other live instances."""
        own = self._members.own.instance_id
        return [
            quarantines.Peer(member.instance_id, member.address)
            for member in self._members.live_instances()
            if member.instance_id != own
        ]
