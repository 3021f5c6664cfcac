"""The prefix cache of the stand-in engine, and the events it publishes."""

import collections
from collections.abc import Callable
import random

from rhubarblock.core import attempt as attempts
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import settings as enginesettings

MAX_EVENTS = 50_000  # Events kept for readers; older ones show as a gap.


class CacheEventLog:
    """Numbers cache events and shows them late, without a few of them."""

    __slots__ = ("_events", "_next", "_rng", "_settings", "_timers")

    def __init__(
        self,
        clock: timers.Timers,
        rng: random.Random,
        settings: enginesettings.EngineSettings,
    ):
        self._timers = clock
        self._rng = rng
        self._settings = settings
        # Each entry is the time at which the event shows, and the event or
        # None where it is lost; positions follow the sequence numbers.
        self._events: collections.deque[
            tuple[float, attempts.CacheEvent | None]
        ] = collections.deque(maxlen=MAX_EVENTS)
        self._next = 1

    def append(self, block: str, stored: bool) -> None:
        """Records that a block was cached or dropped just now."""
        event: attempts.CacheEvent | None = attempts.CacheEvent(
            self._next, block, stored
        )
        if self._rng.random() < self._settings.event_loss:
            event = None
        shown_s = self._timers.read_monotonic() + self._settings.event_lag_s
        self._events.append((shown_s, event))
        self._next += 1

    def read(self, after: int) -> list[attempts.CacheEvent]:
        """Returns the events after a sequence number that show by now."""
        now_s = self._timers.read_monotonic()
        first = self._next - len(self._events)
        found = []
        for position in range(max(0, after + 1 - first), len(self._events)):
            shown_s, event = self._events[position]
            if shown_s > now_s:
                break
            if event is not None:
                found.append(event)
        return found


class PrefixCache:
    """Blocks of prompts: pinned while a request holds them, else idle."""

    __slots__ = ("_idle", "_pins", "_record")

    def __init__(self, record: Callable[[str, bool], None]):
        """Creates an empty cache.

        Args:
          record: called with a block and whether it was stored or dropped.
        """
        self._record = record
        self._pins: dict[str, int] = {}
        # In the order of last use, the least recent first.
        self._idle: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def pinned_tokens(self) -> int:
        """Tokens of the blocks that requests hold."""
        return len(self._pins) * enginesettings.BLOCK_TOKENS

    @property
    def idle_tokens(self) -> int:
        """Tokens of the blocks that can be dropped at once."""
        return len(self._idle) * enginesettings.BLOCK_TOKENS

    def count_leading(self, blocks: tuple[str, ...]) -> int:
        """Returns how many of the blocks, from the first on, are cached."""
        count = 0
        for block in blocks:
            if block not in self._pins and block not in self._idle:
                break
            count += 1
        return count

    def count_idle(self, blocks: tuple[str, ...]) -> int:
        """Returns how many of the blocks are cached and held by nobody."""
        return sum(block in self._idle for block in blocks)

    def pin(self, block: str) -> None:
        """Holds a block, storing it first where it isn't cached."""
        pins = self._pins.get(block, 0)
        self._pins[block] = pins + 1
        if pins:
            return
        if block in self._idle:
            del self._idle[block]
        else:
            self._record(block, True)

    def unpin(self, block: str) -> None:
        """Gives up one hold; the last one makes the block idle."""
        pins = self._pins[block] - 1
        if pins:
            self._pins[block] = pins
            return
        del self._pins[block]
        self._idle[block] = None

    def drop_oldest(self) -> None:
        """Drops the idle block that was used least recently."""
        block, _ = self._idle.popitem(last=False)
        self._record(block, False)
