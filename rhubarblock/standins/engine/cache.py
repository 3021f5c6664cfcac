"""Prefix cache of the stand-in engine and the events that it publishes."""

import collections
from collections.abc import Callable
import random

from rhubarblock.core import attempt as attempts
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import settings as enginesettings

MAX_EVENTS = 50_000  # Readers see a gap in place of older events.


class CacheEventLog:
    """Log of numbered cache events, which are delayed and sometimes lost."""

    __slots__ = ("_events", "_next_sequence", "_rng", "_settings", "_timers")

    def __init__(
        self,
        clock: timers.Timers,
        rng: random.Random,
        settings: enginesettings.EngineSettings,
    ):
        self._timers = clock
        self._rng = rng
        self._settings = settings
        # Each entry holds the time from which the event can be read, and the
        # event, or None if it is lost. Sequence numbers of neighbouring
        # entries are consecutive.
        self._events: collections.deque[
            tuple[float, attempts.CacheEvent | None]
        ] = collections.deque(maxlen=MAX_EVENTS)
        self._next_sequence = 1

    def append(self, block: str, stored: bool) -> None:
        """Records that a block was stored (or else evicted) just now."""
        event: attempts.CacheEvent | None = attempts.CacheEvent(
            self._next_sequence, block, stored
        )
        if self._rng.random() < self._settings.event_loss:
            event = None
        visible_s = self._timers.read_monotonic() + self._settings.event_lag_s
        self._events.append((visible_s, event))
        self._next_sequence += 1

    def read(self, after: int) -> list[attempts.CacheEvent]:
        """Returns the visible events after a sequence number."""
        now_s = self._timers.read_monotonic()
        first = self._next_sequence - len(self._events)
        found = []
        for position in range(max(0, after + 1 - first), len(self._events)):
            visible_s, event = self._events[position]
            if visible_s > now_s:
                break
            if event is not None:
                found.append(event)
        return found


class PrefixCache:
    """Prefix blocks, pinned while requests hold them and idle otherwise."""

    __slots__ = ("_idle", "_on_change", "_pins")

    def __init__(self, on_change: Callable[[str, bool], None]):
        """Creates an empty cache.

        Args:
          on_change: called with a block and whether it was stored, as opposed
            to evicted.
        """
        self._on_change = on_change
        self._pins: dict[str, int] = {}
        # In order of last use, least recently used first.
        self._idle: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def pinned_tokens(self) -> int:
        """Tokens of the blocks that requests hold; each block counts once."""
        return len(self._pins) * enginesettings.BLOCK_TOKENS

    @property
    def idle_tokens(self) -> int:
        """Tokens of the blocks that can be evicted."""
        return len(self._idle) * enginesettings.BLOCK_TOKENS

    def count_leading(self, blocks: tuple[str, ...]) -> int:
        """Returns how many leading blocks are cached."""
        count = 0
        for block in blocks:
            if block not in self._pins and block not in self._idle:
                break
            count += 1
        return count

    def count_idle(self, blocks: tuple[str, ...]) -> int:
        """Returns how many of the blocks are cached but not pinned."""
        return sum(block in self._idle for block in blocks)

    def pin(self, block: str) -> None:
        """Pins a block, storing it first if it isn't cached."""
        pins = self._pins.get(block, 0)
        self._pins[block] = pins + 1
        if pins:
            return
        if block in self._idle:
            del self._idle[block]
        else:
            self._on_change(block, True)

    def unpin(self, block: str) -> None:
        """Removes one pin of a block; without pins the block becomes idle."""
        pins = self._pins[block] - 1
        if pins:
            self._pins[block] = pins
            return
        del self._pins[block]
        self._idle[block] = None

    def evict_oldest(self) -> None:
        """Evicts the idle block that was used least recently."""
        block, _ = self._idle.popitem(last=False)
        self._on_change(block, False)
