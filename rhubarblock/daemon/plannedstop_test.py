"""Planned stops of whole instances, met by requests at awkward moments."""

import asyncio

from rhubarblock.daemon import connections
from rhubarblock.daemon import exchangeinstance_test as wholes
from rhubarblock.daemon import listener as listeners
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
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
