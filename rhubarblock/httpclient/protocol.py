"""A client connection that passes on only valid answers.

What arrives is cut into heads and bodies here. A head reaches aiohttp's parser
once it is complete and valid; a body reaches it as it arrives. So an invalid
head is never parsed, and what arrives before or after an answer is bounded.
"""

import asyncio
import logging
import math
import threading
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import streams

from rhubarblock.httpclient import answerhead

# Bytes that are read from a connection before other connections get their turn.
READ_BYTES = 16_384
# Longest head of an answer in bytes.
MAX_HEAD_BYTES = 65_536
# Most answers, and their bytes, that may precede the answer to a request:
# interim ones, and late ones to abandoned requests.
MAX_PRECEDING_ANSWERS = 32
MAX_PRECEDING_BYTES = 1 << 18
# Bytes that sizes, extensions and trailers of chunks may have beyond as many as
# their content: tiny chunks cost far more time than their content is worth.
MAX_CHUNK_OVERHEAD_BYTES = 16_384

# How a body in chunks ends that has no trailer fields.
_PLAIN_END = b"\r\n0\r\n\r\n"

_NO_HEAD = answerhead.AnswerHead(0, None, False)

_logger = logging.getLogger(__name__)


class _Buffers(threading.local):
    """The buffer that all connections of a thread read into.

    What was read is copied before another connection of the thread is read.
    """

    def __init__(self) -> None:
        self.current = memoryview(bytearray(READ_BYTES))


_buffers = _Buffers()


class InvalidAnswerError(aiohttp.ClientError):
    """What arrived is no valid answer; the text says why."""


