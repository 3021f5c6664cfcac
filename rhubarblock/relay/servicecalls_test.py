"""Tests of retries, and of calls without an idempotency key."""

import random

import pytest
from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.relay import servicecalls
from rhubarblock.relay.claims import ledger as claims
from rhubarblock.standins import service
from rhubarblock.standins import service_test
from rhubarblock.standins.platform import store as platform

_Verdict = verdicts.Verdict


class Pair:
    """One caller with two endpoints."""

    def __init__(self, take_retry=lambda: True):
        timers = timer_service.LoopTimers(0.0)
        log = service.RunLog()
        self.endpoints = {
            name: service.PlainService(name, timers, log)
            for name in ("desk:1", "desk:2")
        }
        self.log = log
        self.store = platform.MemoryStore(timers, random.Random(1))
        ledger = claims.ClaimLedger(self.store, timers, "i", random.Random(2))
        self.caller = servicecalls.ServiceCaller(
            ledger,
            service.MemoryServiceClient(
                self.endpoints, timers, random.Random(3)
            ),
            self.choose,
            timers,
            random.Random(4),
            take_retry=take_retry,
        )

    def choose(self, call, failed):
        left = [name for name in self.endpoints if name not in failed]
        return left[0] if left else None

    async def call(self, **fields):
        outcome = await self.caller.call(service_test.make_call(**fields))
        if isinstance(outcome, result.Success):
            return "ran"
        return outcome.failure().verdict


@pytest.mark.parametrize(
    ("fault", "idempotent", "seen", "runs"),
    [
        ({"dead": True}, False, "ran", 1),
        ({"refuse_next": 1}, False, "ran", 1),
        ({"cut_before_run_next": 1}, False, _Verdict.MAY_HAVE_RUN, 0),
        ({"cut_after_run_next": 1}, False, _Verdict.MAY_HAVE_RUN, 1),
        ({"dead": True}, True, "ran", 1),
        ({"cut_before_run_next": 1}, True, "ran", 1),
        ({"cut_after_run_next": 1}, True, "ran", 2),
    ],
)
@pytest.mark.parametrize("key", [None, "k1"])
def test_call_is_retried_only_if_a_second_run_is_safe(
    fault, idempotent, seen, runs, key
) -> None:
    async def main() -> None:
        pair = Pair()
        for name, value in fault.items():
            setattr(pair.endpoints["desk:1"].faults, name, value)
        assert await pair.call(key=key, idempotent=idempotent) == seen
        assert len(pair.log.runs) == runs

    virtualloop.run(main())


def test_call_without_a_key_needs_no_platform() -> None:
    async def main() -> None:
        pair = Pair()
        pair.store.faults.start_outage()
        assert await pair.call(key=None) == "ran"
        assert await pair.call(key=None) == "ran"
        assert not pair.store.counters

    virtualloop.run(main())


def test_verdict_of_a_failed_idempotent_call_covers_all_attempts() -> None:
    async def main() -> None:
        pair = Pair()
        pair.endpoints["desk:1"].faults.cut_after_run_next = 1
        pair.endpoints["desk:2"].faults.dead = True
        assert await pair.call(idempotent=True) is _Verdict.MAY_HAVE_RUN

    virtualloop.run(main())


def test_no_retry_when_the_retry_budget_is_exhausted() -> None:
    async def main() -> None:
        pair = Pair(take_retry=lambda: False)
        pair.endpoints["desk:1"].faults.dead = True
        assert await pair.call(key=None) is _Verdict.NOT_RUN
        assert pair.caller.counters["attempts"] == 1

    virtualloop.run(main())


def test_nothing_is_sent_after_the_deadline() -> None:
    async def main() -> None:
        pair = Pair()
        outcome = await pair.caller.call(
            service_test.make_call(key=None, deadline_s=0.0)
        )
        failure = outcome.failure()
        assert failure.code is failures.FailureCode.DEADLINE_EXCEEDED
        assert failure.verdict is _Verdict.NOT_RUN
        assert pair.caller.counters["attempts"] == 0

    virtualloop.run(main())
