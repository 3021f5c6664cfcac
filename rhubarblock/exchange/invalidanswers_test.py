"""Invalid answers of endpoints never reach callers."""

import asyncio
import contextlib
import dataclasses
import logging
import random
import socket
import struct

import pytest

from rhubarblock.core import route as routes
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import requesthandler_test as handlers
from rhubarblock.platform import names

ECHO = f"{fakes.ATTEMPT}: q1\r\n{fakes.SEAL}: s\r\n".encode()
LENGTH = b"Content-Length: 2\r\n"
# Longest error answer in bytes that a caller gets for an invalid answer.
MAX_ERROR_BYTES = 1_000
TABLE = dataclasses.replace(
    handlers.TABLE,
    routes=routes.RouteIndex(
        [
            fakes.make_route(max_attempts=1),
            fakes.make_route(
                routes.RouteKind.STREAMING,
                name="r-2",
                path_prefix="/s/",
                max_attempts=1,
            ),
            fakes.make_route(
                routes.RouteKind.NON_IDEMPOTENT,
                name="r-3",
                path_prefix="/n/",
                max_attempts=1,
            ),
        ]
    ),
    bounds=routes.CallerBounds(body_bytes=8_000_000),
)


def answer(head, body=b"ok"):
    """Returns a script that sends bytes and closes the connection."""

    async def script(request, writer):
        writer.write(head + b"\r\n" + body)
        await writer.drain()
        raise ConnectionError

    return script


def make_head(status_line=b"HTTP/1.1 200 OK\r\n", fields=LENGTH):
    return status_line + ECHO + fields


