"""Connections that are left at awkward moments, on the virtual clock."""

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


class Bench:
    """One connection before a handler that takes a second.

    Attributes:
      handled: paths of the requests that got a handler.
    """

    def __init__(self, handle=None):
        self.handled = []
        self.registry = connections.Registry()
        self.connection = connections.OwingConnection(
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
    """Runs a coroutine function of a bench that is one turn old."""

    async def begin():
        bench = Bench()
        await asyncio.sleep(0.0)
        return await main(bench)

    return virtualloop.run(begin())


def test_state_follows_a_request_to_the_end_of_its_answer():
    async def main(bench):
        states = [bench.connection.state]
        data = make_request(b"a")
        for piece in (data[:7], data[7:-2], data[-2:]):
            bench.transport.receive(piece)
            states.append(bench.connection.state)
        await asyncio.sleep(2 * RUN_S)
        states.append(bench.connection.state)
        return states, bench.registry.count()

    states, counts = run(main)
    assert states == [
        State.IDLE,
        State.READING,
        State.READING,
        State.ANSWERING,
        State.IDLE,
    ]
    assert counts == connections.ConnectionCounts(idle=1)


def test_line_end_between_requests_is_no_request():
    async def main(bench):
        bench.transport.receive(b"\r\n")
        state = bench.connection.state
        bench.registry.leave()
        await bench.wait_closed()
        return state

    assert run(main) is State.IDLE


@pytest.mark.parametrize("leaves", [True, False])
def test_request_behind_a_declined_upgrade_is_owed(leaves):
    async def main(bench):
        bench.transport.receive(UPGRADE + make_request(b"b"))
        await asyncio.sleep(1.5 * RUN_S)
        state = bench.connection.state
        if leaves:
            bench.registry.leave()
            await bench.wait_closed()
        else:
            await asyncio.sleep(RUN_S)
        return state, bench.handled, bench.count_answers()

    assert run(main) == (State.ANSWERING, ["/u", "/b"], 2)


def test_request_that_was_sent_behind_the_last_one_is_answered():
    async def main(bench):
        bench.transport.receive(make_request(b"a") + make_request(b"b"))
        await asyncio.sleep(RUN_S / 2)
        bench.registry.leave()
        await bench.wait_closed()
        return bench.handled, bench.count_answers()

    assert run(main) == (["/a", "/b"], 2)


def test_connection_left_while_its_answer_waits_for_a_slow_reader_closes():
    async def main(bench):
        bench.transport.receive(make_request(b"a"))
        bench.connection.pause_writing()
        await asyncio.sleep(1.5 * RUN_S)
        bench.registry.leave()
        await asyncio.sleep(RUN_S)
        was_open = not bench.transport.is_closing()
        bench.connection.resume_writing()
        await bench.wait_closed()
        return was_open, bench.count_answers()

    assert run(main) == (True, 1)


def test_request_sent_while_the_last_answer_is_flushed_goes_unread():
    async def main(bench):
        bench.transport.receive(make_request(b"a"))
        bench.registry.leave()
        bench.connection.pause_writing()
        await asyncio.sleep(1.5 * RUN_S)
        bench.transport.receive(make_request(b"b"))
        bench.connection.resume_writing()
        await bench.wait_closed()
        return bench.handled, bench.count_answers(), bench.transport.unread

    handled, answers, unread = run(main)
    assert (handled, answers) == (["/a"], 1)
    assert unread == make_request(b"b")


def test_rest_of_a_request_that_was_answered_early_is_read():
    async def refuse(request):
        return web.Response(status=413, text="too large")

    async def main():
        bench = Bench(refuse)
        await asyncio.sleep(0.0)
        data = make_request(b"a")
        bench.transport.receive(data[:-2])
        await asyncio.sleep(RUN_S)
        bench.registry.leave()
        await asyncio.sleep(RUN_S)
        was_open = not bench.transport.is_closing()
        bench.transport.receive(data[-2:])
        await bench.wait_closed()
        return was_open, bench.transport.sent.endswith(b"too large")

    assert virtualloop.run(main()) == (True, True)


def test_connection_made_after_the_others_were_left_is_closed():
    async def main(bench):
        bench.registry.leave()
        await bench.wait_closed()
        late = connections.OwingConnection(
            web.Server(bench.answer),
            bench.registry,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )
        transport = memorytransport_test.MemoryTransport(late)
        await bench.wait_closed()
        return transport.is_closing()

    assert run(main)