class AnswerProtocol(client_proto.ResponseHandler, asyncio.BufferedProtocol):
    """A connection on which each request gets one valid answer or an error.

    Attributes:
      max_body_bytes: longest body of an answer in bytes.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_body_bytes: float = math.inf
    ):
        super().__init__(loop)
        self.max_body_bytes = max_body_bytes
        # What arrived, and how much of it the parser has got.
        self._data = b""
        self._at = 0
        self._is_expecting = False
        self._is_rejected = False
        self._is_lost = False
        # The latest head, whether the parser is getting it, and whether its
        # answer precedes the expected one.
        self._head = _NO_HEAD
        self._is_passing_head = False
        self._is_preceding = False
        # Bytes of the present body that arrived, with the sizes of chunks.
        self._body_bytes = 0
        self._preceding = 0
        self._preceding_bytes = 0

    def is_own(self, message: Any) -> bool:
        """Returns whether an answer belongs to the current request.

        Args:
          message: head of the answer, as aiohttp parsed it.

        Raises:
          InvalidAnswerError: the head leaves that open.
        """
        del message
        return True

    def describe(self) -> dict[str, object]:
        """Returns the log fields that identify the connection."""
        peer = self.transport and self.transport.get_extra_info("peername")
        return {"address": f"{peer[0]}:{peer[1]}" if peer else ""}

    def set_response_params(self, **params: Any) -> None:
        # Called for each request, right before it is sent.
        self._is_expecting = True
        self._preceding = 0
        self._preceding_bytes = 0
        super().set_response_params(**params)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _buffers.current

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_buffers.current[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self._is_rejected:
            return
        if not data:
            # This resumes the parser.
            super().data_received(data)
        self._data += data
        self._pass_on()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._is_lost = True
        self._pass_on()
        super().connection_lost(exc)

    def feed_data(self, data: tuple[Any, Any], size: int = 0) -> None:
        # Called by the parser for each head.
        message = data[0]
        if not self._is_passing_head or message.code != self._head.status:
            raise InvalidAnswerError("an answer begins within another one")
        self._is_passing_head = False
        self._is_preceding = self._head.interim or not self.is_own(message)
        if self._is_preceding:
            self._preceding += 1
        else:
            self._is_expecting = False
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *args: Any) -> None:
        if isinstance(exc, http_exceptions.HttpProcessingError):
            # Its text repeats what arrived.
            self._reject("it can't be parsed")
        else:
            super().set_exception(exc, *args)

    def _pass_on(self) -> None:
        """Passes on what may be read now."""
        try:
            while self._at < len(self._data) and (
                self._is_lost or not self._reading_paused
            ):
                if self._is_in_body():
                    is_passed = self._pass_body()
                elif self._is_expecting:
                    is_passed = self._pass_head()
                else:
                    is_passed = False
                    self._drop_excess()
                if not is_passed:
                    break
        except (answerhead.InvalidHeadError, InvalidAnswerError) as error:
            self._reject(str(error))
        # The last bytes are kept, as the end of a body may have begun.
        begun = max(0, self._at - len(_PLAIN_END))
        self._data = self._data[begun:]
        self._at -= begun

    def _is_in_body(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def _pass_head(self) -> bool:
        """Passes on a head; returns False if it isn't complete yet.

        Raises:
          answerhead.InvalidHeadError: it is invalid.
          InvalidAnswerError: its answer is.
        """
        at = self._data.find(answerhead.END, self._at)
        end = at + len(answerhead.END) if at >= 0 else len(self._data)
        size = end - self._at
        if size > MAX_HEAD_BYTES:
            raise InvalidAnswerError("the head is too long")
        if at < 0:
            answerhead.check_start(self._data[self._at :])
            return False
        head = self._take(end)
        self._head = answerhead.decode(head)
        self._body_bytes = 0
        self._is_passing_head = True
        super().data_received(head)
        if self._is_preceding:
            self._count_preceding(size)
        return True

    def _pass_body(self) -> bool:
        """Passes on a part of a body; returns False if there is none.

        Raises:
          InvalidAnswerError: the answer is invalid.
        """
        piece = self._take(self._find_body_end())
        if self._is_preceding:
            self._count_preceding(len(piece))
        self._body_bytes += len(piece)
        if self._body_bytes > self.max_body_bytes:
            raise InvalidAnswerError("the body is too long")
        body = self._payload
        super().data_received(piece)
        if body is not None and self._head.chunked:
            self._check_chunks(body)
        return bool(piece)

    def _check_chunks(self, body: streams.StreamReader) -> None:
        """Checks a body in chunks after a part of it was passed on.

        Raises:
          InvalidAnswerError: the answer is invalid.
        """
        overhead = self._body_bytes - body.total_bytes
        if overhead > MAX_CHUNK_OVERHEAD_BYTES + body.total_bytes:
            raise InvalidAnswerError("the chunks are too small")
        if (
            self._is_preceding
            and body.is_eof()
            and not self._data.endswith(_PLAIN_END, 0, self._at)
        ):
            # The parser would count the trailer as fields of the next head.
            raise InvalidAnswerError("a trailer precedes it")

    def _find_body_end(self) -> int:
        """Returns up to where what arrived belongs to the body for sure."""
        if self._head.length is not None:
            return self._at + self._head.length - self._body_bytes
        end = len(self._data)
        if self._head.chunked:
            # The body ends with an empty line, and may contain others.
            start = max(0, self._at + 1 - len(answerhead.END))
            at = self._data.find(answerhead.END, start)
            end = at + len(answerhead.END) if at >= 0 else end
        return end

    def _take(self, end: int) -> bytes:
        """Returns what arrived up to a position, which is read now."""
        piece = self._data[self._at : end]
        self._at += len(piece)
        return piece

    def _count_preceding(self, size: int) -> None:
        """Counts bytes that precede the expected answer.

        Raises:
          InvalidAnswerError: there are too many.
        """
        self._preceding_bytes += size
        if (
            self._preceding > MAX_PRECEDING_ANSWERS
            or self._preceding_bytes > MAX_PRECEDING_BYTES
        ):
            raise InvalidAnswerError("too many other answers precede it")

    def _drop_excess(self) -> None:
        """Closes the connection on bytes that no request asked for."""
        _logger.info("bytes after an answer", extra=self.describe())
        self._is_rejected = True
        self._data = b""
        self._at = 0
        self.force_close()
        self._close_now()

    def _reject(self, reason: str) -> None:
        """Ends the request with an error and closes the connection."""
        if self._is_rejected:
            return
        self._is_rejected = True
        self._data = b""
        self._at = 0
        _logger.info(
            "invalid answer", extra={**self.describe(), "reason": reason}
        )
        error = InvalidAnswerError(f"the answer is invalid: {reason}")
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self._parser = None
        super().set_exception(error)
        self._close_now()

    def _close_now(self) -> None:
        if self.transport is not None:
            self.transport.abort()
