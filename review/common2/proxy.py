"""A loopback proxy whose open connections can go silent for good."""

import asyncio
import contextlib

CHUNK_BYTES = 1 << 16


class Link:
    """One forwarded connection.

    Attributes:
      is_silent: whether nothing is forwarded any more, in either direction.
      first_line: first line of the latest request.
      requests: number of pieces that the near side has sent.
      is_open: whether it has not been closed.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self.first_line = ""
        self.requests = 0
        self.is_open = True


class Proxy:
    """Forwards connections to an address.

    Attributes:
      links: all connections so far, the oldest first.
    """

    def __init__(self, host: str, port: int):
        self._target = host, port
        self.links: list[Link] = []

    async def serve(self, ip: str) -> int:
        """Listens on a free port; returns it."""
        server = await asyncio.start_server(self._accept, ip, 0)
        return server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = Link()
        self.links.append(link)
        try:
            there = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy(link, reader, there[1], True),
                self._copy(link, there[0], writer, False),
            )
        link.is_open = False

    async def _copy(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if is_request:
                    line = data.partition(b"\r\n")[0].decode("latin-1")
                    link.first_line = line
                    link.requests += 1
                if not link.is_silent:
                    writer.write(data)
                    await writer.drain()
        if not link.is_silent:
            writer.close()
