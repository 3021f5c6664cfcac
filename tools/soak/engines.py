"""Endpoints that stream events or answer calls, with injected faults."""

import asyncio
import contextlib
import json
import random
import time

from aiohttp import web

from rhubarblock.platform import names
from tools.soak import coldwatch
from tools.soak import cooldownwatch
from tools.soak import evacuationwatch
from tools.soak import evidence as evidences
from tools.soak import latecopies
from tools.soak import leavewatch
from tools.soak import pace as paces
from tools.soak import poison
from tools.soak import proxy as proxies
from tools.soak import ratewatch
from tools.soak import store as stores

# Seconds between two events of a stream at the fastest endpoints.
EVENT_INTERVAL_S = 0.02
# Events of a stream.
EVENTS = 30
# Seconds that a call takes at the fastest endpoints.
CALL_DURATION_S = 0.03
# Seconds between the moment at which a leaving endpoint is listed as draining
# and its end.
DRAIN_S = 2.5
# Longest time in seconds from the moment at which an endpoint announces in its
# answers that it leaves until it first tries to write its entry.
MAX_LISTING_DELAY_S = 2.0
# Seconds between two checks of whether the store accepts writes.
LISTING_RETRY_S = 0.1
# States the milliseconds for which an endpoint stays cold in health answers.
COLD_REMAINING = "X-Rhubarblock-Cold-Remaining"
# Share of the restarts after a crash that get a new id; the others keep the id.
NEW_ID_SHARE = 0.5
# Seconds for which the entry of an id that has crashed stays in the list.
EXPIRY_S = 3.0


