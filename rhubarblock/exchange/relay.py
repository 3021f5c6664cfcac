"""An exchange's way through an instance, from its place to its last byte.

It is written straight down: place, try, and after a failure either once more
elsewhere or a final answer, at once. Whether it may be sent once more follows
from its route and from what is known of the attempts so far.
"""

import asyncio
from collections.abc import Callable

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import attempts
from rhubarblock.exchange import crashes
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import leases
from rhubarblock.exchange import outcomes
from rhubarblock.exchange import permitqueue
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import places
from rhubarblock.exchange import silence
from rhubarblock.exchange import sink as sinks
from rhubarblock.exchange import transport as transports
from rhubarblock.kernel import timers as timer_service

# Seconds after which a caller that was refused may come back.
RETRY_AFTER_S = 0.5
# How often room is looked for by what is under way, and the seconds between: a
# slot is free again within a short stream's length.
ROOM_TRIES = 30
ROOM_S = 0.05
# Seconds between two looks of a new exchange that waits until an endpoint wants
# it.
OPENING_LOOK_S = 0.02
# Longest seconds until it is asked again when a waiting exchange had better
# begin: some prompts come or end meanwhile in a burst.
START_S = 0.1


class ExchangeRelay:
    """Serves exchanges at one instance."""

    __slots__ = (
        "_crashes",
        "_outcomes",
        "_placer",
        "_queue",
        "_runner",
        "_timers",
    )

    def __init__(
        self,
        placer: placers.Placer,
        runner: attempts.AttemptRunner,
        outcomes_: outcomes.OutcomeRecorder,
        crash_detector: crashes.CrashDetector,
        timers: timer_service.Timers,
    ):
        """Creates a relay.

        Args:
          placer: chooses endpoints.
          runner: runs attempts.
          outcomes_: learns from how they end, and grants further ones.
          crash_detector: refuses what crashes endpoints.
          timers: the clock.
        """
        self._placer = placer
        self._runner = runner
        self._outcomes = outcomes_
        self._crashes = crash_detector
        self._timers = timers
        self._queue = permitqueue.PermitQueue()

    async def serve(
        self, exchange: exchanges.Exchange, sink: sinks.Sink
    ) -> None:
        """Serves one exchange.

        Raises:
          failures.FailureError: it failed; the sink may hold the begin of an
            answer.
        """
        self._crashes.check(exchange)
        flow = flows.Flow(exchange, sink)
        try:
            async with asyncio.timeout_at(exchange.deadline_s):
                await self._try_until_whole(flow)
        except TimeoutError:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.DEADLINE_EXCEEDED,
                    "the time for the request is over",
                    flow.history.compute_verdict(),
                )
            ) from None

    async def _try_until_whole(self, flow: flows.Flow) -> None:
        failed: attempts.FailedAnswerError | None = None
        while True:
            error = await self._try_once(flow)
            if error is None:
                return
            if isinstance(error, attempts.FailedAnswerError):
                failed = error
            flow.cursor.start_again()
            if self._may_go_on(flow, error):
                continue
            if failed is None or flow.sink.begun:
                raise _give_up(flow, error.failure.message)
            await attempts.pass_held(flow.sink, failed.answer, failed.body)
            return

    async def _try_once(self, flow: flows.Flow) -> failures.FailureError | None:
        """Makes one attempt and returns why it failed, if it did."""
        avoid = flow.history.failed_endpoints
        await self._wait_for_room(flow)
        await self._wait_for_opening(flow)
        await self._wait_for_start(flow)
        with self._placer.hold(
            flow.exchange, avoid, flow.sink.begun, flow.refusals
        ) as place:
            if place is None:
                raise self._refuse(flow)
            self._outcomes.note_placed(flow, place)

            def may_leave(reason: silence.Reason) -> bool:
                return self._may_leave(flow, place, reason)

            try:
                await self._run_noted(flow, place, may_leave)
            except (leases.LeaseError, attempts.ClosedError) as error:
                self._outcomes.note_refused(
                    flow, place, error.failure, error.endpoint_id
                )
                return error
            except attempts.RefusedError as error:
                self._note_refused(flow, place, error)
                return error
            except transports.AttemptError as error:
                self._outcomes.note_failed(flow, place, error)
                return error
            self._outcomes.note_served(flow, place)
            self._crashes.note_served(flow.exchange)
            return None

    def _note_refused(
        self,
        flow: flows.Flow,
        place: places.Place,
        error: attempts.RefusedError,
    ) -> None:
        """Avoids the engine that refused, be it the one asked or a helper."""
        blamed = place.find_helper(error.at_fault) or place.endpoint
        self._outcomes.note_refused(
            flow, place, error.failure, blamed.endpoint_id, error.rest_s
        )
        self._placer.note_refused(blamed)
        if error.misdirected:
            self._placer.forget(blamed)
        elif blamed is not place.endpoint and not self._placer.has_many_helps(
            flow.exchange, blamed
        ):
            self._outcomes.suspect(blamed)

    def _may_leave(
        self,
        flow: flows.Flow,
        place: places.Place,
        reason: silence.Reason,
    ) -> bool:
        """Takes what another attempt costs, if one is left and gains."""
        if flow.is_last_attempt:
            return False
        is_busy = reason is silence.Reason.BUSY
        if not self._placer.can_move(flow, place, is_busy):
            return False
        return self._outcomes.grant(flow.exchange)

    async def _wait_for_room(self, flow: flows.Flow) -> None:
        """Waits a while for room for what is under way already.

        A new exchange is refused at once and its caller told when to come
        back; one that was begun would be lost.
        """
        if not flow.history.attempts:
            return
        for _ in range(ROOM_TRIES):
            if self._placer.has_room(flow):
                return
            await asyncio.sleep(ROOM_S)

    async def _wait_for_opening(self, flow: flows.Flow) -> None:
        """Lets a new exchange wait a little where endpoints' wishes stop it.

        It is refused at once if no rate limit has room and no rest ends soon.
        """
        if flow.history.attempts or self._placer.predict_opening(flow) is None:
            return
        service = flow.exchange.service.name
        workspace = flow.exchange.workspace
        with self._queue.wait(service, workspace):
            if await self._wait_for_turn(flow):
                self._queue.note_passed(service, workspace)

    async def _wait_for_turn(self, flow: flows.Flow) -> bool:
        """Waits until an endpoint is open and no other workspace is next.

        Returns:
          Whether there is one.
        """
        service = flow.exchange.service.name
        workspace = flow.exchange.workspace
        while True:
            has_room = self._placer.has_room(flow)
            if has_room and self._queue.is_next(service, workspace):
                return True
            wait_s = self._placer.predict_opening(flow)
            now_s = self._timers.read_monotonic()
            left_s = endpointlimits.find_patience(flow.exchange, now_s)
            if wait_s is None or wait_s > left_s or not left_s:
                return has_room
            await asyncio.sleep(OPENING_LOOK_S)

    def _refuse(self, flow: flows.Flow) -> failures.FailureError:
        """Returns the failure of an exchange that has no place to go."""
        opening = self._placer.find_return(flow)
        if opening is None:
            return _give_up(flow, "no endpoint has room")
        after_s = max(RETRY_AFTER_S, round(opening.after_s, 2))
        return _give_up(flow, opening.reason, after_s)

    async def _wait_for_start(self, flow: flows.Flow) -> None:
        """Lets a new exchange begin when that costs all callers least."""
        if flow.history.attempts:
            return
        start_s = self._placer.find_start_delay(flow)
        if start_s > 0.0:
            self._outcomes.note_waiting(flow, start_s)
        while start_s > 0.0:
            await asyncio.sleep(min(start_s, START_S))
            start_s = self._placer.find_start_delay(flow)

    async def _run_noted(
        self,
        flow: flows.Flow,
        place: places.Place,
        may_leave: Callable[[silence.Reason], bool],
    ) -> None:
        """Runs an attempt, and looks for a crash when its connection breaks."""
        with self._crashes.note_running(flow.exchange, place.endpoint):
            try:
                await self._runner.run(flow, place, may_leave)
            except (attempts.LeftError, attempts.FailedAnswerError):
                raise
            except transports.AttemptError as error:
                if error.failure.verdict is not verdicts.Verdict.NOT_RUN:
                    self._crashes.note_broken(place.endpoint)
                raise

    def _may_go_on(
        self, flow: flows.Flow, error: failures.FailureError
    ) -> bool:
        """Decides whether another attempt is made."""
        if not flow.may_try_again():
            return False
        # Others may have found meanwhile what this one does to endpoints.
        if self._crashes.is_quarantined(flow.exchange):
            return False
        if isinstance(error, attempts.LeftError):
            # It was given up only because the next one was granted.
            return True
        return self._outcomes.grant(flow.exchange)


def _give_up(
    flow: flows.Flow, message: str, retry_after_s: float = RETRY_AFTER_S
) -> failures.FailureError:
    """Returns the final failure of an exchange.

    Args:
      flow: the exchange.
      message: why.
      retry_after_s: seconds after which its caller may come back.
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
