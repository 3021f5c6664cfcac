"""A prompt's way through an instance, from admission to the last token.

It is written straight down: limits, quarantine, admission, queue, placement,
attempts. Every step that takes something owns it in a context, so each way
out gives it back.
"""

import asyncio

from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import completion as completions
from rhubarblock.relay import cursor as cursors
from rhubarblock.relay import guard as guards
from rhubarblock.relay import retries
from rhubarblock.relay import runner as runners
from rhubarblock.relay import sink as sinks
from rhubarblock.relay import tries
from rhubarblock.routing import fairqueue


class PromptRelay:
    """Serves prompts at one instance."""

    __slots__ = (
        "_guard",
        "_lifecycle",
        "_metrics",
        "_retries",
        "_routing",
        "_running",
        "_timers",
        "_tries",
    )

    def __init__(
        self,
        lifecycle: lifecycles.InstanceLifecycle,
        routing: tries.Routing,
        try_runner: tries.TryRunner,
        guard: guards.Guard,
        retry_rules: retries.RetryPolicy,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates a relay.

        Args:
          lifecycle: state of this instance.
          routing: admission, queue, placement and prediction.
          try_runner: runs one try of a prompt.
          guard: limits and quarantine.
          retry_rules: decides on further attempts.
          timers: timer service.
          metrics: counters.
        """
        self._lifecycle = lifecycle
        self._routing = routing
        self._tries = try_runner
        self._guard = guard
        self._retries = retry_rules
        self._timers = timers
        self._metrics = metrics
        self._running: set[str] = set()

    def is_running(self, request_id: str) -> bool:
        """Says whether a request is being served here."""
        return request_id in self._running

    async def complete(
        self, request: requests.PromptRequest, sink: sinks.Sink
    ) -> result.Result[completions.Completion, failures.Failure]:
        """Serves one prompt.

        Args:
          request: a checked request.
          sink: takes the answer.

        Returns:
          What was passed on, or why it was not; after a failure the sink may
          hold the beginning of an answer.
        """
        self._metrics.count("relay.requests")
        self._running.add(request.request_id)
        try:
            with self._lifecycle.begin_request():
                completion = await self._admit(request, sink)
        except failures.FailureError as error:
            self._metrics.count(f"relay.failed.{error.failure.code.value}")
            return result.Failure(error.failure)
        finally:
            self._running.discard(request.request_id)
        self._metrics.count("relay.finished")
        return result.Success(completion)

    async def _admit(
        self, request: requests.PromptRequest, sink: sinks.Sink
    ) -> completions.Completion:
        with self._guard.admit(request):
            latest_start_s = self._check_deadline(request)
            self._metrics.count("relay.admitted")
            queue = self._routing.queue
            async with queue.acquire(request, latest_start_s) as turn:
                return await self._serve(request, sink, turn)

    def _check_deadline(self, request: requests.PromptRequest) -> float:
        now_s = self._timers.read_monotonic()
        queue_s = self._routing.queue.predict_wait(request)
        checked = self._routing.admission.check(request, now_s, queue_s)
        if isinstance(checked, result.Failure):
            raise failures.FailureError(checked.failure())
        return checked.unwrap()

    async def _serve(
        self,
        request: requests.PromptRequest,
        sink: sinks.Sink,
        turn: fairqueue.DispatchPermit,
    ) -> completions.Completion:
        cursor = cursors.AnswerCursor(sink, self._metrics)
        history = retries.History()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return await self._try_until_whole(
                    request, cursor, history, turn
                )
        except TimeoutError:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.DEADLINE_EXCEEDED,
                    "the request did not end within its deadline",
                    history.compute_verdict(),
                )
            ) from None
        except failures.FailureError as error:
            raise failures.FailureError(history.judge(error.failure)) from None

    async def _try_until_whole(
        self,
        request: requests.PromptRequest,
        cursor: cursors.AnswerCursor,
        history: retries.History,
        turn: fairqueue.DispatchPermit,
    ) -> completions.Completion:
        while True:
            history.attempts += 1
            try:
                completion = await self._tries.run_try(
                    request, cursor, history, turn
                )
            except runners.AttemptError as error:
                self._metrics.count("relay.attempts_failed")
                history.note_failure(error.failure, error.endpoint_id)
            else:
                self._retries.note_success()
                return completion
            await self._retries.wait(history, request.deadline_s)
