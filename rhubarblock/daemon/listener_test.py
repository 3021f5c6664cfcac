"""What a listener passes on of the requests that it reads."""

import asyncio
import gzip

from aiohttp import web
import pytest

from rhubarblock.daemon import listener as listeners
from rhubarblock.settings import exchange as settings_lib


def exchange(request, **options):
    """Sends the bytes of a request.

    Returns:
      The first line of the answer, and the bodies that the handler read.
    """
    bodies = []

    async def handle(received):
        bodies.append(await received.read())
        return web.Response()

    async def main():
        address = settings_lib.SocketAddress("127.0.0.1", 0)
        async with listeners.open_listener(
            handle, address, 5.0, **options
        ) as opened:
            port = opened.listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            line = await reader.readline()
            writer.close()
            return line.decode().strip()

    return asyncio.run(main()), bodies


def test_encoded_body_is_read_as_it_was_sent():
    body = gzip.compress(b"some text")
    head = (
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Encoding: gzip\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    line, bodies = exchange(head.encode() + body)
    assert line == "HTTP/1.1 200 OK"
    assert bodies == [body]


@pytest.mark.parametrize(
    "head",
    [
        "GET /a HTTP/1.1\r\nHost: h\r\nX: {0}\r\n\r\n",
        "GET /a?{0} HTTP/1.1\r\nHost: h\r\n\r\n",
    ],
    ids=["field", "line"],
)
@pytest.mark.parametrize(
    ("size", "status"), [(12_000, "200 OK"), (17_000, "400 Bad Request")]
)
def test_head_is_read_up_to_its_bound(head, size, status):
    line, _ = exchange(
        head.format("x" * size).encode(), read_head_bound=lambda: 16_384
    )
    assert line.partition(" ")[2] == status
