"""A small HTTP/1.1 for stand-ins: heads, bodies and answers on streams."""

import asyncio
import dataclasses


class BrokenError(Exception):
    """A connection ended within a message."""


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer.

    Attributes:
      start: the three parts of its first line.
      fields: header fields by lower-case name.
      body: its body, without the framing of chunks.
      is_whole: whether it ended as its head says.
    """

    start: tuple[str, str, str]
    fields: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next head, or None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError("within a head") from error
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    parts = [*first.split(" ", 2), ""]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return Message((parts[0], parts[1], parts[2]), fields)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body of a message that has a length or chunks."""
    try:
        if message.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                message.body += piece[:-2]
                if not size:
                    return
        length = int(message.fields.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_whole = False
    except ConnectionError:
        message.is_whole = False


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next whole message, or None at the end."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def encode(first: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
