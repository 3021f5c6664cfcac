"""Serves one exchange: places it, sends it and retries it.

The relay places the exchange and makes an attempt. If the attempt fails, it
either retries at another endpoint or raises the final error at once. The route
and the verdicts of the earlier attempts decide whether a retry is allowed.
"""

import asyncio
from collections.abc import Callable

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import admission
from rhubarblock.exchange import attempts
from rhubarblock.exchange import candidates
from rhubarblock.exchange import crashes
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import leases
from rhubarblock.exchange import outcomes
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import permitqueue
from rhubarblock.exchange import placements
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange import sink as sinks
from rhubarblock.exchange import stalls
from rhubarblock.exchange import statements
from rhubarblock.exchange import transport as transports
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.retrylending import reserve as reserves

# Retry-After of a refused caller in seconds; a rate limit or a cool-down may
# lead to a longer one.
RETRY_AFTER_S = 0.5
# Number of times that a retry checks for an endpoint with capacity, and the
# seconds between two checks. Short streams free their slots within this time.
ROOM_TRIES = 30
ROOM_POLL_S = 0.05
# Endpoints that may refuse a connection before a further try counts as a retry.
# Nothing arrived there, so they are no load, but each try takes time.
MAX_FREE_CONNECTS = 3
# Seconds between two checks of a new exchange that waits for an endpoint
# without a cool-down and with a permit.
AVAILABILITY_POLL_S = 0.02
# Longest time in seconds until the best start of a waiting exchange is
# predicted again: in a burst, prompts arrive and end meanwhile.
START_RECHECK_S = 0.1
# Seconds before the end of a drain at which what is unanswered fails, so that
# the error reaches its caller.
ANSWER_RESERVE_S = 0.1


