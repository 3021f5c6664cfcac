"""Endpoints that stream events or answer calls, crash, hang and refuse."""

import asyncio
import contextlib
import json
import random
import time

from aiohttp import web

from rhubarblock.platform import names
from tools.soak import evidence as evidences
from tools.soak import leavewatch
from tools.soak import proxy as proxies
from tools.soak import ratewatch
from tools.soak import restwatch
from tools.soak import store as stores

# Seconds between two events of a stream.
EVENT_S = 0.02
# Events of a stream.
EVENTS = 30
# Seconds of a call.
CALL_S = 0.03
# Seconds between a notice and the end of a leaving endpoint.
DRAIN_S = 2.5
# Longest time in seconds between the first answer of an endpoint that says that
# it leaves and its entry, and seconds between two tries to write the entry.
SAY_S = 2.0
LIST_S = 0.1
# Share of the starts after a crash that get a new id; the others keep theirs.
NEW_ID_SHARE = 0.5


class SoakEndpoint:
    """One endpoint over all its starts, each behind a way that may break.

    Attributes:
      service: the service that it belongs to.
      mode: how it behaves; empty is sound.
      rest_s: the rest in seconds that it asks for in the mode ``rest``.
      way: the proxy that instances reach it by.
      rate: the limit that it names, and what arrives.
    """

    def __init__(
        self,
        service: str,
        data_centre: str,
        store: stores.SoakStore,
        evidence: evidences.Evidence,
        revoke_s: float,
        rng: random.Random,
    ):
        self.service = service
        self.mode = ""
        self.rest_s = 0.0
        self.way = proxies.SoakProxy()
        self.id = ""
        self.rate = ratewatch.RateWatch("", evidence)
        self._rest = restwatch.RestWatch("", evidence)
        self._data_centre = data_centre
        self._store = store
        self._evidence = evidence
        self._revoke_s = revoke_s
        self._rng = rng
        self._leases: dict[str, float] = {}
        self._born_ms = 0
        # What its entry says; empty while it has none.
        self._state = ""
        # Whether the last start said that it leaves: its id is not used again.
        self._has_left = True

    async def live(self, stop: asyncio.Event) -> None:
        """Starts again and again until it is told to stop."""
        while not stop.is_set():
            if self._rng.random() < NEW_ID_SHARE or self._has_left:
                self.id = f"i-{self._rng.getrandbits(32):08x}"
            self._has_left = False
            self._born_ms = round(time.time() * 1e3)
            self.rate = ratewatch.RateWatch(self.id, self._evidence)
            self._rest = restwatch.RestWatch(self.id, self._evidence)
            self._ended = asyncio.Event()
            async with (
                stores.serve(self._handle) as (_, target),
                self.way.open() as port,
            ):
                self.way.target = target
                self._port = port
                self._list("ready")
                await _wait_any(self._ended, stop)
                if self.mode == "drain":
                    await self._leave()
                self._state = ""
                self._store.remove(f"servers/{self.id}")
            self.mode = ""
            await asyncio.sleep(0.5)

    async def rest(self, rest_s: float, length_s: float) -> None:
        """Turns all requests away for a time, and asks for rest each time."""
        self.rest_s = rest_s
        self.mode = "rest"
        await asyncio.sleep(length_s)
        if self.mode == "rest":
            self.mode = ""

    def end(self, mode: str) -> None:
        """Ends this start, by a crash or after a drain."""
        self.mode = mode
        self._ended.set()

    async def _leave(self) -> None:
        """Says that it leaves, in its answers first, and serves a while."""
        self._has_left = True
        await asyncio.sleep(self._rng.uniform(0.0, SAY_S))
        while self._store.refuses or self._store.refuses_writes:
            await asyncio.sleep(LIST_S)
        self._list("draining")
        self._evidence.left_s[self.id] = evidences.read_clock()
        await asyncio.sleep(DRAIN_S)

    def list_again(self) -> None:
        """Writes the entry anew where this start has one."""
        if self._state:
            self._list(self._state)

    def _list(self, state: str) -> None:
        self._state = state
        self._store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{self._port}",
                "zone": self._data_centre,
                "slots": 8,
                "state": state,
                "sequence": 1,
                "born": self._born_ms,
            },
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/order":
            return self._order(json.loads(await request.text()))
        request_id = request.headers.get(names.ATTEMPT_ID, "")
        answer = {names.ATTEMPT_ID: request_id}
        if request.headers.get(names.TARGET) != self.id:
            return web.Response(status=421, headers=answer)
        self.rate.note_arrival(request_id, self.way.healed_s)
        self._rest.note_arrival(request_id, self.way)
        leavewatch.check_arrival(self._evidence, request_id, self.id)
        if self._has_left:
            answer[names.LEAVING] = "1"
        if self.rate.per_s is not None:
            answer[names.LIMIT] = f"{self.rate.per_s:g}"
        if self.mode == "rest":
            self._rest.ask(request_id, self.rest_s)
            answer[names.RETRY_AFTER] = f"{self.rest_s:g}"
        if self.mode in ("shed", "rest"):
            answer[names.NOT_EXECUTED] = "1"
            return web.Response(status=503, headers=answer)
        await request.read()
        self._evidence.note_run(request_id, self.id)
        self._evidence.check_revoked(request_id, self._revoke_s)
        answer[names.SEAL] = self.rate.mark
        if request.path.startswith("/s/"):
            return await self._stream(request, answer, request_id)
        await asyncio.sleep(CALL_S)
        if self.mode == "lose" and self._rng.random() < 0.5:
            self._reset(request)
            return web.Response()
        return web.Response(text=f"answer to {request_id}", headers=answer)

    async def _stream(
        self, request: web.BaseRequest, answer: dict[str, str], request_id: str
    ) -> web.StreamResponse:
        first = int(request.headers.get(names.LAST_EVENT, "0")) + 1
        response = web.StreamResponse(headers=answer)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(first, EVENTS + 1):
            if self.mode == "hang":
                await asyncio.sleep(3.0)
            if self.mode == "lose" and self._rng.random() < 0.05:
                await response.write(b"id: ")
                self._reset(request)
                return response
            await response.write(
                f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            )
            await asyncio.sleep(EVENT_S)
        await response.write_eof()
        return response

    def _order(self, order: dict[str, object]) -> web.Response:
        now_s = evidences.read_clock()
        if order["operation"] == "reserve":
            hold_s = float(str(order["holdMs"])) / 1e3
            self._leases[str(order["id"])] = now_s + hold_s
        else:
            self._leases.pop(str(order["id"]), None)
        headers = {names.LEAVING: "1"} if self._has_left else {}
        return web.Response(text="{}", headers=headers)

    def count_leases(self) -> int:
        """Returns how many memory leases have neither ended nor lapsed."""
        now_s = evidences.read_clock()
        return sum(1 for until_s in self._leases.values() if until_s > now_s)

    @staticmethod
    def _reset(request: web.BaseRequest) -> None:
        if request.transport is not None:
            request.transport.abort()


async def _wait_any(*events: asyncio.Event) -> None:
    tasks = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
