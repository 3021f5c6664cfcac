"""The scenario ``retry-storm``: half of the endpoints fail under load.

Entry instances send requests to endpoints of limited throughput. An attempt
fails at a dead endpoint and at one whose queue is too long. The scenario
measures how much retries amplify the load and how many requests are still
answered.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
import random
from typing import Any

from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.relay import backoff as backoffs
from rhubarblock.relay import retrybudget

# ``budget`` applies the product's retry budget; ``unlimited`` is the baseline
# that is bounded by the attempts and the deadline of a request alone.
POLICIES = ("budget", "unlimited")
INSTANCES = 7
ENDPOINTS = 22

_SERVICE_S = 0.05
_MAX_QUEUE_S = 0.5  # An endpoint refuses attempts that would wait longer.
_DEADLINE_S = 5.0
_MAX_ATTEMPTS = 6
_DEATH_S = 20.0
_RECOVERY_S = 50.0
_END_S = 70.0


@dataclasses.dataclass(slots=True, frozen=True)
class RetryStormResult:
    """Results of one run.

    Attributes:
      scenario: ``retry-storm``.
      policy: one of ``POLICIES``.
      seed: seed of the run.
      load: offered load, as a share of the capacity of all endpoints.
      requests: requests sent.
      attempts: attempts made.
      amplification_max: highest ratio of attempts to requests in a second
        while half of the endpoints are dead.
      amplification: the same ratio over all that time.
      answered_before: share answered of the requests sent before the failure.
      answered_during: share answered of those sent while half of the
        endpoints were dead.
      answered_after: share answered of those sent after the recovery.
    """

    scenario: str
    policy: str
    seed: int
    load: float
    requests: int
    attempts: int
    amplification_max: float
    amplification: float
    answered_before: float
    answered_during: float
    answered_after: float


@dataclasses.dataclass(slots=True)
class _SecondCounts:
    """Counts for one second of the run.

    Attributes:
      requests: requests that were sent in it.
      attempts: attempts that were made in it.
      answered: how many of its requests were answered at any time.
    """

    requests: int = 0
    attempts: int = 0
    answered: int = 0


def measure(
    seed: int = 1, load: float = 0.7, policy: str = "budget"
) -> RetryStormResult:
    """Runs the scenario on the fake clock.

    Args:
      seed: decides arrivals and choices.
      load: offered load, as a share of the capacity of all endpoints.
      policy: one of ``POLICIES``.

    Returns:
      The measurements.
    """
    return virtualloop.run(_measure(seed, load, policy))


async def _measure(seed: int, load: float, policy: str) -> RetryStormResult:
    return await _Run(seed, load, policy).measure()


class _Run:
    """One run of the scenario."""

    def __init__(self, seed: int, load: float, policy: str):
        self._seed = seed
        self._load = load
        self._policy = policy
        self._rng = random.Random(seed)
        self._timers = timers_lib.LoopTimers(0.0)
        self._backoff = backoffs.Backoff(self._rng)
        self._budgets = [
            retrybudget.RetryBudget(self._timers) for _ in range(INSTANCES)
        ]
        # When each endpoint's queue will be empty.
        self._free_s = [0.0] * ENDPOINTS
        self._seconds = [
            _SecondCounts() for _ in range(int(_END_S + _DEADLINE_S))
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    async def measure(self) -> RetryStormResult:
        rate = self._load * ENDPOINTS / _SERVICE_S
        while self._timers.read_monotonic() < _END_S:
            await self._timers.sleep(self._rng.expovariate(rate))
            self._start(self._serve(self._rng.choice(self._budgets)))
        while self._tasks:
            await asyncio.wait(self._tasks)
        return self._build_result()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, budget: retrybudget.RetryBudget) -> None:
        sent_s = self._timers.read_monotonic()
        counts = self._get_second()
        counts.requests += 1
        for attempts in range(1, _MAX_ATTEMPTS + 1):
            if await self._try_once():
                budget.record_success()
                counts.answered += 1
                return
            now_s = self._timers.read_monotonic()
            wait_s = self._backoff.draw_wait(
                attempts, now_s, sent_s + _DEADLINE_S
            )
            if wait_s is None or not self._may_retry(budget):
                return
            await self._timers.sleep(wait_s)

    def _may_retry(self, budget: retrybudget.RetryBudget) -> bool:
        return self._policy == "unlimited" or budget.try_spend()

    async def _try_once(self) -> bool:
        """Makes one attempt at a random endpoint, which may be dead."""
        self._get_second().attempts += 1
        now_s = self._timers.read_monotonic()
        number = self._rng.randrange(ENDPOINTS)
        if _DEATH_S <= now_s < _RECOVERY_S and number < ENDPOINTS // 2:
            return False
        begin_s = max(now_s, self._free_s[number])
        if begin_s - now_s > _MAX_QUEUE_S:
            return False
        self._free_s[number] = begin_s + _SERVICE_S
        await self._timers.sleep(begin_s + _SERVICE_S - now_s)
        return True

    def _get_second(self) -> _SecondCounts:
        now_s = self._timers.read_monotonic()
        return self._seconds[min(int(now_s), len(self._seconds) - 1)]

    def _build_result(self) -> RetryStormResult:
        dead = self._seconds[int(_DEATH_S) : int(_RECOVERY_S)]
        return RetryStormResult(
            scenario="retry-storm",
            policy=self._policy,
            seed=self._seed,
            load=self._load,
            requests=sum(s.requests for s in self._seconds),
            attempts=sum(s.attempts for s in self._seconds),
            amplification_max=round(
                max(s.attempts / s.requests for s in dead if s.requests), 3
            ),
            amplification=round(
                sum(s.attempts for s in dead) / sum(s.requests for s in dead),
                3,
            ),
            answered_before=_compute_share(self._seconds[: int(_DEATH_S)]),
            answered_during=_compute_share(dead),
            answered_after=_compute_share(
                self._seconds[int(_RECOVERY_S) : int(_END_S)]
            ),
        )


def _compute_share(seconds: list[_SecondCounts]) -> float:
    answered = sum(s.answered for s in seconds)
    return round(answered / sum(s.requests for s in seconds), 4)
