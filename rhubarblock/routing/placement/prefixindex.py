"""Estimates which engine has the beginning of a prompt in its prefix cache.

Engines publish cache events late and with gaps, so the index is only a hint: a
wrong entry costs the computation that it promised to save. The blocks that a
placement will cache are added at once, before the engine reports them.
"""

from collections.abc import Iterable
import dataclasses

from rhubarblock.core import attempt as attempts

# Tokens in one block of the prefix cache; fixed by the engines' protocol.
BLOCK_TOKENS = 512
# Blocks remembered for each engine; the oldest are evicted first.
MAX_BLOCKS = 4_096


@dataclasses.dataclass(slots=True)
class IndexCounters:
    """Counters of the index since its start.

    Attributes:
      events: events applied.
      gaps: gaps in their sequence numbers.
    """

    events: int = 0
    gaps: int = 0


class _EngineBlocks:
    """Cached blocks of one engine, the most recent last."""

    __slots__ = ("blocks", "sequence", "start_id")

    def __init__(self, start_id: str = "") -> None:
        self.start_id = start_id
        self.sequence = 0
        self.blocks: dict[str, None] = {}

    def store(self, block: str) -> None:
        self.blocks.pop(block, None)
        self.blocks[block] = None
        if len(self.blocks) > MAX_BLOCKS:
            del self.blocks[next(iter(self.blocks))]


class PrefixIndex:
    """Cached blocks of each engine."""

    __slots__ = ("_engines", "counters")

    def __init__(self) -> None:
        self._engines: dict[str, _EngineBlocks] = {}
        self.counters = IndexCounters()

    def read_sequence(self, endpoint_id: str) -> int:
        """Returns the sequence number of the last event of an engine."""
        engine = self._engines.get(endpoint_id)
        return engine.sequence if engine else 0

    def note_start(self, endpoint_id: str, start_id: str) -> None:
        """Clears the blocks of an engine that restarted with an empty cache."""
        engine = self._engines.get(endpoint_id)
        if engine is None or engine.start_id != start_id:
            self._engines[endpoint_id] = _EngineBlocks(start_id)

    def take_events(
        self, endpoint_id: str, events: Iterable[attempts.CacheEvent]
    ) -> None:
        """Applies cache events of an engine; counts gaps and skips them.

        A lost event makes one block wrong until the engine's next event about
        that block, so a gap does not discard the other blocks.
        """
        engine = self._engines.setdefault(endpoint_id, _EngineBlocks())
        for event in events:
            if event.sequence <= engine.sequence:
                continue
            self.counters.events += 1
            if event.sequence > engine.sequence + 1:
                self.counters.gaps += 1
            engine.sequence = event.sequence
            if event.stored:
                engine.store(event.block)
            else:
                engine.blocks.pop(event.block, None)

    def expect(self, endpoint_id: str, blocks: Iterable[str]) -> None:
        """Adds the blocks that a placement is about to cache at an engine."""
        engine = self._engines.setdefault(endpoint_id, _EngineBlocks())
        for block in blocks:
            engine.store(block)

    def count_cached(self, endpoint_id: str, blocks: tuple[str, ...]) -> int:
        """Returns the prompt tokens that an engine probably has in its cache.

        Args:
          endpoint_id: the engine.
          blocks: chained digests of the first blocks of the prompt.
        """
        engine = self._engines.get(endpoint_id)
        if engine is None or not blocks:
            return 0
        cached = 0
        for block in blocks:
            if block not in engine.blocks:
                break
            cached += 1
        return cached * BLOCK_TOKENS
