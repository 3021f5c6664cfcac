"""An exchange's way through an instance, from its place to its last byte.

It is written straight down: place, send, read, pass on; after a failure either
once more elsewhere or a final answer. Whether it may be sent once more follows
from its route and from what is known of the attempts so far.
"""

import asyncio
import logging

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.core import route as routes
from rhubarblock.core import verdict as verdicts
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import eventcursor
from rhubarblock.exchange import leases
from rhubarblock.exchange import news as news_lib
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import progress
from rhubarblock.exchange import silence
from rhubarblock.exchange import sink as sinks
from rhubarblock.exchange import transport as transports
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import retries
from rhubarblock.relay import retrybudget
from rhubarblock.routing import health as healths

# Endpoints that may refuse one exchange before it is given up.
MAX_REFUSALS = 4
# Seconds after which a caller that was refused may come back.
RETRY_AFTER_S = 0.5
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

_logger = logging.getLogger(__name__)


class BusyError(transports.AttemptError):
    """An engine will be silent for long, reading for somebody."""

    def __init__(self) -> None:
        super().__init__(
            failures.Failure(
                failures.FailureCode.ENDPOINT_FAILED,
                "the engine reads for others for too long",
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        )


class RefusedError(failures.FailureError):
    """An endpoint says that it did not run the exchange."""


class ExchangeRelay:
    """Serves exchanges at one instance."""

    __slots__ = (
        "_budgets",
        "_health",
        "_leases",
        "_metrics",
        "_news",
        "_placer",
        "_timers",
        "_transport",
    )

    def __init__(
        self,
        placer: placers.Placer,
        transport: transports.EndpointTransport,
        health: healths.Health,
        lease_holder: leases.LeaseHolder,
        news: news_lib.News,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates a relay.

        Args:
          placer: chooses endpoints.
          transport: sends to them.
          health: takes what attempts met.
          lease_holder: holds memory at engines.
          news: tells peers of endpoints that broke.
          timers: the clock.
          metrics: counters.
        """
        self._placer = placer
        self._transport = transport
        self._health = health
        self._leases = lease_holder
        self._news = news
        self._timers = timers
        self._metrics = metrics
        self._budgets: dict[str, retrybudget.RetryBudget] = {}

    async def serve(
        self, exchange: exchanges.Exchange, sink: sinks.Sink
    ) -> None:
        """Serves one exchange.

        Raises:
          failures.FailureError: it failed; the sink may hold the begin of an
            answer.
        """
        history = retries.History()
        cursor = eventcursor.EventCursor(exchange.last_event)
        flow = _Flow(sink, cursor, progress.Progress(exchange.arrived_s))
        try:
            async with asyncio.timeout_at(exchange.deadline_s):
                await self._try_until_whole(exchange, flow, history)
        except TimeoutError:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.DEADLINE_EXCEEDED,
                    "the time for the request is over",
                    history.verdict_now(),
                )
            ) from None

    async def _try_until_whole(
        self,
        exchange: exchanges.Exchange,
        flow: "_Flow",
        history: retries.History,
    ) -> None:
        sink = flow.sink
        refusals = 0
        failed: FailedAnswerError | None = None
        while True:
            with self._placer.hold(exchange, history.failed_endpoints) as place:
                if place is None:
                    raise self._give_up(history, "no endpoint has room")
                try:
                    async with self._leases.hold(place.held):
                        await self._attempt(exchange, flow, place, history)
                except leases.LeaseError as error:
                    refusals += 1
                    self._note_refused(exchange, place, history, error.failure)
                    history.failed_endpoints.add(error.endpoint_id)
                except RefusedError as error:
                    refusals += 1
                    self._note_refused(exchange, place, history, error.failure)
                except FailedAnswerError as error:
                    failed = error
                    self._note_failed(exchange, place, history, error.failure)
                except transports.AttemptError as error:
                    self._note_broken(exchange, place, history, error)
                else:
                    self._note_served(exchange, place, flow, history)
                    return
            flow.cursor.start_again()
            try:
                self._check_again(exchange, sink, history, refusals)
            except failures.FailureError:
                if failed is None or sink.begun:
                    raise
                await _pass_held(sink, failed.answer, failed.body)
                return

    def _check_again(
        self,
        exchange: exchanges.Exchange,
        sink: sinks.Sink,
        history: retries.History,
        refusals: int,
    ) -> None:
        """Decides whether another attempt is made.

        Raises:
          failures.FailureError: none is.
        """
        last = history.last
        assert last is not None
        route = exchange.route
        may_repeat = (
            history.verdict is verdicts.Verdict.NOT_RUN or route.repeatable
        )
        if sink.begun and not route.repeatable:
            may_repeat = False
        if not may_repeat:
            raise self._give_up(history, last.message)
        if history.attempts >= route.max_attempts or refusals >= MAX_REFUSALS:
            raise self._give_up(history, last.message)
        if not self._budget(exchange).try_spend():
            raise self._give_up(history, "too many retries at present")
        self._metrics.count("exchange.retries")

    async def _attempt(
        self,
        exchange: exchanges.Exchange,
        flow: "_Flow",
        place: placers.Place,
        history: retries.History,
    ) -> None:
        now_s = self._timers.read_monotonic()
        order = dialects.SendOrder(
            place.endpoint.endpoint_id,
            exchange.deadline_s - now_s,
            place.urgency,
            flow.cursor.last_event,
            place.helpers,
        )
        patience = _Patience(exchange, place)
        history.sent = True
        watch: silence.SilenceWatch | None = None
        try:
            async with asyncio.timeout(None) as limit:
                with silence.watch_silence(
                    limit,
                    lambda: self._placer.predict_free(place, flow.sink.begun),
                    self._timers,
                ) as watch:
                    watch.expect(patience.start_s)
                    async with self._transport.send(
                        exchange, place.endpoint.address, order
                    ) as answer:
                        self._note_sound(place)
                        _check_refusal(answer)
                        await self._pass_on(
                            exchange, flow, answer, watch, patience
                        )
        except TimeoutError:
            if watch is not None and watch.explained:
                raise BusyError from None
            raise transports.make_error("the endpoint kept silent") from None

    def _note_sound(self, place: placers.Place) -> None:
        self._health.note_success(
            place.endpoint.endpoint_id, place.endpoint.data_centre
        )

    async def _pass_on(
        self,
        exchange: exchanges.Exchange,
        flow: "_Flow",
        answer: transports.Answer,
        watch: silence.SilenceWatch,
        patience: "_Patience",
    ) -> None:
        streamed = exchange.route.kind is routes.RouteKind.STREAMING
        if answer.status < 300 and not answer.fields.sealed:
            raise transports.make_error("the answer bears no signature")
        if streamed and answer.status == 200:
            await self._pass_events(flow, answer, watch, patience)
        else:
            await self._pass_whole(exchange, flow, answer)

    async def _pass_events(
        self,
        flow: "_Flow",
        answer: transports.Answer,
        watch: silence.SilenceWatch,
        patience: "_Patience",
    ) -> None:
        """Passes whole events on as they come."""
        sink, cursor = flow.sink, flow.cursor
        while data := await answer.read_some():
            events = cursor.take(data)
            watch.expect(patience.pause_s)
            if not events:
                continue
            if not sink.begun:
                await sink.begin(answer.status, answer.headers, None)
            await sink.write(events)
            flow.progress.note_piece(self._timers.read_monotonic())
        if cursor.has_rest:
            raise transports.make_error("the stream ended within an event")
        if not sink.begun:
            await sink.begin(answer.status, answer.headers, None)
        watch.stop()
        await sink.finish()

    async def _pass_whole(
        self,
        exchange: exchanges.Exchange,
        flow: "_Flow",
        answer: transports.Answer,
    ) -> None:
        """Holds a short answer back until it is whole, then passes it on."""
        sink = flow.sink
        held: list[bytes] = []
        size = 0
        while data := await answer.read_some():
            held.append(data)
            size += len(data)
            if size > HELD_BYTES:
                raise transports.make_error("the answer is too long to hold")
        body = b"".join(held)
        if sink.begun:
            raise transports.make_error(f"it answered {answer.status}")
        if not answer.fields.sealed:
            # A failure that no endpoint signed is not passed on as its own.
            raise transports.make_error(f"it answered {answer.status}")
        if answer.status >= 500 and exchange.route.repeatable:
            raise FailedAnswerError(answer, body)
        if answer.status in _PROMISES and not exchange.route.repeatable:
            raise transports.make_error(f"it answered {answer.status}")
        flow.progress.note_piece(self._timers.read_monotonic())
        await _pass_held(sink, answer, body)

    def _note_served(
        self,
        exchange: exchanges.Exchange,
        place: placers.Place,
        flow: "_Flow",
        history: retries.History,
    ) -> None:
        """Writes how an answer went; only late ones are worth a line."""
        self._budget(exchange).record_success()
        self._metrics.count("exchange.served")
        if not flow.progress.is_late(exchange):
            return
        self._metrics.count("exchange.late")
        now_s = self._timers.read_monotonic()
        _logger.info(
            "served late",
            extra={
                "request": exchange.request_id,
                "route": exchange.route.name,
                "endpoint": place.endpoint.endpoint_id,
                "prompt_tokens": exchange.prompt_tokens,
                "parts": 1 + len(place.helpers),
                "expected_s": round(place.expected_s, 3),
                "first_s": round(flow.progress.first_s or 0.0, 3),
                "longest_pause_s": round(flow.progress.longest_pause_s, 3),
                "total_s": round(now_s - exchange.arrived_s, 3),
                "failed_attempts": history.attempts,
            },
        )

    def _note_refused(
        self,
        exchange: exchanges.Exchange,
        place: placers.Place,
        history: retries.History,
        failure: failures.Failure,
    ) -> None:
        endpoint_id = place.endpoint.endpoint_id
        self._metrics.count("exchange.refused")
        self._log_attempt(exchange, place, failure, "refused")
        history.note_failure(failure, endpoint_id)

    def _note_failed(
        self,
        exchange: exchanges.Exchange,
        place: placers.Place,
        history: retries.History,
        failure: failures.Failure,
    ) -> None:
        endpoint_id = place.endpoint.endpoint_id
        self._metrics.count("exchange.failed_answers")
        self._log_attempt(exchange, place, failure, "failed")
        history.attempts += 1
        history.note_failure(failure, endpoint_id)
        self._health.note_error(endpoint_id)

    def _note_broken(
        self,
        exchange: exchanges.Exchange,
        place: placers.Place,
        history: retries.History,
        error: transports.AttemptError,
    ) -> None:
        failure = error.failure
        endpoint_id = place.endpoint.endpoint_id
        self._metrics.count("exchange.broken")
        self._log_attempt(exchange, place, failure, "broken")
        if failure.verdict is not verdicts.Verdict.NOT_RUN:
            history.attempts += 1
        history.note_failure(failure, endpoint_id)
        if not isinstance(error, BusyError):
            self._note_suspect(place.endpoint)

    def _note_suspect(self, endpoint: lists.ListedEndpoint) -> None:
        """Leaves an endpoint alone and tells peers that use the same way."""
        now_s = self._timers.read_monotonic()
        is_news = self._health.note_broken(
            endpoint.endpoint_id, endpoint.data_centre, now_s
        )
        if is_news:
            self._news.tell_broken(endpoint.endpoint_id, endpoint.data_centre)

    def _log_attempt(
        self,
        exchange: exchanges.Exchange,
        place: placers.Place,
        failure: failures.Failure,
        outcome: str,
    ) -> None:
        """Writes why an attempt did not give its answer."""
        now_s = self._timers.read_monotonic()
        _logger.info(
            "attempt ended",
            extra={
                "request": exchange.request_id,
                "route": exchange.route.name,
                "endpoint": place.endpoint.endpoint_id,
                "data_centre": place.endpoint.data_centre,
                "parts": 1 + len(place.helpers),
                "expected_s": round(place.expected_s, 3),
                "since_arrival_s": round(now_s - exchange.arrived_s, 3),
                "outcome": outcome,
                "verdict": failure.verdict.value,
                "reason": failure.message,
            },
        )

    def _budget(self, exchange: exchanges.Exchange) -> retrybudget.RetryBudget:
        name = exchange.service.name
        budget = self._budgets.get(name)
        if budget is None:
            budget = retrybudget.RetryBudget(self._timers)
            self._budgets[name] = budget
        return budget

    def _give_up(
        self, history: retries.History, message: str
    ) -> failures.FailureError:
        """Returns the final failure of an exchange."""
        if history.verdict is verdicts.Verdict.NOT_RUN:
            return failures.FailureError(
                failures.Failure(
                    failures.FailureCode.NO_ENDPOINT,
                    message,
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        return failures.FailureError(
            failures.Failure(
                failures.FailureCode.ENDPOINT_FAILED, message, history.verdict
            )
        )


def _check_refusal(answer: transports.Answer) -> None:
    """Raises what an endpoint's word that it did not run means."""
    if answer.fields.refused:
        raise RefusedError(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                f"the endpoint refused it with {answer.status}",
            )
        )


async def _pass_held(
    sink: sinks.Sink, answer: transports.Answer, body: bytes
) -> None:
    await sink.begin(answer.status, answer.headers, len(body))
    await sink.write(body)
    await sink.finish()


# Statuses that promise that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})


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


class _Flow:
    """The way of an answer to its caller.

    Attributes:
      sink: the caller's side.
      cursor: place in a stream of events.
      progress: when the pieces came.
    """

    __slots__ = ("cursor", "progress", "sink")

    def __init__(
        self,
        sink: sinks.Sink,
        cursor: eventcursor.EventCursor,
        progress_: progress.Progress,
    ):
        self.sink = sink
        self.cursor = cursor
        self.progress = progress_


class _Patience:
    """How long an endpoint may keep silent.

    Attributes:
      start_s: seconds until the first byte of the answer.
      pause_s: seconds between two pieces of a stream.
    """

    __slots__ = ("pause_s", "start_s")

    def __init__(self, exchange: exchanges.Exchange, place: placers.Place):
        route = exchange.route
        if not route.repeatable:
            # Nothing is gained by giving up what can't be sent again.
            self.start_s: float | None = None
            self.pause_s = route.timeout_s
            return
        self.start_s = (
            START_RATIO * place.expected_s
            + START_OBJECTIVES * route.objective_s
        )
        self.pause_s = max(PAUSE_LEAST_S, PAUSE_RATIO * route.pause_s)
