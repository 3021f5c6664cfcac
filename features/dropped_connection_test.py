"""Steps for dropped connections: two instances, one engine, real sockets."""

import asyncio
import contextlib

import aiohttp
from pytest_bdd import given
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from rhubarblock.core import route as routes
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import names

scenarios("dropped_connection.feature")

EVENTS = 5
# Timeout of a scenario in seconds of the real clock.
TIMEOUT_S = 10.0


class DropCase:
    """State of a scenario.

    Attributes:
      route: route of the request.
      scripts: what the engine does with each request that it receives.
      has_dropped: event that is set when the tenant's first connection is
        closed.
      reconnects: whether the tenant sends the request a second time.
      received: bytes of all answers.
      is_complete: whether the last answer was terminated properly.
      request_count: requests that the engine received.
      was_closed: whether the engine saw its first connection close.
    """

    def __init__(self, route, *scripts):
        self.route = route
        self.scripts = scripts
        self.has_dropped = None
        self.reconnects = False
        self.received = b""
        self.is_complete = False
        self.request_count = 0
        self.was_closed = False

    def list_events(self):
        lines = self.received.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    def make_headers(self):
        headers = {
            "Host": "desk.example",
            fakes.ATTEMPT: "q1",
            names.CREDENTIAL: "secret",
            names.REMAINING: "9000",
        }
        if self.list_events():
            headers[names.LAST_EVENT] = str(self.list_events()[-1])
        return headers


async def write_events(head, writer, last):
    """Sends the events after the Last-Event-Id of a request, up to a number."""
    first = 1
    for line in head.split("\r\n"):
        if line.startswith(f"{names.LAST_EVENT}: "):
            first = int(line.partition(": ")[2]) + 1
    script = fakes.events(*range(first, last + 1), end=last == EVENTS)
    await script(head, writer)


async def write_until_closed(case, head, writer):
    """Writes until the connection closes because the caller disconnected."""
    await case.has_dropped.wait()
    while True:
        writer.write(b" ")
        await writer.drain()
        await asyncio.sleep(0.01)


async def send_two_and_continue(case, head, writer):
    with contextlib.suppress(ConnectionResetError):
        await write_events(head, writer, 2)
    await write_until_closed(case, head, writer)


async def send_two_and_break(case, head, writer):
    await write_events(head, writer, 2)


async def send_remaining(case, head, writer):
    await write_events(head, writer, EVENTS)


async def send_whole(case, head, writer):
    await fakes.whole(b"whole")(head, writer)


@contextlib.asynccontextmanager
async def open_instance(case, endpoint):
    """Starts an instance whose only endpoint is the engine."""
    table = routes.RoutingTable(
        1,
        routes.RouteIndex([case.route]),
        {"desk": fakes.SERVICE},
        {"secret": routes.Workspace("members", None)},
        routes.CallerBounds(),
    )
    async with fakes.open_parts() as parts:
        parts.add_endpoints(endpoint)
        async with fakes.open_callers(parts, table) as url:
            yield f"{url}/a/x"


async def ask(case, url, is_enough):
    """Sends the request; drops the connection as soon as `is_enough` holds."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=case.make_headers()) as answer,
    ):
        try:
            async for data in answer.content.iter_any():
                case.received += data
                if is_enough():
                    return
            case.is_complete = True
        except aiohttp.ClientPayloadError:
            case.is_complete = False


async def run_case(case, is_enough):
    """Sends the request to one instance and, on a reconnect, to another."""
    case.has_dropped = asyncio.Event()
    endpoint = fakes.ScriptedEndpoint(
        *(
            lambda head, writer, script=script: script(case, head, writer)
            for script in case.scripts
        )
    )
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(endpoint.open())
        urls = [
            await stack.enter_async_context(open_instance(case, endpoint))
            for _ in range(2)
        ]
        first = asyncio.ensure_future(ask(case, urls[0], is_enough))
        while not endpoint.heads:
            await asyncio.sleep(0.01)
        if is_enough():
            first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        case.has_dropped.set()
        if case.reconnects:
            await ask(case, urls[1], lambda: False)
        await endpoint.closed.wait()
        case.was_closed = True
    case.request_count = len(endpoint.heads)


def run(case, is_enough):
    asyncio.run(asyncio.wait_for(run_case(case, is_enough), TIMEOUT_S))


@given(
    "a review on a streaming route that may be resumed", target_fixture="case"
)
def make_resumable():
    route = fakes.make_route(routes.RouteKind.STREAMING, timeout_s=9.0)
    return DropCase(route, send_two_and_continue, send_remaining)


@given(
    "a review on a streaming route that may not be resumed",
    target_fixture="case",
)
def make_non_resumable():
    route = fakes.make_route(routes.RouteKind.STREAMING, resumable=False)
    return DropCase(route, send_two_and_break, send_remaining)


@given("a lookup on an idempotent route", target_fixture="case")
def make_lookup():
    return DropCase(fakes.make_route(), write_until_closed, send_whole)


@given("a booking on a non-idempotent route", target_fixture="case")
def make_booking():
    route = fakes.make_route(routes.RouteKind.NON_IDEMPOTENT)
    return DropCase(route, write_until_closed, send_whole)


@when(
    "the connection drops after two of five events", target_fixture="is_enough"
)
def drop_after_two_events(case):
    return lambda: len(case.list_events()) >= 2


@when("the connection drops before the answer", target_fixture="is_enough")
def drop_before_answer(case):
    return lambda: True


@when(
    "the engine breaks off after two of five events", target_fixture="is_enough"
)
def keep_connection(case):
    return lambda: False


@when("the tenant reconnects through another data centre")
def reconnect(case):
    case.reconnects = True


@then("the engine no longer works on the first request")
def check_closed(case, is_enough):
    run(case, is_enough)
    assert case.was_closed


@then("the tenant has each of the five events once")
def check_events(case):
    assert case.list_events() == [1, 2, 3, 4, 5]
    assert case.is_complete


@then("the tenant has two events and an answer that does not look complete")
def check_cut(case, is_enough):
    run(case, is_enough)
    assert case.list_events() == [1, 2]
    assert not case.is_complete


@then("the tenant has the whole answer")
def check_answer(case):
    assert case.received == b"whole"


@then("the engine received one request")
def check_request_count(case):
    assert case.request_count == 1
