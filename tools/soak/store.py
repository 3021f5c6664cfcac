"""The platform's object API, with faults that a test turns on."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import json
from typing import Any

from aiohttp import web

from rhubarblock.platform import names
from tools.soak import evidence as evidences

# Seconds for which copies are kept.
KEPT_S = 6.0


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """What the store held at a moment.

    Attributes:
      at_s: the moment.
      revision: the latest one then.
      objects: items by name.
    """

    at_s: float
    revision: int
    objects: dict[str, dict[str, Any]]


class SoakStore:
    """Objects in memory behind the platform's calls.

    Attributes:
      revision: rises with each change.
      era: how often it came back from an older copy of itself.
      refuses: whether every call is answered 503.
      refuses_writes: whether every write is, as without a majority of disks.
      delay_s: how long each answer takes.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.refuses = False
        self.refuses_writes = False
        self.delay_s = 0.0
        self._objects: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._oldest = 0
        self._copies: list[Copy] = []
        self._changed = asyncio.Event()

    def put(self, name: str, specification: Any) -> int:
        """Writes an object as its owner would; returns the revision."""
        self.revision += 1
        item = {
            "metadata": {
                "name": name.partition("/")[2],
                "revision": self.revision,
            },
            "specification": specification,
        }
        self._objects[name] = item
        self._note(name, False, item)
        return self.revision

    def remove(self, name: str) -> None:
        """Removes an object."""
        item = self._objects.pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(name, True, item)

    def forget_history(self) -> None:
        """Drops all events; watches that are behind get 410."""
        self._events.clear()
        self._oldest = self.revision
        self._wake()

    def come_back(self, age_s: float) -> float:
        """Begins an era with a copy that is some seconds old.

        Returns:
          The moment of the copy; what was written since is gone.
        """
        at_s = evidences.read_clock() - age_s
        copy = max(
            (c for c in self._copies if c.at_s <= at_s),
            key=lambda c: c.at_s,
            default=self._copies[0],
        )
        self.era += 1
        self.revision = copy.revision
        self._objects = dict(copy.objects)
        self._copies.clear()
        self._keep_copy()
        self.forget_history()
        return copy.at_s

    def list_names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        return [name for name in self._objects if name.startswith(kind)]

    def _keep_copy(self) -> None:
        now_s = evidences.read_clock()
        copy = Copy(now_s, self.revision, dict(self._objects))
        kept = [c for c in self._copies if c.at_s >= now_s - KEPT_S]
        self._copies = [*kept, copy]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one call; every answer names the era."""
        response = await self._answer(request)
        response.headers[names.STORE_ERA] = str(self.era)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(self.delay_s)
        if self.refuses or (self.refuses_writes and request.method != "GET"):
            return web.Response(status=503)
        path = request.path.removeprefix("/objects/")
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(path, request.query)
        if request.method == "GET":
            return self._read(path)
        body = json.loads(await request.text() or "{}")
        return self._write(request.method, path, body)

    def _read(self, path: str) -> web.Response:
        if "/" in path:
            item = self._objects.get(path)
            return _answer(item) if item else web.Response(status=404)
        items = [v for k, v in self._objects.items() if k.startswith(path)]
        return _answer(
            {"items": items, "hasMore": False, "storeRevision": self.revision}
        )

    async def _watch(self, kind: str, query: Any) -> web.Response:
        after = int(query["watch"])
        if not self._oldest <= after <= self.revision:
            return web.Response(status=410)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1e3):
                while not self._find_events(kind, after):
                    await self._changed.wait()
        if not self._oldest <= after <= self.revision:
            return web.Response(status=410)
        events = self._find_events(kind, after)
        return _answer({"events": events, "storeRevision": self.revision})

    def _find_events(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {"removed": removed, "object": item}
            for revision, name, removed, item in self._events
            if revision > after and name.startswith(kind + "/")
        ]

    def _write(self, method: str, path: str, body: Any) -> web.Response:
        metadata = body.get("metadata", {})
        name = f"{path}/{metadata['name']}" if method == "POST" else path
        present = self._objects.get(name)
        if method == "POST" and present:
            return web.Response(status=409)
        expected = metadata.get("revision")
        if present and expected and present["metadata"]["revision"] != expected:
            return web.Response(status=409)
        if method == "DELETE":
            self.remove(name)
            return _answer({})
        self.put(name, body.get("specification"))
        return _answer(self._objects[name])

    def _note(self, name: str, removed: bool, item: dict[str, Any]) -> None:
        self._events.append((self.revision, name, removed, item))
        self._keep_copy()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _answer(fields: Any) -> web.Response:
    return web.Response(
        text=json.dumps(fields), content_type="application/json"
    )


@contextlib.asynccontextmanager
async def serve(handler: Callable[..., Any]):  # type: ignore[no-untyped-def]
    """Serves a handler on a free port; yields server and port."""
    server = web.Server(handler, handler_cancellation=True)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    try:
        yield server, listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        await server.shutdown(0.1)
