"""Steps for the correctness of the verdict NOT_RUN."""

import asyncio
import socket

import aiohttp
import pytest
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from rhubarblock.core import failure as failures
from rhubarblock.fleet import httpservice
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins import service_test

scenarios("not_run.feature")

DESK_FAULTS = {
    "refuses connections": {"dead": True},
    "is draining": {"draining": True},
    "breaks the connection before it ran": {"cut_before_run_next": 9},
    "breaks the connection after it ran": {"cut_after_run_next": 9},
    "takes longer than the deadline": {"late_s": 30.0},
    "dies after it ran": {"die_after_run_next": 9},
    "mixes its answers up": {"cross_next": 2},
}


@when(parsers.re("every desk (?P<trouble>.*)"))
def break_desks(world, trouble):
    for desk in world.fleet.service_endpoints:
        for field, value in DESK_FAULTS[trouble].items():
            setattr(desk.faults, field, value)
    if trouble == "mixes its answers up":
        # Only calls to the same desk can be mixed up.
        for address in list(world.fleet.simulation.services)[1:]:
            world.fleet.simulation.services[address].faults.dead = True
        world.call("Liezen")


@when(parsers.parse("{name} sends a stock booking"))
def send_booking(world, name):
    world.call(name)


@then(parsers.parse("it ran {runs:d} times"))
def check_runs(world, runs):
    world.fleet.advance(35.0)
    assert world.count_runs(world.callers["Steyr"]) == runs


@when("the engine is dead")
def remove_engine(world):
    world.engine = world.fleet.engines[0]
    world.fleet.call_in_loop(world.engine.die)


@when("the engine refuses new work")
def refuse_work(world):
    # Lets the engine first receive the order that assigns its role.
    world.fleet.advance(5.0)
    world.engine = world.fleet.engines[0]
    world.engine.draining = True


def wait_for_middle(world):
    world.fleet.advance_until_tokens(world.callers["Steyr"], 3)
    world.engine = world.fleet.engines[0]


@when("the engine dies in the middle of its answer")
def kill_engine(world):
    wait_for_middle(world)
    world.fleet.call_in_loop(world.engine.die)


@when("the engine is drained and cuts the stream")
def drain_engine(world):
    wait_for_middle(world)
    node = world.fleet.nodes[0].instance
    world.fleet.call_in_loop(
        node.endpoints.states.mark_draining, world.engine.endpoint_id
    )
    world.engine.faults.cut_next = 1


@when("the engine pauses in the middle of its answer")
def pause_engine(world):
    wait_for_middle(world)
    world.fleet.call_in_loop(world.engine.pause, 100.0)


@when("the instance starts to drain")
def drain_instance(world):
    world.fleet.nodes[0].instance.lifecycle.start_drain()


class BreakingDesk:
    """A real listener that resets each connection at a given moment."""

    def __init__(self, moment):
        self.moment = moment

    async def handle(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.moment != "before the last byte of the body":
                await reader.readexactly(len(b"{}"))
            if self.moment == "in the middle of its answer":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1")
                await writer.drain()
        finally:
            self.reset(writer)

    @staticmethod
    def reset(writer):
        """Closes a connection with a TCP reset."""
        sock = writer.get_extra_info("socket")
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


@when(
    parsers.parse("a desk breaks the connection {moment}"),
    target_fixture="received_verdict",
)
def call_breaking_desk(moment):
    async def main():
        desk = BreakingDesk(moment)
        server = await asyncio.start_server(desk.handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        timers = timer_service.LoopTimers()
        deadline_s = timers.read_monotonic() + 10.0
        call = service_test.make_call(body=b"{}", deadline_s=deadline_s)
        async with aiohttp.ClientSession() as session:
            client = httpservice.HttpServiceClient(session, timers)
            if moment == "before it is accepted":
                server.close()
                await server.wait_closed()
            with pytest.raises(failures.FailureError) as raised:
                await client.send(f"{host}:{port}", call, "r/1")
        server.close()
        return raised.value.failure.verdict.value

    return asyncio.run(main())


@then(parsers.parse("the call gets the verdict {verdict}"))
def check_call_verdict(received_verdict, verdict):
    assert received_verdict == verdict
