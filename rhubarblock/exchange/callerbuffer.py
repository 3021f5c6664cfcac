"""Buffers the answer for a caller that reads slowly.

An endpoint cuts an answer that is not read for some seconds. So the answer is
read in time and held for the caller, as long as the caller's share of memory
allows that; then the answer is cut.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import logging

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import memoryaccount
from rhubarblock.exchange import sink as sinks
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service

# Longest piece in bytes that is written at once; half of what a transport
# buffers before it asks writers to wait.
PIECE_BYTES = 32_768
# Seconds for which reading from the endpoint is delayed while the caller is
# behind, so that one with a slower link than the endpoint's is not cut at once.
# It is well under the pause after which an attempt counts as stalled.
READ_DELAY_S = 0.25
# Bytes that are read from the endpoint between two such delays. With a delay
# after each read, TCP opened the endpoint's window so seldom that an endpoint
# which waits for 1 s cut the answer.
BATCH_BYTES = 524_288
# Seconds for which a buffered answer waits for memory while the endpoint's
# answer is not read.
RESERVE_WAIT_S = 1.0

_ANSWERS = memoryaccount.Kind.ANSWERS

_logger = logging.getLogger(__name__)


class CallerBuffer(sinks.Sink):
    """Writes to a sink without waiting for a caller that reads slowly."""

    __slots__ = (
        "_begun_s",
        "_flush",
        "_held",
        "_metrics",
        "_request_id",
        "_share",
        "_sink",
        "_timers",
        "_undelayed",
    )

    def __init__(
        self,
        sink: sinks.Sink,
        share: memoryaccount.Share,
        request_id: str,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        self._sink = sink
        self._share = share
        self._request_id = request_id
        self._timers = timers
        self._metrics = metrics
        self._held = bytearray()
        # Bytes that were held since reading was last delayed.
        self._undelayed = 0
        self._flush: asyncio.Task[None] | None = None
        # When the caller first fell behind.
        self._begun_s: float | None = None

    @property
    def begun(self) -> bool:
        return self._sink.begun

    async def begin(
        self,
        status: int,
        headers: tuple[exchanges.Header, ...],
        length: int | None,
    ) -> None:
        await self._sink.begin(status, headers, length)

    async def write(self, data: bytes) -> None:
        """Writes what the caller takes and holds the rest.

        Raises:
          failures.FailureError: the caller's share of memory is used up; its
            connection is closed.
        """
        written = 0
        if self._flush is None:
            written = await self._write_fitting(data)
        if written == len(data):
            return
        self._hold(data[written:])
        if self._flush is None:
            self._flush = asyncio.ensure_future(self._write_held())
        await self._delay_reading(len(data))

    async def finish(self) -> None:
        await self._wait_flushed(None)
        await self._sink.finish()

    async def reserve(self, size: int) -> bool:
        return await self._share.wait_hold(_ANSWERS, size, RESERVE_WAIT_S)

    async def send_whole(
        self, status: int, headers: tuple[exchanges.Header, ...], body: bytes
    ) -> None:
        # Its memory is reserved and its endpoint's answer was read, so that
        # only this caller waits.
        await self._sink.begin(status, headers, len(body))
        view = memoryview(body)
        for at in range(0, len(body), PIECE_BYTES):
            await self._sink.write(bytes(view[at : at + PIECE_BYTES]))
        await self._sink.finish()

    def cut(self) -> None:
        self.stop()
        self._sink.cut()

    def abort(self) -> None:
        self.stop()
        self._sink.abort()

    def stop(self) -> None:
        """Stops writing what is held."""
        if self._flush is not None:
            self._flush.cancel()

    async def _delay_reading(self, size: int) -> None:
        """Waits briefly for the caller, if what arrives meanwhile may be held.

        Args:
          size: bytes of the last read; as many are expected to arrive.
        """
        self._undelayed += size
        if self._undelayed < BATCH_BYTES:
            await self._wait_flushed(0.0)
            return
        self._undelayed = 0
        expected = min(size, memoryaccount.RECEIVED_BYTES)
        if not self._share.try_hold(_ANSWERS, expected):
            return
        try:
            await self._wait_flushed(READ_DELAY_S)
        finally:
            self._share.release(_ANSWERS, expected)

    async def _write_fitting(self, data: bytes) -> int:
        """Writes pieces that need not wait; returns their length in bytes."""
        written = 0
        while written < len(data):
            piece = data[written : written + PIECE_BYTES]
            if not self._sink.fits(len(piece)):
                break
            await self._sink.write(piece)
            written += len(piece)
        return written

    def _hold(self, data: bytes) -> None:
        if not self._share.try_hold(_ANSWERS, len(data)):
            self._metrics.count("memory.callers_cut")
            _logger.warning("slow caller is cut", extra=self._describe(data))
            self.abort()
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.STREAM_CUT,
                    "the caller read too slowly",
                    verdicts.Verdict.MAY_HAVE_RUN,
                )
            )
        self._held.extend(data)
        if self._begun_s is None:
            self._begun_s = self._timers.read_monotonic()
            self._metrics.count("memory.callers_behind")
            _logger.info("caller reads slowly", extra=self._describe(data))

    async def _write_held(self) -> None:
        while self._held:
            piece = bytes(self._held[:PIECE_BYTES])
            await self._sink.write(piece)
            del self._held[: len(piece)]
            self._share.release(_ANSWERS, len(piece))
        self._flush = None

    async def _wait_flushed(self, timeout_s: float | None) -> None:
        flush = self._flush
        if flush is None:
            return
        done, _ = await asyncio.wait({flush}, timeout=timeout_s)
        if done:
            # Raises what ended the writing, as when the caller disconnected.
            await flush

    def _describe(self, data: bytes) -> dict[str, object]:
        """Returns the log fields of a decision about this caller."""
        account = self._share.account
        begun_s = self._begun_s
        now_s = self._timers.read_monotonic()
        return {
            "request": self._request_id,
            "size": len(data),
            "held": self._share.held[_ANSWERS],
            "held_answers": account.held[_ANSWERS],
            "held_total": account.total,
            "limit": account.limit,
            "behind_s": round(now_s - begun_s, 3) if begun_s else 0.0,
        }


@contextlib.contextmanager
def open_buffer(
    sink: sinks.Sink,
    share: memoryaccount.Share,
    request_id: str,
    timers: timer_service.Timers,
    metrics: metric_store.Metrics,
) -> Iterator[CallerBuffer]:
    """Buffers for a sink; stops writing at the end of the context.

    Args:
      sink: the caller's connection.
      share: what this connection may hold.
      request_id: id of the request, for the log.
      timers: the clock.
      metrics: counters.

    Yields:
      The buffer.
    """
    buffer = CallerBuffer(sink, share, request_id, timers, metrics)
    try:
        yield buffer
    finally:
        buffer.stop()
