"""Stand-in for a plain service whose calls are not idempotent.

It records every run of a call, so that tests can count them, and has faults
that tests can switch on.
"""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses
import hashlib
import json
import random

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import serviceclient
from rhubarblock.kernel import timers as timer_service

# Maximum time that an answer waits for another one to be swapped with.
CROSS_WAIT_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """One execution of a call.

    Attributes:
      at_s: monotonic time of the run.
      endpoint_id: endpoint that ran the call.
      attempt_id: attempt that the call belongs to.
      institution: owner of the credentials.
      key: idempotency key of the caller, or None.
      method: HTTP method.
      path: path and query.
      digest: hexadecimal SHA-256 digest of the body.
    """

    at_s: float
    endpoint_id: str
    attempt_id: str
    institution: str
    key: str | None
    method: str
    path: str
    digest: str


class RunLog:
    """Runs of all endpoints of one service, as its owner sees them.

    Attributes:
      runs: runs in order of time.
    """

    __slots__ = ("runs",)

    def __init__(self) -> None:
        self.runs: list[Run] = []

    def count_runs(self, institution: str, key: str) -> int:
        """Returns how often calls with an idempotency key ran."""
        return sum(
            run.institution == institution and run.key == key
            for run in self.runs
        )

    def find_double_runs(self) -> list[tuple[str, str]]:
        """Returns institution and key of calls that ran more than once."""
        counts = collections.Counter(
            (run.institution, run.key)
            for run in self.runs
            if run.key is not None
        )
        return sorted(
            (institution, key)
            for (institution, key), count in counts.items()
            if count > 1
        )


class CutError(Exception):
    """The connection breaks without an answer."""


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """Faults of one endpoint; all are off by default.

    Attributes:
      dead: no connection is accepted.
      draining: calls are refused with the verdict NOT_RUN.
      refuse_next: number of next calls refused with the verdict NOT_RUN.
      refuse_untold_next: number of next calls refused with status 503 and no
        verdict.
      cut_before_run_next: number of next calls whose connection breaks before
        they run.
      cut_after_run_next: number of next calls whose connection breaks after
        they ran.
      die_after_run_next: number of next calls after whose run the connection
        breaks and the endpoint is dead.
      cross_next: number of next answers to swap in pairs.
      slow_s: seconds added to each run.
      late_s: seconds between the run and its answer.
      crash_marker: a body that contains it kills the endpoint before the call
        runs; empty matches no body.
    """

    dead: bool = False
    draining: bool = False
    refuse_next: int = 0
    refuse_untold_next: int = 0
    cut_before_run_next: int = 0
    cut_after_run_next: int = 0
    die_after_run_next: int = 0
    cross_next: int = 0
    slow_s: float = 0.0
    late_s: float = 0.0
    crash_marker: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceReply:
    """Reply to a call over its connection.

    Attributes:
      attempt_id: attempt that the reply claims to belong to.
      verdict: RAN or NOT_RUN as stated by the service, or None if it does not
        state one.
      answer: status and body.
    """

    attempt_id: str
    verdict: verdicts.Verdict | None
    answer: requests.ServiceAnswer


class PlainService:
    """One endpoint of a plain service.

    Attributes:
      faults: faults of the endpoint.
      log: runs, shared by all endpoints of the service.
    """

    __slots__ = (
        "_endpoint_id",
        "_pending_swap",
        "_resumed",
        "_run_s",
        "_timers",
        "faults",
        "log",
    )

    def __init__(
        self,
        endpoint_id: str,
        timers: timer_service.Timers,
        log: RunLog | None = None,
        run_s: float = 0.005,
    ):
        """Creates an endpoint.

        Args:
          endpoint_id: unique name.
          timers: timer service.
          log: log shared with other endpoints, or None for a separate one.
          run_s: seconds that a run takes.
        """
        self.faults = ServiceFaults()
        self.log = log if log is not None else RunLog()
        self._endpoint_id = endpoint_id
        self._timers = timers
        self._run_s = run_s
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._pending_swap: (
            tuple[ServiceReply, asyncio.Future[ServiceReply]] | None
        ) = None

    def pause(self) -> None:
        """Stops all work until ``resume``; connections stay open."""
        self._resumed.clear()

    def resume(self) -> None:
        """Continues all work."""
        self._resumed.set()

    async def handle(
        self, call: requests.ServiceCall, attempt_id: str
    ) -> ServiceReply:
        """Runs a call, subject to the faults that are on.

        Args:
          call: the call.
          attempt_id: attempt that it belongs to.

        Returns:
          The reply; with a fault it may belong to another attempt.

        Raises:
          CutError: the connection breaks; ``log`` shows whether the call ran.
        """
        await self._resumed.wait()
        refused = self._take_refusal(attempt_id)
        if refused is not None:
            return refused
        self._cut_before_run(call)
        await self._timers.sleep(self._run_s + self.faults.slow_s)
        await self._resumed.wait()
        reply = self._run(call, attempt_id)
        self._cut_after_run()
        await self._timers.sleep(self.faults.late_s)
        await self._resumed.wait()
        return await self._swap_reply(reply)

    def _take_refusal(self, attempt_id: str) -> ServiceReply | None:
        if self.faults.draining or self.faults.refuse_next > 0:
            self.faults.refuse_next = max(0, self.faults.refuse_next - 1)
            answer = requests.ServiceAnswer(503, b'{"verdict": "NOT_RUN"}')
            return ServiceReply(attempt_id, verdicts.Verdict.NOT_RUN, answer)
        if self.faults.refuse_untold_next > 0:
            self.faults.refuse_untold_next -= 1
            answer = requests.ServiceAnswer(503, b'{"error": "overloaded"}')
            return ServiceReply(attempt_id, None, answer)
        return None

    def _cut_before_run(self, call: requests.ServiceCall) -> None:
        marker = self.faults.crash_marker
        if marker and marker in call.body:
            self.faults.dead = True
            raise CutError
        if self.faults.cut_before_run_next > 0:
            self.faults.cut_before_run_next -= 1
            raise CutError

    def _run(self, call: requests.ServiceCall, attempt_id: str) -> ServiceReply:
        if self.faults.dead:
            raise CutError
        digest = hashlib.sha256(call.body).hexdigest()
        run = Run(
            at_s=self._timers.read_monotonic(),
            endpoint_id=self._endpoint_id,
            attempt_id=attempt_id,
            institution=call.institution,
            key=call.idempotency_key,
            method=call.method,
            path=call.path,
            digest=digest,
        )
        self.log.runs.append(run)
        body = {"run": len(self.log.runs), "digest": digest}
        answer = requests.ServiceAnswer(200, json.dumps(body).encode())
        return ServiceReply(attempt_id, verdicts.Verdict.RAN, answer)

    def _cut_after_run(self) -> None:
        if self.faults.die_after_run_next > 0:
            self.faults.die_after_run_next -= 1
            self.faults.dead = True
            raise CutError
        if self.faults.cut_after_run_next > 0:
            self.faults.cut_after_run_next -= 1
            raise CutError

    async def _swap_reply(self, reply: ServiceReply) -> ServiceReply:
        if self.faults.cross_next <= 0:
            return reply
        self.faults.cross_next -= 1
        if self._pending_swap is not None:
            other_reply, waiting = self._pending_swap
            self._pending_swap = None
            waiting.set_result(reply)
            return other_reply
        swapped: asyncio.Future[ServiceReply] = asyncio.Future()
        self._pending_swap = (reply, swapped)
        try:
            async with asyncio.timeout(CROSS_WAIT_S):
                return await swapped
        except TimeoutError:
            self._pending_swap = None
            return reply


