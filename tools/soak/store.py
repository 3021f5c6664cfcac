"""The platform's object API in memory, with injected faults."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import json
from typing import Any

from aiohttp import web

from rhubarblock.platform import names
from tools.soak import evidence as evidences

# Seconds for which snapshots are kept.
SNAPSHOT_RETENTION_S = 6.0


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """The content of the store at one moment.

    Attributes:
      at_s: the moment.
      revision: the latest revision then.
      objects: items by name.
    """

    at_s: float
    revision: int
    objects: dict[str, dict[str, Any]]


class SoakStore:
    """Objects in memory behind the platform's calls.

    Attributes:
      revision: increases with each change.
      era: increases each time an older snapshot is restored.
      is_down: whether every call is answered 503.
      is_read_only: whether every write is answered 503, as without a quorum of
        disks.
      delay_s: seconds by which each answer is delayed.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.is_down = False
        self.is_read_only = False
        self.delay_s = 0.0
        self._objects: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._oldest = 0
        self._snapshots: list[Snapshot] = []
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
        self._record_event(name, False, item)
        return self.revision

    def remove(self, name: str) -> None:
        """Removes an object."""
        item = self._objects.pop(name, None)
        if item is not None:
            self.revision += 1
            self._record_event(name, True, item)

    def discard_events(self) -> None:
        """Discards all events; watches from an older revision get 410."""
        self._events.clear()
        self._oldest = self.revision
        self._notify_watches()

    def restore_snapshot(self, age_s: float) -> float:
        """Restores a snapshot that is some seconds old, in a new era.

        Returns:
          The moment of the snapshot; later writes are lost.
        """
        at_s = evidences.read_clock() - age_s
        snapshot = max(
            (c for c in self._snapshots if c.at_s <= at_s),
            key=lambda c: c.at_s,
            default=self._snapshots[0],
        )
        self.era += 1
        self.revision = snapshot.revision
        self._objects = dict(snapshot.objects)
        self._snapshots.clear()
        self._take_snapshot()
        self.discard_events()
        return snapshot.at_s

    def list_names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        return [name for name in self._objects if name.startswith(kind)]

    def _take_snapshot(self) -> None:
        now_s = evidences.read_clock()
        snapshot = Snapshot(now_s, self.revision, dict(self._objects))
        kept = [
            c for c in self._snapshots if c.at_s >= now_s - SNAPSHOT_RETENTION_S
        ]
        self._snapshots = [*kept, snapshot]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one call; every answer carries the era."""
        response = await self._answer(request)
        response.headers[names.STORE_ERA] = str(self.era)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(self.delay_s)
        if self.is_down or (self.is_read_only and request.method != "GET"):
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

    def _record_event(
        self, name: str, removed: bool, item: dict[str, Any]
    ) -> None:
        self._events.append((self.revision, name, removed, item))
        self._take_snapshot()
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _answer(fields: Any) -> web.Response:
    return web.Response(
        text=json.dumps(fields), content_type="application/json"
    )


@contextlib.asynccontextmanager
async def serve(handler: Callable[..., Any]):  # type: ignore[no-untyped-def]
    """Serves a handler on a free port; yields the server and the port."""
    server = web.Server(handler, handler_cancellation=True)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    try:
        yield server, listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        await server.shutdown(0.1)
