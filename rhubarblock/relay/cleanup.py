"""Cancels attempts that may still hold resources at engines.

A cancellation runs in the background, so that no caller waits for it, and is
retried a few times. If it never succeeds because this instance dies or the
engine is unreachable, the attempt is found in the load reports of its engine
(see fleet/orphans.py).
"""

import asyncio

from rhubarblock.core import failure as failures
from rhubarblock.fleet import engineclient
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service

MAX_ATTEMPTS = 8
INITIAL_DELAY_S = 0.25


class Cleanup:
    """Runs cancellations in the background."""

    __slots__ = ("_client", "_metrics", "_tasks", "_timers")

    def __init__(
        self,
        client: engineclient.EngineClient,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
    ):
        self._client = client
        self._timers = timers
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel_later(self, address: str, attempt_id: str) -> None:
        """Starts cancelling an attempt at an engine and returns at once."""
        task = asyncio.ensure_future(self._cancel(address, attempt_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Waits for all cancellations to end, before a planned stop."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _cancel(self, address: str, attempt_id: str) -> None:
        delay_s = INITIAL_DELAY_S
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._client.cancel(address, attempt_id)
                return
            except failures.FailureError:
                self._metrics.count("relay.cancel_failed")
                await self._timers.sleep(delay_s)
                delay_s *= 2
