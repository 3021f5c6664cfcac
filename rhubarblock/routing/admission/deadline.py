"""Admission control by deadline: admits only requests that can end in time."""

from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.routing.placement import predictor as predictors

# Shorter prompts that arrive later lengthen a wait by up to this ratio.
LATER_ARRIVALS_RATIO = 1.3


class Admission:
    """Compares the predicted end of a request with its deadline."""

    __slots__ = ("_admits_all", "_predictor")

    def __init__(self, predictor: predictors.Predictor, admits_all: bool):
        """Creates the check.

        Args:
          predictor: predicts the duration of prompts.
          admits_all: whether every request is admitted, however late it may
            end.
        """
        self._predictor = predictor
        self._admits_all = admits_all

    def admit_all(self) -> None:
        """Admits every request from now on."""
        self._admits_all = True

    def find_latest_start(self, request: requests.PromptRequest) -> float:
        """Returns the latest monotonic time to dispatch a request."""
        if self._admits_all:
            return request.deadline_s
        return request.deadline_s - self._predictor.bound_total(
            request.model, request.prompt_tokens, request.max_tokens
        )

    def check(
        self,
        request: requests.PromptRequest,
        now_s: float,
        queue_s: float,
    ) -> result.Result[float, failures.Failure]:
        """Decides whether a request can end within its deadline.

        Args:
          request: the request.
          now_s: current time in monotonic seconds.
          queue_s: predicted seconds in the queue.

        Returns:
          The latest start in monotonic seconds, or the refusal.
        """
        latest_start_s = self.find_latest_start(request)
        return _make_result(now_s + queue_s - latest_start_s, latest_start_s)

    def check_placement(
        self,
        request: requests.PromptRequest,
        now_s: float,
        wait_s: float,
    ) -> result.Result[float, failures.Failure]:
        """Decides again once the wait at the chosen engine is known.

        Args:
          request: an admitted request that has not been dispatched yet.
          now_s: current time in monotonic seconds.
          wait_s: predicted seconds until the engine starts its prefill.

        Returns:
          The predicted end in monotonic seconds, or the refusal.
        """
        start_s = wait_s + predictors.nominal_start(request.prompt_tokens)
        decode_s = self._predictor.bound_decode(
            request.model, request.max_tokens
        )
        end_s = now_s + start_s * LATER_ARRIVALS_RATIO + decode_s
        if self._admits_all:
            return result.Success(end_s)
        return _make_result(end_s - request.deadline_s, end_s)


def _make_result(
    late_s: float, moment_s: float
) -> result.Result[float, failures.Failure]:
    if late_s <= 0:
        return result.Success(moment_s)
    return result.Failure(
        failures.Failure(
            failures.FailureCode.DEADLINE_UNREACHABLE,
            f"predicted to end {late_s:.2f} s after the deadline",
            retry_after_s=max(1.0, round(late_s, 1)),
        )
    )
