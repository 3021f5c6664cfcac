"""A loopback proxy before the store or an endpoint, with injected faults."""

import asyncio
import contextlib

from tools.soak import evidence as evidences

# Most bytes that are forwarded at once.
_CHUNK_BYTES = 1 << 16
# Seconds by which each chunk is delayed in the mode ``slow``.
_SLOW_DELAY_S = 0.15

MODES = ("silent", "reset", "deaf", "mute", "slow")


class SoakProxy:
    """Forwards connections to a port on loopback.

    Attributes:
      mode: empty forwards everything; ``silent`` holds back both directions;
        ``reset`` closes a connection at its next data; ``deaf`` holds back
        responses, so that calls run but get no answer; ``mute`` holds back
        requests; ``slow`` delays both directions.
      healed_s: when it last resumed forwarding after a fault.
      target: port that connections are forwarded to.
      port: port that it listens on, the same each time; 0 before the first.
    """

    def __init__(self, target: int = 0):
        self.mode = ""
        self.port = 0
        self.healed_s = 0.0
        self.target = target

    def heal(self) -> None:
        """Ends a fault."""
        if self.mode:
            self.mode = ""
            self.healed_s = evidences.read_clock()

    def was_broken_since(self, since_s: float) -> bool:
        """Whether it had a fault at any time since a given one."""
        return bool(self.mode) or self.healed_s >= since_s

    @contextlib.asynccontextmanager
    async def open(self):  # type: ignore[no-untyped-def]
        """Listens while the context is open; yields its port."""
        server = await asyncio.start_server(
            self._forward, "127.0.0.1", self.port
        )
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self.port
        finally:
            server.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        directions = [
            asyncio.ensure_future(self._copy(reader, upstream[1], False)),
            asyncio.ensure_future(self._copy(upstream[0], writer, True)),
        ]
        await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        for direction in directions:
            direction.cancel()
        await asyncio.gather(*directions, return_exceptions=True)
        for stream in (writer, upstream[1]):
            stream.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.mode == "reset":
                return
            if self.mode == "slow":
                await asyncio.sleep(_SLOW_DELAY_S)
            while self._is_held_back(is_response):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()

    def _is_held_back(self, is_response: bool) -> bool:
        """Whether the data of one direction is held back at present."""
        if self.mode == "silent":
            return True
        return self.mode == ("deaf" if is_response else "mute")