class MemoryServiceClient(serviceclient.ServiceClient):
    """Client that calls endpoints without sockets.

    Attributes:
      counters: number of ``calls`` and of ``crossed`` answers.
    """

    __slots__ = ("_latency_s", "_rng", "_services", "_timers", "counters")

    def __init__(
        self,
        services: Mapping[str, PlainService],
        timers: timer_service.Timers,
        rng: random.Random,
        latency_s: float = 0.001,
    ):
        """Creates a client.

        Args:
          services: endpoints by address; any other address refuses the
            connection.
          timers: timer service.
          rng: draws latencies.
          latency_s: mean round-trip latency in seconds.
        """
        self._services = services
        self._timers = timers
        self._rng = rng
        self._latency_s = latency_s
        self.counters: collections.Counter[str] = collections.Counter()

    async def send(
        self, address: str, call: requests.ServiceCall, attempt_id: str
    ) -> requests.ServiceAnswer:
        self.counters["calls"] += 1
        remaining_s = call.deadline_s - self._timers.read_monotonic()
        if remaining_s <= 0:
            raise _make_error(
                failures.FailureCode.DEADLINE_EXCEEDED,
                "the deadline passed before the call was sent",
                verdicts.Verdict.NOT_RUN,
            )
        service = self._services.get(address)
        if service is None or service.faults.dead:
            raise _make_error(
                failures.FailureCode.ENDPOINT_FAILED,
                "connection refused",
                verdicts.Verdict.NOT_RUN,
            )
        return await self._exchange(service, call, attempt_id, remaining_s)

    async def _exchange(
        self,
        service: PlainService,
        call: requests.ServiceCall,
        attempt_id: str,
        remaining_s: float,
    ) -> requests.ServiceAnswer:
        # A paused or late endpoint continues with the call after the client has
        # timed out, as a separate process would.
        handling = asyncio.ensure_future(service.handle(call, attempt_id))
        handling.add_done_callback(_retrieve_exception)
        try:
            async with asyncio.timeout(remaining_s):
                await self._wait_one_way()
                reply = await asyncio.shield(handling)
                await self._wait_one_way()
        except TimeoutError as error:
            raise _make_error(
                failures.FailureCode.DEADLINE_EXCEEDED,
                "no answer before the deadline",
                verdicts.Verdict.MAY_HAVE_RUN,
            ) from error
        except CutError as error:
            raise _make_error(
                failures.FailureCode.ENDPOINT_FAILED,
                "the connection broke before the answer",
                verdicts.Verdict.MAY_HAVE_RUN,
            ) from error
        return self._check_reply(reply, attempt_id)

    def _check_reply(
        self, reply: ServiceReply, attempt_id: str
    ) -> requests.ServiceAnswer:
        if reply.attempt_id != attempt_id:
            self.counters["crossed"] += 1
            raise _make_error(
                failures.FailureCode.ENDPOINT_FAILED,
                "the answer belongs to another attempt",
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        if reply.verdict is verdicts.Verdict.NOT_RUN:
            raise _make_error(
                failures.FailureCode.ENDPOINT_FAILED,
                "the endpoint refused the call",
                verdicts.Verdict.NOT_RUN,
            )
        return reply.answer

    async def _wait_one_way(self) -> None:
        spread = 0.5 + self._rng.random()
        await self._timers.sleep(self._latency_s * spread / 2)


def _make_error(
    code: failures.FailureCode, message: str, verdict: verdicts.Verdict
) -> failures.FailureError:
    return failures.FailureError(failures.Failure(code, message, verdict))


def _retrieve_exception(handling: "asyncio.Future[ServiceReply]") -> None:
    if not handling.cancelled():
        handling.exception()
