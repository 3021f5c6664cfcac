import asyncio
import dataclasses
import socket
import struct
import time

import pytest

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import connector as connectors
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import sends
from rhubarblock.exchange import transport as transports
from rhubarblock.platform import dialect as platform_dialect
from rhubarblock.platform import names

OPTIONS = dialects.SendOptions("e1", 1.0)


async def read_all(answer):
    pieces = []
    while data := await answer.read_some():
        pieces.append(data)
    return b"".join(pieces)


async def call(parts, endpoint, **changes):
    exchange = fakes.make_exchange(**changes)
    async with parts.transport.send(
        exchange, endpoint.address, OPTIONS
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


def test_request_is_forwarded_unchanged():
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


def test_late_answer_to_another_request_is_skipped():
    async def late_then_own(head, writer):
        await fakes.whole(b"other", request_id="q0")(head, writer)
        await fakes.whole(b"own")(head, writer)

    results, _ = run([late_then_own], call)
    assert results == [(200, b"own")]


def test_exchange_is_never_sent_twice_on_one_connection():
    history = sends.SendHistory()

    async def send_again(parts, endpoint):
        async with parts.transport.send(
            fakes.make_exchange(), endpoint.address, OPTIONS, history=history
        ) as answer:
            await read_all(answer)
        return endpoint.connections

    # Connections that carried it stay open for other exchanges.
    results, endpoint = run(
        [fakes.whole()] * 5, send_again, send_again, send_again, call, call
    )
    assert results == [1, 2, 3, (200, b"ok"), (200, b"ok")]
    assert endpoint.connections == 3


def test_connection_with_unexpected_data_is_not_reused():
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
        # Shorter than the margin for the request's latency.
        ("Keep-Alive: timeout=0\r\n", 2),
        ("Keep-Alive: max=5, Timeout=0\r\n", 2),
    ],
)
def test_connection_near_its_idle_timeout_is_not_reused(field, connections):
    script = fakes.whole(extra=field)
    _, endpoint = run([script, script], call, call)
    assert len(endpoint.heads) == 2
    assert endpoint.connections == connections


