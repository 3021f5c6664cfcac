"""Calls to plain services: retried if safe, otherwise run at most once.

An idempotent call is retried after any failure. Any other call is retried only
after an attempt that provably did not run. If such a call has an idempotency
key, the key is claimed first, so that no other request with the key runs the
call, and its answer is stored for later requests.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random

from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import serviceclient
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import backoff as relay_backoff
from rhubarblock.relay.claims import ledger as claim_ledger
from rhubarblock.store import backoff as backoffs

_Code = failures.FailureCode
_Verdict = verdicts.Verdict

ServiceResult = result.Result[requests.ServiceAnswer, failures.Failure]

# Returns an endpoint for a call, given the addresses that have failed, or None
# if none is left.
EndpointChooser = Callable[[requests.ServiceCall, frozenset[str]], str | None]


@dataclasses.dataclass(slots=True, frozen=True)
class CallSettings:
    """How calls are retried.

    Attributes:
      attempts: most attempts of one call.
      backoff: waits between attempts.
      release_wait_s: longest time that a call which did not run waits for its
        key to be released before it returns, in seconds.
    """

    attempts: int = 4
    backoff: backoffs.BackoffSettings = backoffs.BackoffSettings(
        first_s=0.02, max_s=0.5
    )
    release_wait_s: float = 0.5


class ServiceCaller:
    """Sends the calls of one entry instance to plain services.

    Attributes:
      counters: counts attempts and outcomes.
    """

    __slots__ = (
        "_choose_endpoint",
        "_claims",
        "_client",
        "_rng",
        "_settings",
        "_take_retry",
        "_tasks",
        "_timers",
        "counters",
    )

    def __init__(
        self,
        claims: claim_ledger.ClaimLedger,
        client: serviceclient.ServiceClient,
        choose_endpoint: EndpointChooser,
        timers: timer_service.Timers,
        rng: random.Random,
        settings: CallSettings | None = None,
        take_retry: Callable[[], bool] = lambda: True,
    ):
        """Creates a caller; ``open_caller`` also shuts it down gracefully.

        Args:
          claims: ledger for calls with an idempotency key.
          client: sends one attempt.
          choose_endpoint: chooses the endpoint of an attempt.
          timers: clock and sleeps.
          rng: adds jitter to the waits.
          settings: how calls are retried, or None for the defaults.
          take_retry: takes one retry from the retry budget; returns whether
            there was one.
        """
        self._claims = claims
        self._client = client
        self._choose_endpoint = choose_endpoint
        self._timers = timers
        self._rng = rng
        self._settings = settings or CallSettings()
        self._take_retry = take_retry
        self._tasks: set[asyncio.Task[ServiceResult] | asyncio.Task[None]] = (
            set()
        )
        self.counters: collections.Counter[str] = collections.Counter()

    async def call(self, call: requests.ServiceCall) -> ServiceResult:
        """Makes a call.

        A call with a key continues when its caller disconnects, so that its
        answer is stored for the next request with the key.

        Args:
          call: the call to send.

        Returns:
          The whole answer, or a failure whose verdict says whether the call
          may have run.
        """
        self.counters["calls"] += 1
        if call.idempotent or call.idempotency_key is None:
            return await self._attempt(call)
        task = asyncio.ensure_future(
            self._call_once(call, call.idempotency_key)
        )
        self._track(task)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Waits until no call with a key is in flight."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        """Cancels the calls with a key that are in flight."""
        for task in self._tasks:
            task.cancel()

    def _track(
        self, task: "asyncio.Task[ServiceResult] | asyncio.Task[None]"
    ) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_once(
        self, call: requests.ServiceCall, key: str
    ) -> ServiceResult:
        outcome = await self._claims.claim(
            call.institution,
            key,
            call.digest,
            call.request_id,
            call.deadline_s,
        )
        if not isinstance(outcome, result.Success):
            return result.Failure(outcome.failure())
        claim = outcome.unwrap()
        if isinstance(claim, claim_ledger.StoredAnswer):
            self.counters["replayed"] += 1
            return result.Success(claim.answer)
        return await self._use_claim(call, claim)

    async def _use_claim(
        self, call: requests.ServiceCall, claim: claim_ledger.Claim
    ) -> ServiceResult:
        attempted = await self._attempt(call)
        if isinstance(attempted, result.Success):
            answer = attempted.unwrap()
            self._track(
                asyncio.ensure_future(self._claims.finish(claim, answer))
            )
            return attempted
        if attempted.failure().verdict is _Verdict.NOT_RUN:
            await self._release(claim)
        else:
            self._track(
                asyncio.ensure_future(self._claims.finish_unknown(claim))
            )
        return attempted

    async def _release(self, claim: claim_ledger.Claim) -> None:
        # Waits because the caller may send the key again at once, to another
        # instance.
        task = asyncio.ensure_future(self._claims.release(claim))
        self._track(task)
        await asyncio.wait([task], timeout=self._settings.release_wait_s)

    async def _attempt(self, call: requests.ServiceCall) -> ServiceResult:
        """Attempts a call until it succeeds or must not be retried."""
        backoff = relay_backoff.Backoff(self._rng, self._settings.backoff)
        failed: frozenset[str] = frozenset()
        verdict = _Verdict.NOT_RUN
        number = 0
        while True:
            number += 1
            address = self._choose_endpoint(call, failed)
            if address is None:
                return result.Failure(_make_no_endpoint(call, verdict))
            attempt_id = f"{call.request_id}/{number}"
            sent = await self._send(address, call, attempt_id)
            if isinstance(sent, result.Success):
                return sent
            failure = sent.failure()
            verdict = verdicts.combine(verdict, failure.verdict)
            failure = dataclasses.replace(failure, verdict=verdict)
            failed = failed | {address}
            if not await self._may_retry(call, failure, number, backoff):
                return result.Failure(failure)

    async def _send(
        self, address: str, call: requests.ServiceCall, attempt_id: str
    ) -> ServiceResult:
        # The process may have been paused since the key was claimed, so the
        # deadline is checked right before the call is sent.
        if self._timers.read_monotonic() >= call.deadline_s:
            return result.Failure(_make_deadline_exceeded())
        self.counters["attempts"] += 1
        try:
            answer = await self._client.send(address, call, attempt_id)
        except failures.FailureError as error:
            self.counters[f"attempt.{error.failure.verdict.value}"] += 1
            return result.Failure(error.failure)
        self.counters["attempt.RAN"] += 1
        return result.Success(answer)

    async def _may_retry(
        self,
        call: requests.ServiceCall,
        failure: failures.Failure,
        number: int,
        backoff: relay_backoff.Backoff,
    ) -> bool:
        """Returns whether to retry, after the wait before the retry."""
        if not relay_backoff.may_retry(failure.verdict, call.idempotent):
            return False
        if number >= self._settings.attempts:
            return False
        delay_s = backoff.draw_wait(
            number, self._timers.read_monotonic(), call.deadline_s
        )
        if delay_s is None:
            return False
        if not self._take_retry():
            self.counters["retry.refused"] += 1
            return False
        await self._timers.sleep(delay_s)
        return True


@contextlib.asynccontextmanager
async def open_caller(
    caller: ServiceCaller, drain_s: float = 5.0
) -> AsyncIterator[ServiceCaller]:
    """Drains and closes a caller when the context ends.

    Args:
      caller: the caller.
      drain_s: longest wait for calls in flight, in seconds.

    Yields:
      The caller.
    """
    try:
        yield caller
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(drain_s):
                await caller.drain()
    finally:
        caller.close()


def _make_deadline_exceeded() -> failures.Failure:
    return failures.Failure(
        code=_Code.DEADLINE_EXCEEDED,
        message="the deadline passed before the call was sent",
        verdict=_Verdict.NOT_RUN,
    )


def _make_no_endpoint(
    call: requests.ServiceCall, verdict: verdicts.Verdict
) -> failures.Failure:
    return failures.Failure(
        code=_Code.NO_ENDPOINT,
        message=f"no endpoint of {call.service} is left to try",
        verdict=verdict,
        retry_after_s=1.0,
    )
