"""Finds the coordinator of each duty among the live instances.

Every instance computes the same coordinators from the same live members, by
rendezvous hashing. While membership views differ, a duty may have two
coordinators; each subsystem tolerates that.
"""

from rhubarblock.fleet import assignment
from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import view as memberview
from rhubarblock.routing.lending import lender as lending
from rhubarblock.routing.placement import coordination
from rhubarblock.routing.quarantine import gate as quarantines


class CoordinatorFinder:
    """Returns coordinators in the types that the subsystems use."""

    __slots__ = ("_members",)

    def __init__(self, membership: memberview.MemberView):
        self._members = membership

    def choose(self, duty: str) -> members.Member:
        """Returns the coordinator of a duty; this instance if it is alone."""
        alive = self._members.list_live_instances()
        return assignment.choose_coordinator(duty, alive) or self._members.own

    def count_instances(self) -> int:
        """Returns the number of live instances."""
        return len(self._members.list_live_instances())

    def find_coordinator(self, service: str) -> coordination.Coordinator:
        """Returns the placement coordinator of an engine service."""
        chosen = self.choose(f"pool/{service}")
        return coordination.Coordinator(chosen.instance_id, chosen.address)

    def is_coordinator(self, service: str) -> bool:
        """Returns whether this instance coordinates an engine service."""
        coordinator = self.find_coordinator(service)
        return coordinator.instance_id == self._members.own.instance_id

    def find_lender(self, duty: str) -> lending.Coordinator | None:
        """Returns the coordinator that lends shares of limits."""
        chosen = self.choose(duty)
        return lending.Coordinator(chosen.instance_id, chosen.address)

    def find_claim_coordinator(self, duty: str) -> str | None:
        """Returns the address of a claims coordinator; None for itself."""
        chosen = self.choose(duty)
        own = self._members.own
        if chosen.instance_id == own.instance_id:
            return None
        return chosen.address

    def find_permit_issuer(self, duty: str) -> quarantines.Peer | None:
        """Returns the instance that issues permits to suspect requests."""
        chosen = self.choose(duty)
        return quarantines.Peer(chosen.instance_id, chosen.address)

    def list_peers(self) -> list[quarantines.Peer]:
        """Returns the other live instances."""
        own = self._members.own.instance_id
        return [
            quarantines.Peer(member.instance_id, member.address)
            for member in self._members.list_live_instances()
            if member.instance_id != own
        ]