def test_reset_of_an_answer_without_length_is_an_error():
    async def unframed_reset(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n"
            f"{fakes.SEAL}: s\r\n\r\nhalf".encode()
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        # Closing a socket with a linger time of 0 sends a reset.
        raw = writer.get_extra_info("socket")
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
        raise ConnectionError

    results, _ = run([unframed_reset], call)
    assert results == [verdicts.Verdict.MAY_HAVE_RUN]


def test_close_ends_an_answer_without_length():
    async def unframed(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n"
            f"{fakes.SEAL}: s\r\n\r\nwhole".encode()
        )
        await writer.drain()
        raise ConnectionError

    results, _ = run([unframed], call)
    assert results == [(200, b"whole")]


def test_truncated_answer_is_an_error():
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


def test_refused_connection_gives_not_run():
    async def main():
        endpoint = fakes.ScriptedEndpoint()
        async with endpoint.open():
            pass
        async with fakes.open_parts() as parts:
            with pytest.raises(transports.AttemptError) as raised:
                await call(parts, endpoint)
            return raised.value.failure.verdict

    assert asyncio.run(main()) is verdicts.Verdict.NOT_RUN


@pytest.mark.parametrize(
    "objective_s, timeout_s", [(0.1, 0.1), (0.4, 0.16), (8.0, 0.25)]
)
def test_connection_that_is_not_accepted_times_out(objective_s, timeout_s):
    """A lost machine must not make its requests late."""
    route = fakes.make_route(objective_s=objective_s)

    async def main():
        with (
            socket.create_server(("127.0.0.1", 0), backlog=0) as full,
            socket.create_connection(full.getsockname()),
        ):
            endpoint = fakes.ScriptedEndpoint()
            endpoint.address = f"127.0.0.1:{full.getsockname()[1]}"
            async with fakes.open_parts() as parts:
                started_s = time.monotonic()
                with pytest.raises(transports.AttemptError) as raised:
                    await call(parts, endpoint, route=route)
                length_s = time.monotonic() - started_s
                return raised.value.failure.verdict, length_s

    verdict, length_s = asyncio.run(main())
    assert verdict is verdicts.Verdict.NOT_RUN
    assert timeout_s <= length_s < timeout_s + 0.08


def test_connection_is_kept_after_the_process_was_blocked():
    """A pause of the own process must not count against the endpoint."""

    async def call_while_blocked(parts, endpoint):
        calling = asyncio.ensure_future(call(parts, endpoint))
        loop = asyncio.get_running_loop()
        while not endpoint.connections and not calling.done():
            loop.call_soon(time.sleep, 2 * connectors.CONNECT_TIMEOUT_S)
            await asyncio.sleep(0)
        return await calling

    results, endpoint = run([fakes.whole()], call_while_blocked)
    assert results == [(200, b"ok")]
    assert len(endpoint.heads) == 1


def test_answer_without_a_request_id_is_an_error():
    async def anonymous(head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    results, _ = run([anonymous], call)
    assert results == [verdicts.Verdict.MAY_HAVE_RUN]


def test_malformed_answer_is_an_error():
    async def garbage(head, writer):
        writer.write(b"\x00\x01 not http\r\n\r\n")

    results, _ = run([garbage], call)
    assert results == [verdicts.Verdict.MAY_HAVE_RUN]


WITH_LEASE = dataclasses.replace(
    OPTIONS, helpers=(dialects.Helper("h:1", "lease-1"),)
)
WITHOUT_LEASE = dataclasses.replace(
    OPTIONS, helpers=(dialects.Helper("h:1", ""),)
)
PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
)


def find_options(sessions, options):
    """Returns the keep-alive options of the only connection in use."""
    session = sessions.probed if options.holds_memory else sessions.unprobed
    (protocol,) = session.connector._acquired
    used = protocol.transport.get_extra_info("socket")
    return [used.getsockopt(*option) for option in PROBE_OPTIONS]


@pytest.mark.parametrize(
    ("options", "is_probed", "times"),
    [(WITH_LEASE, 1, [1, 1, 2]), (WITHOUT_LEASE, 0, None)],
)
def test_lost_machine_is_detected_while_leases_are_held(
    options, is_probed, times
):
    """A machine that lost its power must not look like a long prefill.

    Neither answers, so only TCP keep-alive probes can tell them apart.
    """
    arrived = asyncio.Event()

    async def keep_silent(head, writer):
        arrived.set()
        await asyncio.sleep(60.0)

    async def send(parts, endpoint):
        exchange = fakes.make_exchange()
        async with parts.transport.send(exchange, endpoint.address, options):
            raise AssertionError("it never answers")

    async def main():
        endpoint = fakes.ScriptedEndpoint(keep_silent)
        async with fakes.open_parts(endpoint) as parts:
            sending = asyncio.create_task(send(parts, endpoint))
            await arrived.wait()
            socket_options = find_options(parts.sessions, options)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            return socket_options

    found = asyncio.run(main())
    assert found[0] == is_probed
    assert times is None or found[1:] == times


def measure_held(is_memory_bounded, size):
    """Returns the bytes buffered for an endpoint that does not read yet.

    Also returns the length of the body that the endpoint read in the end.
    """
    lengths = []
    release = asyncio.Event()

    async def serve(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        await release.wait()
        lengths.append(len(await reader.readexactly(size)))
        await fakes.whole()(head, writer)

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        host, port = server.sockets[0].getsockname()
        async with server, transports.open_sessions(fakes.ATTEMPT) as sessions:
            transport = transports.EndpointTransport(
                sessions, platform_dialect.PlatformDialect(), is_memory_bounded
            )

            async def send():
                async with transport.send(
                    fakes.make_exchange(body=b"b" * size),
                    f"{host}:{port}",
                    OPTIONS,
                ) as answer:
                    return answer.status

            sending = asyncio.ensure_future(send())
            await asyncio.sleep(0.3)
            held = sum(
                protocol.transport.get_write_buffer_size()
                for protocol in sessions.unprobed.connector._acquired
            )
            release.set()
            return held, await sending, lengths

    return asyncio.run(main())


def test_slow_endpoint_does_not_make_the_instance_hold_a_body_twice():
    held, status, lengths = measure_held(True, 16_000_000)
    assert 0 < held <= 3 * transports.PIECE_BYTES
    assert (status, lengths) == (200, [16_000_000])


@pytest.mark.filterwarnings("ignore::ResourceWarning")
def test_body_is_buffered_at_once_without_a_bound_of_memory():
    held, _, lengths = measure_held(False, 16_000_000)
    assert (held > 4_000_000, lengths) == (True, [16_000_000])


@pytest.mark.parametrize("accepted", [None, "gzip"])
def test_coding_of_an_answer_is_valid_only_if_it_was_asked_for(accepted):
    coded = fakes.whole(b"\x1f\x8b", extra="Content-Encoding: gzip\r\n")
    headers = [exchanges.Header(fakes.ATTEMPT, "q1")]
    if accepted:
        headers.append(exchanges.Header("accept-encoding", accepted))

    async def send(parts, endpoint):
        return await call(parts, endpoint, headers=tuple(headers))

    results, _ = run([coded], send)
    expected = (200, b"\x1f\x8b") if accepted else verdicts.Verdict.MAY_HAVE_RUN
    assert results == [expected]
