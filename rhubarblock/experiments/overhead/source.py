"""A cheap token source that speaks the engines' protocol.

The stand-in engine models batches, memory and faults, and so uses more
processor time than the relay under measurement. This source only sends events
at a steady rate, in the format of docs/standins.md. All streams of one engine
get their tokens together, once an iteration.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import aiohttp
from aiohttp import web

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.fleet import enginewire
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins.engine import server as engineserver
from rhubarblock.standins.engine import sse as enginesse

# Large enough for all streams that a measurement opens at one engine.
KV_CAPACITY = 4_000_000
CREATED = 1_800_000_000
_JSON = "application/json"


def make_token(index: int) -> str:
    """Returns the text of one token: a space and its index."""
    return f" {index:06x}"


def make_text(tokens: int) -> str:
    """Returns the text of a complete answer."""
    return "".join(map(make_token, range(tokens)))


class TokenStream:
    """One answer that is being sent.

    Attributes:
      ended: set when all its tokens were sent.
    """

    __slots__ = (
        "_attempt",
        "_chunked",
        "_index",
        "_transport",
        "_writer",
        "ended",
    )

    def __init__(
        self,
        attempt: attempts.Attempt,
        transport: asyncio.WriteTransport,
        chunked: bool,
    ):
        self._attempt = attempt
        self._transport = transport
        self._chunked = chunked
        self._index = attempt.resume_from
        self._writer = enginesse.EventWriter(attempt, CREATED)
        self.ended = asyncio.Event()

    def make_event(self) -> bytes:
        """Returns the next event; the last one includes the end mark."""
        index = self._index
        self._index += 1
        end = self._index >= self._attempt.max_tokens
        chunk = attempts.Chunk(
            self._attempt.attempt_id, index, 1, make_token(index), end
        )
        if not end:
            return self._writer.write(chunk)
        chunk.finish_reason = "length"
        self.ended.set()
        return self._writer.write(chunk) + self._writer.write_done()

    def send(self) -> None:
        """Writes the next event to the transport directly.

        Bypassing the HTTP library saves processor time.
        """
        event = self.make_event()
        if self._chunked:
            event = b"%x\r\n%b\r\n" % (len(event), event)
        self._transport.write(event)


class TokenEngine:
    """Sends one token to each of its streams in every iteration."""

    __slots__ = ("_gap_s", "_name", "_sequence", "_streams", "_timers")

    def __init__(self, name: str, gap_s: float, timers: timer_service.Timers):
        """Creates an engine without streams.

        Args:
          name: its endpoint id.
          gap_s: seconds of one iteration.
          timers: timer service.
        """
        self._name = name
        self._gap_s = gap_s
        self._timers = timers
        self._sequence = 0
        self._streams: set[TokenStream] = set()

    def make_app(self) -> web.Application:
        """Returns the HTTP application of this engine."""
        app = web.Application(client_max_size=engineserver.MAX_BODY_BYTES)
        app.router.add_post("/v1/generate", self._generate)
        app.router.add_get("/v1/load", self._answer_load)
        app.router.add_post("/v1/orders", self._answer_load)
        return app

    async def iterate(self) -> None:
        """Sends tokens at a steady rate until cancelled."""
        due_s = self._timers.read_monotonic()
        while True:
            due_s += self._gap_s
            delay_s = due_s - self._timers.read_monotonic()
            await self._timers.sleep(max(0.0, delay_s))
            for stream in list(self._streams):
                stream.send()
                if stream.ended.is_set():
                    self._streams.discard(stream)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        attempt = enginewire.parse_attempt(await request.read())
        assert request.transport is not None
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        chunked = request.version >= aiohttp.HttpVersion11
        stream = TokenStream(attempt, request.transport, chunked)
        await response.write(stream.make_event())
        if not stream.ended.is_set():
            self._streams.add(stream)
        try:
            await stream.ended.wait()
        finally:
            self._streams.discard(stream)
        await response.write_eof()
        return response

    async def _answer_load(self, request: web.Request) -> web.StreamResponse:
        self._sequence += 1
        report = endpoints.LoadReport(
            endpoint_id=self._name,
            measured_s=self._timers.read_monotonic(),
            sequence=self._sequence,
            start_id="1",
            role=endpoints.Role.BOTH,
            models=("reader@v1",),
            running=len(self._streams),
            decoding=len(self._streams),
            waiting=0,
            prefill_tokens=0,
            kv_capacity=KV_CAPACITY,
            kv_used=0,
        )
        return web.Response(
            body=enginewire.encode_load(report), content_type=_JSON
        )


@contextlib.asynccontextmanager
async def run_engine(
    name: str, gap_s: float, timers: timer_service.Timers
) -> AsyncIterator[str]:
    """Serves one source while the context is open.

    Args:
      name: its endpoint id.
      gap_s: seconds between two tokens of a stream.
      timers: timer service.

    Yields:
      Its address, ``host:port``.
    """
    engine = TokenEngine(name, gap_s, timers)
    runner = web.AppRunner(
        engine.make_app(), handler_cancellation=True, access_log=None
    )
    await runner.setup()
    iterations = asyncio.ensure_future(engine.iterate())
    try:
        await web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()
        host, port = runner.addresses[0][:2]
        yield f"{host}:{port}"
    finally:
        iterations.cancel()
        await runner.cleanup()
