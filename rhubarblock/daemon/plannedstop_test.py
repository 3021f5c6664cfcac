"""Planned stops of whole instances, met by requests at awkward moments."""

import asyncio
import dataclasses

from aiohttp import web
import pytest

from rhubarblock.daemon import connections
from rhubarblock.daemon import exchangeinstance_test as wholes
from rhubarblock.daemon import listener as listeners
from rhubarblock.daemon import memorytransport_test
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.kernel import lifecycle as lifecycles
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
# Seconds that the endpoint takes, over the waits of the exit.
RUN_S = 1.2
# Seconds from the signal to the kill, and between two pieces of a request.
GRACE_S = 8.0
PIECE_S = 0.03


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What came of a request.

    Attributes:
      is_answered: whether its caller got the whole answer.
      is_unread: whether it was neither answered nor handled.
    """

    is_answered: bool
    is_unread: bool


async def answer_late(head, writer):
    await asyncio.sleep(RUN_S)
    await fakes.whole(b"late")(head, writer)


def hook_leaving(monkeypatch, step):
    """Calls a step right before the instance leaves its connections."""
    leave = listeners.Listener.leave

    def leave_after(listener):
        step(listener)
        leave(listener)

    monkeypatch.setattr(plannedstop, "LEAVE_S", 0.1)
    monkeypatch.setattr(listeners.Listener, "leave", leave_after)


async def stop_with_request(meet):
    """Stops an instance before a slow endpoint, and returns the answer.

    Args:
      meet: called with a connection of a caller and the running instance's
        event to stop.
    """
    endpoint = fakes.ScriptedEndpoint(answer_late)
    async with (
        endpoint.open(),
        wholes.open_instance(endpoint) as (settings, _, stop, running),
    ):
        reader, writer = await asyncio.open_connection(
            settings.callers.host, settings.callers.port
        )
        await meet(writer, stop)
        answer = await reader.read()
        writer.close()
        await running
        return answer


def test_request_read_in_the_turn_of_leaving_gets_its_answer(monkeypatch):
    def read_request(listener):
        (connection,) = listener._registry.list_connections()
        connection.data_received(HEAD + BODY)

    hook_leaving(monkeypatch, read_request)

    async def meet(writer, stop):
        stop.set()

    answer = asyncio.run(stop_with_request(meet))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"late")


def test_body_half_read_at_leaving_is_read_to_its_end(monkeypatch):
    left = asyncio.Event()
    hook_leaving(monkeypatch, lambda listener: left.set())
    made = []
    connect = listeners.Listener.connect

    def connect_noted(listener, server):
        made.append(connect(listener, server))
        return made[-1]

    monkeypatch.setattr(listeners.Listener, "connect", connect_noted)

    async def meet(writer, stop):
        writer.write(HEAD + BODY[:5])
        while connections.ConnectionState.READING not in [
            connection.state for connection in made
        ]:
            await asyncio.sleep(0.01)
        stop.set()
        await left.wait()
        writer.write(BODY[5:])

    answer = asyncio.run(stop_with_request(meet))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"late")


class MemoryListener(listeners.Listener):
    """Takes connections from memory.

    Attributes:
      runs: requests that were handed to the handler.
    """

    def __init__(self, lifecycle, run_s):
        super().__init__(keepalive_s=20.0)
        self._lifecycle = lifecycle
        self._run_s = run_s
        self.runs = 0
        self.server = web.Server(self.handle, handler_cancellation=True)
        self.listener = self

    def close(self):
        """Stands for the listening socket; ``connect_caller`` looks."""

    def connect_caller(self):
        """Returns a new connection, None if it is refused."""
        if self._registry.is_leaving:
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
    """Sends a request after the signal to stop; returns what came of it."""
    lifecycle = lifecycles.InstanceLifecycle()
    lifecycle.mark_ready()
    listener = MemoryListener(lifecycle, run_s)
    opened = listener.connect_caller() if is_open else None
    loop = asyncio.get_running_loop()
    stop = plannedstop.PlannedStop(
        "i1", lifecycle, listener, GRACE_S, timer_service.LoopTimers()
    )
    running = asyncio.ensure_future(stop.run())
    await asyncio.sleep(moment_s)
    caller = opened or listener.connect_caller()
    if caller is not None:
        # The first piece is read in this turn of the loop, in which connections
        # may be left too.
        caller.receive(pieces[0])
        for number, piece in enumerate(pieces[1:], 1):
            loop.call_later(number * PIECE_S, caller.receive, piece)
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
    # Up to the moment of leaving all are answered, and after it none.
    left = sum(answered)
    assert answered == [True] * left + [False] * (len(answered) - left)
    assert left * 10 + 2_300 in (2_600, 2_610)


def test_answer_to_a_caller_that_is_gone_does_not_hold_a_stop():
    async def main():
        lifecycle = lifecycles.InstanceLifecycle()
        lifecycle.mark_ready()
        listener = MemoryListener(lifecycle, 3.0)
        caller = listener.connect_caller()
        caller.receive(HEAD + BODY)
        await asyncio.sleep(0.1)
        caller.close()
        await plannedstop.PlannedStop(
            "i1", lifecycle, listener, GRACE_S, timer_service.LoopTimers()
        ).run()
        return asyncio.get_running_loop().time()

    assert virtualloop.run(main()) < plannedstop.LEAVE_S + 0.2


@pytest.mark.parametrize("grace_s", [1.0, 2.0, GRACE_S])
def test_request_that_outlasts_the_grace_is_cut_within_it(grace_s):
    async def main():
        lifecycle = lifecycles.InstanceLifecycle()
        lifecycle.mark_ready()
        listener = MemoryListener(lifecycle, 100.0)
        listener.connect_caller().receive(HEAD + BODY)
        await plannedstop.PlannedStop(
            "i1", lifecycle, listener, grace_s, timer_service.LoopTimers()
        ).run()
        # The handler gives back what it holds before the exit begins.
        await asyncio.sleep(0.01)
        return (
            asyncio.get_running_loop().time(),
            lifecycle.state,
            lifecycle.in_flight,
        )

    ended_s, state, in_flight = virtualloop.run(main())
    assert ended_s == pytest.approx(grace_s - plannedstop.EXIT_S, abs=0.02)
    assert (state, in_flight) == (lifecycles.LifecycleState.STOPPED, 0)


def test_request_behind_another_one_of_a_draining_instance_is_answered():
    async def main():
        endpoint = fakes.ScriptedEndpoint(
            fakes.whole(b"first"), fakes.whole(b"second")
        )
        async with (
            endpoint.open(),
            wholes.open_instance(endpoint) as (settings, session, stop, _),
        ):
            stop.set()
            while await wholes.ask_ready(session, settings) == 200:
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
