"""A minimal HTTP/1.1 client connection that exposes bytes and close time.

A usual HTTP client reports neither whether a byte of the answer had arrived
before the connection closed nor when it closed; both decide whether a planned
stop cut a request.
"""

import asyncio
import dataclasses

import multidict

from tools.soak import evidence as evidences


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A complete answer.

    Attributes:
      status: its status code.
      headers: its headers; their names are case-insensitive.
      body: its body, without the framing of chunks.
    """

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes

    @property
    def is_last(self) -> bool:
        """Whether the connection may not be used again."""
        return self.headers.get("Connection", "").lower() == "close"


class Connection(asyncio.Protocol):
    """A connection that sends one request at a time.

    Attributes:
      received: bytes of the present answer so far.
      served: how many complete answers came.
      closed_s: when it was closed; None while it is open.
    """

    def __init__(self) -> None:
        self.received = b""
        self.served = 0
        self.closed_s: float | None = None
        self._changed = asyncio.Event()
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        self._changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.closed_s = evidences.read_clock()
        self._changed.set()

    async def send(self, pieces: list[bytes], pause_s: float) -> None:
        """Sends a request, but nothing after an answer or a close.

        Args:
          pieces: the bytes of the request.
          pause_s: longest pause between two pieces in seconds.
        """
        for number, piece in enumerate(pieces):
            if number:
                await self._wait_change(pause_s)
            if self.received or self.closed_s is not None:
                return
            self._transport.write(piece)

    async def read_answer(self) -> Answer | None:
        """Returns the next answer, or None if the connection closed first."""
        while True:
            answer = parse_answer(self.received)
            if answer is not None:
                self.received = b""
                self.served += 1
                return answer
            if self.closed_s is not None:
                return None
            await self._wait_change(None)

    def close(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()

    async def _wait_change(self, timeout_s: float | None) -> None:
        """Waits for bytes, the close of the connection or a timeout."""
        self._changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return


async def connect(ip: str, port: int) -> Connection:
    """Opens a connection.

    Raises:
      OSError: nothing listens on the address.
    """
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(Connection, ip, port)
    return connection


def parse_answer(data: bytes) -> Answer | None:
    """Parses an answer, or returns None while it is incomplete."""
    head, end, rest = data.partition(b"\r\n\r\n")
    if not end:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = multidict.CIMultiDict(
        (name, value.strip()) for name, _, value in fields
    )
    if headers.get("Transfer-Encoding") == "chunked":
        body = _join_chunks(rest)
    else:
        length = int(headers.get("Content-Length", "0"))
        body = rest if len(rest) >= length else None
    if body is None:
        return None
    return Answer(int(first.split()[1]), headers, body)


def _join_chunks(data: bytes) -> bytes | None:
    """Returns the content of chunks, or None without the last chunk."""
    body = b""
    while True:
        size, end, data = data.partition(b"\r\n")
        if not end:
            return None
        length = int(size, 16)
        if len(data) < length + 2:
            return None
        if not length:
            return body
        body += data[:length]
        data = data[length + 2 :]
