"""State of one attempt inside the stand-in engine."""

import asyncio
import enum

from rhubarblock.core import attempt as attempts
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import memory as enginememory
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import stream as enginestream


class Phase(enum.Enum):
    """Phase of an attempt."""

    WAITING = "waiting"  # Waits for memory.
    IMPORTING = "importing"  # Has memory, waits for its sources.
    PREFILLING = "prefilling"
    SETTLING = "settling"  # Prefilled, still reads its sources.
    DECODING = "decoding"
    HELD = "held"  # Finished, its memory is kept for readers.
    GONE = "gone"  # Ended, its memory is freed.


class EngineRequest:
    """State of one attempt.

    Attributes:
      attempt: the attempt as submitted.
      attempt_id: id of the attempt.
      version: model that it runs on, ``name@version``.
      arrival: sequence number of its arrival within one run of the engine.
      phase: current phase.
      stream: chunks for the caller.
      kv_start: first prompt position whose KV cache this engine holds.
      kv_end: position after the last prompt position that it holds.
      prefill_end: position up to which the prefill computes.
      position: position up to which it is computed.
      next_index: index of the next token to generate.
      sent_index: index of the first token that has not been sent.
      cached_tokens: prompt tokens found in the prefix cache.
      last_tokens: tokens computed in its latest iteration.
      reservation: its KV memory, or None while it waits.
      export: the KV cache that other engines may read, or None.
      tasks: tasks that read its sources.
      text_group: group of the token that it generates next.
      texts: texts of the tokens of that group.
      pending_sources: number of sources that aren't computed yet.
      sources_read_s: earliest time at which sources that are read in windows
        have been read completely.
      stalled_sources: number of sources whose engine is paused.
      started: whether its first prefill chunk or its decode was scheduled.
    """

    __slots__ = (
        "arrival",
        "attempt",
        "attempt_id",
        "cached_tokens",
        "export",
        "kv_end",
        "kv_start",
        "last_tokens",
        "next_index",
        "pending_sources",
        "phase",
        "position",
        "prefill_end",
        "reservation",
        "sent_index",
        "sources_read_s",
        "stalled_sources",
        "started",
        "stream",
        "tasks",
        "text_group",
        "texts",
        "version",
    )

    def __init__(self, attempt: attempts.Attempt, version: str, arrival: int):
        self.attempt = attempt
        self.version = version
        self.attempt_id = attempt.attempt_id
        self.arrival = arrival
        self.phase = Phase.WAITING
        self.stream: enginestream.Stream[attempts.Chunk] = enginestream.Stream()
        self.kv_start = self.source_tokens if self.windowed else 0
        self.kv_end = attempt.segment_end or attempt.prompt_tokens
        self.prefill_end = self.kv_end
        if not self.is_segment:
            self.prefill_end += attempt.resume_from
        self.position = self.kv_start
        self.next_index = attempt.resume_from
        self.sent_index = attempt.resume_from
        self.cached_tokens = 0
        self.last_tokens = 0
        self.reservation: enginememory.Reservation | None = None
        self.export: engineexport.Export | None = None
        self.text_group = -1
        self.texts: tuple[str, ...] = ()
        self.tasks: list[asyncio.Task[None]] = []
        self.pending_sources = len(attempt.sources)
        self.sources_read_s = 0.0
        self.stalled_sources = 0
        self.started = False

    @property
    def is_segment(self) -> bool:
        """Whether it only computes a segment of a prompt for other engines."""
        return self.attempt.segment_end > 0

    @property
    def windowed(self) -> bool:
        """Whether it reads its sources in windows instead of copying them."""
        if not self.attempt.sources:
            return False
        return self.attempt.windowed or self.is_segment

    @property
    def source_tokens(self) -> int:
        """Prompt tokens that the sources cover."""
        return sum(source.tokens for source in self.attempt.sources)

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key of the scheduling order: priority, then arrival."""
        return (self.attempt.priority, self.arrival)

    @property
    def remaining_tokens(self) -> int:
        """Tokens left to prefill."""
        return self.prefill_end - self.position

    @property
    def kv_blocks(self) -> tuple[str, ...]:
        """Prefix blocks entirely within the part of the prompt held here."""
        size = enginesettings.BLOCK_TOKENS
        if self.kv_start % size:
            return ()
        return self.attempt.prefix_blocks[
            self.kv_start // size : self.kv_end // size
        ]

    def count_memory_tokens(self, window_tokens: int) -> int:
        """Returns the KV memory that it needs, in tokens.

        Args:
          window_tokens: KV memory needed to read sources in windows.
        """
        tokens = self.kv_end - self.kv_start
        if not self.is_segment:
            tokens += self.attempt.max_tokens
        if self.windowed:
            tokens += window_tokens
        return tokens

    def find_start_position(self, cached_blocks: int) -> int:
        """Returns the position up to which the prefix cache covers it.

        Args:
          cached_blocks: number of its leading blocks that are cached.
        """
        position = self.kv_start + cached_blocks * enginesettings.BLOCK_TOKENS
        if self.is_segment:
            return position
        # The last position is always computed, as it yields the first token.
        return min(position, self.prefill_end - 1)
