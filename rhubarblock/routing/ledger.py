"""The ledger of grants: places prompts and counts them until they end.

Each instance has one. As coordinator of a pool it places the longer prompts of
every instance there; for its own short prompts, and for all of its own when
no coordinator can be reached, it decides alone.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from rhubarblock.core import endpoint as endpoints
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable
from rhubarblock.routing.placement import policy as policies

# A grant whose holder fell silent is dropped this long after its deadline.
GRACE_S = 2.0


KeptLister = Callable[[str, Iterable[str]], frozenset[str]]


def keep_nothing(service: str, endpoint_ids: Iterable[str]) -> frozenset[str]:
    """Says that no engine is kept for suspects."""
    del service, endpoint_ids
    return frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class _Entry:
    """One placement that is being counted."""

    endpoint_ids: tuple[str, ...]
    owner: str
    expires_s: float


class Ledger:
    """Places prompts over a load table and counts the grants."""

    __slots__ = ("_entries", "_list_kept", "_policy", "_timers", "table")

    def __init__(
        self,
        table: loadtable.LoadTable,
        policy: policies.Policy,
        timers: timer_service.Timers,
        list_reserved: KeptLister = keep_nothing,
    ):
        """Creates an empty ledger.

        Args:
          table: beliefs about the engines.
          policy: placement policy.
          timers: timer service.
          list_reserved: gives, of the engines of a service, those that only
            suspects may use at present.
        """
        self.table = table
        self._policy = policy
        self._timers = timers
        self._list_kept = list_reserved
        self._entries: dict[str, _Entry] = {}

    def place(
        self, grant_id: str, query: placements.PlacementQuery, owner: str
    ) -> placements.Placement | None:
        """Chooses endpoints and counts the grant; None when no room.

        Args:
          grant_id: name by which it is released.
          query: what is to be placed.
          owner: instance that holds the grant.
        """
        now_s = self._timers.read_monotonic()
        query = self._avoid_kept(query)
        placement = self._policy.choose(query, self.table, now_s)
        if placement is not None:
            self.adopt(grant_id, query, placement, owner)
        return placement

    def _avoid_kept(
        self, query: placements.PlacementQuery
    ) -> placements.PlacementQuery:
        # Suspects run on engines that compute prompts, whose memory is free
        # sooner than that of engines that generate.
        names = (
            load.endpoint.endpoint_id
            for load in self.table.list_loads(query.service, query.model)
            if load.role is not endpoints.Role.DECODE
        )
        kept = self._list_kept(query.service, names)
        if not kept:
            return query
        return dataclasses.replace(query, avoid=query.avoid | kept)

    def adopt(
        self,
        grant_id: str,
        query: placements.PlacementQuery,
        placement: placements.Placement,
        owner: str,
    ) -> None:
        """Counts a placement that was decided here or elsewhere."""
        now_s = self._timers.read_monotonic()
        prefixes = self.table.prefixes
        first = placement.list_endpoints()[0]
        cached = prefixes.count_cached(first, query.prefix_blocks)
        for grant in _list_grants(grant_id, query, placement, now_s):
            if grant.endpoint_id == first:
                rest = grant.prefill_tokens - cached
                grant.prefill_tokens = max(loadtable.LEAST_REST_TOKENS, rest)
            self.table.add(grant)
        prefixes.expect(first, query.prefix_blocks)
        self._entries[grant_id] = _Entry(
            placement.list_endpoints(), owner, now_s + query.slack_s + GRACE_S
        )

    def end_prefill(self, grant_id: str) -> None:
        """Marks that the prompt of a grant has been computed."""
        entry = self._entries.get(grant_id)
        if entry is not None:
            for endpoint_id in entry.endpoint_ids:
                self.table.end_prefill(grant_id, endpoint_id)

    def release(self, grant_id: str) -> None:
        """Stops counting a grant; unknown ones are ignored."""
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
        """Releases grants past their time and returns how many there were."""
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
    """Returns what each endpoint of a placement has to bear."""
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
    rest = query.prompt_tokens - start
    kv_tokens = rest + query.max_tokens
    grants.append(
        loadtable.Grant(
            grant_id,
            placement.prefill_id,
            placement.priority,
            rest,
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
