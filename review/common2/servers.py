"""Plain servers of a service, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import itertools
import json
import socket
from typing import Any

from common2 import record as records
from common2 import store as stores
from common2 import wire

_numbers = itertools.count(1)


class Server:
    """One server: registers itself, answers, drains and exits.

    Attributes:
      server_id: id of this incarnation.
      ran: ids of the requests that it began to work on, with the times.
      slots: number of requests that it processes at once.
      weights: version of its weights.
      zone: where it runs.
      address: where it listens.
      is_up: whether it has not crashed.
      record: the record of the case.
      running: paths of the requests that it works on.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        store: stores.Store,
        record: records.Record,
        work_s: float = 0.09,
    ):
        self.server_id = f"i-{next(_numbers):04d}"
        self.ran: list[tuple[float, str]] = []
        self.slots = 6
        self.weights = 1
        self.is_up = True
        self.running: list[str] = []
        self._service = service
        self.zone = zone
        self._store = store
        self.record = record
        self._work_s = work_s
        self.address = ""
        self._listener: asyncio.Server
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listens and registers."""
        self._listener = await asyncio.start_server(self._accept, ip, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self.register("ready")

    def register(self, state: str) -> None:
        """Writes its entry in the store."""
        self._store.put(
            f"servers/{self.server_id}",
            {
                "service": self._service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": 0,
                "stage": "colocated",
                "models": [],
                "sequence": 1,
            },
        )
        self.record.note(f"store: {self.server_id} is {state}")

    def crash(self) -> None:
        """Ends the process without a word; its entry stays for a while."""
        self.is_up = False
        self._listener.close()
        for writer in list(self._open):
            writer.transport.abort()
        self.record.note(f"server {self.server_id} crashes")

    def expire(self) -> None:
        """Removes its entry, as the store does after three heartbeats."""
        self._store.remove(f"servers/{self.server_id}")

    def exit(self) -> None:
        """Ends the process: closes all connections; its entry is removed."""
        self._listener.close()
        for writer in list(self._open):
            writer.close()
        self._store.remove(f"servers/{self.server_id}")
        self.record.note(f"server {self.server_id} has ended")

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        with contextlib.suppress(
            ConnectionError, wire.BrokenError, asyncio.CancelledError
        ):
            while (request := await wire.read_message(reader)) is not None:
                await self._serve(request, writer)
        self._open.discard(writer)
        writer.close()

    async def _serve(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        attempt = request.fields.get("x-rhubarblock-attempt-id", "")
        target = request.fields.get("x-rhubarblock-target-instance")
        echo = {"X-Rhubarblock-Attempt-Id": attempt}
        if target and target != self.server_id:
            echo["X-Rhubarblock-Instance-Id"] = self.server_id
            writer.write(wire.encode("HTTP/1.1 421 Misdirected", echo))
            return
        expected = request.fields.get("x-rhubarblock-expected-version")
        if expected and expected != str(self.weights):
            echo["X-Rhubarblock-Instance-Id"] = self.server_id
            writer.write(wire.encode("HTTP/1.1 421 Misdirected", echo))
            self.record.note(
                f"server {self.server_id} rejects {attempt}: it has weights of"
                f" version {self.weights}"
            )
            return
        if request.start[1] == "/order":
            self._take_order(json.loads(request.body), writer)
            return
        self.ran.append((self.record.now_s(), attempt))
        self.record.note(f"server {self.server_id} runs {attempt}")
        echo["X-Rhubarblock-Weight-Versions"] = str(self.weights)
        echo["X-Rhubarblock-Server-Seal"] = f"seal-{attempt}"
        self.running.append(request.start[1])
        try:
            await self._work(request, echo, writer)
        finally:
            self.running.remove(request.start[1])

    def _take_order(self, order: Any, writer: asyncio.StreamWriter) -> None:
        """Answers an order; a plain server knows none."""
        del order
        writer.write(wire.encode("HTTP/1.1 400 Bad Request", {}))

    async def _work(
        self,
        request: wire.Message,
        echo: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Works on a request and answers it."""
        await asyncio.sleep(self._work_s)
        attempt = request.fields["x-rhubarblock-attempt-id"]
        body = f"{self.server_id} ran {attempt}".encode()
        writer.write(wire.encode("HTTP/1.1 200 OK", echo, body))
        await writer.drain()


