"""Settings of the stand-in engine, with the defaults of the experiments."""

import dataclasses

from rhubarblock.core import endpoint as endpoints

BLOCK_TOKENS = 512  # Tokens of one block of the prefix cache.
# Times closer together than this are equal; the difference is rounding.
RESOLUTION_S = 1e-6


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSettings:
    """Size and speed of an engine.

    Attributes:
      iteration_s: fixed cost of one iteration in seconds.
      decode_s: cost of each running decode in one iteration, in seconds.
      prefill_tokens_per_s: rate at which an iteration computes prompts.
      mixed_chunk_tokens: maximum prefill tokens of one iteration while the
        engine decodes.
      prefill_chunk_tokens: maximum prefill tokens of one iteration otherwise,
        and always with the prefill role.
      kv_tokens: KV memory in tokens.
      copy_tokens_per_s: rate at which KV cache is copied between engines.
      stream_interval: decoded tokens sent in one chunk; the first token and
        the end are never delayed. Larger values make long experiments faster.
      window_tokens: KV memory reserved for reading segments of other engines.
      load_lag_s: age of the state that a load report describes.
      event_lag_s: delay until a cache event can be read.
      event_loss: share of the cache events that are lost.
      export_ttl_s: time for which an export is kept without a reader.
      segment_ttl_s: time for which a segment is kept after its last reader.
      handle_wait_s: time for which a reader waits for an export to exist.
      role: role after a start.
      models: models loaded after a start, ``name@version``.
      adapters: adapters loaded after a start.
      model_load_s: minimum time to load a model.
      model_bytes: size of a model in the weight store.
      adapter_load_s: minimum time to load an adapter.
      adapter_bytes: size of an adapter in the weight store.
      checks_fencing: whether orders with an old fencing number are refused.
    """

    iteration_s: float = 0.008
    decode_s: float = 0.0001
    prefill_tokens_per_s: float = 40_000.0
    mixed_chunk_tokens: int = 512
    prefill_chunk_tokens: int = 4_096
    kv_tokens: int = 400_000
    copy_tokens_per_s: float = 200_000.0
    stream_interval: int = 1
    window_tokens: int = 4_096
    load_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_loss: float = 0.01
    export_ttl_s: float = 10.0
    segment_ttl_s: float = 60.0
    handle_wait_s: float = 1.0
    role: endpoints.Role = endpoints.Role.BOTH
    models: tuple[str, ...] = ("default@1",)
    adapters: tuple[str, ...] = ()
    model_load_s: float = 20.0
    model_bytes: int = 16_000_000_000
    adapter_load_s: float = 1.0
    adapter_bytes: int = 100_000_000
    checks_fencing: bool = True