class SoakEndpoint:
    """One endpoint, restarted again and again behind a proxy that can break.

    Attributes:
      service: the service that it belongs to.
      mode: empty in normal operation. The faults are ``shed`` (refuses all
        requests), ``lose`` (resets some connections), ``hang`` (delays the
        events of streams) and ``rest`` (refuses all requests and asks for a
        cool-down); ``crash`` and ``drain`` end the run.
      retry_after_s: the cool-down in seconds that it asks for in the mode
        ``rest``.
      proxy: the proxy through which instances reach it.
      copies: answers that come a second time.
      rate: its announced rate limit, checked against the requests that arrive.
    """

    def __init__(
        self,
        service: str,
        data_centre: str,
        store: stores.SoakStore,
        evidence: evidences.Evidence,
        evacuations: evacuationwatch.EvacuationWatch,
        revoke_s: float,
        rng: random.Random,
    ):
        self.service = service
        self.mode = ""
        self.retry_after_s = 0.0
        self.proxy = proxies.SoakProxy()
        self.id = ""
        self.rate = ratewatch.RateWatch("", evidence)
        self._cooldowns = cooldownwatch.CooldownWatch("", evidence)
        self._cold = coldwatch.ColdWatch("", evidence)
        self._data_centre = data_centre
        self._store = store
        self._evidence = evidence
        self._evacuations = evacuations
        self._revoke_s = revoke_s
        self._rng = rng
        self.copies = latecopies.LateCopies(rng)
        self._pace = paces.Pace(rng)
        self._leases: dict[str, float] = {}
        self._started_ms = 0
        # The state in its entry; empty while it has none.
        self._state = ""
        self._announced_leaving = False
        # The id of a run that announced that it leaves is never used again.
        self._gets_new_id = True

    async def run(self, stop: asyncio.Event) -> None:
        """Runs the endpoint again and again until `stop` is set."""
        while not stop.is_set():
            if self._rng.random() < NEW_ID_SHARE or self._gets_new_id:
                self.id = f"i-{self._rng.getrandbits(32):08x}"
            self._gets_new_id = False
            self._announced_leaving = False
            self._started_ms = round(time.time() * 1e3)
            self._pace = paces.Pace(self._rng)
            self.rate = ratewatch.RateWatch(self.id, self._evidence)
            self._cooldowns = cooldownwatch.CooldownWatch(
                self.id, self._evidence
            )
            self._cold = coldwatch.ColdWatch(self.id, self._evidence)
            self._ended = asyncio.Event()
            async with (
                stores.serve(self._handle) as (_, target),
                self.proxy.open() as port,
            ):
                self.proxy.target = target
                self._port = port
                self._write_entry("ready")
                await _wait_any(self._ended, stop)
                if self.mode == "drain":
                    await self._drain()
                self._state = ""
                self._remove_entry(EXPIRY_S if self.mode == "crash" else 0.0)
            self.mode = ""
            await asyncio.sleep(0.5)

    async def refuse_all(self, retry_after_s: float, length_s: float) -> None:
        """Refuses all requests for a time, each with a Retry-After."""
        self.retry_after_s = retry_after_s
        self.mode = "rest"
        await asyncio.sleep(length_s)
        if self.mode == "rest":
            self.mode = ""

    def end(self, mode: str) -> None:
        """Ends the present run, by a crash or after a drain."""
        self.mode = mode
        self._ended.set()

    def _remove_entry(self, delay_s: float) -> None:
        """Removes the entry of the present run unless its id runs again."""
        ended_id = self.id

        def remove() -> None:
            if self.id != ended_id or not self._state:
                self._store.remove(f"servers/{ended_id}")

        asyncio.get_running_loop().call_later(delay_s, remove)

    def restart(self) -> None:
        """Crashes, and comes back with a new id, unless it is not running."""
        if self._state == "ready" and not self.mode:
            self._gets_new_id = True
            self.end("crash")

    async def _drain(self) -> None:
        """Announces that it leaves, and continues to serve for a while.

        Its answers announce it first, its entry later.
        """
        self._announced_leaving = True
        self._gets_new_id = True
        await asyncio.sleep(self._rng.uniform(0.0, MAX_LISTING_DELAY_S))
        while self._store.is_down or self._store.is_read_only:
            await asyncio.sleep(LISTING_RETRY_S)
        self._write_entry("draining")
        self._evidence.drain_listed_s[self.id] = evidences.read_clock()
        await asyncio.sleep(DRAIN_S)

    def rewrite_entry(self) -> None:
        """Writes the entry again if the present run has one."""
        if self._state:
            self._write_entry(self._state)

    def _write_entry(self, state: str) -> None:
        self._state = state
        cold = {"coldRemainingMs": self._cold.remaining_ms}
        self._store.put(
            f"servers/{self.id}",
            {
                **(cold if coldwatch.IS_ON else {}),
                "service": self.service,
                "address": f"127.0.0.1:{self._port}",
                "zone": self._data_centre,
                "slots": paces.SLOTS,
                "state": state,
                "sequence": 1,
                "born": self._started_ms,
            },
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.copies.send(request)
        response = await self._answer(request)
        self.copies.note(request, response)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/order":
            return self._handle_order(json.loads(await request.text()))
        if coldwatch.IS_ON and request.path == "/":
            left_ms = str(self._cold.remaining_ms)
            return web.Response(headers={COLD_REMAINING: left_ms})
        request_id = request.headers.get(names.ATTEMPT_ID, "")
        answer = {names.ATTEMPT_ID: request_id}
        if request.headers.get(names.TARGET) != self.id:
            return web.Response(status=421, headers=answer)
        self.rate.note_arrival(request_id, self.proxy.healed_s)
        self._cooldowns.note_arrival(request_id, self.proxy)
        self._cold.note_arrival(self.proxy)
        leavewatch.check_arrival(self._evidence, request_id, self.id)
        self._evacuations.check_arrival(
            request_id, self.id, self._data_centre, self.proxy
        )
        if self._announced_leaving:
            answer[names.LEAVING] = "1"
        if self.rate.per_s is not None:
            answer[names.LIMIT] = f"{self.rate.per_s:g}"
        if self.mode == "rest":
            self._cooldowns.note_requested(request_id, self.retry_after_s)
            answer[names.RETRY_AFTER] = f"{self.retry_after_s:g}"
        if self.mode in ("shed", "rest"):
            answer[names.NOT_EXECUTED] = "1"
            return web.Response(status=503, headers=answer)
        await request.read()
        return await self._run(request, answer, request_id)

    async def _run(
        self, request: web.BaseRequest, answer: dict[str, str], request_id: str
    ) -> web.StreamResponse:
        if poison.is_poisoned(request.headers.get(names.PROMPT_PREFIX, "")):
            return await self._crash_under(request, answer)
        self._evidence.note_run(request_id, self.id)
        self._evidence.check_revoked(request_id, self._revoke_s)
        answer[names.SEAL] = self.rate.announcement_id
        with self._pace.hold_slot():
            if request.path.startswith("/s/"):
                return await self._stream(request, answer, request_id)
            await self._pace.sleep(CALL_DURATION_S)
        if self.mode == "lose" and self._rng.random() < 0.5:
            self._reset_connection(request)
            return web.Response()
        return web.Response(text=f"answer to {request_id}", headers=answer)

    async def _crash_under(
        self, request: web.BaseRequest, answer: dict[str, str]
    ) -> web.StreamResponse:
        """Crashes once an answer on a poisoned part has begun."""
        self._evidence.poison_arrivals_s.append(evidences.read_clock())
        answer[names.SEAL] = "poisoned"
        response = web.StreamResponse(headers=answer)
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(b"id: ")
        await asyncio.sleep(poison.CRASH_S)
        if not self._ended.is_set():
            self._evidence.poison_crashes_s.append(evidences.read_clock())
            self.end("crash")
        self._reset_connection(request)
        return response

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
                self._reset_connection(request)
                return response
            await response.write(
                f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            )
            await self._pace.sleep(EVENT_INTERVAL_S)
        await response.write_eof()
        return response

    def _handle_order(self, order: dict[str, object]) -> web.Response:
        now_s = evidences.read_clock()
        if order["operation"] == "reserve":
            lease_s = float(str(order["holdMs"])) / 1e3
            self._leases[str(order["id"])] = now_s + lease_s
        else:
            self._leases.pop(str(order["id"]), None)
        headers = {names.LEAVING: "1"} if self._announced_leaving else {}
        return web.Response(text="{}", headers=headers)

    def count_leases(self) -> int:
        """Returns how many memory leases were neither released nor expired."""
        now_s = evidences.read_clock()
        return sum(1 for until_s in self._leases.values() if until_s > now_s)

    @staticmethod
    def _reset_connection(request: web.BaseRequest) -> None:
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
