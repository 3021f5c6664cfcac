"""A connection to an endpoint."""

import asyncio
import logging
import math
import re
from typing import Any

from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import sends
from rhubarblock.httpclient import protocol as protocols

# Seconds before an endpoint's own idle timeout from which a connection is not
# reused: a request must arrive before the endpoint closes it.
KEEPALIVE_MARGIN_S = 0.5
# Longest answer in bytes to a call of the instance itself, such as one for a
# memory lease. Answers to exchanges are bounded where they are buffered.
MAX_CALL_BYTES = 65_536

_logger = logging.getLogger(__name__)


class EndpointProtocol(protocols.AnswerProtocol):
    """A connection that matches each answer to its request.

    Attributes:
      expected_id: id that the answer to the current request echoes.
      was_reset: whether the connection ended with an error.
      is_relayed: whether a peer forwards it.
      was_closed: whether the endpoint is known to have closed it regularly.
    """

    # Parameter of Keep-Alive with an endpoint's idle timeout in seconds.
    _IDLE_TIME = re.compile(r"\btimeout=(\d{1,9})(?!\w)", re.IGNORECASE)

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        attempt_header: str,
        max_body_bytes: float = math.inf,
    ):
        super().__init__(loop, max_body_bytes)
        self._attempt_header = attempt_header
        self.is_relayed = False
        self.was_closed = False
        self._end_mark = b""
        # Bytes that may be the start of the end mark.
        self._held = b""
        self._paths: endpoint_paths.ServicePaths | None = None
        self.expected_id = ""
        self._send = sends.Send(0, 0, False)
        self.was_reset = False
        self._idle_s = math.inf
        self._used_s = loop.time()

    def is_connected(self) -> bool:
        # Data that arrived on an idle connection belongs to no request.
        if not super().is_connected() or self.should_close:
            return False
        if self._paths is not None and self._paths.distrusts(self._used_s):
            return False
        return (
            self._loop.time()
            <= self._used_s + self._idle_s - KEEPALIVE_MARGIN_S
        )

    def begin_send(self, request_id: str) -> sends.Send:
        """Begins to expect the answer to the next request.

        Args:
          request_id: id that the answer echoes; empty if it echoes none.

        Returns:
          The description of this send, which is updated until its answer.
        """
        self.expected_id = request_id
        self.max_body_bytes = math.inf if request_id else MAX_CALL_BYTES
        port = 0
        if self.transport is not None:
            port = (self.transport.get_extra_info("sockname") or (0, 0))[1]
        self._send = sends.Send(port, self._send.position + 1, self.is_relayed)
        return self._send

    def set_direct(self, paths: endpoint_paths.ServicePaths) -> None:
        """Reports what the connection receives to the paths that it uses."""
        self._paths = paths

    def set_relayed(self, end_mark: bytes = b"") -> None:
        """Marks a connection that a peer forwards.

        It serves one request: the peer could not stop without closing a kept
        connection on which a request may be on its way.

        Args:
          end_mark: what the peer sends once the endpoint has closed.
        """
        self.is_relayed = True
        self._end_mark = end_mark
        self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None:
            self.was_reset = True
        if self._held:
            super().data_received(self._held)
            self._held = b""
        super().connection_lost(exc)

    def is_own(self, message: Any) -> bool:
        echoed = message.headers.getall(self._attempt_header, ())
        if len(echoed) > 1:
            raise protocols.InvalidAnswerError("it names a request twice")
        return not echoed or echoed[0] == self.expected_id

    def describe(self) -> dict[str, object]:
        return {
            **super().describe(),
            "request": self.expected_id,
            "local_port": self._send.local_port,
            "position": self._send.position,
        }

    async def read(self) -> Any:
        """Returns the next answer that echoes the expected id."""
        while True:
            message, payload = await super().read()
            self._note_idle_time(message.headers.get("Keep-Alive", ""))
            if self.is_own(message):
                return message, payload
            # A late answer to an abandoned request.
            self._note_skipped(message)
            await payload.read()

    def _note_skipped(self, message: Any) -> None:
        self._send.skipped += 1
        echoed = message.headers[self._attempt_header]
        _logger.info(
            "answer skipped",
            extra={
                **self.describe(),
                "answer_to": echoed[: dialects.SHOWN_CHARACTERS],
                "status": message.code,
            },
        )

    def data_received(self, data: bytes) -> None:
        self._used_s = self._loop.time()
        if self._paths is not None:
            self._paths.note_received()
        if self._end_mark and data:
            data = self._take_end_mark(self._held + data)
            if not data:
                return
        # aiohttp passes no data to resume what it has paused.
        super().data_received(data)

    def _take_end_mark(self, data: bytes) -> bytes:
        """Returns data without the end mark or what may be its start."""
        mark = self._end_mark
        if data.endswith(mark):
            self._held = b""
            self.was_closed = True
            return data.removesuffix(mark)
        size = next(
            size
            for size in range(min(len(mark) - 1, len(data)), -1, -1)
            if data.endswith(mark[:size])
        )
        self._held = data[len(data) - size :]
        return data[: len(data) - size]

    def _note_idle_time(self, text: str) -> None:
        found = self._IDLE_TIME.search(text)
        if found is not None:
            self._idle_s = float(found[1])
