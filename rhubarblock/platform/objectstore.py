"""Client of the platform's object API.

An object is named ``kind/name``. Its specification holds the value; its version
is the era of the response and the revision of the object's last change.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import json
import re
from typing import Any
import urllib.parse

import aiohttp

from rhubarblock.core import jsontext
from rhubarblock.core import position as positions
from rhubarblock.platform import names
from rhubarblock.store import sendonce
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind

# Seconds until a call without an answer counts as lost: ten times the slowest
# answers of a working store.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
_ERA = re.compile(r"[0-9]{1,18}")
# Milliseconds of a watch's long poll; short, as a connection may go silent.
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

    __slots__ = ("_base_url", "_count_call", "_eras", "_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        count_call: Callable[[str], None],
        eras: stores.Eras,
    ):
        """Creates a client; the caller closes the session.

        Args:
          session: HTTP session to use.
          address: ``host:port`` of the API.
          count_call: counts each call by name, as each one is charged for.
          eras: validates the era of every response.
        """
        self._eras = eras
        self._session = session
        self._count_call = count_call
        self._base_url = f"http://{address}/objects/"

    async def read(self, name: str) -> stores.StoredObject:
        answer = await self._call("GET", name)
        kind = name.partition("/")[0]
        with stores.translate_invalid(_Kind.UNAVAILABLE):
            return _decode_object(kind, answer.fields, answer.era)

    async def list_objects(self, prefix: str) -> stores.Page:
        kind = prefix.partition("/")[0]
        objects: list[stores.StoredObject] = []
        query: dict[str, str] = {}
        first: positions.Position | None = None
        while True:
            page = await self._call("GET", kind, query)
            with stores.translate_invalid(_Kind.UNAVAILABLE):
                # Changes between two pages may be in neither of them.
                first = first or page.position
                found = page.fields["items"]
                items = [_decode_object(kind, x, page.era) for x in found]
                has_more = items and page.fields.get("hasMore")
            if page.era != first.era:
                raise stores.StoreError(
                    _Kind.CONFLICT, "the era changed within a listing"
                )
            objects += items
            if not has_more:
                return stores.Page(tuple(objects), first)
            query = {"after": items[-1].name.partition("/")[2]}

    async def write(
        self, name: str, value: bytes, expected_version: positions.Position
    ) -> stores.StoredObject:
        self._check_era(expected_version)
        kind, _, short = name.partition("/")
        metadata: dict[str, Any] = {"name": short}
        body = {"metadata": metadata, "specification": json.loads(value)}
        if expected_version:
            metadata["revision"] = expected_version.revision
            answer = await self._call("PUT", name, body=body)
        else:
            answer = await self._call("POST", kind, body=body)
        with stores.translate_invalid(_Kind.UNSURE):
            version = _read_version(answer.fields, answer.era)
        return stores.StoredObject(name, version, value)

    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        self._check_era(expected_version)
        query = {}
        if expected_version:
            query["revision"] = str(expected_version.revision)
        await self._call("DELETE", name, query)

    def _check_era(self, expected: positions.Position) -> None:
        """Raises CONFLICT for a version of an ended era; it may be reused."""
        if expected and expected.era != self._eras.current:
            raise stores.StoreError(
                _Kind.CONFLICT, "the expected version is of an ended era"
            )

    async def watch(
        self,
        prefix: str,
        after: positions.Position,
        wait_s: float | None = None,
    ) -> AsyncIterator[stores.Page]:
        kind = prefix.partition("/")[0]
        wait_ms = WATCH_WAIT_MS if wait_s is None else round(wait_s * 1e3)
        while True:
            query = {"watch": str(after.revision), "waitMs": str(wait_ms)}
            page = await self._call(
                "GET", kind, query, CALL_TIMEOUT_S + wait_ms / 1e3
            )
            if page.era != after.era:
                # The watch may silently lack changes made since the copy.
                raise stores.StoreError(
                    _Kind.CONFLICT, "the era changed under a watch"
                )
            with stores.translate_invalid(_Kind.UNAVAILABLE):
                after = page.position
                objects = tuple(
                    _decode_object(
                        kind, e["object"], page.era, bool(e.get("removed"))
                    )
                    for e in page.fields["events"]
                )
            if objects:
                yield stores.Page(objects, after)

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        body: Mapping[str, Any] | None = None,
    ) -> "_Answer":
        """Makes one call; raises store.StoreError unless it succeeds."""
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
                era = self._take_era(response)
                if response.status >= 300:
                    kind = _STATUS_KINDS.get(response.status, unknown)
                    self._count_call(f"store.answers.{kind.value}")
                    raise stores.StoreError(
                        kind, f"the store answered {response.status}"
                    )
                return _Answer(jsontext.load_lenient(content), era)
        except aiohttp.ClientConnectorError as error:
            self._count_call("store.answers.none")
            raise stores.StoreError(_Kind.UNAVAILABLE, str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self._count_call("store.answers.none")
            raise stores.StoreError(unknown, str(error)) from error

    def _take_era(self, response: aiohttp.ClientResponse) -> int:
        """Returns the era of a response; an error response may name none.

        Raises store.StoreError if the content must not be used.
        """
        text = response.headers.get(names.STORE_ERA, "").strip()
        era = int(text) if _ERA.fullmatch(text) else None
        if era is None and response.status >= 300:
            return self._eras.current
        return self._eras.validate(era)


@dataclasses.dataclass(slots=True, frozen=True)
class _Answer:
    """The decoded body of a response and the era that it belongs to."""

    fields: Any
    era: int

    @property
    def position(self) -> positions.Position:
        """Position of the store, which only lists and watches contain."""
        return positions.Position(self.era, int(self.fields["storeRevision"]))


def _name_call(method: str, path: str, query: Mapping[str, str]) -> str:
    """Returns the name of a call's counter, from its operation and kind."""
    kind, _, name = path.partition("/")
    if method != "GET":
        return f"store.write.{kind}"
    if "watch" in query:
        return f"store.watch.{kind}"
    return f"store.read.{kind}" if name else f"store.list.{kind}"


def _read_version(fields: Mapping[str, Any], era: int) -> positions.Position:
    return positions.Position(era, int(fields["metadata"]["revision"]))


def _decode_object(
    kind: str, fields: Mapping[str, Any], era: int, removed: bool = False
) -> stores.StoredObject:
    name = f"{kind}/{fields['metadata']['name']}"
    version = _read_version(fields, era)
    value = (
        b"" if removed else jsontext.dump_lenient(fields.get("specification"))
    )
    return stores.StoredObject(name, version, value, removed)
