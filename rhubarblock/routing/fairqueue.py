"""The queue of an instance: weighted fair queueing by tokens.

A flow is one class of one workspace of one institution. Each flow has a start
tag that grows by tokens over weight, and the flow with the smallest tag goes
next (start-time fair queueing), so a flow with long prompts cannot starve one
with short prompts, nor the reverse. Within a flow the request with the least
slack goes first. The window bounds the prompt tokens that are dispatched to the
engines and not computed yet; requests wait only while it is full.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import heapq

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests

# The window holds what the engines compute for an instance in this time, in
# seconds.
WINDOW_S = 2.0
# Most tokens of the window that one prompt uses. Engines compute a long prompt
# in chunks behind shorter ones, so it must not fill the window for them.
MAX_WINDOW_TOKENS = 32_000


@dataclasses.dataclass(slots=True, frozen=True)
class QueueSettings:
    """Bounds of the queue.

    Attributes:
      entries: most requests that may wait.
      queued_bytes: most bytes of bodies that may wait.
    """

    entries: int = 2_000
    queued_bytes: int = 256_000_000


@dataclasses.dataclass(slots=True, order=True)
class _Waiter:
    """A waiting request; the heap of a flow orders waiters by slack."""

    latest_start_s: float
    order: int
    request: requests.PromptRequest = dataclasses.field(compare=False)
    dispatched: asyncio.Future[None] = dataclasses.field(compare=False)
    is_dispatched: bool = dataclasses.field(default=False, compare=False)


@dataclasses.dataclass(slots=True)
class _Flow:
    """Requests of one class of one workspace."""

    weight: float
    start_tag: float = 0.0
    waiters: list[_Waiter] = dataclasses.field(default_factory=list)


class DispatchPermit:
    """The right of one request to be dispatched; it holds window tokens."""

    __slots__ = ("_queue", "_tokens")

    def __init__(self, queue: "FairQueue", tokens: int):
        self._queue = queue
        self._tokens = tokens

    def release(self) -> None:
        """Returns the window tokens, at the first token or at the end."""
        tokens, self._tokens = self._tokens, 0
        if tokens:
            self._queue.return_tokens(tokens)


class FairQueue:
    """Dispatches requests to the engines in a fair order."""

    __slots__ = (
        "_bytes",
        "_dispatched_tokens",
        "_flows",
        "_order",
        "_settings",
        "_virtual_time",
        "_waiting",
        "_waiting_tokens",
        "_weigh",
        "_window",
    )

    def __init__(
        self,
        settings: QueueSettings,
        weigh: Callable[[requests.PromptRequest], float],
        window: Callable[[], float],
    ):
        """Creates an empty queue.

        Args:
          settings: bounds.
          weigh: returns the weight of a request's flow, above 0.
          window: returns the prompt tokens that may be dispatched at present.
        """
        self._settings = settings
        self._weigh = weigh
        self._window = window
        self._flows: dict[tuple[str, str, str], _Flow] = {}
        self._virtual_time = 0.0
        self._order = 0
        self._dispatched_tokens = 0
        self._waiting = 0
        self._waiting_tokens = 0
        self._bytes = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    def predict_wait(self) -> float:
        """Predicts the seconds that a new request would wait here.

        The window is the work of ``WINDOW_S`` seconds, so the waiting tokens
        take their share of that time.
        """
        window = self._window()
        if not self._waiting or window <= 0:
            return 0.0
        return self._waiting_tokens / window * WINDOW_S

    @contextlib.asynccontextmanager
    async def acquire(
        self, request: requests.PromptRequest, latest_start_s: float
    ) -> AsyncIterator[DispatchPermit]:
        """Waits until a request may be dispatched; holds its window tokens.

        Args:
          request: the request.
          latest_start_s: latest monotonic time at which it can start.

        Yields:
          The permit; the caller releases it at the first token.

        Raises:
          failures.FailureError: the queue is full, or the latest start has
            passed.
        """
        flow = self._find_flow(request)
        if self._waiting or not self._fits(request):
            await self._wait(flow, request, latest_start_s)
        else:
            self._dispatch(flow, request)
        permit = DispatchPermit(self, count_window_tokens(request))
        try:
            yield permit
        finally:
            permit.release()

    def return_tokens(self, tokens: int) -> None:
        """Counts prompt tokens as computed and dispatches waiters."""
        self._dispatched_tokens -= tokens
        self._dispatch_waiters()

    def _find_flow(self, request: requests.PromptRequest) -> _Flow:
        key = (
            request.institution,
            request.workspace,
            request.request_class.value,
        )
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(1.0)
            self._flows[key] = flow
        flow.weight = self._weigh(request)
        if not flow.waiters:
            # An idle flow accumulates no credit for unused time.
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        return flow

    def _fits(self, request: requests.PromptRequest) -> bool:
        tokens = count_window_tokens(request)
        # A prompt larger than the window is dispatched alone, not never.
        return self._dispatched_tokens == 0 or (
            self._dispatched_tokens + tokens <= self._window()
        )

    async def _wait(
        self,
        flow: _Flow,
        request: requests.PromptRequest,
        latest_start_s: float,
    ) -> None:
        self._check_bounds(request)
        self._order += 1
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(latest_start_s, self._order, request, future)
        heapq.heappush(flow.waiters, waiter)
        self._adjust_waiting(request, 1)
        try:
            async with asyncio.timeout_at(latest_start_s):
                await future
        except BaseException as error:
            self._remove_waiter(flow, waiter)
            if not isinstance(error, TimeoutError):
                raise
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.DEADLINE_UNREACHABLE,
                    "the request waited too long to end within its deadline",
                    retry_after_s=1.0,
                )
            ) from None

    def _remove_waiter(self, flow: _Flow, waiter: _Waiter) -> None:
        """Removes a waiter that gave up, even if it was just dispatched."""
        if waiter.is_dispatched:
            self.return_tokens(count_window_tokens(waiter.request))
        elif waiter in flow.waiters:
            flow.waiters.remove(waiter)
            heapq.heapify(flow.waiters)
            self._adjust_waiting(waiter.request, -1)
            # The removed waiter may have been the one that did not fit.
            self._dispatch_waiters()

    def _dispatch(self, flow: _Flow, request: requests.PromptRequest) -> None:
        """Takes window tokens and charges the flow."""
        cost = request.prompt_tokens + request.max_tokens
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag = self._virtual_time + cost / flow.weight
        self._dispatched_tokens += count_window_tokens(request)

    def _check_bounds(self, request: requests.PromptRequest) -> None:
        full = self._waiting >= self._settings.entries
        size = self._bytes + len(request.prompt)
        if full or size > self._settings.queued_bytes:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.QUEUE_FULL,
                    "the queue of this instance is full",
                    retry_after_s=1.0,
                )
            )

    def _adjust_waiting(
        self, request: requests.PromptRequest, sign: int
    ) -> None:
        self._waiting += sign
        self._waiting_tokens += sign * count_window_tokens(request)
        self._bytes += sign * len(request.prompt)

    def _dispatch_waiters(self) -> None:
        """Dispatches waiters in fair order while their prompts fit."""
        while self._waiting:
            flows = [flow for flow in self._flows.values() if flow.waiters]
            flow = min(flows, key=lambda flow: flow.start_tag)
            waiter = flow.waiters[0]
            if not self._fits(waiter.request) and not waiter.dispatched.done():
                return
            heapq.heappop(flow.waiters)
            self._adjust_waiting(waiter.request, -1)
            if waiter.dispatched.done():
                # It was cancelled, but its task has not run since.
                continue
            self._dispatch(flow, waiter.request)
            waiter.is_dispatched = True
            waiter.dispatched.set_result(None)


def count_window_tokens(request: requests.PromptRequest) -> int:
    """Returns the window tokens that a prompt uses."""
    return min(request.prompt_tokens, MAX_WINDOW_TOKENS)
