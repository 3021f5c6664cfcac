"""A proxy between two programs whose connections can go silent."""

import asyncio
import contextlib

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to an address on loopback.

    Attributes:
      target: host and port that connections are forwarded to.
      address: ``host:port`` on which it listens.
    """

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.address = ""
        self._silent: set[asyncio.Task[None]] = set()
        self._open: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens on a free port of a host."""
        self._server = await asyncio.start_server(self._forward, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def silence(self) -> int:
        """Lets all open connections go silent; new ones work.

        Returns:
          The number of connections.
        """
        self._silent |= self._open
        return len(self._open)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        upstream: asyncio.StreamWriter | None = None
        try:
            back, upstream = await asyncio.open_connection(*self.target)
            await asyncio.wait(
                [
                    asyncio.ensure_future(self._copy(task, reader, upstream)),
                    asyncio.ensure_future(self._copy(task, back, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(task)
            self._silent.discard(task)
            for end in (writer, upstream):
                if end is not None:
                    end.close()

    async def _copy(
        self,
        task: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if task in self._silent:
                    # Nothing passes any more, and nobody is told.
                    continue
                writer.write(data)
                await writer.drain()
