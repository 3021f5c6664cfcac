"""A complete instance with little memory, over sockets.

Callers read slowly or send many large bodies at once.
"""

import asyncio
import contextlib
import dataclasses
import socket

import aiohttp
import pytest

from rhubarblock.core import capacity as capacities
from rhubarblock.core import route as routes
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import memoryaccount
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.relay import apierrors

# Seconds after which the endpoint cuts an answer that is not read.
CUT_S = 1.0
EVENT = b"id: %d\ndata: " + b"x" * 65_000 + b"\n\n"
EVENTS = 240
# Receive buffer of a slow caller, so that the kernel holds little for it.
RECEIVE_BYTES = 32_768
MB = 1_000_000
BODIES = 30


class MemoryDialect(instancefixtures.FakeDialect):
    """One route for streams and one for calls."""

    def change_table(self, before, document, difference):
        table = super().change_table(before, document, difference)
        stream = fakes.make_route(
            routes.RouteKind.STREAMING,
            name="r-2",
            path_prefix="/s/",
            max_attempts=1,
            timeout_s=20.0,
        )
        index = table.routes.change([stream], [])
        return dataclasses.replace(table, routes=index)


class SlowEndpoint(fakes.ScriptedEndpoint):
    """Streams events, or answers calls with the length of their bodies.

    Attributes:
      cuts: number of answers that were cut as nobody read them.
    """

    def __init__(self):
        super().__init__()
        self.cuts = 0

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if head.startswith("POST /s/"):
                    await self._stream(writer)
                    continue
                tail = head.lower().split("content-length: ")[1]
                length = int(tail.split()[0])
                await asyncio.sleep(0.2)
                body = await reader.readexactly(length)
                await fakes.whole(b"%d" % len(body))(head, writer)
        writer.close()

    async def _stream(self, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fakes.ATTEMPT}: q1\r\n{fakes.SEAL}: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(EVENTS):
            fakes.write_chunk(writer, EVENT % number)
            try:
                async with asyncio.timeout(CUT_S):
                    await writer.drain()
            except TimeoutError:
                self.cuts += 1
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")


@contextlib.asynccontextmanager
async def open_instance(memory_mb):
    """Yields the instance, its endpoint and the address for callers."""
    endpoint = SlowEndpoint()
    settings = dataclasses.replace(
        instancefixtures.make_settings(),
        capacity=capacities.Capacity(memory_mb=memory_mb),
    )
    async with endpoint.open():
        store = instancefixtures.FakeStore(endpoint)
        async with instancefixtures.run_instance(
            settings, MemoryDialect(), store
        ) as (instance, _, _, _):
            yield instance, endpoint, settings.callers


async def open_stream(address):
    """Asks for a stream on a connection of which nothing is read yet."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (address.host, address.port))
    head = "".join(f"{k}: {v}\r\n" for k, v in instancefixtures.HEADERS.items())
    request = f"POST /s/x HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n"
    await loop.sock_sendall(sock, request.encode())
    return sock


async def read_stream(sock):
    """Reads a stream to its end or until its connection is closed."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while data := await loop.sock_recv(sock, 1 << 20):
            received += data
            if received.endswith(b"\r\n0\r\n\r\n"):
                break
    sock.close()
    return bytes(received)


async def wait_released(instance):
    gauges = instance.metrics.gauges
    async with asyncio.timeout(5.0):
        while gauges["memory.held_answers"] or gauges["memory.held_bodies"]:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(("memory_mb", "is_whole"), [(0, False), (200, True)])
def test_answer_for_a_slow_caller_is_read_in_time(
    monkeypatch, memory_mb, is_whole
):
    # Without a stated memory nothing is buffered and the endpoint cuts.
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.0)

    async def main():
        async with open_instance(memory_mb) as (instance, endpoint, address):
            sock = await open_stream(address)
            await asyncio.sleep(3 * CUT_S)
            received = await read_stream(sock)
            if memory_mb:
                await wait_released(instance)
            return received, endpoint.cuts, instance.metrics.counts

    received, cuts, counts = asyncio.run(main())
    assert received.endswith(b"\r\n0\r\n\r\n") is is_whole
    assert cuts == (0 if is_whole else 1)
    assert counts.get("memory.callers_behind", 0) == int(is_whole)
    if is_whole:
        assert received.count(b"id: ") == EVENTS


def test_callers_that_never_read_are_cut_within_their_share(monkeypatch):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.0)

    async def main():
        async with open_instance(20) as (instance, endpoint, address):
            socks = [await open_stream(address) for _ in range(5)]
            counts = instance.metrics.counts
            most = 0
            async with asyncio.timeout(15.0):
                while counts.get("memory.callers_cut", 0) < len(socks):
                    held = instance.metrics.gauges["memory.held_answers"]
                    most = max(most, held)
                    await asyncio.sleep(0.01)
            await wait_released(instance)
            answers = [await read_stream(sock) for sock in socks]
            return most, answers, endpoint.cuts, instance.metrics.gauges

    most, answers, cuts, gauges = asyncio.run(main())
    assert 0 < most <= memoryaccount.KIND_FRACTION * gauges["memory.limit"]
    assert not any(a.endswith(b"\r\n0\r\n\r\n") for a in answers)
    assert cuts == 0


def test_many_large_bodies_wait_or_are_refused_and_small_ones_go_on(
    monkeypatch,
):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.0)

    async def ask(session, address, size):
        async with session.post(
            f"http://{address}/a/x",
            headers=instancefixtures.HEADERS,
            data=b"b" * size,
        ) as answer:
            headers = answer.headers
            return answer.status, await answer.read(), headers

    async def main():
        async with (
            open_instance(40) as (instance, _, address),
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as session,
        ):
            most = 0

            def note(metrics, name, value):
                nonlocal most
                if name == "memory.held_bodies":
                    most = max(most, value)
                metrics.gauges[name] = value

            monkeypatch.setattr(metric_store.Metrics, "gauge", note)
            asked = [ask(session, address, MB) for _ in range(BODIES)]
            asked += [ask(session, address, 1000) for _ in range(BODIES)]
            answers = await asyncio.gather(*asked)
            return answers, most, instance.metrics

    answers, most, metrics = asyncio.run(main())
    large, small = answers[:BODIES], answers[BODIES:]
    assert [status for status, _, _ in small] == [200] * BODIES
    served = [body for status, body, _ in large if status == 200]
    refused = [headers for status, _, headers in large if status == 503]
    assert len(served) + len(refused) == BODIES
    assert len(served) >= 6
    assert set(served) == {b"%d" % MB}
    assert all(h["Retry-After"] == "1" for h in refused)
    assert {h[apierrors.VERDICT_HEADER] for h in refused} == {"NOT_RUN"}
    assert most <= memoryaccount.LARGE_FRACTION * metrics.gauges["memory.limit"]
    assert metrics.counts["memory.bodies_refused"] == len(refused)
    assert metrics.gauges["memory.held_bodies"] == 0
