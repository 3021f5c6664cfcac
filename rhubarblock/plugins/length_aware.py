"""The default policy: placement by length, load, prefix cache and memory.

Prefill runs on engines with the prefill role and decode on engines with the
decode role, so that no prefill delays the tokens of a running answer. Engine
priorities let a short prompt overtake longer ones between two prefill slices;
prompts of middle length, and long ones, are served first come, first served
among themselves. A few engines are left to short prompts unless a longer one
would wait too long elsewhere. How long is too long depends on the configured
weight of time to first token against the slowdown of short requests. A prompt
that would fill much of a decode engine is decoded where it was prefilled, and
one that fits no engine is split over a group.

The measurements behind these rules are in docs/design/scheduling.md.
"""

from rhubarblock.core import endpoint as endpoints
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable
from rhubarblock.routing.placement import policy
from rhubarblock.routing.placement import segments

__plugins__ = ("LengthAwarePolicy",)

# Prompts below this many tokens are short. Among them, shorter ones go first.
SHORT_TOKENS = 8_000
# Prompts from this many tokens on are long.
LONG_TOKENS = 64_000
# Tokens per priority level among short prompts.
PRIORITY_TOKENS = 1_000
# Priority of prompts of middle length.
MIDDLE_PRIORITY = SHORT_TOKENS // PRIORITY_TOKENS
# A prompt over this share of a decode engine's KV cache is not handed over.
HANDOVER_SHARE = 0.2
# Share of the prefill engines that is left to short prompts.
SHORT_LANE_SHARE = 0.22
# Extra wait elsewhere, in seconds, from which on a longer prompt uses the
# engines that are left to short ones, if all weight is on the slowdown of short
# requests.
MAX_LANE_WAIT_S = 1.0
# Mean time until an engine ends the slice of a longer prompt, in seconds.
SLICE_WAIT_S = 0.055
# Cost of each running answer when engines are ranked, in seconds.
DECODE_COST_S = 0.002


class LengthAwarePolicy(policy.Policy):
    """Places prompts by length, load, prefix cache and memory."""

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
        needed_kv = query.prompt_tokens + query.max_tokens
        with_room = [x for x in workers if x.estimate_free_kv() >= needed_kv]
        if not with_room:
            return None
        priority = compute_priority(query.prompt_tokens)
        work_s = query.prompt_tokens / with_room[0].prefill_rate
        lane = _choose_short_lane(query, workers)
        lane_penalty_s = MAX_LANE_WAIT_S * (1.0 - self.weight_ttft)

        def estimate(load: loadtable.EndpointLoad) -> float:
            cost_s = _estimate_cost(load, priority, work_s, now_s)
            name = load.endpoint.endpoint_id
            cached = table.prefixes.count_cached(name, query.prefix_blocks)
            saved_s = cached / load.prefill_rate
            return cost_s - saved_s + (lane_penalty_s if load in lane else 0.0)

        best = min(with_room, key=estimate)
        name = best.endpoint.endpoint_id
        decode_id = name
        if best.role is endpoints.Role.PREFILL:
            decode_id = _choose_decode(query, loads) or name
        ahead_tokens = best.estimate_backlog(priority, now_s).before
        return placements.Placement(
            prefill_id=name,
            decode_id=decode_id,
            priority=priority,
            expected_wait_s=ahead_tokens / best.prefill_rate,
        )


def compute_priority(prompt_tokens: int) -> int:
    """Returns the engine priority of a prompt; lower numbers go first.

    Short prompts are ordered by length. Prompts of middle length share one
    priority, and so do long ones: letting each overtake all longer ones raised
    the tail latency of all prompts, and so did letting none overtake.
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
    preferred = [x for x in loads if x.endpoint.endpoint_id not in query.avoid]
    # Failed endpoints are still used if there are no others.
    return preferred or loads


def _list_workers(
    loads: list[loadtable.EndpointLoad],
) -> list[loadtable.EndpointLoad]:
    """Returns the engines that run prefill, or all engines if none does."""
    workers = [x for x in loads if x.role is not endpoints.Role.DECODE]
    return workers or loads


def _choose_short_lane(
    query: placements.PlacementQuery,
    workers: list[loadtable.EndpointLoad],
) -> list[loadtable.EndpointLoad]:
    """Returns the engines that this prompt should leave to short ones."""
    if query.prompt_tokens < SHORT_TOKENS:
        return []
    return workers[: round(len(workers) * SHORT_LANE_SHARE)]


def _place_group(
    query: placements.PlacementQuery, workers: list[loadtable.EndpointLoad]
) -> placements.Placement | None:
    """Splits a prompt over the engines with the most free KV cache.

    The policy calls this first with the engines that run prefill and have not
    failed for this prompt. If these cannot hold the prompt together, it calls
    it with all engines.
    """
    with_room = sorted(workers, key=lambda x: -x.estimate_free_kv())
    return segments.split_prompt(
        query, with_room, compute_priority(query.prompt_tokens)
    )


def _estimate_cost(
    load: loadtable.EndpointLoad, priority: int, work_s: float, now_s: float
) -> float:
    """Returns the cost of placing this prompt at an engine, in seconds.

    It is the sum of the prompt's wait, the delay of the prompts behind it, and
    a cost for each running answer.
    """
    backlog = load.estimate_backlog(priority, now_s)
    wait_s = backlog.before / load.prefill_rate
    if backlog.behind and not backlog.before:
        wait_s = SLICE_WAIT_S
    decodes_s = load.count_decodes() * DECODE_COST_S
    return wait_s + backlog.behind * work_s + decodes_s


def _choose_decode(
    query: placements.PlacementQuery, loads: list[loadtable.EndpointLoad]
) -> str | None:
    """Returns the decode engine with the fewest answers, or None.

    Only engines with room are considered.
    """
    needed_kv = query.prompt_tokens + query.max_tokens
    decoders = [
        x
        for x in loads
        if x.role is endpoints.Role.DECODE
        and needed_kv <= x.kv_capacity * HANDOVER_SHARE
        and needed_kv <= x.estimate_free_kv()
    ]
    if not decoders:
        return None
    best = min(decoders, key=lambda x: x.count_decodes())
    return best.endpoint.endpoint_id
