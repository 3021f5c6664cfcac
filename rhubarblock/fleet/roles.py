"""Plans how many engines of a pool prefill and how many decode.

Separate prefill and decode engines keep long prompts from slowing down the
decoding of other requests, at the cost of transferring the KV cache. A split
only pays if each side has work for at least one engine.
"""

import dataclasses

# With fewer engines a split would leave a side without a spare.
_MIN_ENGINES = 4
# Planned utilisation of an engine, as a share of its maximum rate.
_TARGET_UTILISATION = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Smoothed load of a pool.

    Attributes:
      prefill_tokens_per_s: prompt tokens to compute per second.
      decode_concurrency: number of requests decoding concurrently.
      kv_tokens: KV memory used in total, in tokens.
    """

    prefill_tokens_per_s: float = 0.0
    decode_concurrency: float = 0.0
    kv_tokens: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineRates:
    """Capacity of one engine.

    Attributes:
      prefill_tokens_per_s: prompt tokens computed per second.
      iteration_s: fixed time of one iteration in seconds.
      decode_s: time that each decoding request adds to it, in seconds.
      gap_s: target for the longest gap between two tokens, in seconds.
      kv_tokens: size of the KV memory in tokens.
    """

    prefill_tokens_per_s: float = 40_000.0
    iteration_s: float = 0.008
    decode_s: float = 0.0001
    gap_s: float = 0.025
    kv_tokens: float = 400_000.0


def plan_roles(
    engine_count: int, demand: Demand, rates: EngineRates | None = None
) -> int:
    """Plans the split of a pool by its load.

    Args:
      engine_count: number of engines in the pool.
      demand: load of the pool.
      rates: capacity of one engine; None uses the defaults.

    Returns:
      The number of decode engines; the others are prefill engines. 0 means
      that every engine does both.
    """
    rates = rates or EngineRates()
    prefill = _count_for_prefill(demand, rates)
    decode = _count_for_decode(demand, rates)
    if engine_count < _MIN_ENGINES or min(prefill, decode) < 1.0:
        return 0
    planned = round(engine_count * decode / (prefill + decode))
    return max(1, min(engine_count - 1, planned))


def plan_fixed_roles(engine_count: int, decode_share: float) -> int:
    """Plans a split with the share given by the catalogue.

    Args:
      engine_count: number of engines in the pool.
      decode_share: share of decode engines.

    Returns:
      As ``plan_roles``.
    """
    if decode_share <= 0.0 or engine_count < 2:
        return 0
    planned = round(engine_count * decode_share)
    return max(1, min(engine_count - 1, planned))


def _count_for_prefill(demand: Demand, rates: EngineRates) -> float:
    usable = rates.prefill_tokens_per_s * _TARGET_UTILISATION
    return demand.prefill_tokens_per_s / usable


def _count_for_decode(demand: Demand, rates: EngineRates) -> float:
    """Returns the engines required by the token gap or the KV memory."""
    by_gap = (rates.gap_s - rates.iteration_s) / rates.decode_s
    by_memory = rates.kv_tokens * _TARGET_UTILISATION
    return max(demand.decode_concurrency / by_gap, demand.kv_tokens / by_memory)
