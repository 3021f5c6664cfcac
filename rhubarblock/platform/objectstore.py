"""The platform's object API, as the product's store.

An object is ``kind/name`` there and here. Its specification holds the value,
and the revision of its last change is its version.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import json
import math
from typing import Any
import urllib.parse

import aiohttp

from rhubarblock.store import sendonce
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

# Seconds until a call without an answer counts as lost: ten times the slowest
# answers that a working store was seen to give.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
# Longest integer that is decoded, in characters: that of 64 bits.
_LONGEST_INTEGER = 20
# Milliseconds for which a watch waits; short, as a connection may go silent.
WATCH_WAIT_MS = 4_000

_STATUS_KINDS = {
    404: _Kind.NOT_FOUND,
    409: _Kind.CONFLICT,
    410: _Kind.CONFLICT,
    413: _Kind.TOO_LARGE,
    429: _Kind.RATE_LIMITED,
    503: _Kind.UNAVAILABLE,
}


class PlatformStore(stores.ObjectStore):
    """Client of the platform's object API."""

    __slots__ = ("_base_url", "_count_call", "_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        count_call: Callable[[str], None],
    ):
        """Creates a client; the caller closes the session.

        Args:
          session: HTTP session to use.
          address: ``host:port`` of the API.
          count_call: counts every call by a name, as each one is charged.
        """
        self._session = session
        self._count_call = count_call
        self._base_url = f"http://{address}/objects/"

    async def read(self, name: str) -> stores.StoredObject:
        fields = await self._call("GET", name)
        return _decode_object(name.partition("/")[0], fields)

    async def list_objects(self, prefix: str) -> stores.Page:
        kind = prefix.partition("/")[0]
        objects: list[stores.StoredObject] = []
        query: dict[str, str] = {}
        while True:
            page = await self._call("GET", kind, query)
            items = [_decode_object(kind, item) for item in page["items"]]
            objects += items
            if not page.get("hasMore") or not items:
                return stores.Page(tuple(objects), int(page["storeRevision"]))
            query = {"after": items[-1].name.partition("/")[2]}

    async def write(
        self, name: str, value: bytes, expected_version: int
    ) -> stores.StoredObject:
        kind, _, short = name.partition("/")
        metadata: dict[str, Any] = {"name": short}
        body = {"metadata": metadata, "specification": json.loads(value)}
        if expected_version:
            metadata["revision"] = expected_version
            fields = await self._call("PUT", name, body=body)
        else:
            fields = await self._call("POST", kind, body=body)
        return stores.StoredObject(name, _read_version(fields), value)

    async def delete(self, name: str, expected_version: int) -> None:
        query = {"revision": str(expected_version)} if expected_version else {}
        await self._call("DELETE", name, query)

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[stores.StoredObject]:
        kind = prefix.partition("/")[0]
        while True:
            query = {"watch": str(after), "waitMs": str(WATCH_WAIT_MS)}
            page = await self._call(
                "GET", kind, query, CALL_TIMEOUT_S + WATCH_WAIT_MS / 1e3
            )
            for event in page["events"]:
                yield _decode_object(
                    kind, event["object"], bool(event.get("removed"))
                )
            after = int(page["storeRevision"])

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        body: Mapping[str, Any] | None = None,
    ) -> Any:
        """Makes one call and returns the decoded body of its answer.

        Raises:
          store.StoreError: it did not succeed.
        """
        unknown = _Kind.UNAVAILABLE if method == "GET" else _Kind.UNSURE
        self._count_call(_name_call(method, path, query or {}))
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method,
                self._base_url + urllib.parse.quote(path, safe="/"),
                params=query,
                json=body,
                timeout=timeout,
                middlewares=(sendonce.send_once,),
            ) as response:
                content = await response.read()
                if response.status >= 300:
                    kind = _STATUS_KINDS.get(response.status, unknown)
                    self._count_call(f"store.answers.{kind.value}")
                    raise stores.StoreError(
                        kind, f"the store answered {response.status}"
                    )
                return _load(content)
        except aiohttp.ClientConnectorError as error:
            self._count_call("store.answers.none")
            raise stores.StoreError(_Kind.UNAVAILABLE, str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self._count_call("store.answers.none")
            raise stores.StoreError(unknown, str(error)) from error


def _name_call(method: str, path: str, query: Mapping[str, str]) -> str:
    """Returns the counter of a call: what it does, and to which kind."""
    kind, _, name = path.partition("/")
    if method != "GET":
        return f"store.write.{kind}"
    if "watch" in query:
        return f"store.watch.{kind}"
    return f"store.read.{kind}" if name else f"store.list.{kind}"


def _load(content: bytes) -> Any:
    """Decodes a body; what one object holds must not spoil the others.

    Anyone may have written into an object, so texts that are no UTF-8 and
    numbers of any length are taken in here; who uses them checks them.

    Raises:
      ValueError: it can't be read as a whole.
    """
    text = content.decode("utf-8", "replace")
    try:
        return json.loads(text, parse_int=_read_integer)
    except RecursionError as error:
        raise ValueError("the body is nested too deeply") from error


def _read_integer(digits: str) -> int | float:
    """Returns a number; one that no field holds becomes infinite."""
    if len(digits) > _LONGEST_INTEGER:
        return math.inf
    return int(digits)


def _read_version(fields: Mapping[str, Any]) -> int:
    return int(fields["metadata"]["revision"])


def _decode_object(
    kind: str, fields: Mapping[str, Any], removed: bool = False
) -> stores.StoredObject:
    value = json.dumps(fields.get("specification")).encode()
    return stores.StoredObject(
        f"{kind}/{fields['metadata']['name']}",
        _read_version(fields),
        b"" if removed else value,
        removed,
    )
