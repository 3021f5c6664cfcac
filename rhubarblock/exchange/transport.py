"""Sends exchanges to endpoints over aiohttp.

aiohttp's client is made for an application's own requests: it follows
redirects, keeps cookies, retries, and takes whatever arrives next on a
keep-alive connection for the next answer. Here every byte belongs to one
caller, so all of that is disabled or checked.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import functools
from typing import Any

import aiohttp
from aiohttp import http_exceptions
import yarl

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import connection as connections
from rhubarblock.exchange import connector as connectors
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import pathwatch
from rhubarblock.exchange import sends
from rhubarblock.exchange import sockets
from rhubarblock.httpclient import reading
from rhubarblock.httpclient import sessions as http_sessions
from rhubarblock.store import sendonce

# Part of a route's objective after which a connection is given up, so that
# another endpoint can still answer on time, and the shortest such time in
# seconds: links that are full delay the first packets by tens of milliseconds.
CONNECT_OBJECTIVE_PART = 0.4
MIN_CONNECT_TIMEOUT_S = 0.1
# Time in seconds for which an idle connection is reused. Endpoints close idle
# connections, and one that is about to be closed would lose the next request.
KEEPALIVE_S = 4.0
# Bytes of an answer that a connection buffers, as aiohttp has them by default.
READ_BYTES = 1 << 18
# Bytes of a body that are written before the endpoint has to take them.
PIECE_BYTES = 65_536
# aiohttp errors that mean that nothing was sent.
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_FAILED = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    OSError,
)

_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)

_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class AttemptError(failures.FailureError):
    """An attempt failed; its verdict says whether it may have run."""


class EndpointRequest(aiohttp.ClientRequest):
    """Sets which answer the connection expects."""

    ATTEMPT_HEADER = ""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        sending = pathwatch.current.get()
        if sending is not None:
            sending.check()
            sending.is_direct = not conn.protocol.is_relayed
        send = conn.protocol.begin_send(
            self.headers.get(self.ATTEMPT_HEADER, "")
        )
        if sending is not None:
            sending.history.note(conn.protocol, send)
        return await super().send(conn)


class EndpointResponse(aiohttp.ClientResponse):
    """Keeps a reference to its connection after the end of its body.

    Attributes:
      endpoint_protocol: connection on which it arrived.
    """

    endpoint_protocol: connections.EndpointProtocol | None = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        self.endpoint_protocol = connection.protocol
        return await super().start(connection)


class PiecewiseBody(aiohttp.BytesPayload):
    """A body that is written as fast as the endpoint takes it.

    aiohttp writes a whole body at once, and asyncio copies what the endpoint
    has not taken, so that an endpoint that reads slowly would make the instance
    hold a body twice.
    """

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        body = memoryview(self._value)[:content_length]
        for at in range(0, len(body), PIECE_BYTES):
            await writer.write(body[at : at + PIECE_BYTES])
            await writer.drain()


class Answer:
    """An endpoint's answer whose body has not been read yet."""

    __slots__ = ("_response", "fields", "headers", "status")

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        dialect: dialects.Dialect,
    ):
        self._response = response
        self.status = response.status
        self.fields = dialect.read_answer(response.status, response.headers)
        self.headers = dialect.filter_response_headers(
            response.headers.items(), response.headers.get("Connection", "")
        )

    @property
    def length(self) -> int | None:
        """Length of the body in bytes, or None if the headers lack it."""
        return self._response.content_length

    async def read_some(self) -> bytes:
        """Returns the next bytes of the body, empty at its regular end.

        Raises:
          AttemptError: the body was cut off.
        """
        with translate_errors():
            data = await self._response.content.readany()
        if not data and self._may_be_cut():
            # Without a length, this looks like the end to aiohttp.
            raise make_error("the connection ended within the answer")
        return data

    def _may_be_cut(self) -> bool:
        """Returns whether the end of the connection may not be the answer's.

        A peer that forwards a connection closes it regularly when it is killed.
        """
        response = self._response
        if not isinstance(response, EndpointResponse):
            return False
        protocol = response.endpoint_protocol
        if protocol is None or protocol.was_closed:
            return False
        if not (protocol.was_reset or protocol.is_relayed):
            return False
        framed = response.content_length is not None or (
            "Transfer-Encoding" in response.headers
        )
        return not framed


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointSessions:
    """The aiohttp sessions for requests to endpoints.

    Attributes:
      unprobed: for most exchanges. A healthy engine may be silent for long, and
        a network cut may heal in time, so an idle connection is kept.
      probed: for exchanges with memory leases at other engines. A connection is
        broken when the remote machine answers no TCP keep-alive probes.
    """

    unprobed: aiohttp.ClientSession
    probed: aiohttp.ClientSession


