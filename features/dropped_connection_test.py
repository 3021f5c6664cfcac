"""Two instances of two data centres before one engine, over real sockets."""

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
# Longest seconds of the real clock until something that must come has come.
PATIENCE_S = 10.0


class Story:
    """What is asked for, what the engine did, and what the tenant has.

    Attributes:
      route: the kind of request.
      scripts: what the engine does with each request that it gets.
      has_dropped: set when the tenant's first connection is gone.
      comes_again: whether the tenant asks once more.
      received: bytes of all answers.
      is_whole: whether the last answer ended as a whole one does.
      asked: requests that the engine got.
      was_closed: whether the engine saw its first connection end.
    """

    def __init__(self, route, *scripts):
        self.route = route
        self.scripts = scripts
        self.has_dropped = None
        self.comes_again = False
        self.received = b""
        self.is_whole = False
        self.asked = 0
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
    """Sends the events after the one that a request names, up to a number."""
    first = 1
    for line in head.split("\r\n"):
        if line.startswith(f"{names.LAST_EVENT}: "):
            first = int(line.partition(": ")[2]) + 1
    script = fakes.events(*range(first, last + 1), end=last == EVENTS)
    await script(head, writer)


async def work_until_closed(story, head, writer):
    """Works on until the caller's leaving has closed the connection."""
    await story.has_dropped.wait()
    while True:
        writer.write(b" ")
        await writer.drain()
        await asyncio.sleep(0.01)


async def send_two_and_work(story, head, writer):
    with contextlib.suppress(ConnectionResetError):
        await write_events(head, writer, 2)
    await work_until_closed(story, head, writer)


async def send_two_and_break(story, head, writer):
    await write_events(head, writer, 2)


async def send_rest(story, head, writer):
    await write_events(head, writer, EVENTS)


async def send_whole(story, head, writer):
    await fakes.whole(b"whole")(head, writer)


@contextlib.asynccontextmanager
async def open_instance(story, endpoint):
    """Opens an instance whose only endpoint is the engine."""
    table = routes.RoutingTable(
        1,
        routes.RouteIndex([story.route]),
        {"desk": fakes.SERVICE},
        {"secret": routes.Workspace("members", None)},
        routes.CallerBounds(),
    )
    async with fakes.open_parts() as parts:
        parts.add_endpoints(endpoint)
        async with fakes.open_callers(parts, table) as url:
            yield f"{url}/a/x"


async def ask(story, url, is_enough):
    """Asks an instance, and drops the connection when there is enough."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=story.make_headers()) as answer,
    ):
        try:
            async for data in answer.content.iter_any():
                story.received += data
                if is_enough():
                    return
            story.is_whole = True
        except aiohttp.ClientPayloadError:
            story.is_whole = False


async def play(story, is_enough):
    """Lets the tenant ask one instance and, if it comes again, another."""
    story.has_dropped = asyncio.Event()
    endpoint = fakes.ScriptedEndpoint(
        *(
            lambda head, writer, script=script: script(story, head, writer)
            for script in story.scripts
        )
    )
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(endpoint.open())
        urls = [
            await stack.enter_async_context(open_instance(story, endpoint))
            for _ in range(2)
        ]
        first = asyncio.ensure_future(ask(story, urls[0], is_enough))
        while not endpoint.heads:
            await asyncio.sleep(0.01)
        if is_enough():
            first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        story.has_dropped.set()
        if story.comes_again:
            await ask(story, urls[1], lambda: False)
        await endpoint.closed.wait()
        story.was_closed = True
    story.asked = len(endpoint.heads)


def run(story, is_enough):
    asyncio.run(asyncio.wait_for(play(story, is_enough), PATIENCE_S))


@given(
    "a review on a streaming route that may be resumed", target_fixture="story"
)
def make_resumable():
    route = fakes.make_route(routes.RouteKind.STREAMING, timeout_s=9.0)
    return Story(route, send_two_and_work, send_rest)


@given(
    "a review on a streaming route that may not be resumed",
    target_fixture="story",
)
def make_strict():
    route = fakes.make_route(routes.RouteKind.STREAMING, resumable=False)
    return Story(route, send_two_and_break, send_rest)


@given("a lookup on an idempotent route", target_fixture="story")
def make_lookup():
    return Story(fakes.make_route(), work_until_closed, send_whole)


@given("a booking on a non-idempotent route", target_fixture="story")
def make_booking():
    route = fakes.make_route(routes.RouteKind.NON_IDEMPOTENT)
    return Story(route, work_until_closed, send_whole)


@when("the connection drops after two of five events", target_fixture="drops")
def drop_within(story):
    return lambda: len(story.list_events()) >= 2


@when("the connection drops before the answer", target_fixture="drops")
def drop_before(story):
    return lambda: True


@when("the engine breaks off after two of five events", target_fixture="drops")
def break_off(story):
    return lambda: False


@when("the tenant comes again through another data centre")
def come_again(story):
    story.comes_again = True


@then("the engine no longer works on the first request")
def check_closed(story, drops):
    run(story, drops)
    assert story.was_closed


@then("the tenant has each of the five events once")
def check_events(story):
    assert story.list_events() == [1, 2, 3, 4, 5]
    assert story.is_whole


@then("the tenant has two events and an answer that does not look whole")
def check_cut(story, drops):
    run(story, drops)
    assert story.list_events() == [1, 2]
    assert not story.is_whole


@then("the tenant has the whole answer")
def check_answer(story):
    assert story.received == b"whole"


@then("the engine was asked once")
def check_asked(story):
    assert story.asked == 1