class ExchangeRelay:
    """Serves exchanges at one instance."""

    __slots__ = (
        "_admission",
        "_crashes",
        "_outcomes",
        "_paths",
        "_placer",
        "_quarantine",
        "_queue",
        "_runner",
        "_timers",
        "_under_way",
    )

    def __init__(
        self,
        placer: placers.Placer,
        runner: attempts.AttemptRunner,
        outcomes_: outcomes.OutcomeRecorder,
        crash_detector: crashes.CrashDetector,
        quarantine: quarantines.ExchangeQuarantine,
        admission_: admission.ExchangeAdmission,
        timers: timer_service.Timers,
        paths: endpoint_paths.EndpointPaths,
    ):
        """Creates a relay.

        Args:
          placer: chooses endpoints.
          runner: runs attempts.
          outcomes_: records how attempts end and grants retries.
          crash_detector: notices which endpoints crash.
          quarantine: refuses exchanges that crash endpoints.
          admission_: lets new exchanges in, or refuses them.
          timers: the clock.
          paths: the network paths to endpoints.
        """
        self._paths = paths
        self._admission = admission_
        self._placer = placer
        self._runner = runner
        self._outcomes = outcomes_
        self._crashes = crash_detector
        self._quarantine = quarantine
        self._timers = timers
        self._queue = permitqueue.PermitQueue()
        self._under_way: dict[flows.Flow, asyncio.Timeout] = {}

    async def serve(
        self, exchange: exchanges.Exchange, sink: sinks.Sink
    ) -> None:
        """Serves one exchange.

        Raises:
          failures.FailureError: the exchange failed; the sink may hold the
            start of an answer.
        """
        flow = flows.Flow(exchange, sink)
        flow.is_trial = self._quarantine.check(exchange)
        self._outcomes.note_arrival(exchange)
        try:
            async with asyncio.timeout_at(exchange.deadline_s) as timeout:
                self._under_way[flow] = timeout
                await self._retry_until_complete(flow)
        except TimeoutError:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.DEADLINE_EXCEEDED,
                    "the time for the request is over",
                    flow.history.compute_verdict(),
                )
            ) from None
        finally:
            self._under_way.pop(flow, None)

    def note_drain_end(self, ends_s: float) -> None:
        """Fails what has no answer shortly before a drain cuts it.

        Args:
          ends_s: end of the drain in monotonic seconds.
        """
        wait_s = ends_s - ANSWER_RESERVE_S - self._timers.read_monotonic()
        self._timers.call_later(max(0.0, wait_s), self._end_unanswered)

    def _end_unanswered(self) -> None:
        now_s = self._timers.read_monotonic()
        for flow, timeout in self._under_way.items():
            if not flow.sink.begun and not timeout.expired():
                timeout.reschedule(now_s)

    async def _retry_until_complete(self, flow: flows.Flow) -> None:
        failed: attempts.FailedAnswerError | None = None
        while True:
            error = await self._try_once(flow)
            if error is None:
                return
            if isinstance(error, attempts.FailedAnswerError):
                failed = error
            flow.cursor.discard_partial_event()
            if await self._may_retry(flow, error):
                continue
            if failed is None or flow.sink.begun:
                if self._quarantine.is_quarantined(flow.exchange):
                    raise _make_quarantine_error(flow)
                raise _make_final_error(flow, error.failure.message)
            await attempts.send_buffered(flow.sink, failed.answer, failed.body)
            return

    async def _try_once(self, flow: flows.Flow) -> failures.FailureError | None:
        """Makes one attempt and returns its error, or None."""
        avoid = flow.history.failed_endpoints
        self._check_paths(flow)
        await self._wait_for_room(flow)
        await self._wait_for_availability(flow)
        await self._wait_for_start(flow)
        gate = self._open_gate(flow)
        while True:
            if gate is not None and not gate.begin_try():
                gate.check(None)
            else:
                with self._placer.hold(
                    flow.exchange,
                    avoid,
                    flow.sink.begun,
                    flow.refusals,
                    gate.check if gate else placers.admit_all,
                    frozenset(flow.refused_by),
                ) as placement:
                    if placement is not None:
                        flow.is_admitted = True
                        return await self._attempt(flow, placement)
            if gate is None or not gate.is_waiting:
                raise self._make_refusal(flow, gate)
            await gate.wait()

    def _check_paths(self, flow: flows.Flow) -> None:
        """Refuses an exchange if no endpoint of its service is reached.

        Raises:
          failures.FailureError: it was refused.
        """
        if flow.history.attempts:
            return
        paths = self._paths.find_service(flow.exchange.service.name)
        if not paths.begin_try():
            raise _make_final_error(
                flow, "no endpoint of its service is reached"
            )

    def _open_gate(self, flow: flows.Flow) -> admission.Gate | None:
        """Returns the gate of a new exchange; None if it was let in before."""
        if flow.is_admitted:
            return None
        return self._admission.open_gate(flow.exchange)

    async def _attempt(
        self, flow: flows.Flow, placement: placements.Placement
    ) -> failures.FailureError | None:
        """Makes an attempt at a placement and returns its error, or None."""
        if not flow.is_trial and self._quarantine.is_quarantined(flow.exchange):
            # It was quarantined while it waited.
            raise _make_quarantine_error(flow)
        self._outcomes.note_placed(flow, placement)

        def may_abandon(reason: stalls.Reason) -> bool:
            return self._may_abandon(flow, placement, reason)

        try:
            await self._run_tracked(flow, placement, may_abandon)
        except (
            leases.LeaseError,
            attempts.ClosedError,
            statements.EvacuatedError,
        ) as error:
            self._outcomes.note_refused(
                flow, placement, error.failure, error.endpoint_id
            )
            return error
        except attempts.RefusedError as error:
            self._note_refused(flow, placement, error)
            return error
        except transports.AttemptError as error:
            self._outcomes.note_failed(flow, placement, error)
            return error
        self._outcomes.note_served(flow, placement)
        self._quarantine.note_served(flow.exchange)
        return None

    def _note_refused(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        error: attempts.RefusedError,
    ) -> None:
        """Avoids the engine at fault, and the one that it was sent to.

        If a helper is at fault, the engine that was asked is used again only
        if no other one can serve the exchange, as it may refuse again.
        """
        blamed = placement.find_helper(error.at_fault) or placement.endpoint
        flow.refused_by.add(placement.endpoint.endpoint_id)
        self._outcomes.note_refused(
            flow, placement, error.failure, blamed.endpoint_id, error.cooldown_s
        )
        self._placer.note_refused(blamed)
        if error.misdirected:
            self._placer.forget(blamed)
        elif (
            blamed is not placement.endpoint
            and not self._placer.is_busy_helping(flow.exchange, blamed)
        ):
            self._outcomes.suspect(blamed)

    def _may_abandon(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        reason: stalls.Reason,
    ) -> bool:
        """Takes a retry from the budget if another attempt would help."""
        if reason is stalls.Reason.QUARANTINED:
            return True
        if flow.is_last_attempt:
            return False
        is_busy = reason is stalls.Reason.BUSY
        if not self._placer.can_move(flow, placement, is_busy):
            return False
        outlook = self._placer.predict_outlook(flow)
        return self._outcomes.try_grant(flow, outlook)

    async def _wait_for_room(self, flow: flows.Flow) -> None:
        """Waits for an endpoint with capacity before a retry.

        A new exchange is refused at once, with a Retry-After for its caller.
        One that has been attempted waits for a while, as it would otherwise
        fail.
        """
        if not flow.history.attempts:
            return
        for _ in range(ROOM_TRIES):
            if self._placer.has_room(flow):
                return
            await asyncio.sleep(ROOM_POLL_S)

    async def _wait_for_availability(self, flow: flows.Flow) -> None:
        """Waits briefly while cool-downs or rate limits block a new exchange.

        It is refused at once if no permit is due and no cool-down ends soon.
        """
        if (
            flow.history.attempts
            or self._placer.predict_availability(flow) is None
        ):
            return
        service = flow.exchange.service.name
        workspace = flow.exchange.workspace
        with self._queue.wait(service, workspace):
            if await self._wait_for_turn(flow):
                self._queue.note_passed(service, workspace)

    async def _wait_for_turn(self, flow: flows.Flow) -> bool:
        """Waits until an endpoint is available and this workspace is next.

        Returns:
          Whether an endpoint is available.
        """
        service = flow.exchange.service.name
        workspace = flow.exchange.workspace
        while True:
            has_room = self._placer.has_room(flow)
            if has_room and self._queue.is_next(service, workspace):
                return True
            wait_s = self._placer.predict_availability(flow)
            now_s = self._timers.read_monotonic()
            left_s = endpointlimits.find_max_wait(flow.exchange, now_s)
            if wait_s is None or wait_s > left_s or not left_s:
                return has_room
            await asyncio.sleep(AVAILABILITY_POLL_S)

    def _make_refusal(
        self, flow: flows.Flow, gate: admission.Gate | None
    ) -> failures.FailureError:
        """Returns the error of an exchange that no endpoint can take."""
        shortage = self._placer.find_home_shortage(flow.exchange)
        if shortage is not None:
            self._outcomes.note_home_shortage(flow, shortage)
            return _make_home_error(flow, shortage)
        advice = self._placer.find_retry_after(flow)
        if advice is None:
            if gate is not None and gate.decision.retry_after_s:
                decision = gate.decision
                return _make_final_error(
                    flow, decision.reason, round(decision.retry_after_s, 2)
                )
            return _make_final_error(flow, "no endpoint has room")
        after_s = max(RETRY_AFTER_S, round(advice.after_s, 2))
        return _make_final_error(flow, advice.reason, after_s)

    async def _wait_for_start(self, flow: flows.Flow) -> None:
        """Delays a new exchange until its start costs all callers least."""
        if flow.history.attempts:
            return
        start_s = self._placer.find_start_delay(flow)
        if start_s > 0.0:
            self._outcomes.note_waiting(flow, start_s)
        while start_s > 0.0:
            await asyncio.sleep(min(start_s, START_RECHECK_S))
            start_s = self._placer.find_start_delay(flow)

    async def _run_tracked(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        may_abandon: Callable[[stalls.Reason], bool],
    ) -> None:
        """Runs an attempt; looks for a crash if it breaks or gets no answer."""
        endpoint = placement.endpoint
        with self._crashes.note_running(
            flow.exchange, endpoint, flow.is_trial
        ) as running:
            flow.running = running
            try:
                await self._runner.run(flow, placement, may_abandon)
            except (attempts.FailedAnswerError, attempts.RefusedError):
                self._crashes.note_answered(endpoint)
                raise
            except attempts.AbandonedError as error:
                if error.reason is stalls.Reason.SILENT:
                    self._note_silent(flow, endpoint, running)
                raise
            except transports.AttemptError as error:
                if error.failure.verdict is not verdicts.Verdict.NOT_RUN:
                    await self._crashes.find_crash(endpoint, running)
                raise
            except asyncio.CancelledError:
                if self._timers.read_monotonic() >= flow.exchange.deadline_s:
                    self._note_silent(flow, endpoint, running)
                raise
            self._crashes.note_answered(endpoint)

    def _note_silent(
        self,
        flow: flows.Flow,
        endpoint: lists.ListedEndpoint,
        running: crashes.Running,
    ) -> None:
        """Looks for a crash under a request that was sent and not answered."""
        if flow.sends.latest is not None:
            self._crashes.note_silent(endpoint, running)

    async def _may_retry(
        self, flow: flows.Flow, error: failures.FailureError
    ) -> bool:
        """Returns whether another attempt is made."""
        if not flow.may_retry():
            return False
        outlook = self._placer.predict_outlook(flow)
        if flow.refusals >= flows.MAX_REFUSALS and (
            outlook is reserves.Outlook.NOTHING
            or not self._placer.has_room(flow)
        ):
            return False
        # A peer may have reported meanwhile that this exchange crashes
        # endpoints.
        if self._quarantine.is_quarantined(flow.exchange):
            return False
        if isinstance(error, attempts.AbandonedError):
            # The attempt was abandoned only after the next one had been
            # granted.
            return True
        if isinstance(error, statements.EvacuatedError):
            # No endpoint got the request, so this is no repeated one.
            return True
        if _is_unsent(error) and (
            len(flow.history.failed_endpoints) <= MAX_FREE_CONNECTS
        ):
            return True
        return await self._outcomes.grant(flow, outlook)