class EndpointTransport:
    """Sends exchanges to endpoints and returns their answers."""

    __slots__ = ("_dialect", "_is_memory_bounded", "_sessions", "_watch")

    def __init__(
        self,
        sessions: EndpointSessions,
        dialect: dialects.Dialect,
        is_memory_bounded: bool = False,
        watch: pathwatch.PathWatch | None = None,
    ):
        """Creates a transport on sessions of ``open_sessions``.

        Args:
          sessions: the aiohttp sessions.
          dialect: header fields of the deployment.
          is_memory_bounded: whether endpoints that read slowly must not make
            the instance hold more than a request's body.
          watch: watches the paths of requests that are under way.
        """
        self._watch = watch
        self._is_memory_bounded = is_memory_bounded
        self._sessions = sessions
        self._dialect = dialect

    @contextlib.asynccontextmanager
    async def send(
        self,
        exchange: exchanges.Exchange,
        address: str,
        options: dialects.SendOptions,
        on_lost: Callable[[], object] = lambda: None,
        check: Callable[[], None] = lambda: None,
        history: sends.SendHistory | None = None,
    ) -> AsyncIterator[Answer]:
        """Sends an exchange once; the answer is open within the context.

        Args:
          exchange: the exchange to send.
          address: ``host:port`` of the endpoint.
          options: options of this attempt.
          on_lost: called if its path is lost while it is under way.
          check: called right before it is sent, once a connection is open; its
            error ends the attempt.
          history: the earlier sends of the exchange; None if there are none.

        Yields:
          The answer; its connection is closed unless it was read to the end.

        Raises:
          AttemptError: it could not be sent, or no valid answer arrived.
        """
        sending = pathwatch.Sending(address, on_lost, check, history)
        with (
            self._watch.watch(sending)
            if self._watch is not None
            else contextlib.nullcontext()
        ):
            response = await self._request(exchange, sending, options)
            try:
                answer = Answer(response, self._dialect)
                if answer.fields.request_id != exchange.request_id:
                    raise make_error("the answer belongs to another request")
                if _is_coded_unasked(exchange, response):
                    raise make_error("the answer has a coding not asked for")
                yield answer
            finally:
                response.close()

    async def _request(
        self,
        exchange: exchanges.Exchange,
        sending: pathwatch.Sending,
        options: dialects.SendOptions,
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns the answer's head."""
        sessions = self._sessions
        session = sessions.probed if options.holds_memory else sessions.unprobed
        token = pathwatch.current.set(sending)
        try:
            with translate_errors():
                return await session.request(
                    exchange.method,
                    yarl.URL(
                        f"http://{sending.address}{exchange.target}",
                        encoded=True,
                    ),
                    headers=self._dialect.address(exchange, options),
                    data=self._make_body(exchange.body),
                    allow_redirects=False,
                    middlewares=(sendonce.send_once,),
                    timeout=_make_timeout(exchange.route.objective_s),
                )
        finally:
            pathwatch.current.reset(token)

    def _make_body(self, body: bytes) -> bytes | PiecewiseBody | None:
        """Returns a body as aiohttp takes it; None if it is empty."""
        if self._is_memory_bounded and len(body) > PIECE_BYTES:
            return PiecewiseBody(body)
        return body or None


@contextlib.contextmanager
def translate_errors() -> Any:
    """Translates aiohttp errors to attempt errors with a verdict."""
    try:
        yield
    except _NOT_SENT as error:
        raise make_error(
            reading.describe_error(error), verdicts.Verdict.NOT_RUN
        ) from error
    except _FAILED as error:
        raise make_error(reading.describe_error(error)) from error


def _is_coded_unasked(
    exchange: exchanges.Exchange, response: aiohttp.ClientResponse
) -> bool:
    """Returns whether a body has a coding and its caller accepts none."""
    return "Content-Encoding" in response.headers and not any(
        header.name.lower() == "accept-encoding" for header in exchange.headers
    )


def _make_timeout(objective_s: float) -> aiohttp.ClientTimeout:
    """Returns the timeout of a request with an objective in seconds."""
    connect_s = max(MIN_CONNECT_TIMEOUT_S, CONNECT_OBJECTIVE_PART * objective_s)
    return aiohttp.ClientTimeout(
        total=None, sock_connect=min(connect_s, connectors.CONNECT_TIMEOUT_S)
    )


def make_error(
    message: str,
    verdict: verdicts.Verdict = verdicts.Verdict.MAY_HAVE_RUN,
) -> AttemptError:
    """Returns the error of an attempt that the endpoint or network failed."""
    return AttemptError(
        failures.Failure(failures.FailureCode.ENDPOINT_FAILED, message, verdict)
    )


@contextlib.asynccontextmanager
async def open_sessions(
    attempt_header: str,
    read_bytes: int = READ_BYTES,
    dialer: dialers.Dialer | None = None,
) -> AsyncIterator[EndpointSessions]:
    """Opens sessions for requests to endpoints.

    Args:
      attempt_header: name of the header field that answers echo.
      read_bytes: bytes of an answer that a connection buffers before they are
        read; up to twice as many, and one read of the socket more.
      dialer: opens the sockets; None for direct connections only.

    Yields:
      The sessions; they are closed with the context.
    """
    open_session = functools.partial(
        _open_session, attempt_header, read_bytes, dialer
    )
    async with (
        open_session(sockets.make_socket) as unprobed,
        open_session(sockets.make_probed_socket) as probed,
    ):
        yield EndpointSessions(unprobed, probed)


@contextlib.asynccontextmanager
async def _open_session(
    attempt_header: str,
    read_bytes: int,
    dialer: dialers.Dialer | None,
    make_socket: sockets.SocketFactory,
) -> AsyncIterator[aiohttp.ClientSession]:
    connector = connectors.EndpointConnector(
        functools.partial(
            connections.EndpointProtocol, attempt_header=attempt_header
        ),
        limit=0,
        keepalive_timeout=KEEPALIVE_S,
        socket_factory=make_socket,
        happy_eyeballs_delay=None,
    )
    connector.attempt_header = attempt_header
    connector.dialer = dialer
    connector.make_socket = make_socket
    request_class = type(
        "NamedRequest", (EndpointRequest,), {"ATTEMPT_HEADER": attempt_header}
    )
    async with http_sessions.open_session(
        connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_SKIPPED_HEADERS,
        request_class=request_class,
        response_class=EndpointResponse,
        read_bufsize=read_bytes,
        timeout=_NO_TIMEOUT,
    ) as session:
        yield session
