import asyncio
from concurrent import futures
import random

import aiohttp
import pytest

from rhubarblock.httpclient import protocol as protocols

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = "X-Other"


class FakeTransport(asyncio.Transport):
    """Records whether it was paused or closed."""

    def __init__(self):
        super().__init__()
        self.is_paused = False
        self.is_closed = False

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def abort(self):
        self.is_closed = True

    close = abort


class Protocol(protocols.AnswerProtocol):
    """Answers with the field X-Other belong to other requests."""

    def is_own(self, message):
        return OTHER not in message.headers


def run(step, **params):
    """Runs a step with a connection on which a request was sent."""

    async def main():
        protocol = Protocol(asyncio.get_running_loop())
        transport = FakeTransport()
        protocol.connection_made(transport)
        protocol.set_response_params(
            read_until_eof=True, auto_decompress=False, **params
        )
        return await step(protocol, transport)

    return asyncio.run(main())


async def read_own(protocol):
    """Returns the status and body of the own answer."""
    while True:
        message, payload = await protocol.read()
        body = await payload.read()
        if message.code >= 200 and protocol.is_own(message):
            return message.code, body


def receive(*pieces, is_closed=False, **params):
    """Returns the answer that some bytes give, or the error."""

    async def step(protocol, transport):
        for piece in pieces:
            protocol.data_received(piece)
        if is_closed:
            protocol.connection_lost(None)
        try:
            async with asyncio.timeout(1.0):
                return await read_own(protocol)
        except aiohttp.ClientError as error:
            return str(error)

    return run(step, **params)


@pytest.mark.parametrize("seed", range(30))
def test_answer_is_read_however_it_arrives(seed):
    rng = random.Random(seed)
    body = rng.randbytes(30).join([b"\r\n\r\n", b"0\r\n\r\n", b"\r\n"])
    chunks = b"%x\r\n%b\r\n" % (len(body), body)
    late = b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n"
    parts = [
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
        late + b"Content-Length: 4\r\n\r\nlate",
        late + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nX-Other: 1\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ]
    rng.shuffle(parts)
    parts.append(
        rng.choice(
            [
                CHUNKED + chunks + b"0\r\n\r\n",
                CHUNKED + chunks + b"0\r\nTrailer: v\r\n\r\n",
                HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body,
                HEAD + b"\r\n" + body,
            ]
        )
    )
    data = b"".join(parts)
    pieces = []
    while data:
        size = rng.randint(1, rng.choice([3, 40, 400]))
        pieces.append(data[:size])
        data = data[size:]
    assert receive(*pieces, is_closed=True) == (200, body)


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
def test_body_is_read_whole_while_its_reader_is_slow(framing):
    body = random.Random(1).randbytes(200_000)
    data = {
        "length": HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body,
        "chunks": CHUNKED
        + b"".join(
            b"%x\r\n%b\r\n" % (len(body[at : at + 900]), body[at : at + 900])
            for at in range(0, len(body), 900)
        )
        + b"0\r\n\r\n",
        "close": HEAD + b"\r\n" + body,
    }[framing]

    async def step(protocol, transport):
        pieces = []
        at = 0
        payload = None
        while True:
            while at < len(data) and not transport.is_paused:
                protocol.data_received(data[at : at + 30_000])
                at += 30_000
            if payload is None:
                _, payload = await protocol.read()
            if at >= len(data) and not transport.is_paused:
                protocol.connection_lost(None)
            piece = await payload.readany()
            if not piece:
                return b"".join(pieces)
            pieces.append(piece)

    assert run(step, read_bufsize=4_096) == body


def test_status_without_body_ends_with_its_head():
    head = b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n"
    assert receive(head) == (304, b"")
    assert receive(HEAD + b"Content-Length: 9\r\n\r\n", skip_payload=True) == (
        200,
        b"",
    )


@pytest.mark.parametrize(
    "ending", [b"2\nok\n0\n\n", b"2\r\nok\r\n0\r\nA: b\r\n\r\n"]
)
def test_nothing_of_a_skipped_answer_is_read_as_the_next_one(ending):
    late = b"HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n"
    own = HEAD + b"Content-Length: 2\r\n\r\nok"
    error = receive(late + b"\r\n" + ending + own)
    assert error.startswith("the answer is invalid: ")


