"""Requests that arrive at critical moments of a planned stop."""

import asyncio
import dataclasses

from aiohttp import web
import pytest

from rhubarblock.daemon import connections
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import listener as listeners
from rhubarblock.daemon import memorytransport_test
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.tunnels import server as tunnel_server
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.platform import names

BODY = b"a body in two pieces"
HEAD = (
    "POST /a/x HTTP/1.1\r\n"
    "Host: desk.example\r\n"
    f"{names.ATTEMPT_ID}: q1\r\n"
    f"{names.CREDENTIAL}: secret\r\n"
    f"Content-Length: {len(BODY)}\r\n\r\n"
).encode()
# Seconds that the endpoint takes; longer than the timeouts of the shutdown.
RUN_S = 1.2
# Grace period in seconds, and seconds between two pieces of a request.
GRACE_S = 8.0
PIECE_INTERVAL_S = 0.03


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """Outcome of a request.

    Attributes:
      is_answered: whether its caller got the complete response.
      is_unread: whether it was neither handled nor answered.
    """

    is_answered: bool
    is_unread: bool


async def answer_late(head, writer):
    await asyncio.sleep(RUN_S)
    await fakes.whole(b"late")(head, writer)


def hook_drain(monkeypatch, step):
    """Calls a function right before the instance drains its connections."""
    drain = listeners.Listener.drain

    def drain_after_step(listener):
        step(listener)
        drain(listener)

    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.1)
    monkeypatch.setattr(listeners.Listener, "drain", drain_after_step)


async def stop_during_request(send_request):
    """Stops an instance with a slow endpoint, and returns the response.

    Args:
      send_request: called with the writer of a caller's connection and the stop
        event of the running instance.
    """
    endpoint = fakes.ScriptedEndpoint(answer_late)
    async with (
        endpoint.open(),
        instancefixtures.open_instance(endpoint) as (
            settings,
            _,
            stop,
            running,
        ),
    ):
        reader, writer = await asyncio.open_connection(
            settings.callers.host, settings.callers.port
        )
        await send_request(writer, stop)
        answer = await reader.read()
        writer.close()
        await running
        return answer


def test_request_read_just_before_the_drain_is_answered(monkeypatch):
    def read_request(listener):
        (connection,) = listener._registry.list_connections()
        connection.data_received(HEAD + BODY)

    hook_drain(monkeypatch, read_request)

    async def send_request(writer, stop):
        stop.set()

    answer = asyncio.run(stop_during_request(send_request))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"late")


def test_body_partly_read_when_the_drain_begins_is_read_to_its_end(monkeypatch):
    drain_started = asyncio.Event()
    hook_drain(monkeypatch, lambda listener: drain_started.set())
    connected = []
    connect = listeners.Listener.connect

    def connect_and_record(listener, server):
        connected.append(connect(listener, server))
        return connected[-1]

    monkeypatch.setattr(listeners.Listener, "connect", connect_and_record)

    async def send_request(writer, stop):
        writer.write(HEAD + BODY[:5])
        while connections.ConnectionState.READING not in [
            connection.state for connection in connected
        ]:
            await asyncio.sleep(0.01)
        stop.set()
        await drain_started.wait()
        writer.write(BODY[5:])

    answer = asyncio.run(stop_during_request(send_request))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"late")


def make_stop(lifecycle, listener, grace_s=GRACE_S):
    """Returns the stop of an instance without tunnels."""
    timers = timer_service.LoopTimers()
    metrics = metric_store.Metrics()
    directory = directories.Directory(timers)
    tunnels = tunnel_server.TunnelServer(
        directory,
        peer_table.PeerTable("i1", "osu-hall", timers),
        endpoint_paths.EndpointPaths(
            directory.find_at, directory.list_usable, timers, metrics
        ),
        metrics,
    )
    return plannedstop.PlannedStop(
        "i1", lifecycle, listener, tunnels, grace_s, timers
    )


class MemoryListener(listeners.Listener):
    """A listener for connections in memory.

    Attributes:
      runs: number of requests that the handler has read.
    """

    def __init__(self, lifecycle, run_s):
        super().__init__(keepalive_s=20.0)
        self._lifecycle = lifecycle
        self._run_s = run_s
        self.runs = 0
        self.server = web.Server(self.handle, handler_cancellation=True)
        self.listener = self

    def close(self):
        """Closes nothing; ``connect_caller`` checks whether it drains."""

    def connect_caller(self):
        """Returns a new connection, or None if it is refused."""
        if self._registry.is_draining:
            return None
        return memorytransport_test.MemoryTransport(self.connect(self.server))

    async def handle(self, request):
        with self._lifecycle.track_request():
            await request.content.read()
            self.runs += 1
            await asyncio.sleep(self._run_s)
            response = web.Response(body=b"late")
            if self._lifecycle.state is lifecycles.LifecycleState.DRAINING:
                response.force_close()
            return response


