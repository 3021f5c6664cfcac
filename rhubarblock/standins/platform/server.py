"""The stand-in platform over HTTP, for processes and tests over sockets.

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
# Room for a value that is over the limit, so that the store refuses it.
BODY_LIMIT = 2 * stores.VALUE_LIMIT
# Most seconds that stopping waits for calls that are still open.
SHUTDOWN_TIMEOUT_S = 0.1


class PlatformServer:
    """Handlers that pass HTTP calls on to a stand-in store."""

    __slots__ = ("_connections", "_list", "_store")

    def __init__(
        self,
        store: platform.MemoryStore,
        instance_list: instancelist.InstanceList,
    ):
        """Creates the handlers.

        Args:
          store: what to serve.
          instance_list: what to serve as the list of instances.
        """
        self._store = store
        self._list = instance_list
        self._connections: dict[str, platform.Connection] = {}

    def make_app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=BODY_LIMIT)
        one = storewire.OBJECTS_PATH + "/{name:.+}"
        app.router.add_get(storewire.OBJECTS_PATH, self._list_objects)
        app.router.add_get(one, self._read)
        app.router.add_put(one, self._write)
        app.router.add_delete(one, self._delete)
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
            return _answer_error(request, error)
        headers = {storewire.VERSION_HEADER: _encode_version(stored)}
        return web.Response(body=stored.value, headers=headers)

    async def _list_objects(self, request: web.Request) -> web.StreamResponse:
        prefix = request.query.get("prefix", "")
        try:
            page = await self._connect(request).list_objects(prefix)
        except stores.StoreError as error:
            return _answer_error(request, error)
        objects = [storewire.encode_object(o) for o in page.objects]
        version = storewire.encode_position(page.version)
        return web.json_response({"objects": objects, "version": version})

    async def _write(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        try:
            expected = _read_expected(request)
        except (KeyError, ValueError):
            return web.Response(status=400, text="expected version missing")
        value = await request.read()
        try:
            stored = await self._connect(request).write(name, value, expected)
        except stores.StoreError as error:
            return _answer_error(request, error)
        headers = {storewire.VERSION_HEADER: _encode_version(stored)}
        return web.Response(headers=headers)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        try:
            expected = _read_expected(request)
        except (KeyError, ValueError):
            return web.Response(status=400, text="expected version missing")
        try:
            await self._connect(request).delete(name, expected)
        except stores.StoreError as error:
            return _answer_error(request, error)
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
                await self._pass_events(request, response, events)
        except stores.StoreError as error:
            if not response.prepared:
                return _answer_error(request, error)
            _drop(request)
        return response

    async def _pass_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        events: AsyncGenerator[stores.StoredObject, None],
    ) -> None:
        # The answer begins with the first event or after a moment without
        # one, so that an error at the start still has its own status.
        first = asyncio.ensure_future(anext(events, None))
        try:
            await asyncio.wait([first], timeout=0.02)
            if first.done():
                first.result()
            await response.prepare(request)
            stored = await first
            while stored is not None:
                await response.write(storewire.encode_event(stored))
                stored = await anext(events, None)
        finally:
            first.cancel()

    async def _list_instances(self, request: web.Request) -> web.StreamResponse:
        try:
            await self._connect(request).check_list_call()
        except stores.StoreError as error:
            return _answer_error(request, error)
        listed = self._list.list_instances()
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
                # Slots make an unknown name an AttributeError.
                setattr(faults, name, value)


def _encode_version(stored: stores.StoredObject) -> str:
    return str(storewire.encode_position(stored.version))


def _read_expected(request: web.Request) -> positions.Position:
    number = int(request.headers[storewire.EXPECTED_HEADER])
    return storewire.decode_position(number)


def _answer_error(
    request: web.Request, error: stores.StoreError
) -> web.Response:
    if error.kind is stores.StoreErrorKind.UNSURE:
        # A lost answer is a connection that breaks without one.
        _drop(request)
        return web.Response(status=500)
    return web.Response(
        status=storewire.STATUS_BY_KIND[error.kind], text=str(error)
    )


def _drop(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


@contextlib.asynccontextmanager
async def run_server(
    store: platform.MemoryStore,
    instance_list: instancelist.InstanceList,
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[str]:
    """Serves the stand-in while the context is open.

    Args:
      store: what to serve.
      instance_list: what to serve as the list of instances.
      host: address to listen on.
      port: port to listen on; 0 takes a free one.

    Yields:
      The base URL, ``http://host:port``.
    """
    app = PlatformServer(store, instance_list).make_app()
    # Handlers end with their connection, so that no watch of a client that
    # went away keeps waiting.
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
