"""Log lines of an exchange."""

import asyncio
import logging

import pytest

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import route as routes
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import flow as flows
from rhubarblock.routing.retrylending import reserve as reserves

FAILS = fakes.whole(b"bad", "500 Internal Server Error")


class Lines(logging.Handler):
    """Records log lines."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@pytest.fixture
def lines():
    logger = logging.getLogger("rhubarblock.exchange")
    handler = Lines()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    yield handler.records
    logger.removeHandler(handler)
    logger.setLevel(level)


def serve(*scripts):
    async def main():
        endpoints = [fakes.ScriptedEndpoint(script) for script in scripts]
        async with fakes.open_parts(*endpoints) as parts:
            exchange = fakes.make_exchange(
                fakes.make_route(routes.RouteKind.IDEMPOTENT)
            )
            await parts.relay.serve(exchange, fakes.MemorySink())

    asyncio.run(main())


def summarise(records):
    return [
        (
            record.message if hasattr(record, "message") else record.msg,
            record.levelname,
        )
        for record in records
        if getattr(record, "request", "") == "q1"
    ]


def test_served_request_logs_two_lines(lines):
    serve(fakes.whole(b"ok"))
    assert summarise(lines) == [("placed", "DEBUG"), ("served", "DEBUG")]
    assert lines[-1].failed_attempts == 0
    assert lines[-1].parts == 1


def test_failed_attempt_is_logged_between_two_placements(lines):
    serve(FAILS, FAILS)
    assert summarise(lines) == [
        ("placed", "DEBUG"),
        ("attempt ended", "INFO"),
        ("placed", "DEBUG"),
        ("attempt ended", "INFO"),
    ]


def test_lines_of_an_attempt_tell_its_connection(lines):
    async def main():
        endpoint = fakes.ScriptedEndpoint(
            fakes.whole(b"first", request_id="q0"), late_then_own
        )
        async with fakes.open_parts(endpoint) as parts:
            for name in ("q0", "q1"):
                exchange = fakes.make_exchange(
                    request_id=name,
                    headers=(exchanges.Header(fakes.ATTEMPT, name),),
                )
                await parts.relay.serve(exchange, fakes.MemorySink())
            return parts.metrics.snapshot()

    async def late_then_own(head, writer):
        await fakes.whole(b"first", request_id="q0")(head, writer)
        await fakes.whole(b"own")(head, writer)

    counters = asyncio.run(main())
    first, second = [x for x in lines if x.msg == "served"]
    assert (first.connection, first.position, first.skipped) == ("new", 1, 0)
    assert (second.connection, second.position) == ("kept", 2)
    assert second.local_port == first.local_port
    assert second.skipped == counters["exchange.answers_skipped"] == 1
    skipped = next(x for x in lines if x.msg == "answer skipped")
    assert (skipped.request, skipped.answer_to) == ("q1", "q0")
    assert (skipped.status, skipped.position) == (200, 2)


def test_attempt_that_was_not_sent_names_no_connection(lines):
    async def main():
        endpoint = fakes.ScriptedEndpoint()
        async with fakes.open_parts(endpoint) as parts:
            endpoint.server.close()
            with pytest.raises(failures.FailureError):
                await parts.relay.serve(
                    fakes.make_exchange(), fakes.MemorySink()
                )

    asyncio.run(main())
    ended = next(x for x in lines if x.msg == "attempt ended")
    assert ended.connection == "none"


def test_exchange_without_an_endpoint_is_not_logged_as_placed(lines):
    with pytest.raises(failures.FailureError):
        serve()
    assert summarise(lines) == []


def test_denied_retry_is_logged_with_the_inputs_of_the_decision(lines):
    async def main():
        endpoints = [fakes.ScriptedEndpoint(FAILS) for _ in range(2)]
        async with fakes.open_parts(*endpoints) as parts:
            exchange = fakes.make_exchange()
            spender = flows.Flow(exchange, fakes.MemorySink())
            while await parts.relay._outcomes.grant(
                spender, reserves.Outlook.OBJECTIVE
            ):
                pass
            lines.clear()
            await parts.relay.serve(exchange, fakes.MemorySink())
            return parts.metrics.snapshot()

    counters = asyncio.run(main())
    assert counters["exchange.retries_denied"] == 2
    denied = lines[-1]
    assert denied.msg == "retry denied"
    assert denied.reason == "retry budget spent"
    assert (denied.share, denied.left) == (10.0, 0.0)
    assert (denied.lent, denied.borrowed, denied.successes) == (0.0, 0.0, 0)
    assert denied.age_s >= 0.0
    assert (denied.outlook, denied.flooding) == ("objective", False)
