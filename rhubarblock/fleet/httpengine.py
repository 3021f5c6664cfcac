"""HTTP client of engines.

``generate`` yields an answer token by token or, for a relay, in chunks of
several tokens that are not parsed one by one: see ``StreamSettings``.
``open_raw`` returns the same answer as the bytes of whole server-sent events.
"""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import aiohttp

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import engineclient
from rhubarblock.fleet import enginewire
from rhubarblock.fleet import readpacing
from rhubarblock.fleet import tokenevents
from rhubarblock.httpclient import reading
from rhubarblock.kernel import timers as timer_service

CONNECT_TIMEOUT_S = 2.0
# Longest answer of a call, and longest event of a stream, in bytes.
MAX_ANSWER_BYTES = 8_000_000
MAX_EVENT_BYTES = 1_000_000
_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
_JSON = {"Content-Type": "application/json"}


@dataclasses.dataclass(slots=True, frozen=True)
class StreamSettings:
    """How the tokens of an answer are read.

    Attributes:
      pass_through: whether the text of consecutive token events is extracted
        as bytes and joined into one chunk; False parses the JSON of every
        event and yields a chunk per token.
      batch_s: seconds for which reading is paused after each block, so that
        tokens arriving in that time are forwarded as one batch; 0 disables
        batching.
    """

    pass_through: bool = False
    batch_s: float = 0.0


# Setting of the daemon. It does not pause reading: that would lower the cost
# per token further, but add most of the pause to the gap between tokens, whose
# 95th percentile may be 25 ms at most; see docs/design/overhead.md.
DAEMON_STREAMING = StreamSettings(pass_through=True)


class RawAnswer:
    """The answer to one attempt as bytes.

    Attributes:
      complete: whether the answer ended with ``[DONE]``.
    """

    __slots__ = ("_error", "_partial", "_response", "complete")

    def __init__(self, response: aiohttp.ClientResponse):
        self._response = response
        self._partial = b""
        self._error = b""
        self.complete = False

    async def read_block(self) -> bytes:
        """Returns the next whole events, unchanged.

        Returns:
          One or more events, each with the empty line that ends it. Empty
          after the engine has closed the stream; ``complete`` is then true if
          the answer ended with ``[DONE]``.

        Raises:
          failure.FailureError: the stream broke or carried an error. Events
            before it have been returned.
        """
        while not self._error:
            data = await self._read_data()
            if not data:
                return b""
            block = self._split_events(data)
            if block:
                return block
        enginewire.parse_event(self._error)
        return b""

    async def read_events(self) -> AsyncGenerator[bytes, None]:
        """Yields blocks until the stream ends, as ``read_block`` does."""
        while block := await self.read_block():
            yield block

    def pause_reading(self, pacer: readpacing.ReadPacer) -> None:
        """Pauses reading after a block unless it was the last one."""
        connection = self._response.connection
        if self.complete or connection is None:
            return
        transport = connection.transport
        if transport is not None and not transport.is_closing():
            pacer.pause(transport)

    async def _read_data(self) -> bytes:
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise _make_error(
                failures.FailureCode.STREAM_CUT,
                "the stream of the engine broke: "
                + reading.describe_error(error),
                verdicts.Verdict.MAY_HAVE_RUN,
            ) from error

    def _split_events(self, data: bytes) -> bytes:
        """Returns the whole events in the data; buffers a partial one."""
        if self._partial:
            data = self._partial + data
            self._partial = b""
        if not data.endswith(enginewire.EVENT_END):
            cut = data.rfind(enginewire.EVENT_END)
            cut = cut + len(enginewire.EVENT_END) if cut >= 0 else 0
            self._partial = data[cut:]
            data = data[:cut]
            if len(self._partial) > MAX_EVENT_BYTES:
                raise _make_error(
                    failures.FailureCode.STREAM_CUT,
                    "the engine sent an event that is too long",
                    verdicts.Verdict.MAY_HAVE_RUN,
                )
        start = data.find(enginewire.ERROR_EVENT_START)
        if start >= 0:
            self._error = data[start:].partition(enginewire.EVENT_END)[0]
            return data[:start]
        self.complete = data.endswith(enginewire.DONE_EVENT)
        return data


