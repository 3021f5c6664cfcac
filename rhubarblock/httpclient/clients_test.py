"""No client of the product takes an invalid answer for an answer."""

import asyncio
import contextlib
import logging
import pathlib
import re

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import position as positions
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.state import feed
from rhubarblock.exchange.state import feed_test
from rhubarblock.exchange.tunnels import wire
from rhubarblock.fleet import httpengine
from rhubarblock.fleet import httpengine_test
from rhubarblock.fleet import httpservice
from rhubarblock.httpclient import connector as connectors
from rhubarblock.httpclient import sessions
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.platform import leaseclient
from rhubarblock.platform import objectstore
from rhubarblock.scripts import client as adminclient
from rhubarblock.store import era as era_lib
from rhubarblock.store import httpstore
from rhubarblock.store import instances
from rhubarblock.store import store as stores

OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 2\r\n"
DEEP = b"[" * 100_000
# Longest error in characters.
MAX_ERROR = 400
MAX_BODY_BYTES = 300_000
# Modules that open sessions of their own: stand-ins and measurements, which are
# no part of a running instance.
OTHERS = ("standins", "experiments", "httpclient")

INVALID = {
    "status": b"HTTP/1.1 000 OK\r\n" + LENGTH + b"\r\n{}",
    "switch": b"HTTP/1.1 101 OK\r\n\r\n{}",
    "blank": OK + b" X: v\r\n" + LENGTH + b"\r\n{}",
    "control": OK + b"X: \x01\r\n" + LENGTH + b"\r\n{}",
    "folded": OK + b"X: v\r\n w\r\n" + LENGTH + b"\r\n{}",
    "coding": OK + b"Transfer-Encoding: gzip\r\n\r\n{}",
    "length": OK + LENGTH + LENGTH + b"\r\n{}",
    "bytes": bytes(range(256)) * 200,
    "cut": OK + b"Content-Length: 9\r\n\r\n{}",
    "nested": OK + b"Content-Length: 100000\r\n\r\n" + DEEP,
    "no table": OK + LENGTH + b"\r\n[]",
}
# What each client sends without end, and then what it is sent.
ENDLESS = {
    "interim": (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "head": (OK, b"X: v\r\n"),
    "body": (OK + b"\r\n", b"x" * 100),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n"),
}


def make_platform_store(session, address):
    eras = era_lib.EraTracker(metric_store.Metrics())
    return objectstore.PlatformStore(session, address, lambda name: None, eras)


async def read_platform(session, address):
    store = make_platform_store(session, address)
    await store.list_objects("servers/")


async def write_platform(session, address):
    store = make_platform_store(session, address)
    await store.write("a/b", b"{}", positions.NOWHERE)


async def list_objects(session, address):
    store = httpstore.HttpStore(session, f"http://{address}")
    await store.list_objects("a/")


async def watch_objects(session, address):
    store = httpstore.HttpStore(session, f"http://{address}")
    async for _ in store.watch("a/", positions.NOWHERE):
        raise AssertionError
    raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)


async def write_object(session, address):
    store = httpstore.HttpStore(session, f"http://{address}")
    await store.write("a/b", b"{}", positions.NOWHERE)


async def fetch_instances(session, address):
    source = instances.HttpInstanceSource(session, f"http://{address}")
    if not await source.fetch_instances():
        raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)


async def poll_peer(session, address):
    own = feed_test.Instance("a.1", feed_test.Clock())
    client = feed.StateClient(
        session,
        "a",
        "osu",
        own.replica,
        own.directory,
        own.config_lease,
        own.timers,
        own.eras,
    )
    await client.poll(address, 0.0)


async def fetch_load(session, address):
    await httpengine.HttpEngineClient(session).fetch_load(address)


async def generate(session, address):
    client = httpengine.HttpEngineClient(session)
    async for _ in client.generate(address, httpengine_test.ATTEMPT):
        raise AssertionError
    # The stream ended without its last event.
    raise failures.FailureError(
        failures.Failure(failures.FailureCode.STREAM_CUT, "it was cut")
    )


async def call_service(session, address):
    timers = timer_service.LoopTimers()
    client = httpservice.HttpServiceClient(session, timers)
    call = requests.ServiceCall(
        request_id="r",
        institution="i",
        workspace="w",
        service="s",
        method="POST",
        path="/",
        body=b"",
        digest="d",
        idempotent=False,
        idempotency_key=None,
        deadline_s=timers.read_monotonic() + 2.0,
    )
    try:
        await client.send(address, call, "a1")
    except failures.FailureError as error:
        assert error.failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
        raise


CLIENTS = (
    read_platform,
    write_platform,
    list_objects,
    watch_objects,
    write_object,
    fetch_instances,
    poll_peer,
    fetch_load,
    generate,
    call_service,
)
ERRORS = (stores.StoreError, feed.FeedError, failures.FailureError)


