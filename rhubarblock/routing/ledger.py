"""The ledger of grants: places prompts and counts the grants until they end.

Each instance has one ledger. As coordinator of a pool the instance places the
longer prompts of all instances there. For its own short prompts, and for all of
its own if no coordinator is reachable, it decides alone.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable
from rhubarblock.routing.placement import policy as policies

# Seconds after its deadline at which a grant is dropped if its holder has not
# released it, for instance because the holder no longer answers.
GRACE_S = 2.0


ReservedLister = Callable[[str, Iterable[str]], frozenset[str]]


def reserve_nothing(
    service: str, endpoint_ids: Iterable[str]
) -> frozenset[str]:
    """Returns no engine, so that none is reserved for suspect requests."""
    del service, endpoint_ids
    return frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class _Entry:
    """A placement that is being counted."""

    endpoint_ids: tuple[str, ...]
    owner: str
    expires_s: float


class Ledger:
    """Places prompts by a load table and counts the grants."""

    __slots__ = ("_entries", "_list_reserved", "_policy", "_timers", "table")

    def __init__(
        self,
        table: loadtable.LoadTable,
        policy: policies.Policy,
        timers: timer_service.Timers,
        list_reserved: ReservedLister = reserve_nothing,
    ):
        """Creates an empty ledger.

        Args:
          table: estimated loads of the engines.
          policy: placement policy.
          timers: timer service.
          list_reserved: returns those of a service's engines that only suspect
            requests may use at present.
        """
        self.table = table
        self._policy = policy
        self._timers = timers
        self._list_reserved = list_reserved
        self._entries: dict[str, _Entry] = {}

    def place(
        self, grant_id: str, query: placements.PlacementQuery, owner: str
    ) -> placements.Placement | None:
        """Chooses endpoints and counts the grant; returns None without room.

        Args:
          grant_id: id by which the grant is released.
          query: the prompt to place.
          owner: instance that holds the grant.
        """
        now_s = self._timers.read_monotonic()
        query = self._avoid_reserved(query)
        placement = self._policy.choose(query, self.table, now_s)
        if placement is not None:
            self.adopt(grant_id, query, placement, owner)
        return placement

    def _avoid_reserved(
        self, query: placements.PlacementQuery
    ) -> placements.PlacementQuery:
        # Suspect requests (see ``routing.quarantine``) run on engines that
        # prefill, whose memory is freed sooner than that of engines that
        # decode.
        names = (
            load.endpoint.endpoint_id
            for load in self.table.list_loads(query.service, query.model)
            if load.role is not endpoints.Role.DECODE
        )
        reserved = self._list_reserved(query.service, names)
        if not reserved:
            return query
        return dataclasses.replace(query, avoid=query.avoid | reserved)

    def adopt(
        self,
        grant_id: str,
        query: placements.PlacementQuery,
        placement: placements.Placement,
        owner: str,
    ) -> None:
        """Counts a placement that was decided here or at a coordinator."""
        now_s = self._timers.read_monotonic()
        prefixes = self.table.prefixes
        first = placement.list_endpoints()[0]
        cached = prefixes.count_cached(first, query.prefix_blocks)
        for grant in _list_grants(grant_id, query, placement, now_s):
            if grant.endpoint_id == first:
                remaining = grant.prefill_tokens - cached
                grant.prefill_tokens = max(
                    loadtable.MIN_REMAINING_TOKENS, remaining
                )
            self.table.add(grant)
        prefixes.expect(first, query.prefix_blocks)
        self._entries[grant_id] = _Entry(
            placement.list_endpoints(), owner, now_s + query.slack_s + GRACE_S
        )

    def end_prefill(self, grant_id: str) -> None:
        """Marks the prefill of a grant as done."""
        entry = self._entries.get(grant_id)
        if entry is not None:
            for endpoint_id in entry.endpoint_ids:
                self.table.end_prefill(grant_id, endpoint_id)

    def release(self, grant_id: str) -> None:
        """Stops counting a grant; unknown grants are ignored."""
        entry = self._entries.pop(grant_id, None)
        if entry is not None:
            for endpoint_id in entry.endpoint_ids:
                self.table.remove(grant_id, endpoint_id)

    def release_owner(self, owner: str) -> None:
        """Releases all grants of an instance that is known to be dead."""
        for grant_id, entry in list(self._entries.items()):
            if entry.owner == owner:
                self.release(grant_id)

    def collect_expired(self) -> int:
        """Releases expired grants and returns their number."""
        now_s = self._timers.read_monotonic()
        expired = [
            grant_id
            for grant_id, entry in self._entries.items()
            if entry.expires_s < now_s
        ]
        for grant_id in expired:
            self.release(grant_id)
        return len(expired)


def _list_grants(
    grant_id: str,
    query: placements.PlacementQuery,
    placement: placements.Placement,
    now_s: float,
) -> list[loadtable.Grant]:
    """Returns the load that a placement puts on each of its endpoints."""
    grants = []
    start = 0
    for segment in placement.segments:
        tokens = segment.end - start
        grants.append(
            loadtable.Grant(
                grant_id,
                segment.endpoint_id,
                placement.priority,
                tokens,
                tokens,
                False,
                now_s,
            )
        )
        start = segment.end
    remaining = query.prompt_tokens - start
    kv_tokens = remaining + query.max_tokens
    grants.append(
        loadtable.Grant(
            grant_id,
            placement.prefill_id,
            placement.priority,
            remaining,
            kv_tokens,
            not placement.handed_over,
            now_s,
        )
    )
    if placement.handed_over:
        grants.append(
            loadtable.Grant(
                grant_id,
                placement.decode_id,
                placement.priority,
                0,
                kv_tokens,
                True,
                now_s,
            )
        )
    return grants
