"""Tests of the stand-in service and of its client without sockets."""

import asyncio
import random

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import service

_Verdict = verdicts.Verdict


def make_call(body: bytes = b"fee", key: str | None = "k1", **fields):
    values = {
        "request_id": "r1",
        "institution": "adwoa",
        "workspace": "adwoa/fees",
        "service": "filing-desk",
        "method": "POST",
        "path": "/notices?copy=1",
        "body": body,
        "digest": "d1",
        "idempotent": False,
        "idempotency_key": key,
        "deadline_s": 30.0,
    }
    return requests.ServiceCall(**{**values, **fields})


def make_endpoint_and_client() -> tuple[
    service.PlainService, service.MemoryServiceClient
]:
    timers = timer_service.LoopTimers(0.0)
    endpoint = service.PlainService("desk-1", timers)
    client = service.MemoryServiceClient(
        {"desk:1": endpoint}, timers, random.Random(1)
    )
    return endpoint, client


async def catch_verdict(awaitable) -> _Verdict:
    with pytest.raises(failures.FailureError) as caught:
        await awaitable
    return caught.value.failure.verdict


def test_runs_are_recorded_by_idempotency_key() -> None:
    async def main() -> None:
        endpoint, client = make_endpoint_and_client()
        answer = await client.send("desk:1", make_call(), "r1/1")
        assert answer.status == 200
        assert endpoint.log.count_runs("adwoa", "k1") == 1
        assert endpoint.log.find_double_runs() == []
        await client.send("desk:1", make_call(), "r1/2")
        assert endpoint.log.find_double_runs() == [("adwoa", "k1")]
        assert [run.attempt_id for run in endpoint.log.runs] == ["r1/1", "r1/2"]

    virtualloop.run(main())


@pytest.mark.parametrize(
    ("fault", "verdict", "runs"),
    [
        ({"dead": True}, _Verdict.NOT_RUN, 0),
        ({"draining": True}, _Verdict.NOT_RUN, 0),
        ({"refuse_next": 1}, _Verdict.NOT_RUN, 0),
        ({"cut_before_run_next": 1}, _Verdict.MAY_HAVE_RUN, 0),
        ({"cut_after_run_next": 1}, _Verdict.MAY_HAVE_RUN, 1),
        ({"die_after_run_next": 1}, _Verdict.MAY_HAVE_RUN, 1),
        ({"crash_marker": b"fee"}, _Verdict.MAY_HAVE_RUN, 0),
        ({"late_s": 99.0}, _Verdict.MAY_HAVE_RUN, 1),
        ({"slow_s": 99.0}, _Verdict.MAY_HAVE_RUN, 0),
    ],
)
def test_each_fault_has_its_verdict(fault, verdict, runs) -> None:
    async def main() -> None:
        endpoint, client = make_endpoint_and_client()
        for name, value in fault.items():
            setattr(endpoint.faults, name, value)
        sending = client.send("desk:1", make_call(), "r1/1")
        assert await catch_verdict(sending) is verdict
        assert len(endpoint.log.runs) == runs

    virtualloop.run(main())


def test_paused_endpoint_runs_the_call_after_the_client_timed_out() -> None:
    async def main() -> None:
        endpoint, client = make_endpoint_and_client()
        endpoint.pause()
        sending = client.send("desk:1", make_call(), "r1/1")
        assert await catch_verdict(sending) is _Verdict.MAY_HAVE_RUN
        assert endpoint.log.runs == []
        endpoint.resume()
        await asyncio.sleep(1)
        assert len(endpoint.log.runs) == 1

    virtualloop.run(main())


def test_crossed_answers_are_dropped_and_counted() -> None:
    async def main() -> None:
        endpoint, client = make_endpoint_and_client()
        endpoint.faults.cross_next = 2
        verdicts_of_both = await asyncio.gather(
            catch_verdict(client.send("desk:1", make_call(key="k1"), "r1/1")),
            catch_verdict(client.send("desk:1", make_call(key="k2"), "r2/1")),
        )
        assert verdicts_of_both == [_Verdict.MAY_HAVE_RUN] * 2
        assert client.counters["crossed"] == 2

    virtualloop.run(main())


def test_nothing_is_sent_after_the_deadline() -> None:
    async def main() -> None:
        endpoint, client = make_endpoint_and_client()
        late = make_call(deadline_s=0.0)
        sending = client.send("desk:1", late, "r1/1")
        assert await catch_verdict(sending) is _Verdict.NOT_RUN
        await asyncio.sleep(1)
        assert endpoint.log.runs == []

    virtualloop.run(main())