def _make_home_error(
    flow: flows.Flow, shortage: candidates.HomeShortage
) -> failures.FailureError:
    """Returns the error of an exchange without an endpoint in its regions."""
    if shortage.is_final:
        # Without Retry-After: only another configuration helps the caller. Not
        # a 403, as the configuration allows the request.
        return failures.FailureError(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                "no data centre is in the home regions",
            )
        )
    return _make_final_error(flow, "no endpoint is in the home regions")


def _make_quarantine_error(flow: flows.Flow) -> failures.FailureError:
    """Returns the error of an exchange that is not sent any more."""
    return failures.FailureError(
        failures.Failure(
            failures.FailureCode.NO_ENDPOINT
            if flow.history.verdict is verdicts.Verdict.NOT_RUN
            else failures.FailureCode.ENDPOINT_FAILED,
            "requests like this one crashed endpoints",
            flow.history.verdict,
        )
    )


def _is_unsent(error: failures.FailureError) -> bool:
    """Returns whether a connection failed before anything was sent on it."""
    return (
        isinstance(error, transports.AttemptError)
        and error.failure.verdict is verdicts.Verdict.NOT_RUN
    )


def _make_final_error(
    flow: flows.Flow, message: str, retry_after_s: float = RETRY_AFTER_S
) -> failures.FailureError:
    """Returns the final error of an exchange.

    Args:
      flow: the exchange.
      message: reason for the caller.
      retry_after_s: Retry-After in seconds, used if it did not run.
    """
    verdict = flow.history.verdict
    if verdict is verdicts.Verdict.NOT_RUN:
        return failures.FailureError(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                message,
                retry_after_s=retry_after_s,
            )
        )
    return failures.FailureError(
        failures.Failure(failures.FailureCode.ENDPOINT_FAILED, message, verdict)
    )
