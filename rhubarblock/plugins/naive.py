"""The baseline policy: least outstanding requests, first come, first served.

It ignores lengths, roles, caches and load reports, and counts only the requests
of this instance. It must stay as it is: differential tests and measurements
compare other policies with it.
"""

from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable
from rhubarblock.routing.placement import policy
from rhubarblock.routing.placement import segments

__plugins__ = ("NaivePolicy",)


class NaivePolicy(policy.Policy):
    """Sends each prompt to the engine with the fewest outstanding requests."""

    plugin_name = "naive"
    uses_lengths = False

    def choose(
        self,
        query: placements.PlacementQuery,
        table: loadtable.LoadTable,
        now_s: float,
    ) -> placements.Placement | None:
        all_loads = table.list_loads(query.service, query.model)
        preferred = [
            x for x in all_loads if x.endpoint.endpoint_id not in query.avoid
        ]
        loads = sorted(
            preferred or all_loads, key=lambda load: len(load.grants)
        )
        if not loads:
            return None
        best = loads[0]
        if query.prompt_tokens + query.max_tokens > best.kv_capacity:
            found = segments.split_prompt(query, loads, priority=0)
            return found or segments.split_prompt(query, all_loads, priority=0)
        name = best.endpoint.endpoint_id
        return placements.Placement(name, name, priority=0)

    def needs_coordinator(self, query: placements.PlacementQuery) -> bool:
        return False

    def is_short(self, prompt_tokens: int) -> bool:
        return False
