"""Which engine probably has the beginning of a prompt in its cache.

Engines publish cache events late and with gaps, so the index is a hint: a
wrong one costs the computation that it promised to save. What a placement will
cache is noted at once, before the engine tells it.
"""

from collections.abc import Iterable
import dataclasses

from rhubarblock.core import attempt as attempts

# Tokens of one block of the prefix cache; the engines' protocol fixes it.
BLOCK_TOKENS = 512
# Most blocks remembered of one engine; the oldest go first.
MOST_BLOCKS = 4_096


@dataclasses.dataclass(slots=True)
class IndexCounters:
    """What the index counted since its start.

    Attributes:
      events: events taken in.
      gaps: gaps found in their numbers.
    """

    events: int = 0
    gaps: int = 0


class _EngineBlocks:
    """Blocks of one engine, the latest last."""

    __slots__ = ("blocks", "sequence", "start_id")

    def __init__(self, start_id: str = "") -> None:
        self.start_id = start_id
        self.sequence = 0
        self.blocks: dict[str, None] = {}

    def store(self, block: str) -> None:
        self.blocks.pop(block, None)
        self.blocks[block] = None
        if len(self.blocks) > MOST_BLOCKS:
            del self.blocks[next(iter(self.blocks))]


class PrefixIndex:
    """Blocks by engine."""

    __slots__ = ("_engines", "counters")

    def __init__(self) -> None:
        self._engines: dict[str, _EngineBlocks] = {}
        self.counters = IndexCounters()

    def read_sequence(self, endpoint_id: str) -> int:
        """Returns the number of the last event of an engine."""
        engine = self._engines.get(endpoint_id)
        return engine.sequence if engine else 0

    def note_start(self, endpoint_id: str, start_id: str) -> None:
        """Forgets an engine that was started anew: its memory is empty."""
        engine = self._engines.get(endpoint_id)
        if engine is None or engine.start_id != start_id:
            self._engines[endpoint_id] = _EngineBlocks(start_id)

    def take_events(
        self, endpoint_id: str, events: Iterable[attempts.CacheEvent]
    ) -> None:
        """Takes in events of an engine; a gap is counted and passed over.

        A lost event makes one block wrong, and the engine's next event of that
        block puts it right, so nothing is thrown away for it.
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
        """Notes what a placement is about to cache at an engine."""
        engine = self._engines.setdefault(endpoint_id, _EngineBlocks())
        for block in blocks:
            engine.store(block)

    def count_cached(self, endpoint_id: str, blocks: tuple[str, ...]) -> int:
        """Returns the prompt tokens that an engine probably has cached.

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
