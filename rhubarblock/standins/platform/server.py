"""Serves the stand-in platform over HTTP.

The protocol is described in docs/standins-platform.md.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import json

from aiohttp import web

from rhubarblock.core import position as positions
from rhubarblock.standins import instancelist
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances
from rhubarblock.store import store as stores
from rhubarblock.store import storewire

FAULTS_PATH = "/v1/faults"
# Larger than the largest value, so that the store, not the HTTP server, refuses
# a value over the limit.
BODY_LIMIT = 2 * stores.VALUE_LIMIT
# Maximum time that a shutdown waits for open calls.
SHUTDOWN_TIMEOUT_S = 0.1


class PlatformServer:
    """HTTP handlers that call a stand-in store."""

    __slots__ = ("_connections", "_instance_list", "_store")

    def __init__(
        self,
        store: platform.MemoryStore,
        instance_list: instancelist.InstanceList,
    ):
        """Creates the handlers.

        Args:
          store: store to serve.
          instance_list: instance list to serve.
        """
        self._store = store
        self._instance_list = instance_list
        self._connections: dict[str, platform.Connection] = {}

    def make_app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=BODY_LIMIT)
        object_path = storewire.OBJECTS_PATH + "/{name:.+}"
        app.router.add_get(storewire.OBJECTS_PATH, self._list_objects)
        app.router.add_get(object_path, self._read)
        app.router.add_put(object_path, self._write)
        app.router.add_delete(object_path, self._delete)
        app.router.add_get(storewire.WATCH_PATH, self._watch)
        app.router.add_get(storewire.INSTANCES_PATH, self._list_instances)
        app.router.add_post(FAULTS_PATH, self._set_faults)
        return app

    def _connect(self, request: web.Request) -> platform.Connection:
        client_id = request.headers.get(storewire.CLIENT_HEADER, "")
        if client_id not in self._connections:
            self._connections[client_id] = self._store.connect(client_id)
        return self._connections[client_id]

    async def _read(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        try:
            stored = await self._connect(request).read(name)
        except stores.StoreError as error:
            return _make_error_response(request, error)
        headers = {storewire.VERSION_HEADER: _encode_version(stored)}
        return web.Response(body=stored.value, headers=headers)

    async def _list_objects(self, request: web.Request) -> web.StreamResponse:
        prefix = request.query.get("prefix", "")
        try:
            page = await self._connect(request).list_objects(prefix)
        except stores.StoreError as error:
            return _make_error_response(request, error)
        objects = [storewire.encode_object(o) for o in page.objects]
        version = storewire.encode_position(page.version)
        return web.json_response({"objects": objects, "version": version})

    async def _write(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        try:
            expected = _read_expected_version(request)
        except (KeyError, ValueError):
            return web.Response(status=400, text="expected version missing")
        value = await request.read()
        try:
            stored = await self._connect(request).write(name, value, expected)
        except stores.StoreError as error:
            return _make_error_response(request, error)
        headers = {storewire.VERSION_HEADER: _encode_version(stored)}
        return web.Response(headers=headers)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        try:
            expected = _read_expected_version(request)
        except (KeyError, ValueError):
            return web.Response(status=400, text="expected version missing")
        try:
            await self._connect(request).delete(name, expected)
        except stores.StoreError as error:
            return _make_error_response(request, error)
        return web.Response()

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        prefix = request.query.get("prefix", "")
        try:
            number = int(request.query.get("after", "0"))
        except ValueError:
            return web.Response(status=400, text="after is not a number")
        after = storewire.decode_position(number)
        response = web.StreamResponse()
        events = self._connect(request).watch(prefix, after)
        try:
            async with contextlib.aclosing(events):
                await self._stream_events(request, response, events)
        except stores.StoreError as error:
            if not response.prepared:
                return _make_error_response(request, error)
            _abort_connection(request)
        return response

    async def _stream_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        events: AsyncGenerator[stores.Page, None],
    ) -> None:
        # The response starts with the first event or after a short time
        # without one, so that an error at the start of the watch still
        # determines the HTTP status.
        first = asyncio.ensure_future(anext(events, None))
        try:
            await asyncio.wait([first], timeout=0.02)
            if first.done():
                first.result()
            await response.prepare(request)
            answer = await first
            while answer is not None:
                for stored in answer.objects:
                    await response.write(storewire.encode_event(stored))
                answer = await anext(events, None)
        finally:
            first.cancel()

    async def _list_instances(self, request: web.Request) -> web.StreamResponse:
        try:
            await self._connect(request).check_list_call()
        except stores.StoreError as error:
            return _make_error_response(request, error)
        listed = self._instance_list.list_instances()
        lines = [instances.encode_instance(i) + b"\n" for i in listed]
        return web.Response(body=b"".join(lines))

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        try:
            fields = json.loads(await request.read())
            self._apply_faults(fields)
        except (ValueError, TypeError, AttributeError) as error:
            return web.Response(status=400, text=str(error))
        return web.Response()

    def _apply_faults(self, fields: dict[str, object]) -> None:
        faults = self._store.faults
        for name, value in fields.items():
            if name == "outage":
                change = faults.start_outage if value else faults.end_outage
                change()
            elif name == "cut_off":
                faults.cut_off(str(value))
            elif name == "join":
                faults.join(str(value))
            elif name.startswith("_"):
                raise ValueError(f"no fault {name}")
            else:
                # As the class has slots, an unknown name raises AttributeError.
                setattr(faults, name, value)


def _encode_version(stored: stores.StoredObject) -> str:
    return str(storewire.encode_position(stored.version))


def _read_expected_version(request: web.Request) -> positions.Position:
    number = int(request.headers[storewire.EXPECTED_HEADER])
    return storewire.decode_position(number)


def _make_error_response(
    request: web.Request, error: stores.StoreError
) -> web.Response:
    if error.kind is stores.StoreErrorKind.UNSURE:
        # Over HTTP, a lost answer is a connection that breaks.
        _abort_connection(request)
        return web.Response(status=500)
    return web.Response(
        status=storewire.STATUS_BY_KIND[error.kind], text=str(error)
    )


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


@contextlib.asynccontextmanager
async def run_server(
    store: platform.MemoryStore,
    instance_list: instancelist.InstanceList,
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[str]:
    """Serves the stand-in platform while the context is open.

    Args:
      store: store to serve.
      instance_list: instance list to serve.
      host: address to listen on.
      port: port to listen on; 0 selects a free one.

    Yields:
      The base URL, ``http://host:port``.
    """
    app = PlatformServer(store, instance_list).make_app()
    # Handlers are cancelled when their connection closes, so that watches of
    # disconnected clients end.
    runner = web.AppRunner(
        app, handler_cancellation=True, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        bound = runner.addresses[0]
        yield f"http://{bound[0]}:{bound[1]}"
    finally:
        await runner.cleanup()
