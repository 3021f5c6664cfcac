"""Tests of the HTTP client for plain services, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import aiohttp
import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import httpservice
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins import service
from rhubarblock.standins import service_test
from rhubarblock.standins import serviceserver

_Verdict = verdicts.Verdict


@contextlib.asynccontextmanager
async def run_endpoint() -> AsyncIterator[
    tuple[service.PlainService, httpservice.HttpServiceClient, str]
]:
    timers = timer_service.LoopTimers()
    endpoint = service.PlainService("desk-1", timers, run_s=0.0)
    async with (
        serviceserver.run_server(endpoint) as address,
        aiohttp.ClientSession() as session,
    ):
        yield endpoint, httpservice.HttpServiceClient(session, timers), address


def make_call(remaining_s: float = 30.0, **fields):
    deadline_s = asyncio.get_running_loop().time() + remaining_s
    return service_test.make_call(deadline_s=deadline_s, **fields)


async def catch_verdict(awaitable) -> _Verdict:
    with pytest.raises(failures.FailureError) as caught:
        await awaitable
    return caught.value.failure.verdict


def test_call_arrives_with_all_its_fields() -> None:
    async def main() -> None:
        async with run_endpoint() as (endpoint, client, address):
            answer = await client.send(address, make_call(), "r1/1")
            assert (answer.status, answer.content_type) == (
                200,
                "application/json",
            )
            [run] = endpoint.log.runs
            assert (run.attempt_id, run.key) == ("r1/1", "k1")
            assert (run.method, run.path) == ("POST", "/notices?copy=1")

    asyncio.run(main())


@pytest.mark.parametrize(
    ("fault", "verdict", "runs"),
    [
        ({"draining": True}, _Verdict.NOT_RUN, 0),
        ({"refuse_next": 1}, _Verdict.NOT_RUN, 0),
        ({"cut_before_run_next": 1}, _Verdict.MAY_HAVE_RUN, 0),
        ({"cut_after_run_next": 1}, _Verdict.MAY_HAVE_RUN, 1),
        ({"late_s": 0.5}, _Verdict.MAY_HAVE_RUN, 1),
    ],
)
@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
def test_each_fault_has_its_verdict(method, fault, verdict, runs) -> None:
    async def main() -> None:
        async with run_endpoint() as (endpoint, client, address):
            # The HTTP library resends a call on its own only on a reused
            # connection, so an earlier call opens one.
            warm_up = make_call(key=None, method=method)
            await client.send(address, warm_up, "r0/1")
            for name, value in fault.items():
                setattr(endpoint.faults, name, value)
            call = make_call(remaining_s=0.2, method=method)
            assert (
                await catch_verdict(client.send(address, call, "r1/1"))
                is verdict
            )
            assert endpoint.log.count_runs("adwoa", "k1") == runs

    asyncio.run(main())


def test_refusal_without_a_verdict_is_returned_as_an_answer() -> None:
    async def main() -> None:
        async with run_endpoint() as (endpoint, client, address):
            endpoint.faults.refuse_untold_next = 1
            answer = await client.send(address, make_call(), "r1/1")
            assert answer.status == 503

    asyncio.run(main())


def test_connection_refused_is_not_run() -> None:
    async def main() -> None:
        async with run_endpoint() as (_, _, address):
            pass
        async with aiohttp.ClientSession() as session:
            client = httpservice.HttpServiceClient(
                session, timer_service.LoopTimers()
            )
            sending = client.send(address, make_call(), "r1/1")
            assert await catch_verdict(sending) is _Verdict.NOT_RUN

    asyncio.run(main())


def test_answer_of_another_attempt_is_dropped_and_counted() -> None:
    async def main() -> None:
        async with run_endpoint() as (endpoint, client, address):
            endpoint.faults.cross_next = 2
            sent = await asyncio.gather(
                catch_verdict(
                    client.send(address, make_call(key="k1"), "r1/1")
                ),
                catch_verdict(
                    client.send(address, make_call(key="k2"), "r2/1")
                ),
            )
            assert sent == [_Verdict.MAY_HAVE_RUN] * 2
            assert client.counters["crossed"] == 2

    asyncio.run(main())
