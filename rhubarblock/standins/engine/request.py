"""One attempt inside the stand-in engine."""

import asyncio
import enum

from rhubarblock.core import attempt as attempts
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import memory as enginememory
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.engine import stream as enginestream


class Phase(enum.Enum):
    """What an attempt does at the moment."""

    WAITING = "waiting"  # For memory.
    IMPORTING = "importing"  # Holds memory, waits for its sources.
    PREFILLING = "prefilling"
    SETTLING = "settling"  # Computed, but its sources aren't read to the end.
    DECODING = "decoding"
    HELD = "held"  # Ended, its memory kept for readers.
    GONE = "gone"


class EngineRequest:
    """State of one attempt.

    Attributes:
      attempt: what was asked.
      attempt_id: id of the attempt.
      version: model that it runs on, ``name@version``.
      arrival: rises with each attempt of one start of the engine.
      phase: what it does at the moment.
      stream: the chunks on their way to the caller.
      own_start: first position whose KV this engine holds.
      own_end: position after the last of the prompt that it holds.
      target: position up to which it computes before the first token.
      position: position up to which it is computed.
      next_index: index of the next token to generate.
      sent_index: index of the first token that no chunk holds yet.
      cached_tokens: prompt tokens found in the prefix cache.
      last_tokens: tokens computed in its latest iteration.
      reservation: its memory, or None while it waits.
      export: what others may read of it, or None.
      tasks: tasks that read its sources.
      text_group: group of tokens that it generates now.
      texts: texts of that group.
      sources_left: sources that aren't computed yet.
      settle_s: moment at which windowed reading catches up.
      stalled: sources whose engine stands still.
      started: whether it was computed on at all.
    """

    __slots__ = (
        "arrival",
        "attempt",
        "attempt_id",
        "cached_tokens",
        "export",
        "last_tokens",
        "next_index",
        "own_end",
        "own_start",
        "phase",
        "position",
        "reservation",
        "sent_index",
        "settle_s",
        "sources_left",
        "stalled",
        "started",
        "stream",
        "target",
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
        self.own_start = self.source_tokens if self.windowed else 0
        self.own_end = attempt.segment_end or attempt.prompt_tokens
        self.target = self.own_end
        if not self.is_segment:
            self.target += attempt.resume_from
        self.position = self.own_start
        self.next_index = attempt.resume_from
        self.sent_index = attempt.resume_from
        self.cached_tokens = 0
        self.last_tokens = 0
        self.reservation: enginememory.Reservation | None = None
        self.export: engineexport.Export | None = None
        self.text_group = -1
        self.texts: tuple[str, ...] = ()
        self.tasks: list[asyncio.Task[None]] = []
        self.sources_left = len(attempt.sources)
        self.settle_s = 0.0
        self.stalled = 0
        self.started = False

    @property
    def is_segment(self) -> bool:
        """Whether it holds a segment and generates nothing."""
        return self.attempt.segment_end > 0

    @property
    def windowed(self) -> bool:
        """Whether it reads its sources in windows instead of copying them."""
        if not self.attempt.sources:
            return False
        return self.attempt.windowed or self.is_segment

    @property
    def source_tokens(self) -> int:
        """Tokens of the prompt that the sources cover."""
        return sum(source.tokens for source in self.attempt.sources)

    @property
    def order(self) -> tuple[int, int]:
        """Sorts by priority, then arrival."""
        return (self.attempt.priority, self.arrival)

    @property
    def remaining(self) -> int:
        """Tokens to compute before the first one is generated."""
        return self.target - self.position

    @property
    def own_blocks(self) -> tuple[str, ...]:
        """Prefix blocks that lie wholly in its part of the prompt."""
        size = enginesettings.BLOCK_TOKENS
        if self.own_start % size:
            return ()
        return self.attempt.prefix_blocks[
            self.own_start // size : self.own_end // size
        ]

    def count_memory_tokens(self, window_tokens: int) -> int:
        """Returns the KV memory it needs in tokens.

        Args:
          window_tokens: memory for reading sources in windows.
        """
        tokens = self.own_end - self.own_start
        if not self.is_segment:
            tokens += self.attempt.max_tokens
        if self.windowed:
            tokens += window_tokens
        return tokens

    def start_position(self, cached_blocks: int) -> int:
        """Returns the position up to which the prefix cache covers it.

        Args:
          cached_blocks: number of its blocks that are cached.
        """
        position = self.own_start + cached_blocks * enginesettings.BLOCK_TOKENS
        if self.is_segment:
            return position
        # The last position is always computed: it yields the first token.
        return min(position, self.target - 1)
