"""Faults of the stand-in engine that tests can switch on."""

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
    """Faults of one engine; all are off by default.

    Attributes:
      slow_factor: multiplies the duration of each iteration.
      late_s: delay of every chunk in seconds.
      cross_next: number of next pairs of chunks to swap between two streams.
      cut_next: number of next streams to end without an end chunk.
      duplicate_next: number of next chunks to send twice.
      crash_digests: digests of bodies that crash the engine when their attempt
        starts.
      bad_versions: ``name@version`` that load but fail every attempt.
      refuse_until_s: monotonic time until which connections are refused.
      pause_until_s: monotonic time until which nothing progresses.
      stopping: whether the platform is about to stop the engine; it then
        refuses new attempts whatever its orders say.
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
    def affects_streams(self) -> bool:
        """Whether chunks have to pass through a ``FaultInjector``."""
        return bool(
            self.late_s
            or self.cross_next
            or self.cut_next
            or self.duplicate_next
        )


class Delivery:
    """A chunk to put on a stream, or None for the end of the stream."""

    __slots__ = ("chunk", "request", "stream")

    def __init__(
        self,
        request: enginerequest.EngineRequest,
        chunk: attempts.Chunk | None,
    ):
        self.request = request
        self.stream: enginestream.Stream[attempts.Chunk] = request.stream
        self.chunk = chunk

    def deliver(self) -> None:
        """Puts the chunk on the stream, or closes the stream."""
        if self.chunk is None:
            self.stream.close()
        else:
            self.stream.put(self.chunk)


class FaultInjector:
    """Delivers the chunks of iterations with the faults that are on."""

    __slots__ = ("_batches", "_faults", "_last_delivery_s", "_timers")

    def __init__(self, faults: EngineFaults, clock: timers.Timers):
        self._faults = faults
        self._timers = clock
        self._last_delivery_s = 0.0
        self._batches: collections.deque[list[Delivery]] = collections.deque()

    @property
    def busy(self) -> bool:
        """Whether earlier chunks have not been delivered yet."""
        return bool(self._batches)

    def send(
        self, deliveries: list[Delivery]
    ) -> list[enginerequest.EngineRequest]:
        """Applies the faults to the chunks of one iteration and delivers them.

        Args:
          deliveries: the chunks and ends of streams, in order.

        Returns:
          The requests whose stream was cut.
        """
        self._cross(deliveries)
        self._duplicate(deliveries)
        cut = self._cut(deliveries)
        # A crossed chunk may still go to a stream that ends, so the ends of
        # streams are delivered last.
        deliveries.sort(key=lambda each: each.chunk is None)
        now_s = self._timers.read_monotonic()
        self._last_delivery_s = max(
            self._last_delivery_s, now_s + self._faults.late_s
        )
        self._batches.append(deliveries)
        if self._last_delivery_s > now_s or len(self._batches) > 1:
            self._timers.call_later(
                self._last_delivery_s - now_s, self._deliver_next_batch
            )
        else:
            self._deliver_next_batch()
        return cut

    def _deliver_next_batch(self) -> None:
        for delivery in self._batches.popleft():
            delivery.deliver()

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
