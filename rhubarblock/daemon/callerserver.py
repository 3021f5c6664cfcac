"""The HTTP server for callers of an instance.

Serves the completions API, calls to services and the two health checks.
Requests that the HTTP library itself rejects are answered in the error format
of the API, too.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import logging
from typing import Any

from aiohttp import http_exceptions
from aiohttp import web

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.daemon import connections
from rhubarblock.daemon import intake as intakes
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.relay import apierrors
from rhubarblock.relay import completionsapi
from rhubarblock.relay import servicesapi
from rhubarblock.settings import kinds

_logger = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(slots=True, frozen=True)
class CallerApis:
    """The APIs that callers can use."""

    completions: completionsapi.CompletionsApi
    services: servicesapi.ServicesApi


@web.middleware
async def answer_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Middleware that answers errors in the error format of the API.

    Covers requests that the HTTP library rejects, and unexpected exceptions.
    """
    try:
        return await handler(request)
    except web.HTTPException as error:
        response = apierrors.make_response(apierrors.convert_http_error(error))
        response.set_status(error.status)
        return response
    except ConnectionError:
        # The caller disconnected while the response was being written.
        raise
    except Exception:
        _logger.exception("unexpected error", extra={"path": request.path})
        return apierrors.make_response(
            failures.Failure(
                failures.FailureCode.INTERNAL,
                "unexpected error; see the log of this instance",
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        )


def create_app(
    apis: CallerApis, lifecycle: lifecycles.InstanceLifecycle, body_bytes: int
) -> web.Application:
    """Returns the HTTP application for callers.

    Args:
      apis: the APIs to serve.
      lifecycle: lifecycle of this instance, for the readiness check.
      body_bytes: largest request body in bytes.
    """

    async def answer_health(http: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def answer_ready(http: web.Request) -> web.Response:
        ready = lifecycle.state is lifecycles.LifecycleState.READY
        return web.json_response(
            {"state": lifecycle.state.value}, status=200 if ready else 503
        )

    app = web.Application(
        middlewares=[answer_errors], client_max_size=body_bytes
    )
    app.router.add_get("/healthz", answer_health)
    app.router.add_get("/readyz", answer_ready)
    apis.completions.add_routes(app)
    apis.services.add_routes(app)
    return app


@dataclasses.dataclass(slots=True, frozen=True)
class ServerBounds:
    """Limits of one listener.

    Attributes:
      header_bytes: largest request line or header field in bytes.
      write_buffer_bytes: bytes buffered per connection for a slow reader
        before writes of the handler wait.
      shutdown_s: seconds for requests in flight to end and for their responses
        to be flushed once the server stops.
    """

    header_bytes: int = 8_190
    write_buffer_bytes: int = 1 << 16
    shutdown_s: float = 2.0


class CallerConnection(connections.TrackedConnection):
    """A connection that answers invalid HTTP in the error format of the API."""

    __slots__ = ("_write_buffer_bytes",)

    def __init__(
        self,
        server: web.Server,
        registry: connections.Registry,
        write_buffer_bytes: int,
        **options: Any,
    ):
        """Creates a connection.

        Args:
          server: server that accepted the connection.
          registry: tracks the connection while it is open.
          write_buffer_bytes: see ``ServerBounds``.
          **options: options of ``web.RequestHandler``.
        """
        super().__init__(server, registry, **options)
        self._write_buffer_bytes = write_buffer_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        transport.set_write_buffer_limits(high=self._write_buffer_bytes)
        super().connection_made(transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers data that the library cannot parse as a request.

        No handler has received it, so the verdict is that it did not run.
        """
        reason = "not a valid HTTP request"
        if isinstance(exc, http_exceptions.LineTooLong):
            reason = (
                "the request line or a header field is over "
                f"{self.max_field_size} bytes"
            )
        response = apierrors.make_response(
            failures.Failure(failures.FailureCode.BAD_REQUEST, reason)
        )
        response.set_status(status)
        response.force_close()
        return response


@contextlib.asynccontextmanager
async def run_server(
    app: web.Application,
    listen: kinds.Address,
    bounds: ServerBounds,
    intake: intakes.Intake | None = None,
) -> AsyncIterator[str]:
    """Serves an application while the context is open.

    Args:
      app: application to serve.
      listen: address to listen on; port 0 takes a free one.
      bounds: limits of the listener.
      intake: decides which connections are taken; None to take all.

    Yields:
      The bound ``host:port``.

    Raises:
      OSError: the address cannot be listened on.
    """
    runner = web.AppRunner(
        app,
        # A handler is cancelled when its caller disconnects, and its context
        # managers release its resources.
        handler_cancellation=True,
        shutdown_timeout=bounds.shutdown_s,
    )
    await runner.setup()
    registry = connections.Registry() if intake is None else intake.registry
    try:
        listener = await _listen(runner, registry, listen, bounds, intake)
        try:
            host, port = listener.sockets[0].getsockname()[:2]
            yield f"{host}:{port}"
        finally:
            listener.close()
            await registry.close(bounds.shutdown_s)
    finally:
        await runner.cleanup()


async def _listen(
    runner: web.AppRunner,
    registry: connections.Registry,
    listen: kinds.Address,
    bounds: ServerBounds,
    intake: intakes.Intake | None,
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    server = runner.server
    assert server is not None

    def connect() -> asyncio.Protocol:
        if intake is not None and not intake.take_connection():
            return connections.UnreadConnection()
        return CallerConnection(
            server,
            registry,
            bounds.write_buffer_bytes,
            loop=loop,
            access_log=None,
            max_line_size=bounds.header_bytes,
            max_field_size=bounds.header_bytes,
        )

    return await loop.create_server(connect, listen.host, listen.port)
