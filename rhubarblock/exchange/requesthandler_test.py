"""Callers' requests over real sockets."""

import asyncio
import contextlib
import dataclasses
import math

import aiohttp
import pytest

from rhubarblock.core import route as routes
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import memoryaccount
from rhubarblock.platform import names
from rhubarblock.relay import apierrors

TABLE = routes.RoutingTable(
    1,
    routes.RouteIndex(
        [
            fakes.make_route(),
            fakes.make_route(
                routes.RouteKind.STREAMING, name="r-2", path_prefix="/s/"
            ),
            fakes.make_route(name="r-3", path_prefix="/open/", anonymous=True),
        ]
    ),
    {"desk": fakes.SERVICE},
    {"secret": routes.Workspace("members", None)},
    routes.CallerBounds(body_bytes=10),
)


@contextlib.asynccontextmanager
async def open_instance(*endpoints, table=TABLE):
    async with (
        fakes.open_parts(*endpoints) as parts,
        fakes.open_callers(parts, table) as url,
        aiohttp.ClientSession() as session,
    ):
        yield parts, session, url


def make_headers(**changes):
    headers = {
        "Host": "desk.example",
        fakes.ATTEMPT: "q1",
        names.CREDENTIAL: "secret",
        names.REMAINING: "1000",
    }
    headers.update(changes)
    return headers


def send_request(path, *scripts, table=TABLE, body=b"", **changes):
    """Sends one request.

    Returns:
      The answer's status, headers and body, and the heads of the requests at
      the endpoint.
    """

    async def main():
        endpoint = fakes.ScriptedEndpoint(*scripts)
        async with (
            open_instance(endpoint, table=table) as (_, session, url),
            session.post(
                url + path, headers=make_headers(**changes), data=body
            ) as answer,
        ):
            content = await answer.read()
            return answer.status, answer.headers, content, endpoint.heads

    return asyncio.run(main())


def test_answer_keeps_its_signature():
    status, headers, content, heads = send_request("/a/x", fakes.whole(b"ok"))
    assert (status, content) == (200, b"ok")
    assert headers[fakes.SEAL] == "s"
    assert headers[fakes.ATTEMPT] == "q1"
    assert "secret" not in heads[0]
    assert f"{names.TENANT}: members" in heads[0]


def test_unknown_path_and_key_are_refused_without_an_attempt():
    status, _, _, heads = send_request("/none/x", fakes.whole())
    assert (status, heads) == (404, [])
    changes = {names.CREDENTIAL: "wrong"}
    status, _, _, heads = send_request("/a/x", fakes.whole(), **changes)
    assert (status, heads) == (401, [])


def test_anonymous_route_needs_no_key():
    changes = {names.CREDENTIAL: "wrong"}
    status, _, _, heads = send_request("/open/x", fakes.whole(), **changes)
    assert status == 200
    assert "Tenant" not in heads[0]


def test_body_over_the_bound_is_refused():
    status, _, _, heads = send_request(
        "/a/x", fakes.whole(), body=b"12345678901"
    )
    assert (status, heads) == (413, [])


def test_instance_without_a_configuration_answers_retry_after():
    status, headers, _, heads = send_request("/a/x", fakes.whole(), table=None)
    assert (status, heads) == (503, [])
    assert headers["Retry-After"] == "1"


def test_events_are_forwarded_in_chunks_to_the_end():
    status, _, content, _ = send_request("/s/x", fakes.events(1, 2))
    assert status == 200
    assert content == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"


def test_broken_stream_does_not_look_complete():
    async def main():
        broken = fakes.events(1, end=False)
        endpoint = fakes.ScriptedEndpoint(broken)
        async with (
            open_instance(endpoint) as (_, session, url),
            session.post(url + "/s/x", headers=make_headers()) as answer,
        ):
            try:
                return await answer.read()
            except aiohttp.ClientPayloadError:
                return "broken"

    assert asyncio.run(main()) == "broken"


def test_expired_lease_refuses_keyed_requests():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with open_instance(endpoint) as (parts, session, url):
            parts.config_lease._confirmed_s -= 5.0
            async with session.post(
                url + "/a/x", headers=make_headers()
            ) as answer:
                return answer.status, endpoint.heads

    assert asyncio.run(main()) == (503, [])


def test_draining_instance_serves_and_closes_its_connection():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with open_instance(endpoint) as (parts, session, url):
            parts.lifecycle.start_drain()
            async with session.post(
                url + "/a/x", headers=make_headers()
            ) as answer:
                return answer.status, answer.headers["Connection"]

    assert asyncio.run(main()) == (200, "close")


def test_stopping_instance_refuses_what_would_be_cut():
    """Streams of the route were longer than what was left of the grace time."""

    async def answer_slowly(head, writer):
        await asyncio.sleep(0.3)
        await fakes.whole(b"ok")(head, writer)

    async def main():
        endpoint = fakes.ScriptedEndpoint(*[answer_slowly] * 3)
        async with open_instance(endpoint) as (parts, session, url):
            statuses = []
            for left_s in (math.inf, 0.4, 0.7):
                now_s = parts.timers.read_monotonic()
                parts.lifecycle.drain_ends_s = now_s + left_s
                async with session.get(
                    url + "/a/x", headers=make_headers()
                ) as answer:
                    await answer.read()
                    statuses.append(answer.status)
            return statuses, len(endpoint.heads)

    assert asyncio.run(main()) == ([200, 503, 200], 2)