class Engine(Server):
    """A model server: answers with a stream of events.

    It prefills prompts alone or with helpers, without slowing down under load.

    Attributes:
      events: number of events of a stream.
    """

    EVENT_S = 0.043
    MEMORY_TOKENS = 450_000
    # `stall_ms` of the sheet, in seconds.
    STALL_S = 1.5
    PREFILL_TOKENS_PER_S = 256_000.0
    PAIRS_S = 0.0917e-9

    def __init__(
        self,
        service: str,
        zone: str,
        store: stores.Store,
        record: records.Record,
    ):
        super().__init__(service, zone, store, record)
        self.slots = 8
        self.events = 12
        self._pool: list[Engine] = []
        self._tickets: dict[str, int] = {}

    def set_pool(self, pool: list["Engine"]) -> None:
        """Sets the engines that may help."""
        self._pool = pool

    def predict_prefill(self, tokens: int, parts: int) -> float:
        """Returns the seconds of the prefill of one of some even parts."""
        whole_s = tokens / self.PREFILL_TOKENS_PER_S
        whole_s += tokens * tokens / 2 * self.PAIRS_S
        return whole_s / parts

    async def _work(
        self,
        request: wire.Message,
        echo: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        tokens = int(request.fields["x-rhubarblock-token-count"].split(",")[0])
        helpers = request.fields.get("x-rhubarblock-helpers", "")
        named = [entry for entry in helpers.split(",") if entry]
        held = sum(1 for entry in named if "/" in entry)
        if tokens > self.MEMORY_TOKENS * (1 + held):
            refusal = {
                "X-Rhubarblock-Attempt-Id": echo["X-Rhubarblock-Attempt-Id"],
                "X-Rhubarblock-Not-Executed": "1",
            }
            writer.write(wire.encode("HTTP/1.1 503 Full", refusal))
            return
        await asyncio.sleep(self.predict_prefill(tokens, 1 + len(named)))
        for helper in named:
            if self._is_lost(helper.partition("/")[0]):
                await asyncio.sleep(self.STALL_S)
                refusal = {
                    "X-Rhubarblock-Attempt-Id": echo[
                        "X-Rhubarblock-Attempt-Id"
                    ],
                    "X-Rhubarblock-Not-Executed": "1",
                    "At-Server": helper.partition("/")[0],
                }
                writer.write(wire.encode("HTTP/1.1 503 Lost", refusal))
                await writer.drain()
                return
        begun = int(request.fields.get("last-event-id", "0"))
        fields = {
            **echo,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines]) + "\r\n\r\n"
        writer.write(head.encode())
        for number in range(begun + 1, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _take_order(self, order: Any, writer: asyncio.StreamWriter) -> None:
        status = 200
        if order["operation"] == "release":
            self._tickets.pop(order["id"], None)
        elif order["operation"] == "reserve":
            others = {
                k: v for k, v in self._tickets.items() if k != order["id"]
            }
            if order["tokenCount"] > self.MEMORY_TOKENS:
                status = 400
            elif (
                sum(others.values()) + order["tokenCount"] > self.MEMORY_TOKENS
            ):
                status = 409
            else:
                self._tickets[order["id"]] = order["tokenCount"]
        self.record.note(f"{self.server_id} answers {order} with {status}")
        writer.write(wire.encode(f"HTTP/1.1 {status} -", {}, b"{}"))

    def _is_lost(self, address: str) -> bool:
        """Returns whether no engine is up at an address."""
        return not any(e.address == address and e.is_up for e in self._pool)


class DarkServer(Server):
    """A server whose machine goes dark while it works on one kind of request.

    It comes back after some seconds as another incarnation.

    Attributes:
      poisoned: times at which the request reached this server.
      went_dark: times at which it went dark.
    """

    # `for_s` of the sheet's srv_crash, and three heartbeats, in seconds.
    DARK_S = 4.5
    SILENCE_S = 3.6

    def __init__(
        self,
        service: str,
        zone: str,
        store: stores.Store,
        record: records.Record,
        poison: str,
        is_troubled: bool,
    ):
        super().__init__(service, zone, store, record)
        self.poisoned: list[float] = []
        self.went_dark: list[float] = []
        self._poison = poison
        self._is_troubled = is_troubled
        self._fillers: list[socket.socket] = []
        self._ip = ""

    async def start(self, ip: str) -> None:
        self._ip = ip
        await super().start(ip)

    async def _work(
        self,
        request: wire.Message,
        echo: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.start[1] == self._poison:
            self.poisoned.append(self.record.now_s())
            if self._is_troubled and self.is_up:
                self._go_dark()
        if not self.is_up:
            await asyncio.sleep(3600.0)
        await super()._work(request, echo, writer)

    def _go_dark(self) -> None:
        """Answers nothing any more, on old connections or new ones."""
        self.is_up = False
        self.went_dark.append(self.record.now_s())
        self.record.note(f"server {self.server_id} goes dark")
        loop = asyncio.get_running_loop()
        for listener in self._listener.sockets:
            loop.remove_reader(listener.fileno())
            # With a full queue the kernel drops the next opening packets, as
            # if the machine were gone.
            again = socket.socket(fileno=socket.dup(listener.fileno()))
            again.listen(0)
            again.close()
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(listener.getsockname())
                self._fillers.append(filler)
        loop.call_later(self.SILENCE_S, self.expire)
        loop.call_later(
            self.DARK_S, lambda: asyncio.ensure_future(self._come_back())
        )

    async def _come_back(self) -> None:
        self._listener.close()
        for writer in list(self._open):
            writer.transport.abort()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.server_id = f"i-{next(_numbers):04d}"
        self.is_up = True
        await self.start(self._ip)