async def send_during_stop(moment_s, run_s, pieces, is_open):
    """Sends a request after the stop signal and returns its outcome.

    Args:
      moment_s: seconds between the stop signal and the first piece.
      run_s: seconds that the handler takes.
      pieces: the request, in pieces that are sent one after the other.
      is_open: whether the connection was opened before the stop signal.
    """
    lifecycle = lifecycles.InstanceLifecycle()
    lifecycle.mark_ready()
    listener = MemoryListener(lifecycle, run_s)
    opened = listener.connect_caller() if is_open else None
    loop = asyncio.get_running_loop()
    stop = make_stop(lifecycle, listener)
    running = asyncio.ensure_future(stop.run())
    await asyncio.sleep(moment_s)
    caller = opened or listener.connect_caller()
    if caller is not None:
        # The first piece is read in this iteration of the event loop, in which
        # the drain may begin, too.
        caller.receive(pieces[0])
        for number, piece in enumerate(pieces[1:], 1):
            loop.call_later(number * PIECE_INTERVAL_S, caller.receive, piece)
    await running
    await listener.server.shutdown(listeners.SHUTDOWN_S)
    assert loop.time() <= GRACE_S
    answer = caller.sent if caller else b""
    return Outcome(
        is_answered=answer.startswith(b"HTTP/1.1 200 ")
        and answer.endswith(b"late"),
        is_unread=not answer and not listener.runs,
    )


@pytest.mark.parametrize("is_open", [True, False])
@pytest.mark.parametrize("pieces", [[HEAD + BODY], [HEAD[:9], HEAD[9:], BODY]])
@pytest.mark.parametrize("run_s", [0.1, 0.6, 3.0])
def test_request_at_any_moment_of_a_stop_is_answered_or_unread(
    run_s, pieces, is_open
):
    answered = []
    for moment_ms in range(2_300, 3_201, 10):
        outcome = virtualloop.run(
            send_during_stop(moment_ms / 1e3, run_s, pieces, is_open)
        )
        assert outcome.is_answered or outcome.is_unread, moment_ms
        answered.append(outcome.is_answered)
    # All requests before the drain are answered, and none after it.
    served = sum(answered)
    assert answered == [True] * served + [False] * (len(answered) - served)
    assert served * 10 + 2_300 in (2_600, 2_610)


def test_disconnected_caller_does_not_delay_a_stop():
    async def main():
        lifecycle = lifecycles.InstanceLifecycle()
        lifecycle.mark_ready()
        listener = MemoryListener(lifecycle, 3.0)
        caller = listener.connect_caller()
        caller.receive(HEAD + BODY)
        await asyncio.sleep(0.1)
        caller.close()
        await make_stop(lifecycle, listener).run()
        return asyncio.get_running_loop().time()

    assert virtualloop.run(main()) < plannedstop.LAME_DUCK_S + 0.2


@pytest.mark.parametrize("grace_s", [1.0, 2.0, GRACE_S])
def test_request_longer_than_the_grace_period_is_cancelled_in_time(grace_s):
    async def main():
        lifecycle = lifecycles.InstanceLifecycle()
        lifecycle.mark_ready()
        listener = MemoryListener(lifecycle, 100.0)
        listener.connect_caller().receive(HEAD + BODY)
        await make_stop(lifecycle, listener, grace_s).run()
        # The cancelled handler releases its resources before the process
        # exits.
        await asyncio.sleep(0.01)
        return (
            asyncio.get_running_loop().time(),
            lifecycle.state,
            lifecycle.in_flight,
        )

    ended_s, state, in_flight = virtualloop.run(main())
    assert ended_s == pytest.approx(
        grace_s - plannedstop.EXIT_RESERVE_S, abs=0.02
    )
    assert (state, in_flight) == (lifecycles.LifecycleState.STOPPED, 0)


def test_pipelined_requests_to_a_draining_instance_are_answered():
    async def main():
        endpoint = fakes.ScriptedEndpoint(
            fakes.whole(b"first"), fakes.whole(b"second")
        )
        async with (
            endpoint.open(),
            instancefixtures.open_instance(endpoint) as (
                settings,
                session,
                stop,
                _,
            ),
        ):
            stop.set()
            while await instancefixtures.ask_ready(session, settings) == 200:
                await asyncio.sleep(0.01)
            reader, writer = await asyncio.open_connection(
                settings.callers.host, settings.callers.port
            )
            writer.write(2 * (HEAD + BODY))
            answers = await reader.read()
            writer.close()
            return answers

    answers = asyncio.run(main())
    assert answers.count(b"HTTP/1.1 200 ") == 2
    assert answers.endswith(b"second")
