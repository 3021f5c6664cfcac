"""Runs one attempt of an exchange and forwards its answer."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import leases
from rhubarblock.exchange import placements
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import sink as sinks
from rhubarblock.exchange import stalls
from rhubarblock.exchange import statements
from rhubarblock.exchange import transport as transports
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths

# Limit of the time to first byte: this multiple of the predicted time plus this
# multiple of the route's objective. Then another endpoint is tried.
FIRST_BYTE_RATIO = 3.0
FIRST_BYTE_OBJECTIVES = 1.5
# Limit of a pause within a stream: this multiple of the route's objective for
# pauses, and at least these seconds. Then another endpoint resumes the stream.
PAUSE_RATIO = 4.0
MIN_PAUSE_S = 0.8
# A write to the caller that takes longer, in seconds, delays the reading of the
# next event, so that the next pause says nothing about the engine.
SLOW_WRITE_S = 0.005
# Longest answer body, or event of a stream, in bytes that is buffered until it
# is complete.
MAX_BUFFERED_BYTES = 1 << 18
# Statuses from which a caller concludes that the request has not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_Reason = stalls.Reason

_ABANDONED = {
    _Reason.SILENT: "the endpoint kept silent",
    _Reason.BUSY: "the engine reads for others for too long",
    _Reason.LOST: "the path to the endpoint was lost",
    _Reason.QUARANTINED: "requests like this one crash endpoints",
}


class RefusedError(failures.FailureError):
    """The endpoint states that it did not run the exchange.

    Attributes:
      at_fault: address of the endpoint that caused the refusal, or empty.
      misdirected: whether another endpoint has its address now.
      cooldown_s: cool-down in seconds; None if the endpoint stated none.
    """

    def __init__(self, status: int, fields: dialects.AnswerFields):
        super().__init__(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                f"the endpoint refused it with {status}",
            )
        )
        self.at_fault = fields.at_fault
        self.misdirected = fields.misdirected
        self.cooldown_s = fields.statement.cooldown.length_s


class ClosedError(failures.FailureError):
    """The endpoint became unavailable before the request was sent."""

    def __init__(self, endpoint_id: str):
        super().__init__(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                "the endpoint wanted no more requests before it was sent",
            )
        )
        self.endpoint_id = endpoint_id


class AbandonedError(transports.AttemptError):
    """The attempt was abandoned for a retry that has been granted.

    Attributes:
      reason: why it was abandoned.
    """

    def __init__(self, reason: stalls.Reason):
        message = _ABANDONED[reason]
        super().__init__(
            failures.Failure(
                failures.FailureCode.ENDPOINT_FAILED,
                message,
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        )
        self.reason = reason


class FailedAnswerError(transports.AttemptError):
    """A complete answer with a server error.

    Attributes:
      answer: status and headers of the answer.
      body: body of the answer.
    """

    def __init__(self, answer: transports.Answer, body: bytes):
        super().__init__(
            failures.Failure(
                failures.FailureCode.ENDPOINT_FAILED,
                f"the endpoint answered {answer.status}",
                verdicts.Verdict.RAN,
            )
        )
        self.answer = answer
        self.body = body


class AttemptRunner:
    """Runs the attempts of one instance."""

    __slots__ = (
        "_health",
        "_leases",
        "_placer",
        "_statements",
        "_timers",
        "_transport",
    )

    def __init__(
        self,
        placer: placers.Placer,
        transport: transports.EndpointTransport,
        health: healths.Health,
        lease_holder: leases.LeaseHolder,
        statement_handler: statements.StatementHandler,
        timers: timer_service.Timers,
    ):
        """Creates a runner.

        Args:
          placer: predicts when engines finish their prefills.
          transport: sends to endpoints.
          health: records which endpoints answered.
          lease_holder: holds memory leases at engines.
          statement_handler: handles what endpoints state about themselves.
          timers: the clock.
        """
        self._placer = placer
        self._transport = transport
        self._health = health
        self._leases = lease_holder
        self._statements = statement_handler
        self._timers = timers

    async def run(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        may_abandon: Callable[[stalls.Reason], bool],
    ) -> None:
        """Runs an attempt until the caller has the complete answer.

        Args:
          flow: the exchange.
          placement: where it is sent.
          may_abandon: takes a retry from the budget; returns False if the
            attempt must continue.

        Raises:
          RefusedError: the endpoint did not run the exchange.
          ClosedError: the endpoint became unavailable; nothing was sent.
          statements.EvacuatedError: the data centre of an engine was evacuated;
            the request was not sent.
          leases.LeaseError: an engine did not grant a memory lease.
          transports.AttemptError: the attempt failed.
        """
        detector: stalls.StallDetector | None = None
        flow.sends.latest = None
        try:
            async with asyncio.timeout(None) as timeout:
                with (
                    stalls.detect_stalls(
                        timeout,
                        lambda: self._placer.predict_prefill_end(
                            placement, flow.sink.begun
                        ),
                        may_abandon,
                        self._timers,
                    ) as detector,
                    _let_quarantine_abandon(flow, detector),
                ):
                    async with self._leases.hold(placement.held_leases):
                        await self._send_watched(flow, placement, detector)
        except TimeoutError:
            reason = detector.reason if detector else None
            raise AbandonedError(reason or _Reason.SILENT) from None

    async def _send_watched(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        detector: stalls.StallDetector,
    ) -> None:
        exchange = flow.exchange
        self._check(placement)
        options = dialects.SendOptions(
            placement.endpoint.endpoint_id,
            exchange.deadline_s - self._timers.read_monotonic(),
            placement.urgency,
            flow.cursor.last_event,
            placement.helpers,
        )
        flow.history.sent = True
        sent_s = self._timers.read_monotonic()
        if placement.samples is not None:
            placement.samples.start(sent_s)
        if not flow.is_last_attempt:
            detector.expect_data(
                _predict_first_byte_limit(exchange.route, placement)
            )
        with self._placer.watch_added_prefill(
            exchange,
            placement,
            lambda: flow.sink.begun,
            lambda: detector.abandon(_Reason.BUSY),
        ):
            async with self._transport.send(
                exchange,
                placement.endpoint.address,
                options,
                lambda: detector.abandon(_Reason.LOST),
                lambda: self._check(placement),
                flow.sends,
            ) as answer:
                self._note_health(placement.endpoint, answer)
                self._statements.note_answer(
                    placement.endpoint, answer.fields, sent_s
                )
                _check_refusal(answer)
                await self._forward_answer(flow, placement, answer, detector)

    def _check(self, placement: placements.Placement) -> None:
        """Checks that its engines may still get a request.

        Raises:
          ClosedError: the endpoint became unavailable.
          statements.EvacuatedError: the data centre of an engine was evacuated.
        """
        self._statements.check_evacuated(
            (placement.endpoint, *placement.helper_engines)
        )
        if not self._statements.may_send(placement.endpoint):
            raise ClosedError(placement.endpoint.endpoint_id)

    def _note_health(
        self, endpoint: lists.ListedEndpoint, answer: transports.Answer
    ) -> None:
        """Records that an endpoint answered; a refusal is no success."""
        note = self._health.note_success
        if answer.fields.refused:
            note = self._health.note_reached
        note(endpoint.endpoint_id, endpoint.data_centre)

    async def _forward_answer(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        answer: transports.Answer,
        detector: stalls.StallDetector,
    ) -> None:
        streamed = flow.exchange.route.kind is routes.RouteKind.STREAMING
        if answer.status < 300 and not answer.fields.sealed:
            raise transports.make_error("the answer bears no signature")
        if streamed and answer.status == 200:
            await self._forward_events(flow, placement, answer, detector)
        else:
            await self._forward_buffered(flow, placement, answer)

    async def _forward_events(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        answer: transports.Answer,
        detector: stalls.StallDetector,
    ) -> None:
        """Forwards complete events as they arrive."""
        pause_s = max(MIN_PAUSE_S, PAUSE_RATIO * flow.exchange.route.pause_s)
        is_last = flow.is_last_attempt
        while data := await answer.read_some():
            flow.note_answering(self._timers.read_monotonic())
            events = flow.cursor.take(data)
            if not is_last:
                detector.expect_data(pause_s)
            if flow.cursor.partial_bytes > MAX_BUFFERED_BYTES:
                raise transports.make_error("an event is too long to hold")
            if not events:
                continue
            read_s = self._timers.read_monotonic()
            if placement.samples is not None:
                placement.samples.note_event(read_s, events.count(b"\n\n"))
            if not flow.sink.begun:
                await flow.sink.begin(answer.status, answer.headers, None)
            await flow.sink.write(events)
            written_s = self._timers.read_monotonic()
            flow.progress.note_piece(written_s)
            if placement.samples and written_s - read_s > SLOW_WRITE_S:
                placement.samples.disturb()
        detector.stop()
        if flow.cursor.has_partial_event:
            raise transports.make_error("the stream ended within an event")
        if not flow.sink.begun:
            await flow.sink.begin(answer.status, answer.headers, None)
        await flow.sink.finish()

    async def _forward_buffered(
        self,
        flow: flows.Flow,
        placement: placements.Placement,
        answer: transports.Answer,
    ) -> None:
        """Buffers a short answer until it is complete, then forwards it."""
        body = await _read_buffered(answer, flow.sink)
        repeatable = flow.exchange.route.repeatable
        if flow.sink.begun or not answer.fields.sealed:
            # An error that the endpoint did not sign is not forwarded as the
            # endpoint's answer.
            raise transports.make_error(f"it answered {answer.status}")
        if answer.status >= 500 and repeatable:
            raise FailedAnswerError(answer, body)
        if answer.status in _NOT_RUN_STATUSES and not repeatable:
            raise transports.make_error(f"it answered {answer.status}")
        if placement.call is not None and answer.status < 500:
            placement.call.note_answered()
        flow.progress.note_piece(self._timers.read_monotonic())
        await send_buffered(flow.sink, answer, body)


async def send_buffered(
    sink: sinks.Sink, answer: transports.Answer, body: bytes
) -> None:
    """Sends a buffered answer to the caller."""
    await sink.send_whole(answer.status, answer.headers, body)


async def _read_buffered(answer: transports.Answer, sink: sinks.Sink) -> bytes:
    buffered: list[bytes] = []
    size = 0
    while data := await answer.read_some():
        buffered.append(data)
        size += len(data)
        if size > MAX_BUFFERED_BYTES:
            raise transports.make_error("the answer is too long to hold")
        if not await sink.reserve(len(data)):
            raise transports.make_error("no memory is free for the answer")
    return b"".join(buffered)


@contextlib.contextmanager
def _let_quarantine_abandon(
    flow: flows.Flow, detector: stalls.StallDetector
) -> Iterator[None]:
    """Lets a quarantine end the attempt while the context is open."""
    running = flow.running
    if running is None:
        yield
        return
    running.abandon = lambda: detector.abandon(_Reason.QUARANTINED)
    try:
        yield
    finally:
        # It is tracked until it is known why it ended.
        running.abandon = lambda: None


def _check_refusal(answer: transports.Answer) -> None:
    """Raises RefusedError if the endpoint states that it did not run it."""
    if answer.fields.refused:
        raise RefusedError(answer.status, answer.fields)


def _predict_first_byte_limit(
    route: routes.Route, placement: placements.Placement
) -> float:
    """Returns the limit of the time to first byte in seconds."""
    return (
        FIRST_BYTE_RATIO * placement.expected_s
        + FIRST_BYTE_OBJECTIVES * route.objective_s
    )
