"""A loopback proxy before the store or an endpoint that a test can break."""

import asyncio
import contextlib

from tools.soak import evidence as evidences

# Bytes that are passed on at once.
_PIECE = 1 << 16
# Seconds by which each piece is late on a slow way.
_LATE_S = 0.15

MODES = ("silent", "reset", "deaf", "mute", "slow")


class SoakProxy:
    """Passes connections on.

    Attributes:
      mode: empty passes on; ``silent`` keeps everything; ``reset`` breaks each
        connection; ``deaf`` keeps what comes back, so that calls are done and
        not answered; ``mute`` keeps what goes there; ``slow`` is late.
      healed_s: when it passed on again after it was broken.
      target: port that connections are passed on to.
    """

    def __init__(self, target: int = 0):
        self.mode = ""
        self.healed_s = 0.0
        self.target = target

    def heal(self) -> None:
        """Passes on again."""
        if self.mode:
            self.mode = ""
            self.healed_s = evidences.read_clock()

    def was_broken_since(self, since_s: float) -> bool:
        """Whether it was broken at some time since another."""
        return bool(self.mode) or self.healed_s >= since_s

    @contextlib.asynccontextmanager
    async def open(self):  # type: ignore[no-untyped-def]
        """Listens while the context is open; yields its port."""
        server = await asyncio.start_server(self._pass, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        ways = [
            asyncio.ensure_future(self._copy(reader, far[1], False)),
            asyncio.ensure_future(self._copy(far[0], writer, True)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        await asyncio.gather(*ways, return_exceptions=True)
        for end in (writer, far[1]):
            end.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        while data := await reader.read(_PIECE):
            if self.mode == "reset":
                return
            if self.mode == "slow":
                await asyncio.sleep(_LATE_S)
            while self._is_kept(is_back):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()

    def _is_kept(self, is_back: bool) -> bool:
        """Whether bytes of one way stay here at present."""
        if self.mode == "silent":
            return True
        return self.mode == ("deaf" if is_back else "mute")