def test_disconnect_of_the_caller_closes_the_endpoint_connection():
    async def hang(head, writer):
        while True:
            await asyncio.sleep(0.02)
            writer.write(b" ")
            await writer.drain()

    async def main():
        endpoint = fakes.ScriptedEndpoint(hang)
        async with open_instance(endpoint) as (parts, session, url):
            task = asyncio.ensure_future(
                session.post(url + "/a/x", headers=make_headers())
            )
            while not endpoint.heads:
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            async with asyncio.timeout(5.0):
                await endpoint.closed.wait()
                while parts.lifecycle.in_flight:
                    await asyncio.sleep(0.01)

    asyncio.run(main())


def test_request_at_a_start_waits_for_the_list_of_endpoints():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with open_instance(endpoint) as (parts, session, url):
            parts.listed.clear()
            parts.directory.remove("e1")
            pending = asyncio.ensure_future(
                session.post(url + "/a/x", headers=make_headers())
            )
            while not parts.lifecycle.in_flight:
                await asyncio.sleep(0.001)
            parts.add_endpoints(endpoint)
            parts.listed.set()
            return (await pending).status

    assert asyncio.run(main()) == 200


def test_request_at_a_start_waits_for_the_configuration():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        async with open_instance(endpoint, table=None) as (parts, session, url):
            pending = asyncio.ensure_future(
                session.post(url + "/a/x", headers=make_headers())
            )
            while not parts.lifecycle.in_flight:
                await asyncio.sleep(0.001)
            parts.config_lease.install(TABLE, parts.config_lease.read_clock())
            return (await pending).status

    assert asyncio.run(main()) == 200


ROOMY = dataclasses.replace(TABLE, bounds=routes.CallerBounds())


@contextlib.asynccontextmanager
async def open_bounded(limit, *scripts):
    """Opens an instance that may hold some bytes for its callers."""
    endpoint = fakes.ScriptedEndpoint(*scripts)
    async with fakes.open_parts(endpoint) as parts:
        parts.memory = memoryaccount.MemoryAccount(limit, parts.metrics)
        async with (
            fakes.open_callers(parts, ROOMY) as url,
            aiohttp.ClientSession() as session,
        ):
            yield parts, session, url


@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_that_gets_no_memory_is_refused_as_not_run(is_chunked):
    async def pieces():
        for _ in range(8):
            yield b"b" * 50_000

    async def main():
        async with open_bounded(400_000, fakes.whole()) as (parts, *rest):
            session, url = rest
            data = pieces() if is_chunked else b"b" * 400_000
            async with session.post(
                url + "/a/x", headers=make_headers(), data=data
            ) as answer:
                verdict = answer.headers[apierrors.VERDICT_HEADER]
                seen = answer.status, answer.headers["Retry-After"], verdict
            async with session.post(
                url + "/a/x", headers=make_headers(), data=b"small"
            ) as answer:
                return seen, answer.status, parts.memory.total

    assert asyncio.run(main()) == ((503, "1", "NOT_RUN"), 200, 0)


@pytest.mark.parametrize("remaining", ["nan", "inf", "1e300"])
def test_deadline_that_is_no_time_does_not_reach_the_timers(remaining):
    # A timer without an order would delay all others.
    async def main():
        async with open_bounded(4_000_000, fakes.whole()) as (_, session, url):
            headers = make_headers(**{names.REMAINING: remaining})
            async with session.post(
                url + "/a/x", headers=headers, data=b"b"
            ) as answer:
                return answer.status

    seen = []
    call_at = asyncio.BaseEventLoop.call_at
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            asyncio.BaseEventLoop,
            "call_at",
            lambda loop, when, *args, **options: (
                seen.append(when - loop.time())
                or call_at(loop, when, *args, **options)
            ),
        )
        assert asyncio.run(main()) == 200
    # The longest of aiohttp's own timers ends an idle connection after an hour.
    assert all(delay_s < 4000.0 for delay_s in seen)


def test_body_that_arrives_too_late_releases_its_memory():
    # A caller that declares a body and never sends it would hold it for good.
    async def main():
        async with open_bounded(4_000_000) as (parts, _, url):
            host, port = url.removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(host, port)
            fields = make_headers(**{names.REMAINING: "200"})
            head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(
                f"POST /a/x HTTP/1.1\r\n{head}"
                "Content-Length: 1000000\r\n\r\n".encode()
            )
            while not parts.memory.total:
                await asyncio.sleep(0.01)
            held = parts.memory.total
            async with asyncio.timeout(5.0):
                line = await reader.readline()
            writer.close()
            return held, line.split()[1], parts.memory.total

    assert asyncio.run(main()) == (1_000_000, b"504", 0)
