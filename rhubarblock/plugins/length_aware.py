"""The product's policy: placement by length, load, cache and memory.

Prompts are computed on engines with the prefill role and generated on engines
with the decode role, so that no prompt lengthens the gaps of a running answer.
The engines' priorities let a short prompt overtake longer ones between two
slices; in the middle and among long ones the first come goes first. A few
engines are left to short prompts unless a longer one would wait too long
elsewhere; how long is the deployment's weight between the two measures. A
prompt that would fill much of a decode engine stays where it was computed, and
one that fits no engine is spread over a group.

The figures that decided are in docs/design/scheduling.md.
"""

from rhubarblock.core import endpoint as endpoints
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable
from rhubarblock.routing.placement import policy
from rhubarblock.routing.placement import segments

__plugins__ = ("LengthAwarePolicy",)

# Prompts below this many tokens are short; the shortest ones go first.
SHORT_TOKENS = 8_000
# Prompts from here on are long.
LONG_TOKENS = 64_000
# Tokens of one step of the engines' priorities among short prompts.
PRIORITY_TOKENS = 1_000
# Priority of the prompts of middle length.
MIDDLE_PRIORITY = SHORT_TOKENS // PRIORITY_TOKENS
# A prompt over this share of a decode engine's memory is not handed over.
HANDOVER_SHARE = 0.2
# Share of the prefill engines that is left to short prompts.
SHORT_LANE_SHARE = 0.22
# Seconds of wait that longer prompts accept before they use those engines,
# when all weight lies on the slowdown of short prompts.
LANE_PATIENCE_S = 1.0
# Mean seconds until an engine ends the slice of a longer prompt.
SLICE_WAIT_S = 0.055
# Seconds that one running answer adds to the preference order.
DECODE_COST_S = 0.002


class LengthAwarePolicy(policy.Policy):
    """Places prompts by their length."""

    plugin_name = "length_aware"

    def choose(
        self,
        query: placements.PlacementQuery,
        table: loadtable.LoadTable,
        now_s: float,
    ) -> placements.Placement | None:
        loads = _list_candidates(query, table)
        if not loads:
            return None
        workers = _list_workers(loads)
        largest = max(load.kv_capacity for load in workers)
        if query.prompt_tokens + query.max_tokens > largest:
            every = table.list_loads(query.service, query.model)
            return _place_group(query, workers) or _place_group(query, every)
        return self._place_single(query, table, loads, now_s)

    def needs_coordinator(self, query: placements.PlacementQuery) -> bool:
        return True

    def is_short(self, prompt_tokens: int) -> bool:
        return prompt_tokens < SHORT_TOKENS

    def _place_single(
        self,
        query: placements.PlacementQuery,
        table: loadtable.LoadTable,
        loads: list[loadtable.EndpointLoad],
        now_s: float,
    ) -> placements.Placement | None:
        workers = _list_workers(loads)
        room = query.prompt_tokens + query.max_tokens
        roomy = [x for x in workers if x.estimate_free_kv() >= room]
        if not roomy:
            return None
        priority = rank(query.prompt_tokens)
        work_s = query.prompt_tokens / roomy[0].prefill_rate
        lane = _choose_short_lane(query, workers)
        patience_s = LANE_PATIENCE_S * (1.0 - self.weight_ttft)

        def estimate(load: loadtable.EndpointLoad) -> float:
            cost_s = _estimate_cost(load, priority, work_s, now_s)
            name = load.endpoint.endpoint_id
            cached = table.prefixes.count_cached(name, query.prefix_blocks)
            saved_s = cached / load.prefill_rate
            return cost_s - saved_s + (patience_s if load in lane else 0.0)

        best = min(roomy, key=estimate)
        name = best.endpoint.endpoint_id
        decode_id = name
        if best.role is endpoints.Role.PREFILL:
            decode_id = _choose_decode(query, loads) or name
        before = best.estimate_backlog(priority, now_s).before
        return placements.Placement(
            prefill_id=name,
            decode_id=decode_id,
            priority=priority,
            expected_wait_s=before / best.prefill_rate,
        )


def rank(prompt_tokens: int) -> int:
    """Returns the engine priority of a prompt; smaller numbers go first.

    Short prompts go by length. Those of middle length share one priority, and
    so do the long ones: letting each overtake all longer ones made the tail of
    all prompts longer, and letting none overtake did so too.
    """
    if prompt_tokens < SHORT_TOKENS:
        return prompt_tokens // PRIORITY_TOKENS
    if prompt_tokens < LONG_TOKENS:
        return MIDDLE_PRIORITY
    return MIDDLE_PRIORITY + 1


def _list_candidates(
    query: placements.PlacementQuery, table: loadtable.LoadTable
) -> list[loadtable.EndpointLoad]:
    loads = table.list_loads(query.service, query.model)
    fresh = [x for x in loads if x.endpoint.endpoint_id not in query.avoid]
    # An endpoint that failed once is better than none at all.
    return fresh or loads


def _list_workers(
    loads: list[loadtable.EndpointLoad],
) -> list[loadtable.EndpointLoad]:
    """Returns the engines that compute prompts; all of them if none does."""
    workers = [x for x in loads if x.role is not endpoints.Role.DECODE]
    return workers or loads


def _choose_short_lane(
    query: placements.PlacementQuery,
    workers: list[loadtable.EndpointLoad],
) -> list[loadtable.EndpointLoad]:
    """Returns the engines that a prompt of this length leaves to others."""
    if query.prompt_tokens < SHORT_TOKENS:
        return []
    return workers[: round(len(workers) * SHORT_LANE_SHARE)]


def _place_group(
    query: placements.PlacementQuery, workers: list[loadtable.EndpointLoad]
) -> placements.Placement | None:
    """Spreads a prompt over the engines with the most room.

    What the preferred engines can't hold together all of them may, those of
    the decode role and those that failed before included.
    """
    roomy = sorted(workers, key=lambda x: -x.estimate_free_kv())
    return segments.split_prompt(query, roomy, rank(query.prompt_tokens))


def _estimate_cost(
    load: loadtable.EndpointLoad, priority: int, work_s: float, now_s: float
) -> float:
    """Returns seconds that this prompt waits and that it makes others wait."""
    backlog = load.estimate_backlog(priority, now_s)
    wait_s = backlog.before / load.prefill_rate
    if backlog.behind and not backlog.before:
        wait_s = SLICE_WAIT_S
    decodes_s = load.count_decodes() * DECODE_COST_S
    return wait_s + backlog.behind * work_s + decodes_s


def _choose_decode(
    query: placements.PlacementQuery, loads: list[loadtable.EndpointLoad]
) -> str | None:
    """Returns the decode engine with the fewest answers, if one has room."""
    room = query.prompt_tokens + query.max_tokens
    decoders = [
        x
        for x in loads
        if x.role is endpoints.Role.DECODE
        and room <= x.kv_capacity * HANDOVER_SHARE
        and room <= x.estimate_free_kv()
    ]
    if not decoders:
        return None
    best = min(decoders, key=lambda x: x.count_decodes())
    return best.endpoint.endpoint_id
