"""Serves the stand-in engine over HTTP.

The protocol is described in docs/standins.md.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
from urllib import parse

import aiohttp
from aiohttp import web

from rhubarblock.core import attempt as attempts
from rhubarblock.core import failure as failures
from rhubarblock.fleet import enginewire
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import exports as engineexport
from rhubarblock.standins.engine import faultcontrol as enginefaultcontrol
from rhubarblock.standins.engine import request as enginerequest
from rhubarblock.standins.engine import sse as enginesse

MAX_BODY_BYTES = 64 * 1024 * 1024
_JSON = "application/json"
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=2.0)

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpKvTransport(engineexport.KvTransport):
    """Reads the exports of other engines over HTTP."""

    __slots__ = ("_session",)

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def read_kv(
        self, address: str, request: engineexport.ReadRequest
    ) -> AsyncGenerator[engineexport.ReadEvent, None]:
        handle = parse.quote(request.handle, safe="")
        url = f"http://{address}/v1/kv/{handle}"
        query = {"mode": request.mode.value, "tokens": str(request.tokens)}
        try:
            async with self._session.get(
                url, params=query, timeout=_NO_TIMEOUT
            ) as response:
                if response.status != 200:
                    failure = enginewire.parse_failure(await response.read())
                    raise failures.FailureError(failure)
                async for line in response.content:
                    yield _parse_read_event(line)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise failures.FailureError(
                engineexport.make_lost_failure(request.handle)
            ) from error


def _parse_read_event(line: bytes) -> engineexport.ReadEvent:
    data = json.loads(line)
    if "error" in data:
        raise failures.FailureError(enginewire.parse_failure(line))
    return engineexport.ReadEvent(data["event"])


class _EngineHandlers:
    """HTTP handlers of one engine."""

    __slots__ = ("_engine", "_fault_controller", "_timers")

    def __init__(self, engine: engines.Engine, clock: timers.Timers):
        self._engine = engine
        self._timers = clock
        self._fault_controller = enginefaultcontrol.FaultController(
            engine, clock
        )

    def make_app(self) -> web.Application:
        app = web.Application(
            middlewares=[self._convert_failures], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_post("/v1/generate", self._generate)
        app.router.add_post("/v1/cancel", self._cancel)
        app.router.add_get("/v1/load", self._load)
        app.router.add_get("/v1/cache_events", self._cache_events)
        app.router.add_get("/v1/kv/{handle:.+}", self._kv)
        app.router.add_post("/v1/orders", self._orders)
        app.router.add_post("/v1/faults", self._faults)
        app.router.add_get("/healthz", self._healthz)
        return app

    @web.middleware
    async def _convert_failures(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        await self._engine.wait_for_pause()
        try:
            return await handler(request)
        except failures.FailureError as error:
            failure = error.failure
        except web.HTTPRequestEntityTooLarge:
            failure = failures.Failure(
                failures.FailureCode.BODY_TOO_LARGE,
                f"the body is larger than {MAX_BODY_BYTES} bytes",
            )
        return web.Response(
            status=failure.http_status,
            body=enginewire.encode_failure(failure),
            content_type=_JSON,
        )

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        attempt = enginewire.parse_attempt(await request.read())
        engine_request = self._engine.submit(attempt)
        try:
            return await self._stream(request, attempt, engine_request)
        finally:
            self._engine.release(engine_request)

    async def _stream(
        self,
        request: web.Request,
        attempt: attempts.Attempt,
        engine_request: enginerequest.EngineRequest,
    ) -> web.StreamResponse:
        created = int(self._timers.read_wall())
        writer = enginesse.EventWriter(attempt, created)
        stream = engine_request.stream
        # A failure before the first chunk becomes an HTTP error status.
        await stream.make_waiter()
        if stream.failure is not None and not stream.items:
            raise failures.FailureError(stream.failure)
        response = _make_stream_response("text/event-stream")
        await response.prepare(request)
        while True:
            data = b"".join([writer.write(each) for each in stream.items])
            stream.items.clear()
            if stream.closed:
                break
            await response.write(data)
            await stream.make_waiter()
        if stream.failure is not None:
            failure = enginewire.encode_failure(stream.failure)
            await response.write(data + b"data: " + failure + b"\n\n")
        else:
            await response.write(data + writer.write_done())
        await response.write_eof()
        return response

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        data = enginewire.parse_json(await request.read())
        known = self._engine.cancel(str(data.get("attempt_id")))
        return _make_json_response(enginewire.encode_json({"known": known}))

    async def _load(self, request: web.Request) -> web.StreamResponse:
        report = self._engine.make_load_report()
        return _make_json_response(enginewire.encode_load(report))

    async def _cache_events(self, request: web.Request) -> web.StreamResponse:
        after = _read_number(request, "after")
        events = self._engine.read_cache_events(after)
        return _make_json_response(enginewire.encode_cache_events(events))

    async def _kv(self, request: web.Request) -> web.StreamResponse:
        try:
            mode = engineexport.ReadMode(request.query.get("mode", ""))
        except ValueError:
            raise _make_bad_request("mode") from None
        read_request = engineexport.ReadRequest(
            request.match_info["handle"], mode, _read_number(request, "tokens")
        )
        response: web.StreamResponse | None = None
        try:
            async with contextlib.aclosing(
                self._engine.read_kv(read_request)
            ) as events:
                async for event in events:
                    if response is None:
                        response = _make_stream_response("application/x-ndjson")
                        await response.prepare(request)
                    await _write_line(response, {"event": event.value})
        except failures.FailureError as error:
            if response is None:
                raise
            failure = enginewire.encode_failure(error.failure)
            await response.write(failure + b"\n")
        assert response is not None
        await response.write_eof()
        return response

    async def _orders(self, request: web.Request) -> web.StreamResponse:
        order = enginewire.parse_order(await request.read())
        return _make_json_response(
            enginewire.encode_load(self._engine.apply_order(order))
        )

    async def _faults(self, request: web.Request) -> web.StreamResponse:
        self._fault_controller.apply(
            enginewire.parse_json(await request.read())
        )
        return _make_json_response(b"{}")

    async def _healthz(self, request: web.Request) -> web.StreamResponse:
        return _make_json_response(
            enginewire.encode_json({"start_id": self._engine.start_id})
        )


class _Listener:
    """Listens on the engine's port only while the engine is reachable."""

    __slots__ = ("_changed", "_engine", "_host", "_port", "_runner", "_server")

    def __init__(
        self, engine: engines.Engine, runner: web.AppRunner, host: str
    ):
        self._engine = engine
        self._runner = runner
        self._host = host
        self._port = 0
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        engine.subscribe(self._handle_change)

    async def open(self, port: int) -> int:
        """Starts to listen and returns the port."""
        handler = self._runner.server
        assert handler is not None
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(handler, self._host, port)
        self._port = self._server.sockets[0].getsockname()[1]
        return self._port

    def close(self) -> None:
        """Stops listening; connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def reopen_when_reachable(self) -> None:
        """Listens again each time the engine becomes reachable; never ends."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._engine.reachable and self._server is None:
                await self.open(self._port)

    def _handle_change(self) -> None:
        if not self._engine.reachable:
            self.close()
            self._drop_connections()
        self._changed.set()

    def _drop_connections(self) -> None:
        handler = self._runner.server
        assert handler is not None
        for connection in handler.connections:
            if self._engine.alive:
                # Closes idle connections now and others after their response.
                connection.close()
            elif connection.transport is not None:
                connection.transport.abort()  # type: ignore[attr-defined]


