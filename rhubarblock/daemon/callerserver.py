"""The callers' side of an instance: one HTTP server.

It joins the completions API, the calls to services and the two health paths,
and gives every refusal of the HTTP library itself the usual error form.
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
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.relay import apierrors
from rhubarblock.relay import completionsapi
from rhubarblock.relay import servicesapi
from rhubarblock.settings import kinds

_logger = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(slots=True, frozen=True)
class CallerApis:
    """What callers can ask for."""

    completions: completionsapi.CompletionsApi
    services: servicesapi.ServicesApi


@web.middleware
async def answer_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Gives refusals of the library and unexpected errors our form."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        response = apierrors.answer(apierrors.convert_http_error(error))
        response.set_status(error.status)
        return response
    except ConnectionError:
        # The caller went away while it was being written to.
        raise
    except Exception:
        _logger.exception("unexpected error", extra={"path": request.path})
        return apierrors.answer(
            failures.Failure(
                failures.FailureCode.INTERNAL,
                "unexpected error; see the log of this instance",
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        )


def create_app(
    apis: CallerApis, lifecycle: lifecycles.InstanceLifecycle, body_bytes: int
) -> web.Application:
    """Returns the application for callers.

    Args:
      apis: what callers can ask for.
      lifecycle: state of this instance.
      body_bytes: largest body.
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
    """What one listener holds at most.

    Attributes:
      header_bytes: largest request line or header field.
      answer_bytes: most bytes of one answer that wait for a slow reader.
      shutdown_s: seconds that requests and the bytes of their answers get to
        end once the server stops.
    """

    header_bytes: int = 8_190
    answer_bytes: int = 1 << 16
    shutdown_s: float = 2.0


class CallerConnection(connections.OwingConnection):
    """One connection; what is no HTTP request gets the usual error form too."""

    __slots__ = ("_answer_bytes",)

    def __init__(
        self,
        server: web.Server,
        registry: connections.Registry,
        answer_bytes: int,
        **options: Any,
    ):
        """Creates a connection.

        Args:
          server: the server that it belongs to.
          registry: knows it as long as it is open.
          answer_bytes: see ``ServerBounds``.
          **options: options of the library.
        """
        super().__init__(server, registry, **options)
        self._answer_bytes = answer_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        transport.set_write_buffer_limits(high=self._answer_bytes)
        super().connection_made(transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers what the library could not read as a request.

        It never reached a handler, so it did not run.
        """
        reason = "not a valid HTTP request"
        if isinstance(exc, http_exceptions.LineTooLong):
            reason = (
                "the request line or a header field is over "
                f"{self.max_field_size} bytes"
            )
        response = apierrors.answer(
            failures.Failure(failures.FailureCode.BAD_REQUEST, reason)
        )
        response.set_status(status)
        response.force_close()
        return response


@contextlib.asynccontextmanager
async def run_server(
    app: web.Application, listen: kinds.Address, bounds: ServerBounds
) -> AsyncIterator[str]:
    """Serves an application while the context is open.

    Args:
      app: what to serve.
      listen: where; port 0 takes a free one.
      bounds: what it holds at most.

    Yields:
      The bound ``host:port``.

    Raises:
      OSError: the address cannot be listened on.
    """
    runner = web.AppRunner(
        app,
        # A handler ends with its caller, and its contexts free what it held.
        handler_cancellation=True,
        shutdown_timeout=bounds.shutdown_s,
    )
    await runner.setup()
    registry = connections.Registry()
    try:
        listener = await _listen(runner, registry, listen, bounds)
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
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    server = runner.server
    assert server is not None

    def connect() -> CallerConnection:
        return CallerConnection(
            server,
            registry,
            bounds.answer_bytes,
            loop=loop,
            access_log=None,
            max_line_size=bounds.header_bytes,
            max_field_size=bounds.header_bytes,
        )

    return await loop.create_server(connect, listen.host, listen.port)
