"""The platform's metadata store in memory, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import json
from typing import Any
import urllib.parse

from common2 import wire


class Store:
    """Objects by kind and name behind the platform's calls.

    Attributes:
      revision: the counter that each change increases.
    """

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put(self, name: str, specification: Any) -> None:
        """Writes an object, as its owner does."""
        self.revision += 1
        known = self._objects.get(name)
        created = known["metadata"]["created"] if known else self.revision
        self._objects[name] = {
            "metadata": {
                "name": name.partition("/")[2],
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "specification": specification,
            "status": None,
        }
        self._add_event(name, False, self._objects[name])

    def remove(self, name: str) -> None:
        """Removes an object."""
        known = self._objects.pop(name, None)
        if known is None:
            return
        self.revision += 1
        known = json.loads(json.dumps(known))
        known["metadata"]["revision"] = self.revision
        self._add_event(name, True, known)

    def _add_event(self, name: str, removed: bool, item: Any) -> None:
        event = {"object": item, "removed": removed}
        self._events.append((self.revision, name, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, ip: str) -> int:
        """Serves on a free port; returns it."""
        server = await asyncio.start_server(self._accept, ip, 0)
        return server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            ConnectionError, wire.BrokenError, asyncio.CancelledError
        ):
            while (request := await wire.read_message(reader)) is not None:
                await asyncio.sleep(0.004)
                status, fields = await self._answer(request)
                body = json.dumps(fields).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(wire.encode(f"HTTP/1.1 {status} -", kind, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request: wire.Message) -> tuple[int, Any]:
        method, target, _ = request.start
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = urllib.parse.unquote(url.path.removeprefix("/objects/"))
        if method == "GET":
            if "watch" in query:
                return await self._watch(name, query)
            return self._read(name)
        content = json.loads(request.body or b"{}")
        return self._write(method, name, content, query)

    def _read(self, name: str) -> tuple[int, Any]:
        if "/" in name:
            item = self._objects.get(name)
            return (200, item) if item else (404, {})
        items = [
            v for k, v in self._objects.items() if k.startswith(name + "/")
        ]
        return 200, {
            "items": items,
            "hasMore": False,
            "storeRevision": self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1e3):
                while not self._find_events(kind, after):
                    await self._changed.wait()
        return 200, {
            "events": self._find_events(kind, after),
            "storeRevision": self.revision,
        }

    def _find_events(self, kind: str, after: int) -> list[Any]:
        return [
            event
            for revision, name, event in self._events
            if revision > after and name.startswith(kind + "/")
        ]

    def _write(
        self, method: str, name: str, content: Any, query: dict[str, str]
    ) -> tuple[int, Any]:
        metadata = content.get("metadata", {})
        if method == "POST":
            name = f"{name}/{metadata['name']}"
        present = self._objects.get(name)
        if method == "POST" and present:
            return 409, present
        if method != "POST" and not present:
            return 404, {}
        expected = metadata.get("revision") or query.get("revision")
        revision = present["metadata"]["revision"] if present else None
        if present and expected and int(expected) != revision:
            return 409, present
        if method == "DELETE":
            self.remove(name)
            return 200, {}
        if not present or present["specification"] != content["specification"]:
            self.put(name, content["specification"])
        return 200, self._objects[name]