class HttpEngineClient(engineclient.EngineClient):
    """Sends requests to engines through one HTTP session.

    Only connecting has a timeout; the caller enforces the deadline.
    """

    __slots__ = ("_pacer", "_session", "_streaming", "_timers")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        timers: timer_service.Timers | None = None,
        streaming: StreamSettings | None = None,
    ):
        """Creates a client.

        Args:
          session: HTTP session, owned by the caller.
          timers: timer service; None uses that of the running loop.
          streaming: how answers are read; None reads token by token.
        """
        self._session = session
        self._timers = timers or timer_service.LoopTimers()
        self.set_streaming(streaming or StreamSettings())

    def set_streaming(self, streaming: StreamSettings) -> None:
        """Sets how answers are read; applies to requests made from now on."""
        self._streaming = streaming
        self._pacer: readpacing.ReadPacer | None = None
        if streaming.batch_s:
            self._pacer = readpacing.ReadPacer(self._timers, streaming.batch_s)

    async def generate(
        self, address: str, attempt: attempts.Attempt
    ) -> AsyncGenerator[attempts.Chunk, None]:
        reader: tokenevents.EventReader = tokenevents.ParsingReader()
        if self._streaming.pass_through:
            reader = tokenevents.JoiningReader(attempt)
        pacer = self._pacer
        async with self.open_raw(address, attempt) as answer:
            while block := await answer.read_block():
                for chunk in _read_chunks(reader, block):
                    yield chunk
                if pacer is not None:
                    answer.pause_reading(pacer)

    @contextlib.asynccontextmanager
    async def open_raw(
        self, address: str, attempt: attempts.Attempt
    ) -> AsyncIterator[RawAnswer]:
        """Runs an attempt; leaving the context early cancels it.

        Args:
          address: ``host:port`` of the engine.
          attempt: what to run.

        Yields:
          The answer, once the response headers have arrived.

        Raises:
          failure.FailureError: the engine is unreachable or refused.
        """
        body = enginewire.encode_attempt(attempt)
        async with self._request(
            "POST", address, "/v1/generate", body
        ) as response:
            yield RawAnswer(response)

    async def cancel(self, address: str, attempt_id: str) -> bool:
        body = enginewire.encode_json({"attempt_id": attempt_id})
        answer = await self._call("POST", address, "/v1/cancel", body)
        try:
            return bool(enginewire.parse_json(answer)["known"])
        except (failures.FailureError, KeyError) as error:
            raise _make_protocol_error(address, error) from error

    async def fetch_load(self, address: str) -> endpoints.LoadReport:
        answer = await self._call("GET", address, "/v1/load")
        try:
            return enginewire.parse_load(answer)
        except ValueError as error:
            raise _make_protocol_error(address, error) from error

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> list[attempts.CacheEvent]:
        path = f"/v1/cache_events?after={after}"
        answer = await self._call("GET", address, path)
        try:
            return enginewire.parse_cache_events(answer)
        except ValueError as error:
            raise _make_protocol_error(address, error) from error

    async def give_order(
        self, address: str, order: attempts.Order
    ) -> endpoints.LoadReport:
        body = enginewire.encode_order(order)
        answer = await self._call("POST", address, "/v1/orders", body)
        try:
            return enginewire.parse_load(answer)
        except ValueError as error:
            raise _make_protocol_error(address, error) from error

    async def _call(
        self, method: str, address: str, path: str, body: bytes | None = None
    ) -> bytes:
        async with self._request(method, address, path, body) as response:
            try:
                return await reading.read_body(response, MAX_ANSWER_BYTES)
            except (aiohttp.ClientError, OSError) as error:
                raise _make_broken_error(address, error) from error

    @contextlib.asynccontextmanager
    async def _request(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        response = await self._send(method, address, path, body)
        try:
            if response.status != 200:
                raise failures.FailureError(await _read_failure(response))
            yield response
        finally:
            # Closing the connection of an unfinished answer makes the engine
            # stop generating.
            if response.content.at_eof():
                response.release()
            else:
                response.close()

    async def _send(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> aiohttp.ClientResponse:
        try:
            return await self._session.request(
                method,
                f"http://{address}{path}",
                data=body,
                headers=_JSON if body is not None else None,
                timeout=_TIMEOUT,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _make_error(
                failures.FailureCode.ENDPOINT_FAILED,
                f"no connection to {address}: {reading.describe_error(error)}",
                verdicts.Verdict.NOT_RUN,
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _make_broken_error(address, error) from error


async def _read_failure(
    response: aiohttp.ClientResponse,
) -> failures.Failure:
    try:
        return enginewire.parse_failure(
            await reading.read_body(response, MAX_ANSWER_BYTES)
        )
    except (aiohttp.ClientError, OSError):
        return enginewire.parse_failure(b"")


def _read_chunks(
    reader: tokenevents.EventReader, block: bytes
) -> list[attempts.Chunk]:
    try:
        return reader.read(block)
    except ValueError as error:
        raise _make_error(
            failures.FailureCode.STREAM_CUT,
            "the engine sent what is no event: "
            + reading.describe_error(error),
            verdicts.Verdict.MAY_HAVE_RUN,
        ) from error


def _make_broken_error(address: str, error: Exception) -> failures.FailureError:
    return _make_error(
        failures.FailureCode.ENDPOINT_FAILED,
        f"the connection to {address} broke: {reading.describe_error(error)}",
        verdicts.Verdict.MAY_HAVE_RUN,
    )


def _make_protocol_error(
    address: str, error: Exception
) -> failures.FailureError:
    return _make_error(
        failures.FailureCode.ENDPOINT_FAILED,
        f"{address} answered against the protocol: "
        + reading.describe_error(error),
        verdicts.Verdict.MAY_HAVE_RUN,
    )


def _make_error(
    code: failures.FailureCode, message: str, verdict: verdicts.Verdict
) -> failures.FailureError:
    return failures.FailureError(failures.Failure(code, message, verdict))