@contextlib.asynccontextmanager
async def open_server(send):
    """Yields the address of a server that sends bytes as an answer."""
    closed = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await send(writer)
        writer.close()
        closed.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}", closed
    server.close()


def call(client, send):
    """Returns the error that a client raises for an answer."""

    async def main():
        connector = connectors.AnswerConnector(max_body_bytes=MAX_BODY_BYTES)
        async with (
            open_server(send) as (address, closed),
            sessions.open_session(connector) as session,
        ):
            with pytest.raises(ERRORS) as raised:
                async with asyncio.timeout(4.0):
                    await client(session, address)
            async with asyncio.timeout(1.0):
                await closed.wait()
            return raised.value

    return asyncio.run(main())


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("name", INVALID)
def test_invalid_answer_is_an_error(name, client, caplog):
    caplog.set_level(logging.DEBUG)

    async def send(writer):
        writer.write(INVALID[name])
        await writer.drain()

    error = call(client, send)
    assert len(str(error)) < MAX_ERROR
    assert all(
        len(str(vars(record))) < 5 * MAX_ERROR
        for record in caplog.records
        if record.name.startswith("rhubarblock")
    )


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("name", ENDLESS)
def test_endless_answer_is_an_error_soon(name, client):
    start, repeated = ENDLESS[name]

    async def send(writer):
        writer.write(start)
        while True:
            writer.write(repeated * 500)
            await writer.drain()

    assert len(str(call(client, send))) < MAX_ERROR


@pytest.mark.parametrize(
    "odd",
    [b"7", b"{}", DEEP, b"\xff", b'{"capacity": 7}', b"9" * 9_999],
)
def test_odd_entry_of_the_list_leaves_the_others(odd):
    entry = instances.ListedInstance(
        "i1", "10.0.0.1:7", "osu", "", instances.InstanceKind.ENTRY
    )
    content = b"\n".join([odd, instances.encode_instance(entry), odd])

    async def send(writer):
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(content))
        writer.write(content)
        await writer.drain()

    async def main():
        async with (
            open_server(send) as (address, _),
            sessions.open_session() as session,
        ):
            source = instances.HttpInstanceSource(session, f"http://{address}")
            return await source.fetch_instances()

    assert asyncio.run(main()) == [entry]


@pytest.mark.parametrize("name", [*INVALID, "endless body"])
def test_lease_is_unsure_after_an_invalid_answer(name):
    async def send(writer):
        writer.write(INVALID.get(name, OK + b"\r\n"))
        while name not in INVALID:
            writer.write(b"x" * 10_000)
            await writer.drain()

    async def main():
        async with (
            open_server(send) as (address, _),
            fakes.open_parts() as parts,
        ):
            client = leaseclient.PlatformLeaseClient(parts.sessions.unprobed)
            reply = await client.release(fakes.make_endpoint(1, address), "l")
            return reply.answer

    # The body of an order's answer says nothing that is used.
    known = {"no table": dialects.LeaseAnswer.DONE}
    answer = asyncio.run(main())
    assert answer is known.get(name, dialects.LeaseAnswer.UNSURE)


@pytest.mark.parametrize("name", INVALID)
def test_command_reports_an_invalid_answer(name):
    async def send(writer):
        writer.write(INVALID[name])

    async def main():
        async with open_server(send) as (address, _):
            connection = adminclient.Connection(f"http://{address}", "t", 2.0)
            with pytest.raises(adminclient.ConnectionFailure) as raised:
                await asyncio.to_thread(adminclient.fetch, connection, "status")
            return str(raised.value)

    assert len(asyncio.run(main())) < MAX_ERROR


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 2_0 OPENED\r\n\r\n",
        b"HTTP/1.1 000 OPENED\r\n\r\n",
        b"HTTP/1.1 +200 OPENED\r\n\r\n",
        b"HTTP/9 200 OPENED\r\n\r\n",
        b"HTTP/1.1 200 OPENED\r\n X: v\r\n\r\n",
    ],
)
def test_invalid_reply_of_a_peer_opens_no_tunnel(head):
    with pytest.raises(ValueError):
        wire.decode_reply(head)


def test_all_sessions_of_an_instance_accept_only_valid_answers():
    package = pathlib.Path(__file__).parent.parent
    opening = re.compile(r"ClientSession\(|TCPConnector\(|open_connection\(")
    found = [
        str(path.relative_to(package))
        for path in sorted(package.rglob("*.py"))
        if not path.name.endswith("_test.py")
        and path.relative_to(package).parts[0] not in OTHERS
        and opening.search(path.read_text())
    ]
    # Two commands that measure the costs of stand-ins and start these.
    assert found == ["scripts/measurecosts.py", "scripts/standin.py"]