def test_second_answer_closes_the_connection_and_leaves_the_first_one():
    own = HEAD + b"Content-Length: 2\r\n\r\nok"

    async def step(protocol, transport):
        protocol.data_received(own + HEAD + b"Content-Length: 2\r\n\r\nno")
        return await read_own(protocol), transport.is_closed

    assert run(step) == ((200, b"ok"), True)


def test_bytes_on_an_idle_connection_are_not_kept():
    async def step(protocol, transport):
        protocol.data_received(HEAD + b"Content-Length: 2\r\n\r\nok")
        await read_own(protocol)
        was_open = protocol.is_connected()
        protocol.data_received(b"x")
        return was_open, protocol.is_connected(), protocol.should_close

    assert run(step) == (True, False, True)


def test_error_of_an_invalid_body_reaches_its_reader():
    async def step(protocol, transport):
        protocol.data_received(CHUNKED + b"2\r\nok\r\n")
        _, payload = await protocol.read()
        assert await payload.readany() == b"ok"
        protocol.data_received(b"x\r\n")
        with pytest.raises(protocols.InvalidAnswerError):
            await payload.readany()
        return transport.is_closed

    assert run(step)


@pytest.mark.parametrize(
    "head",
    [
        HEAD + b"A: " + b"x" * protocols.MAX_HEAD_BYTES,
        HEAD + b"A: b\r\n" * 20_000,
    ],
)
def test_head_is_bounded(head):
    assert receive(head) == "the answer is invalid: the head is too long"


@pytest.mark.parametrize(
    "chunk",
    [b"1\r\na\r\n", b"1;" + b"x" * 1_000 + b"\r\na\r\n"],
)
def test_cost_of_chunks_is_bounded_by_their_content(chunk):
    few = protocols.MAX_CHUNK_OVERHEAD_BYTES // len(chunk)
    end = b"0\r\n\r\n"
    assert receive(CHUNKED, chunk * few, end) == (200, b"a" * few)
    assert receive(CHUNKED, chunk * few, chunk * few, end) == (
        "the answer is invalid: the chunks are too small"
    )
    content = b"2000\r\n" + b"b" * 0x2000 + b"\r\n"
    assert receive(CHUNKED, *[content + chunk] * 100, end) == (
        200,
        (b"b" * 0x2000 + b"a") * 100,
    )


ENDLESS = [
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 3\r\n\r\nabc",
]


@pytest.mark.parametrize("preceding", ENDLESS)
def test_answers_that_precede_another_are_bounded_in_number(preceding):
    own = HEAD + b"Content-Length: 2\r\n\r\nok"
    few = preceding * protocols.MAX_PRECEDING_ANSWERS
    assert receive(few + own) == (200, b"ok")
    assert receive(few + preceding + own) == (
        "the answer is invalid: too many other answers precede it"
    )


@pytest.mark.parametrize("preceding", ENDLESS)
def test_answers_beyond_the_bound_are_not_parsed(preceding):
    async def step(protocol, transport):
        protocol.data_received(preceding * 10_000)
        return transport.is_closed, len(protocol)

    is_closed, kept = run(step)
    assert is_closed
    assert kept <= protocols.MAX_PRECEDING_ANSWERS + 1


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 9999999\r\n\r\n", b"\r\n"],
)
def test_body_of_a_skipped_answer_is_bounded(framing):
    head = b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n" + framing
    assert receive(head, *[b"x" * 10_000] * 50) == (
        "the answer is invalid: too many other answers precede it"
    )


def test_threads_do_not_share_what_they_read():
    async def get_buffer(protocol, transport):
        return protocol.get_buffer(-1)

    with futures.ThreadPoolExecutor(1) as pool:
        other = pool.submit(run, get_buffer).result()
        other[:5] = b"other"
        own = run(get_buffer)
        own[:3] = b"own"
        assert bytes(other[:5]) == b"other"
