"""The queues of an instance: a lane for short prompts and one for the others.

Each lane has its own fair queue and window. Under overload the longer prompts
wait here while the short ones go on to the engines, where their priority lets
them overtake. A single queue for both would make short prompts wait for
seconds.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import math

from rhubarblock.core import request as requests
from rhubarblock.routing import fairqueue
from rhubarblock.routing.placement import policy as policies


class LaneQueues:
    """The fair queues of one instance, one for each lane."""

    __slots__ = ("_long", "_policy", "_short")

    def __init__(
        self,
        settings: fairqueue.QueueSettings,
        policy: policies.Policy,
        weigh: Callable[[requests.PromptRequest], float],
        window: Callable[[], float],
    ):
        """Creates the queues.

        Args:
          settings: bounds of each queue.
          policy: decides which prompts are short, and whether the window
            applies.
          weigh: returns the weight of a request's flow.
          window: returns the prompt tokens of each lane that may be dispatched.
        """
        self._policy = policy
        if not policy.uses_lengths:
            window = _get_unlimited_window
        self._short = fairqueue.FairQueue(settings, weigh, window)
        self._long = fairqueue.FairQueue(settings, weigh, window)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._short.waiting + self._long.waiting

    def predict_wait(self, request: requests.PromptRequest) -> float:
        """Predicts the seconds that a new request would wait in its lane."""
        return self._choose(request).predict_wait()

    @contextlib.asynccontextmanager
    async def acquire(
        self, request: requests.PromptRequest, latest_start_s: float
    ) -> AsyncIterator[fairqueue.DispatchPermit]:
        """Waits in the lane of a request; see ``FairQueue.acquire``."""
        queue = self._choose(request)
        async with queue.acquire(request, latest_start_s) as permit:
            yield permit

    def _choose(self, request: requests.PromptRequest) -> fairqueue.FairQueue:
        if self._policy.is_short(request.prompt_tokens):
            return self._short
        return self._long


def _get_unlimited_window() -> float:
    return math.inf
