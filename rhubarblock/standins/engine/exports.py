"""Export of KV cache to other engines.

A reader gets an event when the source is computed and, in copy mode, when the
copy is complete. The protocol is described in docs/standins.md.
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
    """How a reader uses a source."""

    COPY = "copy"  # Copies it once.
    WINDOW = "window"  # Reads it repeatedly during the prefill.
    DECODE = "decode"  # Reads it repeatedly during the decode.


class ReadEvent(enum.Enum):
    """Event sent to a reader."""

    COMPUTED = "computed"  # The source is complete.
    COPIED = "copied"  # The copy is complete; nothing follows.
    STALLED = "stalled"  # The source's engine is paused.
    RESUMED = "resumed"  # The engine works again.


@dataclasses.dataclass(slots=True, frozen=True)
class ReadRequest:
    """Request to read an export.

    Attributes:
      handle: id of the attempt that was exported.
      mode: how the reader uses it.
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
        """Yields the events of one read; closing the iterator ends the read.

        Raises:
          failure.FailureError: ENDPOINT_FAILED when the source is lost.
        """


def make_lost_failure(handle: str) -> failures.Failure:
    """Returns the failure of a read whose export is lost."""
    return failures.Failure(
        failures.FailureCode.ENDPOINT_FAILED,
        f"the KV cache {handle} is not held any more",
        verdicts.Verdict.MAY_HAVE_RUN,
    )


class Reader:
    """One read of an export under way."""

    __slots__ = ("copy_end_s", "copy_timer", "events", "request", "start_s")

    def __init__(self, request: ReadRequest, start_s: float):
        self.request = request
        self.start_s = start_s
        self.copy_end_s = 0.0
        self.events: enginestream.Stream[ReadEvent] = enginestream.Stream()
        self.copy_timer: asyncio.TimerHandle | None = None


class Export:
    """The KV cache of one attempt, readable from its arrival until it expires.

    Attributes:
      handle: id of the attempt.
      readers: reads under way.
    """

    __slots__ = (
        "_computed_s",
        "_copy_tokens_per_s",
        "_expiry_timer",
        "_last_tokens",
        "_on_expire",
        "_single_copy",
        "_timers",
        "_ttl_s",
        "handle",
        "readers",
    )

    def __init__(
        self,
        handle: str,
        clock: timers.Timers,
        copy_tokens_per_s: float,
        ttl_s: float,
        single_copy: bool,
        on_expire: Callable[[], None],
    ):
        """Creates the export of an attempt that just arrived.

        Args:
          handle: id of the attempt.
          clock: timer service.
          copy_tokens_per_s: rate at which a reader copies it.
          ttl_s: seconds without a reader after which it expires.
          single_copy: whether it expires once a copy is complete.
          on_expire: called when it expires.
        """
        self.handle = handle
        self.readers: list[Reader] = []
        self._timers = clock
        self._copy_tokens_per_s = copy_tokens_per_s
        self._ttl_s = ttl_s
        self._single_copy = single_copy
        self._on_expire = on_expire
        self._computed_s: float | None = None
        self._last_tokens = 0
        self._expiry_timer: asyncio.TimerHandle | None = None

    @property
    def decode_readers(self) -> int:
        """Number of reads by engines that decode."""
        return sum(
            reader.request.mode is ReadMode.DECODE for reader in self.readers
        )

    def mark_computed(self, last_tokens: int) -> None:
        """Marks the KV cache as computed and notifies the readers.

        Args:
          last_tokens: tokens of the last iteration, which no reader has copied
            yet.
        """
        self._computed_s = self._timers.read_monotonic()
        self._last_tokens = last_tokens
        for reader in self.readers:
            self._notify_computed(reader)
        self._schedule_expiry()

    def attach(self, reader: Reader) -> None:
        """Starts a read."""
        self.readers.append(reader)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        if self._computed_s is not None:
            self._notify_computed(reader)

    def detach(self, reader: Reader) -> None:
        """Ends a read."""
        if reader.copy_timer is not None:
            reader.copy_timer.cancel()
        if reader in self.readers:
            self.readers.remove(reader)
            self._schedule_expiry()

    def notify_readers(self, event: ReadEvent) -> None:
        """Sends an event to every reader."""
        for reader in self.readers:
            reader.events.put(event)

    def postpone(self, seconds: float) -> None:
        """Delays the copies under way by the length of a pause."""
        for reader in self.readers:
            if reader.copy_timer is not None:
                reader.copy_timer.cancel()
                self._schedule_copy_end(reader, reader.copy_end_s + seconds)

    def fail_readers(self) -> None:
        """Fails every read because the KV cache is lost."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        readers = self.readers
        self.readers = []
        for reader in readers:
            if reader.copy_timer is not None:
                reader.copy_timer.cancel()
            reader.events.close(make_lost_failure(self.handle))

    def _notify_computed(self, reader: Reader) -> None:
        reader.events.put(ReadEvent.COMPUTED)
        if reader.request.mode is not ReadMode.COPY:
            return
        assert self._computed_s is not None
        # All tokens except those of the last iteration were copied while later
        # ones were computed.
        copy_end_s = max(
            self._computed_s + self._last_tokens / self._copy_tokens_per_s,
            reader.start_s + reader.request.tokens / self._copy_tokens_per_s,
        )
        self._schedule_copy_end(reader, copy_end_s)

    def _schedule_copy_end(self, reader: Reader, copy_end_s: float) -> None:
        reader.copy_end_s = copy_end_s
        delay_s = max(0.0, copy_end_s - self._timers.read_monotonic())
        reader.copy_timer = self._timers.call_later(
            delay_s, lambda: self._finish_copy(reader)
        )

    def _finish_copy(self, reader: Reader) -> None:
        reader.copy_timer = None
        self.readers.remove(reader)
        reader.events.put(ReadEvent.COPIED)
        reader.events.close()
        if self._single_copy and not self.readers:
            self._on_expire()
        else:
            self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        if self._computed_s is None or self.readers:
            return
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._expiry_timer = self._timers.call_later(
            self._ttl_s, self._on_expire
        )
