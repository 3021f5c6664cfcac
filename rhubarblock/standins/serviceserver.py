"""Serves the stand-in plain service over HTTP.

The protocol is described in docs/standins-platform.md.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json

from aiohttp import web

from rhubarblock.core import request as requests
from rhubarblock.fleet import httpservice
from rhubarblock.standins import service

FAULTS_PATH = "/_faults"
BODY_LIMIT = 16_000_000
# Maximum time that a shutdown waits for open calls.
SHUTDOWN_TIMEOUT_S = 0.1


class ServiceServer:
    """HTTP handlers of one endpoint of the stand-in service."""

    __slots__ = ("_service",)

    def __init__(self, plain_service: service.PlainService):
        """Creates the handlers for one endpoint."""
        self._service = plain_service

    def make_app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=BODY_LIMIT)
        app.router.add_post(FAULTS_PATH, self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers.get(httpservice.ATTEMPT_HEADER, "")
        call = await _read_call(request)
        if self._service.faults.dead:
            return _abort_connection(request)
        try:
            reply = await self._service.handle(call, attempt_id)
        except service.CutError:
            return _abort_connection(request)
        return web.Response(
            status=reply.answer.status,
            body=reply.answer.body,
            content_type=reply.answer.content_type,
            headers={httpservice.ATTEMPT_HEADER: reply.attempt_id},
        )

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        try:
            fields = json.loads(await request.read())
            _apply_faults(self._service, fields)
        except (ValueError, TypeError, AttributeError) as error:
            return web.Response(status=400, text=str(error))
        return web.Response()


def _apply_faults(
    plain_service: service.PlainService, fields: dict[str, object]
) -> None:
    known = {field.name for field in dataclasses.fields(service.ServiceFaults)}
    for name, value in fields.items():
        if name == "paused":
            change = plain_service.pause if value else plain_service.resume
            change()
        elif name == "crash_marker":
            plain_service.faults.crash_marker = str(value).encode()
        elif name in known:
            setattr(plain_service.faults, name, value)
        else:
            raise ValueError(f"no fault {name}")


async def _read_call(request: web.Request) -> requests.ServiceCall:
    headers = request.headers
    return requests.ServiceCall(
        request_id=headers.get(httpservice.REQUEST_HEADER, ""),
        institution=headers.get(httpservice.INSTITUTION_HEADER, ""),
        workspace=headers.get(httpservice.WORKSPACE_HEADER, ""),
        service="",
        method=request.method,
        path=request.path_qs,
        body=await request.read(),
        digest="",
        idempotent=False,
        idempotency_key=headers.get(httpservice.KEY_HEADER),
        deadline_s=0.0,
        content_type=request.content_type,
    )


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


@contextlib.asynccontextmanager
async def run_server(
    plain_service: service.PlainService,
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[str]:
    """Serves one endpoint over HTTP while the context is open.

    Args:
      plain_service: endpoint to serve.
      host: address to listen on.
      port: port to listen on; 0 selects a free one.

    Yields:
      The address, ``host:port``.
    """
    app = ServiceServer(plain_service).make_app()
    runner = web.AppRunner(app, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        bound = runner.addresses[0]
        yield f"{bound[0]}:{bound[1]}"
    finally:
        await runner.cleanup()
