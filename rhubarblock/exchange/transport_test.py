import asyncio
import dataclasses
import socket
import struct

import pytest

from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import transport as transports
from rhubarblock.platform import names

ORDER = dialects.SendOptions("e1", 1.0)


async def read_all(answer):
    pieces = []
    while data := await answer.read_some():
        pieces.append(data)
    return b"".join(pieces)


async def call(parts, endpoint, **changes):
    exchange = fakes.make_exchange(**changes)
    async with parts.transport.send(
        exchange, endpoint.address, ORDER
    ) as answer:
        return answer.status, await read_all(answer)


def run(scripts, *steps):
    """Runs steps one after the other against one scripted endpoint."""

    async def main():
        endpoint = fakes.ScriptedEndpoint(*scripts)
        async with fakes.open_parts(endpoint) as parts:
            results = []
            for step in steps:
                try:
                    results.append(await step(parts, endpoint))
                except transports.AttemptError as error:
                    results.append(error.failure.verdict)
            return results, endpoint

    return asyncio.run(main())


def test_request_goes_on_unchanged_and_nothing_is_added():
    results, endpoint = run([fakes.whole()], call)
    assert results == [(200, b"ok")]
    head = endpoint.heads[0]
    lines = sorted(head.strip().split("\r\n")[1:])
    assert head.startswith("POST /a/b%2Fc?d=e HTTP/1.1\r\n")
    assert lines == [
        "Content-Length: 4",
        f"Host: {endpoint.address}",
        f"{names.ATTEMPT_ID}: q1",
        f"{names.REMAINING}: 1000",
        f"{names.TARGET}: e1",
        f"{names.TENANT}: members",
    ]


def test_late_answer_to_another_request_is_passed_over():
    async def late_then_own(head, writer):
        await fakes.whole(b"other", request_id="q0")(head, writer)
        await fakes.whole(b"own")(head, writer)

    results, _ = run([late_then_own], call)
    assert results == [(200, b"own")]


def test_bytes_on_an_idle_connection_make_it_unusable():
    async def with_extra(head, writer):
        await fakes.whole(b"own")(head, writer)
        await fakes.whole(b"extra")(head, writer)

    async def wait(parts, endpoint):
        await asyncio.sleep(0.05)

    results, endpoint = run(
        [with_extra, fakes.whole(b"second")], call, wait, call
    )
    assert results[2] == (200, b"second")
    assert endpoint.connections == 2


@pytest.mark.parametrize(
    ("field", "connections"),
    [
        ("", 1),
        ("Keep-Alive: timeout=60\r\n", 1),
        ("Keep-Alive: max=5, timeout=60\r\n", 1),
        ("Keep-Alive: timeout=soon\r\n", 1),
        # Less than the way there may take.
        ("Keep-Alive: timeout=0\r\n", 2),
        ("Keep-Alive: max=5, Timeout=0\r\n", 2),
    ],
)
def test_connection_is_not_used_when_the_endpoint_may_close_it(
    field, connections
):
    script = fakes.whole(extra=field)
    _, endpoint = run([script, script], call, call)
    assert len(endpoint.heads) == 2
    assert endpoint.connections == connections


def test_answer_without_length_that_is_reset_is_not_whole():
    async def unframed_reset(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n"
            f"{fakes.SEAL}: s\r\n\r\nhalf".encode()
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        # Closing a socket that does not linger sends a reset.
        raw = writer.get_extra_info("socket")
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
        raise ConnectionError

    results, _ = run([unframed_reset], call)
    assert results == [verdicts.Verdict.MAY_HAVE_RUN]


def test_answer_without_length_that_is_closed_is_whole():
    async def unframed(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n"
            f"{fakes.SEAL}: s\r\n\r\nwhole".encode()
        )
        await writer.drain()
        raise ConnectionError

    results, _ = run([unframed], call)
    assert results == [(200, b"whole")]


def test_answer_that_breaks_off_is_an_error():
    async def short(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n"
            "Content-Length: 9\r\n\r\nhalf".encode()
        )
        await writer.drain()
        raise ConnectionError

    results, _ = run([short], call)
    assert results == [verdicts.Verdict.MAY_HAVE_RUN]


@pytest.mark.parametrize("method", ["GET", "PUT", "POST", "DELETE"])
def test_no_method_is_sent_twice_by_the_library(method):
    async def close(head, writer):
        raise ConnectionError

    async def send(parts, endpoint):
        return await call(parts, endpoint, method=method, body=b"")

    results, endpoint = run(
        [fakes.whole(), close, fakes.whole(b"again")], send, send
    )
    assert results == [(200, b"ok"), verdicts.Verdict.MAY_HAVE_RUN]
    assert len(endpoint.heads) == 2


def test_redirect_is_not_followed():
    moved = fakes.whole(b"", "302 Found", "Location: /elsewhere\r\n")
    results, endpoint = run([moved], call)
    assert results == [(302, b"")]
    assert len(endpoint.heads) == 1


def test_connection_that_is_refused_says_not_run():
    async def main():
        endpoint = fakes.ScriptedEndpoint()
        async with endpoint.open():
            pass
        async with fakes.open_parts() as parts:
            with pytest.raises(transports.AttemptError) as raised:
                await call(parts, endpoint)
            return raised.value.failure.verdict

    assert asyncio.run(main()) is verdicts.Verdict.NOT_RUN


def test_answer_of_nobody_is_an_error():
    async def anonymous(head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    results, _ = run([anonymous], call)
    assert results == [verdicts.Verdict.MAY_HAVE_RUN]


def test_bytes_that_are_no_answer_are_an_error():
    async def garbage(head, writer):
        writer.write(b"\x00\x01 not http\r\n\r\n")

    results, _ = run([garbage], call)
    assert results == [verdicts.Verdict.MAY_HAVE_RUN]


HELD = dataclasses.replace(ORDER, helpers=(dialects.Helper("h:1", "lease-1"),))
LENT = dataclasses.replace(ORDER, helpers=(dialects.Helper("h:1", ""),))
PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
)


def find_options(sessions, order):
    """Returns the options of the only connection in use, whichever it is."""
    session = sessions.probed if order.holds_memory else sessions.usual
    (protocol,) = session.connector._acquired
    used = protocol.transport.get_extra_info("socket")
    return [used.getsockopt(*option) for option in PROBE_OPTIONS]


@pytest.mark.parametrize(
    ("order", "is_probed", "times"), [(HELD, 1, [1, 1, 2]), (LENT, 0, None)]
)
def test_machine_that_is_gone_is_noticed_while_memory_is_held(
    order, is_probed, times
):
    """The engine never answers, as one that reads a giant or lost its power.

    Only the system's own probes tell one from the other.
    """
    asked = asyncio.Event()

    async def keep_silent(head, writer):
        asked.set()
        await asyncio.sleep(60.0)

    async def send(parts, endpoint):
        exchange = fakes.make_exchange()
        async with parts.transport.send(exchange, endpoint.address, order):
            raise AssertionError("it never answers")

    async def main():
        endpoint = fakes.ScriptedEndpoint(keep_silent)
        async with fakes.open_parts(endpoint) as parts:
            sending = asyncio.create_task(send(parts, endpoint))
            await asked.wait()
            options = find_options(parts.sessions, order)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            return options

    found = asyncio.run(main())
    assert found[0] == is_probed
    assert times is None or found[1:] == times
