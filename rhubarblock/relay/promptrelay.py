"""Serves prompts, from admission to the last token.

The steps follow each other: quarantine, limits, admission, queue, placement,
attempts. Each step that acquires a resource holds it in a context manager, so
it is released however the request ends.
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
        "_retry_policy",
        "_routing",
        "_running",
        "_timers",
        "_try_runner",
    )

    def __init__(
        self,
        lifecycle: lifecycles.InstanceLifecycle,
        routing: tries.Routing,
        try_runner: tries.TryRunner,
        guard: guards.Guard,
        retry_policy: retries.RetryPolicy,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates a relay.

        Args:
          lifecycle: state of this instance.
          routing: admission, queue, placement and prediction.
          try_runner: runs one try of a prompt.
          guard: limits and quarantine.
          retry_policy: decides on retries.
          timers: timer service.
          metrics: counters.
        """
        self._lifecycle = lifecycle
        self._routing = routing
        self._try_runner = try_runner
        self._guard = guard
        self._retry_policy = retry_policy
        self._timers = timers
        self._metrics = metrics
        self._running: set[str] = set()

    def is_running(self, request_id: str) -> bool:
        """Returns whether this instance is serving a request."""
        return request_id in self._running

    async def complete(
        self, request: requests.PromptRequest, sink: sinks.Sink
    ) -> result.Result[completions.Completion, failures.Failure]:
        """Serves one prompt.

        Args:
          request: a validated request.
          sink: receives the answer.

        Returns:
          The summary of the answer, or the failure. After a failure the sink
          may have received the beginning of an answer.
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
            async with queue.acquire(
                request, latest_start_s
            ) as dispatch_permit:
                return await self._serve(request, sink, dispatch_permit)

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
        dispatch_permit: fairqueue.DispatchPermit,
    ) -> completions.Completion:
        cursor = cursors.AnswerCursor(sink, self._metrics)
        history = retries.History()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return await self._run_with_retries(
                    request, cursor, history, dispatch_permit
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
            raise failures.FailureError(
                history.combine_verdict(error.failure)
            ) from None

    async def _run_with_retries(
        self,
        request: requests.PromptRequest,
        cursor: cursors.AnswerCursor,
        history: retries.History,
        dispatch_permit: fairqueue.DispatchPermit,
    ) -> completions.Completion:
        while True:
            history.attempts += 1
            try:
                completion = await self._try_runner.run_try(
                    request, cursor, history, dispatch_permit
                )
            except runners.AttemptError as error:
                self._metrics.count("relay.attempts_failed")
                history.note_failure(error.failure, error.endpoint_id)
            else:
                self._retry_policy.note_success()
                return completion
            await self._retry_policy.wait(history, request.deadline_s)
