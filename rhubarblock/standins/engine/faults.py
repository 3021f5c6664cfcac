"""Faults of the stand-in engine that a test can switch on."""

import collections
import dataclasses
import math

from rhubarblock.core import attempt as attempts
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import request as enginerequest
from rhubarblock.standins.engine import stream as enginestream

FOREVER = math.inf


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """What is wrong with an engine; the defaults are a sound one.

    Attributes:
      slow_factor: multiplies the duration of each iteration.
      late_s: delay of every chunk in seconds.
      cross_next: pairs of chunks still to be put on each other's stream.
      cut_next: streams still to be ended without an end chunk.
      duplicate_next: chunks still to be sent twice.
      crash_digests: digests whose attempts kill the engine when they start.
      bad_versions: ``name@version`` that load but fail every attempt.
      refuse_until_s: moment up to which connections are refused.
      pause_until_s: moment up to which nothing progresses.
      stopping: whether its platform stops it: it refuses new work, whatever it
        is ordered.
    """

    slow_factor: float = 1.0
    late_s: float = 0.0
    cross_next: int = 0
    cut_next: int = 0
    duplicate_next: int = 0
    crash_digests: set[str] = dataclasses.field(default_factory=set)
    bad_versions: set[str] = dataclasses.field(default_factory=set)
    refuse_until_s: float = 0.0
    pause_until_s: float = 0.0
    stopping: bool = False

    @property
    def touch_streams(self) -> bool:
        """Whether chunks can't simply be put on their own streams."""
        return bool(
            self.late_s
            or self.cross_next
            or self.cut_next
            or self.duplicate_next
        )


class Delivery:
    """A chunk on its way to a stream; no chunk stands for the end."""

    __slots__ = ("chunk", "request", "stream")

    def __init__(
        self,
        request: enginerequest.EngineRequest,
        chunk: attempts.Chunk | None,
    ):
        self.request = request
        self.stream: enginestream.Stream[attempts.Chunk] = request.stream
        self.chunk = chunk

    def hand_out(self) -> None:
        """Puts the chunk on its stream, or ends the stream."""
        if self.chunk is None:
            self.stream.close()
        else:
            self.stream.put(self.chunk)


class FaultyOutlet:
    """Hands out the chunks of an iteration with the faults switched on."""

    __slots__ = ("_batches", "_faults", "_last_s", "_timers")

    def __init__(self, faults: EngineFaults, clock: timers.Timers):
        self._faults = faults
        self._timers = clock
        self._last_s = 0.0
        self._batches: collections.deque[list[Delivery]] = collections.deque()

    @property
    def busy(self) -> bool:
        """Whether earlier chunks are still on their way."""
        return bool(self._batches)

    def send(
        self, deliveries: list[Delivery]
    ) -> list[enginerequest.EngineRequest]:
        """Disturbs and hands out the chunks of one iteration.

        Args:
          deliveries: the chunks in order, ends of streams included.

        Returns:
          The requests whose stream was cut.
        """
        self._cross(deliveries)
        self._duplicate(deliveries)
        cut = self._cut(deliveries)
        # A stream may still get another one's chunk, so the ends come last.
        deliveries.sort(key=lambda each: each.chunk is None)
        now_s = self._timers.read_monotonic()
        self._last_s = max(self._last_s, now_s + self._faults.late_s)
        self._batches.append(deliveries)
        if self._last_s > now_s or len(self._batches) > 1:
            self._timers.call_later(self._last_s - now_s, self._hand_out)
        else:
            self._hand_out()
        return cut

    def _hand_out(self) -> None:
        for delivery in self._batches.popleft():
            delivery.hand_out()

    def _cross(self, deliveries: list[Delivery]) -> None:
        chunks = [each for each in deliveries if each.chunk is not None]
        while self._faults.cross_next and len(chunks) >= 2:
            first = chunks.pop(0)
            second = chunks.pop(0)
            first.stream, second.stream = second.stream, first.stream
            self._faults.cross_next -= 1

    def _duplicate(self, deliveries: list[Delivery]) -> None:
        for position in reversed(range(len(deliveries))):
            if not self._faults.duplicate_next:
                return
            if deliveries[position].chunk is not None:
                deliveries.insert(position, deliveries[position])
                self._faults.duplicate_next -= 1

    def _cut(
        self, deliveries: list[Delivery]
    ) -> list[enginerequest.EngineRequest]:
        cut = []
        for delivery in deliveries:
            if not self._faults.cut_next:
                break
            if delivery.chunk is not None:
                delivery.chunk = None
                cut.append(delivery.request)
                self._faults.cut_next -= 1
        return cut
