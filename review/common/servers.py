"""A stand-in of a plain server that follows the users' pages."""

import asyncio
from collections.abc import Callable
import contextlib
import random

from common import platform
from common import wire

ATTEMPT = "x-rhubarblock-attempt-id"
TARGET = "x-rhubarblock-target-instance"


class Server:
    """One server of a plain service, which registers itself.

    Attributes:
      id: id of its present start.
      arrivals: time, attempt id and sender of each request that arrived.
      runs: time and attempt id of each request that it ran.
      work_s: seconds that a request takes.
    """

    def __init__(
        self, store: platform.Store, service: str, zone: str, host: str
    ):
        self.store = store
        self.service, self.zone, self.host = service, zone, host
        self.id = ""
        self.port = 0
        self.work_s = 0.03
        self.sequence = 0
        self.state = ""
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.on_run: Callable[[wire.Message], None] = lambda message: None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts with a new id and registers."""
        self.id = f"i-{random.getrandbits(40):010x}"
        await self.listen()
        self.write_entry("ready")

    async def listen(self) -> None:
        """Listens on its port, or on a free one at first."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Its ``host:port``, as it is registered."""
        return f"{self.host}:{self.port}"

    def write_entry(self, state: str) -> float:
        """Writes its entry; returns when that was acknowledged."""
        self.state = state
        self.sequence += 1
        return self.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
            },
        )

    def stop(self) -> None:
        """Ends at once, as a process that exits."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while (message := await wire.read_message(reader)) is not None:
                    await self.answer(message, writer)
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def answer(
        self, message: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        attempt = message.headers.get(ATTEMPT, "")
        if message.headers.get(TARGET) != self.id:
            headers = {"X-Rhubarblock-Instance-Id": self.id}
            if attempt:
                headers["X-Rhubarblock-Attempt-Id"] = attempt
            writer.write(wire.encode_answer(421, b"", headers))
            return
        sender = str(writer.get_extra_info("peername")[0])
        self.arrivals.append((wire.now(), attempt, sender))
        self.runs.append((wire.now(), attempt))
        self.on_run(message)
        await asyncio.sleep(self.work_s)
        headers = {
            "X-Rhubarblock-Attempt-Id": attempt,
            "X-Rhubarblock-Server-Seal": f"{self.id}.{attempt}",
        }
        writer.write(wire.encode_answer(200, b"done " * 20, headers))
