"""Answers that come a second time, where the next answer is expected."""

import asyncio
import random
import weakref

from aiohttp import web

from rhubarblock.platform import names

# Share of the answers that come again, as long as nothing else is set.
SHARE = 0.3


class LateCopies:
    """The copies that an endpoint still owes on its connections.

    Attributes:
      share: share of the answers that come again.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.share = SHARE
        self._copies: weakref.WeakKeyDictionary[
            asyncio.BaseTransport, bytes
        ] = weakref.WeakKeyDictionary()

    def note(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Draws whether the answer to a request comes again."""
        if (
            request.transport is not None
            and isinstance(response, web.Response)
            and names.ATTEMPT_ID in response.headers
            and self._rng.random() < self.share
        ):
            self._copies[request.transport] = _encode(response)

    def send(self, request: web.BaseRequest) -> None:
        """Sends the copy that is due before the answer to a request."""
        transport = request.transport
        if isinstance(transport, asyncio.Transport):
            transport.write(self._copies.pop(transport, b""))


def _encode(response: web.Response) -> bytes:
    """Returns an answer as it is sent."""
    body = response.body if isinstance(response.body, bytes) else b""
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers.items()
        if name != "Content-Length"
    ]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
