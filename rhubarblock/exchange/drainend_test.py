"""What a stopping instance does with requests that may outlast it."""

import asyncio

import pytest

from rhubarblock.core import route as routes
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import invalidanswers_test as instances

# Route of calls that run at most once, and one of calls that may be repeated.
ONCE = "/n/x"
REPEATABLE = "/a/x"


async def hang(head, writer):
    await asyncio.Event().wait()


def answer_after(delay_s):
    async def script(head, writer):
        await asyncio.sleep(delay_s)
        await fakes.whole(b"ok")(head, writer)

    return script


def relay_while_stopping(path, left_s, *scripts, before=0, remaining_ms=1000):
    """Sends requests one by one, the last one while the instance stops.

    Returns:
      Status line and body of the last answer, how many requests reached the
      endpoint, and the seconds that were left then.
    """

    async def main():
        async with instances.open_parts(*scripts) as (endpoint, url, parts):
            for _ in range(before):
                await instances.send_request(url, path)
            ends_s = parts.timers.read_monotonic() + left_s
            parts.lifecycle.end_drain_at(ends_s)
            head, body = await instances.send_request(
                url, path, remaining_ms=remaining_ms
            )
            now_s = parts.timers.read_monotonic()
            return head[9:12], body, len(endpoint.heads), ends_s - now_s

    return asyncio.run(main())


def test_call_of_unknown_duration_is_sent_only_if_its_time_fits():
    status, body, sent, _ = relay_while_stopping(ONCE, 0.9, hang)
    assert (status, sent) == (b"503", 0)
    assert b'"verdict": "NOT_RUN"' in body
    status, _, sent, _ = relay_while_stopping(
        ONCE, 0.9, answer_after(0.0), remaining_ms=500
    )
    assert (status, sent) == (b"200", 1)


def test_call_is_not_sent_if_the_longest_one_did_not_fit():
    """Most calls of the route are quick, and some are not."""
    scripts = [answer_after(0.0), answer_after(0.4), *[answer_after(0.0)] * 9]
    status, _, sent, _ = relay_while_stopping(ONCE, 0.5, *scripts, before=10)
    assert (status, sent) == (b"503", 10)
    status, _, sent, _ = relay_while_stopping(ONCE, 0.9, *scripts, before=10)
    assert (status, sent) == (b"200", 11)


def test_time_of_an_upload_is_no_part_of_the_duration():
    async def upload_slowly(url, path):
        reader, writer = await instances.begin_request(url, path, 2)
        writer.write(b"b")
        await asyncio.sleep(0.4)
        writer.write(b"b")
        try:
            return (await instances.read_answer(reader))[0]
        finally:
            writer.close()

    async def main():
        scripts = [answer_after(0.0)] * 2
        async with instances.open_parts(*scripts) as (_, url, parts):
            await upload_slowly(url, ONCE)
            parts.lifecycle.end_drain_at(parts.timers.read_monotonic() + 0.8)
            return await upload_slowly(url, ONCE)

    assert asyncio.run(main()).startswith(b"HTTP/1.1 200 ")


def test_request_that_outlasts_the_stop_gets_an_answer_before_it():
    scripts = [answer_after(0.0), hang]
    status, body, sent, left_s = relay_while_stopping(
        REPEATABLE, 0.6, *scripts, before=1
    )
    assert (status, sent) == (b"504", 2)
    assert b'"verdict": "MAY_HAVE_RUN"' in body
    assert left_s > 0.0


@pytest.mark.parametrize("path", [ONCE, REPEATABLE])
def test_request_from_before_the_stop_gets_an_answer_before_its_end(path):
    async def main():
        async with instances.open_parts(hang) as (endpoint, url, parts):
            sending = asyncio.create_task(instances.send_request(url, path))
            while not endpoint.heads:
                await asyncio.sleep(0.01)
            ends_s = parts.timers.read_monotonic() + 0.5
            parts.lifecycle.end_drain_at(ends_s)
            head, _ = await sending
            return head[9:12], ends_s - parts.timers.read_monotonic()

    status, left_s = asyncio.run(main())
    assert status == b"504"
    assert left_s > 0.0


def test_stream_that_has_begun_goes_on_until_the_end():
    async def slow_events(head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + instances.ECHO + b"\r\nid: 1\n\n")
        await writer.drain()
        await asyncio.sleep(0.35)
        writer.write(b"id: 2\n\n")
        await writer.drain()
        raise ConnectionError

    async def main():
        async with instances.open_parts(slow_events) as (endpoint, url, parts):
            sink = fakes.MemorySink()
            exchange = fakes.make_exchange(
                fakes.make_route(routes.RouteKind.STREAMING, max_attempts=1)
            )
            serving = asyncio.create_task(parts.relay.serve(exchange, sink))
            while not sink.begun:
                await asyncio.sleep(0.01)
            parts.lifecycle.end_drain_at(parts.timers.read_monotonic() + 0.4)
            await serving
            return sink.body

    assert asyncio.run(main()) == b"id: 1\n\nid: 2\n\n"


def test_call_is_not_sent_after_its_endpoint_became_slow():
    """Calls that are under way take longer than any that has ended."""

    async def main():
        scripts = [answer_after(0.0), hang, hang]
        async with instances.open_parts(*scripts) as (endpoint, url, parts):
            await instances.send_request(url, ONCE)
            earlier = asyncio.create_task(instances.send_request(url, ONCE))
            await asyncio.sleep(0.4)
            parts.lifecycle.end_drain_at(parts.timers.read_monotonic() + 0.5)
            head, _ = await instances.send_request(url, ONCE)
            await earlier
            return head[9:12], len(endpoint.heads)

    assert asyncio.run(main()) == (b"503", 2)
