"""Runs one try of a prompt: permit, placement and job.

A request makes one or more tries until its answer is whole. Each try places
the prompt and runs one job at the engines of that placement. It holds a permit
if the prompt is suspected of crashing engines. It also holds a grant, by which
the pool's coordinator counts the load of the placement. Both are released
however the try ends.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import completion as completions
from rhubarblock.relay import cursor as cursors
from rhubarblock.relay import guard as guards
from rhubarblock.relay import retries
from rhubarblock.relay import runner as runners
from rhubarblock.routing import fairqueue
from rhubarblock.routing import lanes
from rhubarblock.routing.admission import deadline as admissions
from rhubarblock.routing.placement import coordination
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import predictor as predictors
from rhubarblock.routing.quarantine import gate as quarantines

# Seconds between two placement requests for a prompt while no engine has room.
PLACEMENT_RETRY_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Routing:
    """The routing components that a relay uses."""

    admission: admissions.Admission
    queue: lanes.LaneQueues
    placement: coordination.PlacementClient
    predictor: predictors.Predictor


@dataclasses.dataclass(slots=True)
class JobTimes:
    """Times of one job, in monotonic seconds.

    Attributes:
      sent_s: when the job was sent.
      first_token_s: when its first token arrived; 0 before.
    """

    sent_s: float
    first_token_s: float = 0.0


class SuspectedError(Exception):
    """A prompt came under suspicion while it waited for a placement."""


class TryRunner:
    """Runs the tries of the prompts of one instance."""

    __slots__ = (
        "_find_service",
        "_guard",
        "_metrics",
        "_owner",
        "_routing",
        "_runner",
        "_timers",
    )

    def __init__(
        self,
        owner: str,
        routing: Routing,
        runner: runners.AttemptRunner,
        guard: guards.Guard,
        find_service: Callable[[str], str],
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        """Creates a runner of tries.

        Args:
          owner: this instance, ``instance_id~incarnation``.
          routing: admission, queue, placement and prediction.
          runner: runs placements at the engines.
          guard: limits and quarantine.
          find_service: returns the engine service of a model name.
          timers: timer service.
          metrics: counters.
        """
        self._owner = owner
        self._routing = routing
        self._runner = runner
        self._guard = guard
        self._find_service = find_service
        self._timers = timers
        self._metrics = metrics

    async def run_try(
        self,
        request: requests.PromptRequest,
        cursor: cursors.AnswerCursor,
        history: retries.History,
        dispatch_permit: fairqueue.DispatchPermit,
    ) -> completions.Completion:
        """Runs a prompt once, from the first token that was not delivered yet.

        Args:
          request: a prompt that was admitted.
          cursor: position in the answer.
          history: the tries of the request so far.
          dispatch_permit: its slot in the queue's window, released at the first
            token.

        Raises:
          runners.AttemptError: the job failed at an engine.
          failures.FailureError: this try sent nothing, and the prompt must not
            be retried.
        """
        while True:
            try:
                return await self._run_permitted(
                    request, cursor, history, dispatch_permit
                )
            except SuspectedError:
                # Nothing was sent. The next round acquires a permit.
                self._metrics.count("relay.suspected_while_waiting")

    async def _run_permitted(
        self,
        request: requests.PromptRequest,
        cursor: cursors.AnswerCursor,
        history: retries.History,
        dispatch_permit: fairqueue.DispatchPermit,
    ) -> completions.Completion:
        grant_id = f"{request.request_id}/{history.attempts}"
        query = self._make_query(request, cursor, history)
        async with self._permit(request, query) as permit:
            with self._hold_grant(grant_id):
                placement = await self._place(
                    grant_id,
                    query,
                    request.deadline_s,
                    permit.endpoint_id if permit else None,
                )
                self._check_suspicion(request.digest, permit)
                if not history.was_sent:
                    self._check_placement(request, placement)
                times = JobTimes(self._timers.read_monotonic())
                job = runners.Job(
                    request,
                    placement,
                    history.attempts,
                    self._owner,
                    cursor,
                    self._make_prefill_hook(
                        grant_id, cursor, dispatch_permit, times, permit
                    ),
                )
                history.sent = True
                history.was_sent = True
                await self._run_guarded(job)
        self._note_success(job, times)
        return completions.Completion(
            request.prompt_tokens,
            cursor.next_index,
            cursor.cached_tokens,
            cursor.finish_reason or "length",
            history.attempts,
            times.first_token_s,
        )

    def _check_suspicion(
        self, digest: str, permit: quarantines.Permit | None
    ) -> None:
        """Checks the quarantine again right before anything is sent.

        Other copies of the prompt may have crashed engines while this one
        waited for a placement.
        """
        if self._guard.is_suspected(digest) and permit is None:
            raise SuspectedError

    def _check_placement(
        self,
        request: requests.PromptRequest,
        placement: placements.Placement,
    ) -> None:
        """Rejects a prompt whose wait at its engine would miss the deadline.

        The expected wait follows from the current load of the engine, whereas
        the predictor, which admission used, only has the times of past
        requests. Nothing was sent yet.
        """
        now_s = self._timers.read_monotonic()
        checked = self._routing.admission.check_placement(
            request, now_s, placement.expected_wait_s
        )
        if isinstance(checked, result.Failure):
            raise failures.FailureError(checked.failure())

    def _permit(
        self,
        request: requests.PromptRequest,
        query: placements.PlacementQuery,
    ) -> contextlib.AbstractAsyncContextManager[quarantines.Permit | None]:
        """Holds a permit to run, which only a suspected prompt needs."""
        return self._guard.permit(
            request.digest,
            query.service,
            lambda: self._routing.placement.list_engines(query),
            lambda name: self._routing.placement.has_room(query, name),
            query.slack_s,
        )

    async def _run_guarded(self, job: runners.Job) -> None:
        """Runs a job; checks for a crash before a failure is retried."""
        with self._guard.note_running(job.placement, job.request.digest):
            try:
                await self._runner.run(job)
            except runners.AttemptError as error:
                if error.failure.code is failures.FailureCode.NO_ENDPOINT:
                    # The endpoint is unknown here, so nothing was sent to it.
                    raise
                address = self._runner.find_address(error.endpoint_id)
                await self._guard.note_failure(
                    error.endpoint_id, address, error.failure
                )
                raise

    def _make_prefill_hook(
        self,
        grant_id: str,
        cursor: cursors.AnswerCursor,
        dispatch_permit: fairqueue.DispatchPermit,
        times: "JobTimes",
        permit: quarantines.Permit | None,
    ) -> Callable[[], None]:
        """Returns the function to call when the first token has arrived."""

        def end_prefill() -> None:
            if times.first_token_s or cursor.next_index == 0:
                return
            times.first_token_s = self._timers.read_monotonic()
            dispatch_permit.release()
            self._routing.placement.end_prefill(grant_id)
            self._guard.note_started(permit)

        return end_prefill

    @contextlib.contextmanager
    def _hold_grant(self, grant_id: str) -> Iterator[None]:
        try:
            yield
        finally:
            self._routing.placement.release(grant_id)

    async def _place(
        self,
        grant_id: str,
        query: placements.PlacementQuery,
        deadline_s: float,
        only_endpoint: str | None,
    ) -> placements.Placement:
        """Requests a placement until an engine has room."""
        while True:
            placement = await self._routing.placement.place(
                grant_id, query, only_endpoint
            )
            if placement is not None:
                return placement
            self._metrics.count("relay.no_room")
            now_s = self._timers.read_monotonic()
            if now_s + PLACEMENT_RETRY_INTERVAL_S >= deadline_s:
                raise failures.FailureError(
                    failures.Failure(
                        failures.FailureCode.NO_ENDPOINT,
                        "no engine had room within the deadline",
                        retry_after_s=1.0,
                    )
                )
            await self._timers.sleep(PLACEMENT_RETRY_INTERVAL_S)

    def _make_query(
        self,
        request: requests.PromptRequest,
        cursor: cursors.AnswerCursor,
        history: retries.History,
    ) -> placements.PlacementQuery:
        done = cursor.next_index
        now_s = self._timers.read_monotonic()
        return placements.PlacementQuery(
            request_id=request.request_id,
            service=self._find_service(request.model),
            model=request.model,
            prompt_tokens=request.prompt_tokens + done,
            max_tokens=request.max_tokens - done,
            slack_s=request.deadline_s - now_s,
            prefix_blocks=request.prefix_blocks,
            avoid=frozenset(history.failed_endpoints),
        )

    def _note_success(self, job: runners.Job, times: "JobTimes") -> None:
        """Updates predictor and guard after a job with a whole answer."""
        now_s = self._timers.read_monotonic()
        request = job.request
        predictor = self._routing.predictor
        predictor.observe_first_token(
            request.model,
            request.prompt_tokens,
            times.first_token_s - times.sent_s,
        )
        predictor.observe_decode(
            request.model,
            job.cursor.next_index - 1,
            now_s - times.first_token_s,
        )
        self._guard.note_success(job.placement, request.digest)
