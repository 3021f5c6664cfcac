"""Decides whether and when a prompt is retried.

A prompt is idempotent: generating it again costs time but has no side effects.
Any failure may therefore be retried, within the deadline, the maximum number
of attempts and the retry budget of the instance.
"""

import dataclasses
import random

from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import backoff
from rhubarblock.relay import retrybudget

MAX_ATTEMPTS = 6


@dataclasses.dataclass(slots=True)
class History:
    """The tries of one request so far; ``relay.tries`` describes a try.

    Attributes:
      attempts: number of tries started.
      sent: whether the current try may have reached an engine.
      was_sent: whether any try may have reached an engine.
      verdict: combined verdict of the tries that have ended.
      failed_endpoints: endpoints at which a try failed.
      last: the latest failure.
    """

    attempts: int = 0
    sent: bool = False
    was_sent: bool = False
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    failed_endpoints: set[str] = dataclasses.field(default_factory=set)
    last: failures.Failure | None = None

    def note_failure(self, failure: failures.Failure, endpoint_id: str) -> None:
        """Records that a try failed at an endpoint."""
        self.last = failure
        self.sent = False
        self.verdict = verdicts.combine(self.verdict, failure.verdict)
        self.failed_endpoints.add(endpoint_id)

    def compute_verdict(self) -> verdicts.Verdict:
        """Returns the verdict that the request has if it ends now."""
        if self.sent:
            return verdicts.combine(self.verdict, verdicts.Verdict.MAY_HAVE_RUN)
        return self.verdict

    def combine_verdict(self, failure: failures.Failure) -> failures.Failure:
        """Returns a failure with the combined verdict of all tries."""
        verdict = verdicts.combine(self.compute_verdict(), failure.verdict)
        return dataclasses.replace(failure, verdict=verdict)


class RetryPolicy:
    """Allows or refuses retries, within the instance's retry budget."""

    __slots__ = ("_backoff", "_budget", "_timers")

    def __init__(
        self,
        budget: retrybudget.RetryBudget,
        timers: timer_service.Timers,
        rng: random.Random,
    ):
        self._budget = budget
        self._timers = timers
        self._backoff = backoff.Backoff(rng)

    def note_success(self) -> None:
        """Adds a success to the retry budget."""
        self._budget.record_success()

    async def wait(self, history: History, deadline_s: float) -> None:
        """Waits before the next try.

        Args:
          history: the tries so far; the last one has failed.
          deadline_s: deadline of the request, in monotonic seconds.

        Raises:
          failures.FailureError: the request must not be retried.
        """
        last = history.last
        assert last is not None
        if history.attempts >= MAX_ATTEMPTS:
            raise failures.FailureError(
                dataclasses.replace(last, verdict=history.verdict)
            )
        if not self._budget.try_spend():
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.RETRY_BUDGET_SPENT,
                    f"too many retries at present; last: {last.message}",
                    history.verdict,
                    retry_after_s=1.0,
                )
            )
        wait_s = self._backoff.draw_wait(
            history.attempts, self._timers.read_monotonic(), deadline_s
        )
        if wait_s is None:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.DEADLINE_EXCEEDED,
                    f"no time is left to try again; last: {last.message}",
                    history.verdict,
                )
            )
        await self._timers.sleep(wait_s)
