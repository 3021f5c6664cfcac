"""Lists the instances that have a static share of every limit.

An unreachable instance may still use its share, so it counts for as long as it
may be alive. An instance that left has announced that after its last request. A
dead one counts a little longer, as its death may be a false alarm.
"""

from collections.abc import Callable
from collections.abc import Iterable

from rhubarblock.fleet.membership import member as members
from rhubarblock.kernel import timers as timers_lib

# Seconds for which a dead instance keeps its share: longer than a paused
# instance continues to use it (``lending.LendingSettings.self_lease_s``).
DEAD_S = 10.0


class ShareHolders:
    """Tracks the instances that have a static share."""

    __slots__ = ("_dead_since_s", "_list_members", "_timers")

    def __init__(
        self,
        timers: timers_lib.Timers,
        list_members: Callable[[], Iterable[members.Member]],
    ):
        """Creates the tracker.

        Args:
          timers: the timer service.
          list_members: returns every known instance, reachable or not.
        """
        self._timers = timers
        self._list_members = list_members
        self._dead_since_s: dict[str, float] = {}

    def list_ids(self) -> frozenset[str]:
        """Returns the ids of the instances that have a share now."""
        now_s = self._timers.read_monotonic()
        known = list(self._list_members())
        dead = {
            member.instance_id
            for member in known
            if member.state is members.MemberState.DEAD
        }
        self._dead_since_s = {
            name: self._dead_since_s.get(name, now_s) for name in dead
        }
        alive = {
            member.instance_id
            for member in known
            if member.state is members.MemberState.ALIVE
        }
        recently_dead = {
            name
            for name, since_s in self._dead_since_s.items()
            if now_s - since_s < DEAD_S
        }
        return frozenset(alive | recently_dead)