@contextlib.asynccontextmanager
async def run_engine_server(
    engine: engines.Engine,
    clock: timers.Timers,
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[str]:
    """Serves an engine over HTTP while the context is open.

    Sets the address of the engine and makes it read the KV cache of other
    engines over HTTP.

    Args:
      engine: the engine.
      clock: timer service.
      host: IP address to listen on.
      port: port to listen on; 0 selects a free one.

    Yields:
      The address, ``host:port``.
    """
    handlers = _EngineHandlers(engine, clock)
    runner = web.AppRunner(
        handlers.make_app(), handler_cancellation=True, access_log=None
    )
    await runner.setup()
    listener = _Listener(engine, runner, host)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(runner.cleanup)
        stack.callback(listener.close)
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await stack.enter_async_context(session)
        engine.connect(HttpKvTransport(session))
        engine.address = f"{host}:{await listener.open(port)}"
        reopening = asyncio.ensure_future(listener.reopen_when_reachable())
        stack.callback(reopening.cancel)
        yield engine.address


def _make_stream_response(content_type: str) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = content_type
    response.headers["Cache-Control"] = "no-cache"
    return response


def _make_json_response(body: bytes) -> web.Response:
    return web.Response(body=body, content_type=_JSON)


async def _write_line(
    response: web.StreamResponse, value: dict[str, str]
) -> None:
    await response.write(enginewire.encode_json(value) + b"\n")


def _read_number(request: web.Request, name: str) -> int:
    try:
        return int(request.query.get(name, "0"))
    except ValueError:
        raise _make_bad_request(name) from None


def _make_bad_request(name: str) -> failures.FailureError:
    return failures.FailureError(
        failures.Failure(
            failures.FailureCode.BAD_REQUEST, f"query parameter {name} is wrong"
        )
    )
