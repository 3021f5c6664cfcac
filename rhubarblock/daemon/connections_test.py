"""Drains of connections at critical moments, on the virtual clock."""

import asyncio

from aiohttp import web
import pytest

from rhubarblock.daemon import connections
from rhubarblock.daemon import memorytransport_test
from rhubarblock.kernel import virtualloop

State = connections.ConnectionState
HEAD = b"POST /%b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
UPGRADE = (
    b"GET /u HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
    b"Upgrade: websocket\r\n\r\n"
)
RUN_S = 1.0


def make_request(name, body=b"body"):
    return HEAD % (name, len(body)) + body


class ConnectionHarness:
    """One connection to a handler that takes ``RUN_S`` seconds.

    Attributes:
      handled: paths of the requests that reached the handler.
    """

    def __init__(self, handle=None):
        self.handled = []
        self.registry = connections.Registry()
        self.connection = connections.TrackedConnection(
            web.Server(handle or self.answer, handler_cancellation=True),
            self.registry,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )
        self.transport = memorytransport_test.MemoryTransport(self.connection)

    async def answer(self, request):
        self.handled.append(request.path)
        body = await request.read()
        await asyncio.sleep(RUN_S)
        return web.Response(body=request.path.encode() + body)

    def count_answers(self):
        return self.transport.sent.count(b"HTTP/1.1 200")

    async def wait_closed(self):
        async with asyncio.timeout(10 * RUN_S):
            await self.registry.wait_empty()


def run(main):
    """Runs a test on a harness, after one iteration of the event loop."""

    async def begin():
        harness = ConnectionHarness()
        await asyncio.sleep(0.0)
        return await main(harness)

    return virtualloop.run(begin())


def test_state_tracks_a_request_until_its_response_is_sent():
    async def main(harness):
        states = [harness.connection.state]
        data = make_request(b"a")
        for piece in (data[:7], data[7:-2], data[-2:]):
            harness.transport.receive(piece)
            states.append(harness.connection.state)
        await asyncio.sleep(2 * RUN_S)
        states.append(harness.connection.state)
        return states, harness.registry.count()

    states, counts = run(main)
    assert states == [
        State.IDLE,
        State.READING,
        State.READING,
        State.ANSWERING,
        State.IDLE,
    ]
    assert counts == connections.ConnectionCounts(idle=1)


def test_line_end_between_requests_leaves_the_connection_idle():
    async def main(harness):
        harness.transport.receive(b"\r\n")
        state = harness.connection.state
        harness.registry.drain()
        await harness.wait_closed()
        return state

    assert run(main) is State.IDLE


@pytest.mark.parametrize("drains", [True, False])
def test_request_pipelined_after_a_declined_upgrade_is_answered(drains):
    async def main(harness):
        harness.transport.receive(UPGRADE + make_request(b"b"))
        await asyncio.sleep(1.5 * RUN_S)
        state = harness.connection.state
        if drains:
            harness.registry.drain()
            await harness.wait_closed()
        else:
            await asyncio.sleep(RUN_S)
        return state, harness.handled, harness.count_answers()

    assert run(main) == (State.ANSWERING, ["/u", "/b"], 2)


def test_pipelined_request_is_answered_when_draining():
    async def main(harness):
        harness.transport.receive(make_request(b"a") + make_request(b"b"))
        await asyncio.sleep(RUN_S / 2)
        harness.registry.drain()
        await harness.wait_closed()
        return harness.handled, harness.count_answers()

    assert run(main) == (["/a", "/b"], 2)


def test_draining_connection_closes_once_a_slow_reader_has_the_response():
    async def main(harness):
        harness.transport.receive(make_request(b"a"))
        harness.connection.pause_writing()
        await asyncio.sleep(1.5 * RUN_S)
        harness.registry.drain()
        await asyncio.sleep(RUN_S)
        was_open = not harness.transport.is_closing()
        harness.connection.resume_writing()
        await harness.wait_closed()
        return was_open, harness.count_answers()

    assert run(main) == (True, 1)


def test_request_sent_while_the_last_response_is_flushed_stays_unread():
    async def main(harness):
        harness.transport.receive(make_request(b"a"))
        harness.registry.drain()
        harness.connection.pause_writing()
        await asyncio.sleep(1.5 * RUN_S)
        harness.transport.receive(make_request(b"b"))
        harness.connection.resume_writing()
        await harness.wait_closed()
        return (
            harness.handled,
            harness.count_answers(),
            harness.transport.unread,
        )

    handled, answers, unread = run(main)
    assert (handled, answers) == (["/a"], 1)
    assert unread == make_request(b"b")


def test_request_answered_early_is_read_to_its_end_before_the_close():
    async def refuse(request):
        return web.Response(status=413, text="too large")

    async def main():
        harness = ConnectionHarness(refuse)
        await asyncio.sleep(0.0)
        data = make_request(b"a")
        harness.transport.receive(data[:-2])
        await asyncio.sleep(RUN_S)
        harness.registry.drain()
        await asyncio.sleep(RUN_S)
        was_open = not harness.transport.is_closing()
        harness.transport.receive(data[-2:])
        await harness.wait_closed()
        return was_open, harness.transport.sent.endswith(b"too large")

    assert virtualloop.run(main()) == (True, True)


def test_connection_accepted_after_the_drain_began_is_closed():
    async def main(harness):
        harness.registry.drain()
        await harness.wait_closed()
        late = connections.TrackedConnection(
            web.Server(harness.answer),
            harness.registry,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )
        transport = memorytransport_test.MemoryTransport(late)
        await harness.wait_closed()
        return transport.is_closing()

    assert run(main)