async def read_answer(reader):
    """Returns an answer's head and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head, await reader.readexactly(length)


async def begin_request(url, path, length, remaining_ms=1000):
    """Sends the head of a request; returns the connection."""
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: desk.example\r\n"
        f"{fakes.ATTEMPT}: q1\r\n{names.CREDENTIAL}: secret\r\n"
        f"{names.REMAINING}: {remaining_ms}\r\n"
        f"Content-Length: {length}\r\n\r\n".encode()
    )
    return reader, writer


async def send_request(url, path, body=b"", remaining_ms=1000):
    """Sends one request; returns the head and the body of its answer."""
    reader, writer = await begin_request(url, path, len(body), remaining_ms)
    writer.write(body)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def open_parts(*scripts):
    """Opens an instance before an endpoint; yields both and its parts."""
    endpoint = fakes.ScriptedEndpoint(*scripts)
    async with (
        fakes.open_parts(endpoint) as parts,
        fakes.open_callers(parts, TABLE) as url,
    ):
        yield endpoint, url, parts


@contextlib.asynccontextmanager
async def open_instance(*scripts):
    async with open_parts(*scripts) as (endpoint, url, _):
        yield endpoint, url


def relay(script, path="/a/x", body=b""):
    """Relays one request; returns the head and the body of its answer."""

    async def main():
        async with open_instance(script) as (_, url):
            return await send_request(url, path, body)

    return asyncio.run(main())


def check_is_own_error(head, body):
    """Checks that an answer is an error of the instance itself."""
    assert head.startswith(b"HTTP/1.1 502 ")
    assert fakes.SEAL.lower().encode() not in head.lower()
    assert b'"verdict": "MAY_HAVE_RUN"' in body
    assert len(body) < MAX_ERROR_BYTES


@pytest.mark.parametrize("path", ["/a/x", "/n/x", "/s/x"])
@pytest.mark.parametrize(
    "status",
    ["000", "007", "099", "600", "700", "999", "20", "2000", "2_0", "-20"],
)
def test_invalid_status_reaches_no_caller(status, path):
    head = make_head(f"HTTP/1.1 {status} OK\r\n".encode())
    check_is_own_error(*relay(answer(head), path))


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 101 Switching Protocols\r\n",
        b"HTTP/1.1 200 O\x01K\r\n",
        b"HTTP/1.1 200 O\x7fK\r\n",
        b"HTTP/1.1 200 O\x00K\r\n",
        b"HTTP/1.1 200 OK\r\r\n",
        b"HTTP/1.1 200 OK\n",
        b"HTTP/1.2 200 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        b"HTTP/0.9 200 OK\r\n",
        b"http/1.1 200 OK\r\n",
        b"\r\nHTTP/1.1 200 OK\r\n",
        b" HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1  200 OK\r\n",
        b"HTTP/1.1\t200 OK\r\n",
        b"ICY 200 OK\r\n",
        b"200 OK\r\n",
    ],
)
def test_invalid_status_line_reaches_no_caller(status_line):
    check_is_own_error(*relay(answer(make_head(status_line))))


@pytest.mark.parametrize("path", ["/a/x", "/s/x"])
@pytest.mark.parametrize(
    "field",
    [
        b"X-Na me: v\r\n",
        b"X-Name : v\r\n",
        b" X-Name: v\r\n",
        b"X-Name\t: v\r\n",
        b"X-\x01Name: v\r\n",
        b"X-\x7fName: v\r\n",
        b"X-N\xe4me: v\r\n",
        b": v\r\n",
        b"X-Name v\r\n",
        b"X-Name: v\x01\r\n",
        b"X-Name: v\x7f\r\n",
        b"X-Name: v\x00\r\n",
        b"X-Name: v\rw\r\n",
        b"X-Name: v\n",
        b"X-Name: v\r\n folded\r\n",
        b"X-Name: v\r\n\tContent-Length: 1\r\n",
    ],
)
def test_invalid_field_reaches_no_caller(field, path):
    check_is_own_error(*relay(answer(make_head(fields=LENGTH + field)), path))


def test_blank_before_the_first_field_reaches_no_caller():
    head = b"HTTP/1.1 200 OK\r\n X-Name: v\r\n" + ECHO + LENGTH
    check_is_own_error(*relay(answer(head)))


@pytest.mark.parametrize(
    ("fields", "body"),
    [
        (b"Transfer-Encoding: gzip\r\n", b"ok"),
        (b"Transfer-Encoding: identity\r\n", b"ok"),
        (b"Transfer-Encoding: gzip, chunked\r\n", b"2\r\nok\r\n0\r\n\r\n"),
        (b"Transfer-Encoding: chunked, gzip\r\n", b"2\r\nok\r\n0\r\n\r\n"),
        (b"Transfer-Encoding: xchunked\r\n", b"2\r\nok\r\n0\r\n\r\n"),
        (b"Transfer-Encoding:\r\n", b"ok"),
        (
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            b"2\r\nok\r\n0\r\n\r\n",
        ),
        (LENGTH + b"Transfer-Encoding: chunked\r\n", b"2\r\nok\r\n0\r\n\r\n"),
        (LENGTH + LENGTH, b"ok"),
        (LENGTH + b"Content-Length: 3\r\n", b"ok"),
        (b"Content-Length: 2, 2\r\n", b"ok"),
        (b"Content-Length: +2\r\n", b"ok"),
        (b"Content-Length: 0x2\r\n", b"ok"),
        (b"Content-Length: 2.0\r\n", b"ok"),
        (b"Content-Length: -1\r\n", b"ok"),
        (b"Content-Length:\r\n", b"ok"),
        (b"Content-Length: 99999999999999999999999\r\n", b"ok"),
        (b"Content-Encoding: gzip\r\n" + LENGTH, b"ok"),
        (b"Transfer-Encoding: chunked\r\n", b"2;\x00\r\nok\r\n0\r\n\r\n"),
        (b"Transfer-Encoding: chunked\r\n", b"-2\r\nok\r\n0\r\n\r\n"),
        (b"Transfer-Encoding: chunked\r\n", b"2\r\nokay\r\n0\r\n\r\n"),
        (b"Transfer-Encoding: chunked\r\n", b"x" * 100_000),
    ],
)
def test_invalid_framing_reaches_no_caller(fields, body):
    check_is_own_error(*relay(answer(make_head(fields=fields), body)))


def test_chunks_in_an_answer_of_an_older_version_reach_no_caller():
    head = make_head(b"HTTP/1.0 200 OK\r\n", b"Transfer-Encoding: chunked\r\n")
    check_is_own_error(*relay(answer(head, b"2\r\nok\r\n0\r\n\r\n")))


@pytest.mark.parametrize(
    "field",
    [
        f"{fakes.ATTEMPT}: q0\r\n",
        f"{fakes.ATTEMPT}: q1\r\n",
        f"{fakes.SEAL}: t\r\n",
    ],
)
def test_answer_that_names_its_request_twice_reaches_no_caller(field):
    head = make_head(fields=LENGTH + field.encode())
    check_is_own_error(*relay(answer(head)))


@pytest.mark.parametrize(
    "head",
    [
        make_head(),
        make_head(b"HTTP/1.1 200\r\n"),
        make_head(b"HTTP/1.1 200 \r\n"),
        make_head(b"HTTP/1.1 200 \xc3\x9cber alles\tOK\r\n"),
        make_head(b"HTTP/1.0 200 OK\r\n"),
        make_head(fields=LENGTH + b"X-!#$%&'*+-.^_`|~9:\t v\xff w \t\r\n"),
        make_head(fields=LENGTH + b"X-Name:\r\n"),
        make_head(fields=b"Connection: close\r\n"),
        make_head(fields=b"content-length:2 \r\n"),
        b"HTTP/1.1 100 Continue\r\n\r\n" + make_head(),
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + make_head(),
    ],
)
def test_valid_answer_reaches_its_caller(head):
    received, body = relay(answer(head))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert body == b"ok"


@pytest.mark.parametrize("status", [200, 204, 304, 404, 500, 599])
def test_any_valid_status_reaches_its_caller(status):
    fields = b"" if status in (204, 304) else LENGTH
    head = make_head(f"HTTP/1.1 {status} Status\r\n".encode(), fields)
    received, _ = relay(answer(head, b"ok" if fields else b""), "/n/x")
    assert received.startswith(f"HTTP/1.1 {status} ".encode())


@pytest.mark.parametrize("path", ["/a/x", "/n/x", "/s/x"])
@pytest.mark.parametrize("sent", [1, 70_000, 300_000])
def test_part_of_an_answer_that_is_reset_during_an_upload_reaches_no_caller(
    path, sent
):
    """A server in trouble answers a long body at once and ends."""

    async def answer_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(make_head(fields=b"") + b"\r\n" + b"x" * sent)
        await writer.drain()
        await asyncio.sleep(0.02)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    async def main():
        server = await asyncio.start_server(answer_early, "127.0.0.1", 0)
        endpoint = fakes.ScriptedEndpoint()
        endpoint.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with (
            fakes.open_parts() as parts,
            fakes.open_callers(parts, TABLE) as url,
        ):
            parts.add_endpoints(endpoint)
            try:
                return await send_request(url, path, b"u" * 3_000_000)
            finally:
                server.close()

    head, _ = asyncio.run(main())
    assert head.startswith(b"HTTP/1.1 502 ")
    assert fakes.SEAL.lower().encode() not in head.lower()


@pytest.mark.parametrize("size", [1, 100, 30_000, 500_000])
def test_bytes_that_are_no_answer_are_not_repeated(size, caplog):
    caplog.set_level(logging.DEBUG)
    head, body = relay(answer(random.Random(size).randbytes(size)))
    check_is_own_error(head, body)
    assert all(
        len(str(vars(record))) < 3 * MAX_ERROR_BYTES
        for record in caplog.records
        if record.name.startswith("rhubarblock")
    )


def test_invalid_answer_is_logged_once_with_its_reason(caplog):
    caplog.set_level(logging.INFO)
    relay(answer(make_head(b"HTTP/1.1 000 OK\r\n")))
    lines = [r for r in caplog.records if r.message == "invalid answer"]
    assert [(r.request, r.reason) for r in lines] == [
        ("q1", "the status line is invalid")
    ]


def test_connection_is_closed_after_an_invalid_answer():
    async def invalid(request, writer):
        writer.write(make_head(b"HTTP/1.1 000 OK\r\n") + b"\r\nok")

    async def main():
        async with open_instance(invalid) as (endpoint, url):
            await send_request(url, "/a/x")
            async with asyncio.timeout(1.0):
                await endpoint.closed.wait()

    asyncio.run(main())


def test_trailer_of_a_skipped_answer_is_no_field_of_the_next_one():
    late = (
        f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q0\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "2\r\nno\r\n0\r\nX-Late: v\r\n"
    ).encode()

    head, _ = relay(answer(late, make_head() + b"\r\nok"))
    assert b"X-Late" not in head


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 6\r\n\r\nlate\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n6\r\nl\r\n\r\ne\r\n0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_late_answer_to_another_request_is_skipped(framing, step):
    late = f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q0\r\n".encode() + framing
    sent = late + make_head() + b"\r\nok"

    async def script(request, writer):
        for at in range(0, len(sent), step):
            writer.write(sent[at : at + step])
            await writer.drain()
            await asyncio.sleep(0)

    head, body = relay(script)
    assert head.startswith(b"HTTP/1.1 200 ")
    assert body == b"ok"
