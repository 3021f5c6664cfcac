"""Attempts to run a prompt at an engine, and the chunks of the answer."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class KvSource:
    """An exported part of a KV cache that another engine can import.

    Attributes:
      address: ``host:port`` of the engine that exports it.
      handle: name of the export, which is the id of the exporting attempt.
      tokens: number of prompt tokens covered.
    """

    address: str
    handle: str
    tokens: int


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request to an engine to run a prompt or one segment of it.

    Attributes:
      attempt_id: ``request_id/number``; the engine repeats it in each chunk.
      owner: start of the entry instance that sends it, see ``attemptid.Owner``.
      model: model name.
      prompt: the text; empty where a stand-in engine needs only lengths.
      prompt_tokens: length of the prompt in tokens.
      prefix_blocks: chained digests of the first blocks of the prompt.
      digest: digest of the body; it alone determines the answer.
      max_tokens: maximum number of output tokens, counted from index 0.
      resume_from: index of the first token to generate; earlier ones count as
        already generated.
      priority: lower values run first.
      export: keep the KV cache under ``attempt_id`` until it is released.
      sources: parts of the KV cache to import, in order, before the remaining
        prompt tokens are computed.
      segment_end: end of the segment to compute, in prompt tokens, for a prompt
        that exceeds the memory of one engine; 0 means the whole prompt.
      windowed: True reads the sources remotely in windows and holds only what
        they do not cover; False copies them.
    """

    attempt_id: str
    owner: str
    model: str
    prompt: str
    prompt_tokens: int
    prefix_blocks: tuple[str, ...]
    digest: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 0
    export: bool = False
    sources: tuple[KvSource, ...] = ()
    segment_end: int = 0
    windowed: bool = False


@dataclasses.dataclass(slots=True)
class Chunk:
    """Consecutive output tokens of one attempt, or the end of its answer.

    Attributes:
      attempt_id: attempt that the engine names for the chunk.
      index: index of the first token.
      count: number of tokens.
      text: text of all the tokens.
      end: whether the answer ends with this chunk.
      finish_reason: ``stop`` or ``length`` at the end, else None.
      cached_tokens: at the end, prompt tokens found in the prefix cache.
      raw: the escaped text of the engine's JSON string, without its quotes, so
        that it can be forwarded without encoding it again; empty if it was
        not kept.
    """

    attempt_id: str
    index: int
    count: int
    text: str
    end: bool = False
    finish_reason: str | None = None
    cached_tokens: int = 0
    raw: bytes = dataclasses.field(default=b"", compare=False, repr=False)


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """An engine cached a prefix block or evicted it.

    Attributes:
      sequence: increases by one per event since the engine's start; a gap means
        that events were lost.
      block: digest of the block.
      stored: True when cached, False when evicted.
    """

    sequence: int
    block: str
    stored: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Desired state of an engine; applying it is idempotent.

    Attributes:
      fence: fencing number of the lease holder that sends the order.
      revision: catalogue revision that the state is derived from.
      role: a value of ``core.endpoint.Role``.
      models: models to keep loaded, ``name@version``.
      adapters: adapters to keep loaded.
      drain: whether to reject new requests.
    """

    fence: int
    revision: int
    role: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    drain: bool = False
