"""A small HTTP/1.1 codec for the stand-ins, on asyncio streams."""

import asyncio
import dataclasses
import time

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 503: "Unavailable"}


def now() -> float:
    """Returns seconds of the steady clock."""
    return time.monotonic()


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer.

    Attributes:
      first: the first line, split at spaces.
      headers: header fields by lower-case name.
      body: the whole body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Reads the body of a message that has a length or comes in chunks."""
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        pieces = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(pieces)
    length = int(message.headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with its body; None if the connection ends before."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        message.body = await read_body(reader, message)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return message


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Returns an answer whose body has a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a request whose body has a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
