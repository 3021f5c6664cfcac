"""Endpoints that send without end cost neither memory nor other requests."""

import asyncio
import contextlib

import pytest

from rhubarblock.exchange import attempts
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import invalidanswers_test as invalid

HEAD = b"HTTP/1.1 200 OK\r\n" + invalid.ECHO
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LATE = f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q0\r\n".encode()
# More bytes than an instance may hold for one answer.
MAX_SENT_BYTES = 40_000_000


def send_endlessly(start, repeated, sent):
    """Returns a script that sends until its connection is closed."""

    async def script(head, writer):
        writer.write(start)
        block = repeated * (65_536 // len(repeated))
        while sum(sent) < MAX_SENT_BYTES:
            writer.write(block)
            await writer.drain()
            sent.append(len(block))
        # Nothing ends the answer.
        await asyncio.Event().wait()

    return script


ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "interim answers with fields": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    ),
    "late answers": (b"", LATE + b"Content-Length: 2\r\n\r\nno"),
    "late answers without bodies": (b"", LATE + b"Content-Length: 0\r\n\r\n"),
    "late answer": (LATE + b"\r\n", b"x" * 100),
    "late answer in chunks": (
        LATE + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\na\r\n",
    ),
    "head": (HEAD, b"X-Name: v\r\n"),
    "field": (HEAD + b"X-Name: ", b"v"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "no answer": (b"", b"\x00\xff"),
    "body": (HEAD + b"\r\n", b"x"),
    "body in chunks": (CHUNKED, b"1\r\na\r\n"),
    "chunk": (CHUNKED + b"fffffffff\r\n", b"x"),
}


@contextlib.asynccontextmanager
async def open_instance(name):
    """Opens an instance before an endpoint; yields its URL and what it sent."""
    sent = []
    start, repeated = ENDLESS[name]
    script = send_endlessly(start, repeated, sent)
    async with invalid.open_instance(script) as (endpoint, url):
        yield url, sent, endpoint


@pytest.mark.parametrize("path", ["/a/x", "/n/x", "/s/x"])
@pytest.mark.parametrize("name", ENDLESS)
def test_endless_answer_ends_its_request_soon(name, path):
    async def main():
        async with open_instance(name) as (url, sent, endpoint):
            head, _ = await invalid.send_request(url, path, remaining_ms=1900)
            async with asyncio.timeout(1.0):
                await endpoint.closed.wait()
            return head, sum(sent)

    head, sent = asyncio.run(main())
    assert head.startswith(b"HTTP/1.1 502 ")
    assert sent < MAX_SENT_BYTES


@pytest.mark.parametrize("repeated", [b"x", b"HTTP/1.1 200 OK\r\n\r\n"])
def test_endless_bytes_after_an_answer_close_the_connection(repeated):
    sent = []
    start = invalid.make_head() + b"\r\nok"

    async def main():
        script = send_endlessly(start, repeated, sent)
        async with invalid.open_instance(script) as (endpoint, url):
            head, body = await invalid.send_request(url, "/a/x")
            async with asyncio.timeout(1.0):
                await endpoint.closed.wait()
            return head, body

    head, body = asyncio.run(main())
    assert head.startswith(b"HTTP/1.1 200 ")
    assert body == b"ok"
    assert sum(sent) < MAX_SENT_BYTES


def test_longest_event_of_a_stream_is_forwarded():
    event = b"data: " + b"x" * (attempts.MAX_BUFFERED_BYTES - 8) + b"\n\n"

    async def script(head, writer):
        writer.write(HEAD + b"\r\n" + event)
        await writer.drain()
        raise ConnectionError

    async def main():
        endpoint = fakes.ScriptedEndpoint(script)
        async with fakes.open_parts(endpoint) as parts:
            route = fakes.make_route(fakes.routes.RouteKind.STREAMING)
            sink = fakes.MemorySink()
            await parts.relay.serve(fakes.make_exchange(route), sink)
            return sink.body

    assert asyncio.run(main()) == event
