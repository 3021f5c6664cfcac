"""Runs one attempt of an exchange and passes its answer on."""

import asyncio
from collections.abc import Callable

from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import flow as flows
from rhubarblock.exchange import leases
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import places
from rhubarblock.exchange import silence
from rhubarblock.exchange import sink as sinks
from rhubarblock.exchange import statements
from rhubarblock.exchange import transport as transports
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths

# A first byte may take this many times its predicted time, and besides a part
# of the objective, before another endpoint is tried.
START_RATIO = 3.0
START_OBJECTIVES = 1.5
# Pauses of a stream: so many times the pause that is on time, and never less
# than the seconds, before another endpoint goes on with it.
PAUSE_RATIO = 4.0
PAUSE_LEAST_S = 0.8
# Longest body of an answer, in bytes, that is held back until it is whole.
HELD_BYTES = 1 << 18
# Statuses that promise that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})

_Reason = silence.Reason


class RefusedError(failures.FailureError):
    """An endpoint says that it did not run the exchange.

    Attributes:
      at_fault: address of the endpoint that made it refuse, or empty.
      misdirected: whether another endpoint has its address now.
      rest_s: seconds for which the endpoint wants nothing; None if it named
        none.
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
        self.rest_s = fields.statement.cooldown.length_s


class ClosedError(failures.FailureError):
    """An endpoint came to want no requests before this one was sent."""

    def __init__(self, endpoint_id: str):
        super().__init__(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                "the endpoint wanted no more requests before it was sent",
            )
        )
        self.endpoint_id = endpoint_id


class LeftError(transports.AttemptError):
    """The attempt was given up for another one, which is paid for.

    Attributes:
      reason: why.
    """

    def __init__(self, reason: silence.Reason):
        message = "the endpoint kept silent"
        if reason is _Reason.BUSY:
            message = "the engine reads for others for too long"
        super().__init__(
            failures.Failure(
                failures.FailureCode.ENDPOINT_FAILED,
                message,
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        )
        self.reason = reason


class FailedAnswerError(transports.AttemptError):
    """A whole answer that says that the endpoint failed.

    Attributes:
      answer: its head.
      body: its body.
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
          placer: knows what engines have before them.
          transport: sends to endpoints.
          health: hears of endpoints that answered.
          lease_holder: holds memory at engines.
          statement_handler: hears what endpoints say of themselves.
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
        place: places.Place,
        may_leave: Callable[[silence.Reason], bool],
    ) -> None:
        """Runs an attempt until the caller has the whole answer.

        Args:
          flow: the exchange.
          place: where it goes.
          may_leave: takes what another attempt costs; False if there is to be
            none.

        Raises:
          RefusedError: the endpoint did not run it.
          ClosedError: it was not sent.
          leases.LeaseError: memory for it could not be had.
          transports.AttemptError: it failed.
        """
        watch: silence.SilenceWatch | None = None
        try:
            async with asyncio.timeout(None) as limit:
                with silence.watch_silence(
                    limit,
                    lambda: self._placer.predict_free(place, flow.sink.begun),
                    may_leave,
                    self._timers,
                ) as watch:
                    async with self._leases.hold(place.held):
                        await self._run_watched(flow, place, watch)
        except TimeoutError:
            reason = watch.reason if watch else None
            raise LeftError(reason or _Reason.SILENT) from None

    async def _run_watched(
        self,
        flow: flows.Flow,
        place: places.Place,
        watch: silence.SilenceWatch,
    ) -> None:
        exchange = flow.exchange
        if not self._statements.may_send(place.endpoint):
            raise ClosedError(place.endpoint.endpoint_id)
        order = dialects.SendOptions(
            place.endpoint.endpoint_id,
            exchange.deadline_s - self._timers.read_monotonic(),
            place.urgency,
            flow.cursor.last_event,
            place.helpers,
        )
        flow.history.sent = True
        sent_s = self._timers.read_monotonic()
        if not flow.is_last_attempt:
            watch.expect(_predict_patience(exchange.route, place))
        with self._placer.watch_disturbance(
            exchange,
            place,
            lambda: flow.sink.begun,
            lambda: watch.leave(_Reason.BUSY),
        ):
            async with self._transport.send(
                exchange, place.endpoint.address, order
            ) as answer:
                self._note_health(place.endpoint, answer)
                self._statements.note_answer(
                    place.endpoint, answer.fields, sent_s
                )
                _check_refusal(answer)
                await self._pass_on(flow, answer, watch)

    def _note_health(
        self, endpoint: lists.ListedEndpoint, answer: transports.Answer
    ) -> None:
        """Takes in that an endpoint answered; a refusal is no success."""
        note = self._health.note_success
        if answer.fields.refused:
            note = self._health.note_reached
        note(endpoint.endpoint_id, endpoint.data_centre)

    async def _pass_on(
        self,
        flow: flows.Flow,
        answer: transports.Answer,
        watch: silence.SilenceWatch,
    ) -> None:
        streamed = flow.exchange.route.kind is routes.RouteKind.STREAMING
        if answer.status < 300 and not answer.fields.sealed:
            raise transports.make_error("the answer bears no signature")
        if streamed and answer.status == 200:
            await self._pass_events(flow, answer, watch)
        else:
            await self._pass_whole(flow, answer)

    async def _pass_events(
        self,
        flow: flows.Flow,
        answer: transports.Answer,
        watch: silence.SilenceWatch,
    ) -> None:
        """Passes whole events on as they come."""
        pause_s = max(PAUSE_LEAST_S, PAUSE_RATIO * flow.exchange.route.pause_s)
        is_last = flow.is_last_attempt
        while data := await answer.read_some():
            events = flow.cursor.take(data)
            if not is_last:
                watch.expect(pause_s)
            if not events:
                continue
            if not flow.sink.begun:
                await flow.sink.begin(answer.status, answer.headers, None)
            await flow.sink.write(events)
            flow.progress.note_piece(self._timers.read_monotonic())
        watch.stop()
        if flow.cursor.has_rest:
            raise transports.make_error("the stream ended within an event")
        if not flow.sink.begun:
            await flow.sink.begin(answer.status, answer.headers, None)
        await flow.sink.finish()

    async def _pass_whole(
        self, flow: flows.Flow, answer: transports.Answer
    ) -> None:
        """Holds a short answer back until it is whole, then passes it on."""
        body = await _read_held(answer)
        repeatable = flow.exchange.route.repeatable
        if flow.sink.begun or not answer.fields.sealed:
            # A failure that no endpoint signed is not passed on as its own.
            raise transports.make_error(f"it answered {answer.status}")
        if answer.status >= 500 and repeatable:
            raise FailedAnswerError(answer, body)
        if answer.status in _PROMISES and not repeatable:
            raise transports.make_error(f"it answered {answer.status}")
        flow.progress.note_piece(self._timers.read_monotonic())
        await pass_held(flow.sink, answer, body)


async def pass_held(
    sink: sinks.Sink, answer: transports.Answer, body: bytes
) -> None:
    """Passes on an answer whose body is here."""
    await sink.begin(answer.status, answer.headers, len(body))
    await sink.write(body)
    await sink.finish()


async def _read_held(answer: transports.Answer) -> bytes:
    held: list[bytes] = []
    size = 0
    while data := await answer.read_some():
        held.append(data)
        size += len(data)
        if size > HELD_BYTES:
            raise transports.make_error("the answer is too long to hold")
    return b"".join(held)


def _check_refusal(answer: transports.Answer) -> None:
    """Raises what an endpoint's word that it did not run means."""
    if answer.fields.refused:
        raise RefusedError(answer.status, answer.fields)


def _predict_patience(route: routes.Route, place: places.Place) -> float:
    """Returns the seconds that the first byte of an answer may take."""
    return START_RATIO * place.expected_s + START_OBJECTIVES * route.objective_s
