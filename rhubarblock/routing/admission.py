"""Admission by deadline: only what can finish in time is let in."""

from returns import result

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.routing.placement import predictor as predictors

# Shorter prompts that come later lengthen a wait by up to this ratio.
LATER_WORK_RATIO = 1.3


class Admission:
    """Compares the predicted end of a request with its deadline."""

    __slots__ = ("_is_open", "_predictor")

    def __init__(self, predictor: predictors.Predictor, admits_all: bool):
        """Creates the check.

        Args:
          predictor: what was learned of the times of prompts.
          admits_all: whether everything is let in, however late it may end.
        """
        self._predictor = predictor
        self._is_open = admits_all

    def admit_all(self) -> None:
        """Lets in everything from now on."""
        self._is_open = True

    def find_latest_start(self, request: requests.PromptRequest) -> float:
        """Returns the monotonic time at which a request must be sent."""
        if self._is_open:
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
          request: what asks for admission.
          now_s: present monotonic time.
          queue_s: predicted seconds in the queue.

        Returns:
          The latest start in monotonic seconds, or the refusal.
        """
        latest_start_s = self.find_latest_start(request)
        return _judge(now_s + queue_s - latest_start_s, latest_start_s)

    def check_placement(
        self,
        request: requests.PromptRequest,
        now_s: float,
        wait_s: float,
    ) -> result.Result[float, failures.Failure]:
        """Decides once more, when the wait at the chosen engine is known.

        Args:
          request: an admitted request that was not sent yet.
          now_s: present monotonic time.
          wait_s: predicted seconds until the engine computes its prompt.

        Returns:
          The predicted end in monotonic seconds, or the refusal.
        """
        start_s = wait_s + predictors.nominal_start(request.prompt_tokens)
        decode_s = self._predictor.bound_decode(
            request.model, request.max_tokens
        )
        end_s = now_s + start_s * LATER_WORK_RATIO + decode_s
        if self._is_open:
            return result.Success(end_s)
        return _judge(end_s - request.deadline_s, end_s)


def _judge(
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
