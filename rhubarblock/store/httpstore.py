"""HTTP client of the object API."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import urllib.parse

import aiohttp

from rhubarblock.core import jsontext
from rhubarblock.core import position as positions
from rhubarblock.httpclient import protocol as protocols
from rhubarblock.httpclient import reading
from rhubarblock.store import sendonce
from rhubarblock.store import store as stores
from rhubarblock.store import storewire

# Seconds until a call without an answer counts as lost.
CALL_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
# Longest answer in bytes: a listing holds the values of all its objects.
MAX_ANSWER_BYTES = 64_000_000
# One line of a watch holds a whole value in base64.
LINE_LIMIT = 2 * stores.VALUE_LIMIT

_Kind = stores.StoreErrorKind
_FAILED = (aiohttp.ClientError, OSError, *jsontext.MISMATCH)


class HttpStore(stores.ObjectStore):
    """Client of the protocol in docs/standins-platform.md."""

    __slots__ = ("_base_url", "_headers", "_session", "_timeout_s")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        client_id: str = "",
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Creates a client; the caller closes the session.

        Args:
          session: HTTP session to use.
          base_url: ``http://host:port`` of the platform.
          client_id: name under which the platform counts the calls.
          timeout_s: seconds until a call without an answer counts as lost.
        """
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._headers = {storewire.CLIENT_HEADER: client_id}
        self._timeout_s = timeout_s

    async def read(self, name: str) -> stores.StoredObject:
        with _read_errors():
            async with self._request("GET", self._format_url(name)) as response:
                _check_status(response)
                value = await reading.read_body(response, MAX_ANSWER_BYTES)
                return stores.StoredObject(name, _get_version(response), value)

    async def list_objects(self, prefix: str) -> stores.Page:
        url = self._base_url + storewire.OBJECTS_PATH
        params = {"prefix": prefix}
        with _read_errors():
            async with self._request("GET", url, params=params) as response:
                _check_status(response)
                page = jsontext.load(
                    await reading.read_body(response, MAX_ANSWER_BYTES)
                )
            objects = [storewire.decode_object(o) for o in page["objects"]]
            return stores.Page(
                tuple(objects), storewire.decode_position(page["version"])
            )

    async def write(
        self, name: str, value: bytes, expected_version: positions.Position
    ) -> stores.StoredObject:
        with _write_errors():
            async with self._request(
                "PUT",
                self._format_url(name),
                data=value,
                headers=self._make_conditional_headers(expected_version),
            ) as response:
                _check_status(response)
                await reading.read_body(response, MAX_ANSWER_BYTES)
                return stores.StoredObject(name, _get_version(response), value)

    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        with _write_errors():
            async with self._request(
                "DELETE",
                self._format_url(name),
                headers=self._make_conditional_headers(expected_version),
            ) as response:
                _check_status(response)
                await reading.read_body(response, MAX_ANSWER_BYTES)

    async def watch(
        self,
        prefix: str,
        after: positions.Position,
        wait_s: float | None = None,
    ) -> AsyncIterator[stores.Page]:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )
        with _read_errors():
            async with self._session.get(
                self._base_url + storewire.WATCH_PATH,
                params={"prefix": prefix, "after": _encode(after)},
                headers=self._headers,
                timeout=timeout,
                max_line_size=LINE_LIMIT,
            ) as response:
                _check_status(response)
                async for line in _read_lines(response):
                    stored = storewire.decode_event(line)
                    yield stores.Page((stored,), stored.version)

    def _format_url(self, name: str) -> str:
        quoted = urllib.parse.quote(name, safe="/")
        return f"{self._base_url}{storewire.OBJECTS_PATH}/{quoted}"

    def _make_conditional_headers(
        self, version: positions.Position
    ) -> dict[str, str]:
        return {**self._headers, storewire.EXPECTED_HEADER: _encode(version)}

    def _request(
        self,
        method: str,
        url: str,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> "contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]":
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        return self._session.request(
            method,
            url,
            params=params,
            data=data,
            headers=headers or self._headers,
            timeout=timeout,
            middlewares=(sendonce.send_once,),
        )


async def _read_lines(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    # The library's readline has a limit below the size of an event.
    partial = b""
    async for data in response.content.iter_any():
        lines = (partial + data).split(b"\n")
        partial = lines.pop()
        for line in lines:
            yield line
        if len(partial) > LINE_LIMIT:
            raise protocols.InvalidAnswerError("a line is too long")


def _encode(position: positions.Position) -> str:
    return str(storewire.encode_position(position))


def _get_version(response: aiohttp.ClientResponse) -> positions.Position:
    number = response.headers[storewire.VERSION_HEADER]
    return storewire.decode_position(int(number))


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    kind = storewire.KIND_BY_STATUS.get(response.status, _Kind.UNSURE)
    raise stores.StoreError(kind, f"the platform answered {response.status}")


@contextlib.contextmanager
def _read_errors() -> Iterator[None]:
    try:
        yield
    except _FAILED as error:
        reason = reading.describe_error(error)
        raise stores.StoreError(_Kind.UNAVAILABLE, reason) from error


@contextlib.contextmanager
def _write_errors() -> Iterator[None]:
    try:
        yield
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        # There was no connection, so the platform did not receive the call.
        reason = reading.describe_error(error)
        raise stores.StoreError(_Kind.UNAVAILABLE, reason) from error
    except _FAILED as error:
        reason = reading.describe_error(error)
        raise stores.StoreError(_Kind.UNSURE, reason) from error
