"""Memory set aside at engines for a prompt that is larger than one of them.

All engines of a prompt set their part aside, or none keeps it: nobody waits
for memory while holding some, so two instances can't block each other. A lease
is short and renewed while the prompt runs, so that what a lost instance held
lapses by itself. On every way out it is given back.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import dataclasses
import logging
from typing import Any

from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import statements
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import exchange as settings_lib

# Part of the time by which memory must be free after its request's end that a
# lease lasts: an engine whose holder was lost gets it back in time.
HOLD_PART = 0.85
# Part of a lease after which it is renewed; a renewal that is lost leaves time
# for the next.
RENEW_PART = 0.42
# Seconds after an order without an answer at which the memory is given back
# once more: such an order may be carried out up to twelve seconds late.
LATE_RELEASES_S = (2.5, 5.0, 8.0, 12.5)

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """Memory of one engine.

    Attributes:
      endpoint: the engine.
      lease_id: names it; unique over all instances and attempts.
      tokens: how much.
    """

    endpoint: lists.ListedEndpoint
    lease_id: str
    tokens: int


class LeaseError(failures.FailureError):
    """An engine did not set memory aside; nothing was sent to run.

    Attributes:
      endpoint_id: the engine.
    """

    def __init__(self, endpoint_id: str):
        super().__init__(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                "an engine set no memory aside",
                retry_after_s=1.0,
            )
        )
        self.endpoint_id = endpoint_id


class LeaseHolder:
    """Holds the leases of one instance."""

    __slots__ = ("_client", "_hold_s", "_statements", "_tasks", "_timers")

    def __init__(
        self,
        client: dialects.LeaseClient,
        bounds: settings_lib.ExchangeBounds,
        statement_handler: statements.StatementHandler,
        timers: timer_service.Timers,
    ):
        """Creates a holder; see ``open_holder``."""
        self._client = client
        self._statements = statement_handler
        self._timers = timers
        self._hold_s = min(HOLD_PART * bounds.lease_free_s, bounds.lease_max_s)
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def hold(self, wanted: Sequence[Lease]) -> AsyncIterator[None]:
        """Holds leases while the context is open.

        Args:
          wanted: one for each engine; none is the usual case.

        Raises:
          LeaseError: one could not be had.
        """
        if not wanted:
            yield
            return
        renewal: asyncio.Task[None] | None = None
        unsure: set[str] = set()
        try:
            await self._acquire(wanted, unsure)
            renewal = asyncio.create_task(self._renew(wanted, unsure))
            yield
        finally:
            if renewal is not None:
                renewal.cancel()
            for lease in wanted:
                self._start(self._give_back(lease, lease.lease_id in unsure))

    async def wait(self) -> None:
        """Waits until everything is given back that has to be."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)

    async def _acquire(self, wanted: Sequence[Lease], unsure: set[str]) -> None:
        answers = await asyncio.gather(
            *(self._reserve(lease, unsure) for lease in wanted)
        )
        for lease, answer in zip(wanted, answers, strict=True):
            if answer is not dialects.LeaseAnswer.DONE:
                raise LeaseError(lease.endpoint.endpoint_id)

    async def _reserve(
        self, lease: Lease, unsure: set[str]
    ) -> dialects.LeaseAnswer:
        order = dialects.LeaseRequest(
            lease.lease_id, lease.tokens, self._hold_s
        )
        # Cancelled on the way, it may have been carried out all the same.
        was_unsure = lease.lease_id in unsure
        unsure.add(lease.lease_id)
        sent_s = self._timers.read_monotonic()
        reply = await self._client.reserve(lease.endpoint, order)
        self._statements.note_order(lease.endpoint, reply.statement, sent_s)
        answer = reply.answer
        if answer is not dialects.LeaseAnswer.UNSURE and not was_unsure:
            unsure.discard(lease.lease_id)
        return answer

    async def _renew(self, wanted: Sequence[Lease], unsure: set[str]) -> None:
        while True:
            await self._timers.sleep(RENEW_PART * self._hold_s)
            await asyncio.gather(
                *(self._reserve(lease, unsure) for lease in wanted)
            )

    async def _give_back(self, lease: Lease, was_unsure: bool) -> None:
        reply = await self._release(lease)
        if reply.answer is dialects.LeaseAnswer.UNSURE:
            await self._release(lease)
        if not was_unsure:
            return
        waited_s = 0.0
        for moment_s in LATE_RELEASES_S:
            await self._timers.sleep(moment_s - waited_s)
            waited_s = moment_s
            await self._release(lease)

    async def _release(self, lease: Lease) -> dialects.LeaseReply:
        sent_s = self._timers.read_monotonic()
        reply = await self._client.release(lease.endpoint, lease.lease_id)
        self._statements.note_order(lease.endpoint, reply.statement, sent_s)
        return reply

    def _start(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@contextlib.asynccontextmanager
async def open_holder(
    client: dialects.LeaseClient,
    bounds: settings_lib.ExchangeBounds,
    statement_handler: statements.StatementHandler,
    timers: timer_service.Timers,
) -> AsyncIterator[LeaseHolder]:
    """Opens a holder that gives everything back before it is closed.

    Args:
      client: orders memory at engines.
      bounds: how long it may be held.
      statement_handler: hears what engines say of themselves.
      timers: the clock.
    """
    holder = LeaseHolder(client, bounds, statement_handler, timers)
    try:
        yield holder
    finally:
        await holder.wait()
