"""Export of KV cache: what one engine lets others read.

A reader is told when the source is computed, and, when it copies, when the
copy is done. The protocol is described in docs/standins.md.
"""

import abc
import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Callable
import dataclasses
import enum

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import stream as enginestream


class ReadMode(enum.Enum):
    """How a source is read."""

    COPY = "copy"  # Once, whole.
    WINDOW = "window"  # Again and again while the reader prefills.
    DECODE = "decode"  # Again and again while the reader decodes.


class ReadEvent(enum.Enum):
    """What a reader is told."""

    COMPUTED = "computed"  # The source is complete.
    COPIED = "copied"  # The copy is complete; nothing follows.
    STALLED = "stalled"  # The source's engine stands still.
    RESUMED = "resumed"  # It goes on.


@dataclasses.dataclass(slots=True, frozen=True)
class ReadRequest:
    """A wish to read an export.

    Attributes:
      handle: attempt id that holds it.
      mode: how it is read.
      tokens: tokens to copy; 0 unless the mode is COPY.
    """

    handle: str
    mode: ReadMode
    tokens: int = 0


class KvTransport(abc.ABC):
    """Reads the exports of other engines."""

    @abc.abstractmethod
    def read_kv(
        self, address: str, request: ReadRequest
    ) -> AsyncGenerator[ReadEvent, None]:
        """Yields the events of one reading; closing it ends the reading.

        Raises:
          failure.FailureError: ENDPOINT_FAILED when the source is lost.
        """


def make_lost_failure(handle: str) -> failures.Failure:
    """Returns the failure of whoever reads an export that is gone."""
    return failures.Failure(
        failures.FailureCode.ENDPOINT_FAILED,
        f"the KV cache {handle} is not held any more",
        verdicts.Verdict.MAY_HAVE_RUN,
    )


class Reader:
    """One reading of an export."""

    __slots__ = ("end_s", "events", "request", "start_s", "timer")

    def __init__(self, request: ReadRequest, start_s: float):
        self.request = request
        self.start_s = start_s
        self.end_s = 0.0
        self.events: enginestream.Stream[ReadEvent] = enginestream.Stream()
        self.timer: asyncio.TimerHandle | None = None


class Export:
    """The KV cache of one attempt, while it is computed and while it is held.

    Attributes:
      handle: id of the attempt.
      readers: readings under way.
    """

    __slots__ = (
        "_computed_s",
        "_expire",
        "_last_tokens",
        "_once",
        "_rate",
        "_timer",
        "_timers",
        "_ttl_s",
        "handle",
        "readers",
    )

    def __init__(
        self,
        handle: str,
        clock: timers.Timers,
        rate: float,
        ttl_s: float,
        once: bool,
        expire: Callable[[], None],
    ):
        """Creates the export of an attempt that just arrived.

        Args:
          handle: id of the attempt.
          clock: timer service.
          rate: tokens a second that a reader copies.
          ttl_s: seconds without a reader after which it expires.
          once: whether one finished copy makes it expire.
          expire: called when it expired.
        """
        self.handle = handle
        self.readers: list[Reader] = []
        self._timers = clock
        self._rate = rate
        self._ttl_s = ttl_s
        self._once = once
        self._expire = expire
        self._computed_s: float | None = None
        self._last_tokens = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def decode_readers(self) -> int:
        """Readings of engines that decode."""
        return sum(
            reader.request.mode is ReadMode.DECODE for reader in self.readers
        )

    def complete(self, last_tokens: int) -> None:
        """Notes that the KV cache is computed.

        Args:
          last_tokens: tokens of the latest iteration, not yet copied.
        """
        self._computed_s = self._timers.read_monotonic()
        self._last_tokens = last_tokens
        for reader in self.readers:
            self._announce(reader)
        self._schedule_expiry()

    def attach(self, reader: Reader) -> None:
        """Starts a reading."""
        self.readers.append(reader)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._computed_s is not None:
            self._announce(reader)

    def detach(self, reader: Reader) -> None:
        """Ends a reading."""
        if reader.timer is not None:
            reader.timer.cancel()
        if reader in self.readers:
            self.readers.remove(reader)
            self._schedule_expiry()

    def tell(self, event: ReadEvent) -> None:
        """Tells every reader of something."""
        for reader in self.readers:
            reader.events.put(event)

    def delay(self, seconds: float) -> None:
        """Puts off the copies under way, as the engine stands still."""
        for reader in self.readers:
            if reader.timer is not None:
                reader.timer.cancel()
                self._finish_at(reader, reader.end_s + seconds)

    def lose(self) -> None:
        """Ends every reading with a failure."""
        if self._timer is not None:
            self._timer.cancel()
        readers = self.readers
        self.readers = []
        for reader in readers:
            if reader.timer is not None:
                reader.timer.cancel()
            reader.events.close(make_lost_failure(self.handle))

    def _announce(self, reader: Reader) -> None:
        reader.events.put(ReadEvent.COMPUTED)
        if reader.request.mode is not ReadMode.COPY:
            return
        assert self._computed_s is not None
        # All but the latest iteration was copied while it was computed.
        end_s = max(
            self._computed_s + self._last_tokens / self._rate,
            reader.start_s + reader.request.tokens / self._rate,
        )
        self._finish_at(reader, end_s)

    def _finish_at(self, reader: Reader, end_s: float) -> None:
        reader.end_s = end_s
        delay_s = max(0.0, end_s - self._timers.read_monotonic())
        reader.timer = self._timers.call_later(
            delay_s, lambda: self._finish_copy(reader)
        )

    def _finish_copy(self, reader: Reader) -> None:
        reader.timer = None
        self.readers.remove(reader)
        reader.events.put(ReadEvent.COPIED)
        reader.events.close()
        if self._once and not self.readers:
            self._expire()
        else:
            self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        if self._computed_s is None or self.readers:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_later(self._ttl_s, self._expire)
