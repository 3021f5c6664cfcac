"""A stand-in of the platform's store: objects, lists and watches."""

import asyncio
import contextlib
import json
import urllib.parse

from common import wire

PAGE_ITEMS = 500


class Store:
    """Objects in memory.

    Attributes:
      revision: increases with each change.
      calls: time, peer, and path of each call.
      on_call: called with the path and the query of each call.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.calls: list[tuple[float, str, str]] = []
        self.on_call = lambda writer, path, query: None
        self._objects: dict[str, dict[str, object]] = {}
        self._events: list[tuple[int, str, dict[str, object]]] = []
        self._changed = asyncio.Event()

    def put(self, name: str, specification: object) -> float:
        """Writes an object; returns when that was acknowledged."""
        self.revision += 1
        item = {
            "metadata": {
                "name": name.partition("/")[2],
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            },
            "specification": specification,
            "status": None,
        }
        self._objects[name] = item
        self._note(name, {"object": item, "removed": False})
        return wire.now()

    def remove(self, name: str) -> float:
        """Removes an object; returns when that was acknowledged."""
        item = self._objects.pop(name, None)
        if item is not None:
            self.revision += 1
            metadata = dict(item["metadata"])  # type: ignore[call-overload]
            metadata["revision"] = self.revision
            gone = {**item, "metadata": metadata}
            self._note(name, {"object": gone, "removed": True})
        return wire.now()

    def find(self, name: str) -> dict[str, object] | None:
        """Returns an object, or None."""
        return self._objects.get(name)

    def _note(self, name: str, event: dict[str, object]) -> None:
        self._events.append((self.revision, name, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await wire.read_message(reader)) is not None:
                status, fields = await self._answer(writer, message)
                body = json.dumps(fields).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(wire.encode_answer(status, body, kind))
                await writer.drain()
        writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, message: wire.Message
    ) -> tuple[int, object]:
        method, target = message.first[:2]
        parts = urllib.parse.urlsplit(target)
        path = urllib.parse.unquote(parts.path).removeprefix("/objects/")
        query = dict(urllib.parse.parse_qsl(parts.query))
        peer = str(writer.get_extra_info("peername"))
        self.calls.append((wire.now(), peer, f"{method} {target}"))
        self.on_call(writer, path, query)
        await asyncio.sleep(0.004)
        if method == "GET" and "watch" in query:
            return await self._watch(path, query)
        if method == "GET":
            return self._read(path, query)
        return self._write(method, path, query, message.body)

    def _read(self, path: str, query: dict[str, str]) -> tuple[int, object]:
        if "/" in path:
            item = self._objects.get(path)
            return (200, item) if item else (404, {})
        after = query.get("after", "")
        names = sorted(
            name
            for name in self._objects
            if name.startswith(path + "/") and name.partition("/")[2] > after
        )
        items = [self._objects[name] for name in names[:PAGE_ITEMS]]
        return 200, {
            "items": items,
            "hasMore": len(names) > PAGE_ITEMS,
            "storeRevision": self.revision,
        }

    async def _watch(
        self, path: str, query: dict[str, str]
    ) -> tuple[int, object]:
        after = int(query["watch"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1e3):
                while not self._find_events(path, after):
                    await self._changed.wait()
        return 200, {
            "events": self._find_events(path, after),
            "storeRevision": self.revision,
        }

    def _find_events(self, path: str, after: int) -> list[dict[str, object]]:
        return [
            event
            for revision, name, event in self._events
            if revision > after and name.startswith(path + "/")
        ]

    def _write(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        fields = json.loads(body or b"{}")
        metadata = fields.get("metadata", {})
        name = f"{path}/{metadata['name']}" if method == "POST" else path
        present = self._objects.get(name)
        if method == "POST" and present is not None:
            return 409, present
        if method != "POST" and present is None:
            return 404, {}
        expected = query.get("revision") or metadata.get("revision")
        if present is not None and expected is not None:
            held = present["metadata"]["revision"]  # type: ignore[index]
            if int(expected) != held:
                return 409, present
        if method == "DELETE":
            self.remove(name)
            return 200, {}
        self.put(name, fields.get("specification"))
        return 201 if method == "POST" else 200, self._objects[name]
