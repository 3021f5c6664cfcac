"""Splits prompts that do not fit into one engine."""

from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable

# KV memory that the last engine of a group reserves for reading the earlier
# segments, in tokens.
WINDOW_TOKENS = 4_096


def split_prompt(
    query: placements.PlacementQuery,
    loads: list[loadtable.EndpointLoad],
    priority: int,
) -> placements.Placement | None:
    """Splits a prompt over a group of engines, all or nothing.

    Each engine contributes its free memory, in the given order, until the
    prompt, its output and the window of the last engine fit.

    Args:
      query: request that does not fit into any single engine.
      loads: candidate engines, the preferred ones first.
      priority: priority at the engines.

    Returns:
      A placement whose last engine also decodes, or None if the engines
      together lack the memory.
    """
    segments: list[placements.Segment] = []
    placed = 0
    for load in loads:
        free = load.estimate_free_kv() - WINDOW_TOKENS
        if free <= 0:
            continue
        if query.prompt_tokens - placed + query.max_tokens <= free:
            return placements.Placement(
                prefill_id=load.endpoint.endpoint_id,
                decode_id=load.endpoint.endpoint_id,
                priority=priority,
                segments=tuple(segments),
            )
        # The last segment needs at least one prompt token of its own.
        placed = min(placed + free, query.prompt_tokens - 1)
        segments.append(placements.Segment(load.endpoint.endpoint_id, placed))
    return None
