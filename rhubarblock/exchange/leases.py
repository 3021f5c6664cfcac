"""Memory leases at engines for a prompt that is too large for one of them.

Either all engines of a prompt grant their lease or none is kept: no request
waits for a lease while it holds others, so two instances cannot deadlock.
Leases are short and are renewed while the prompt runs, so those of a lost
instance expire. They are released on every exit path.
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

# Duration of a lease, as a fraction of the time within which memory must be
# free after its request ended: the lease of a lost holder expires in time.
HOLD_FRACTION = 0.85
# Fraction of its duration after which a lease is renewed; if one renewal is
# lost, the next is still in time.
RENEW_FRACTION = 0.42
# Seconds after a request without an answer at which the lease is released
# again: the engine may carry out such a request up to twelve seconds late.
LATE_RELEASES_S = (2.5, 5.0, 8.0, 12.5)

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """A memory lease at one engine.

    Attributes:
      endpoint: the engine.
      lease_id: id, unique over all instances and attempts.
      tokens: amount of memory in tokens.
    """

    endpoint: lists.ListedEndpoint
    lease_id: str
    tokens: int


class LeaseError(failures.FailureError):
    """An engine did not grant a lease; the exchange was not sent.

    Attributes:
      endpoint_id: id of the engine.
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
    """Acquires, renews and releases the leases of one instance."""

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
        self._hold_s = min(
            HOLD_FRACTION * bounds.lease_free_s, bounds.lease_max_s
        )
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def hold(self, wanted: Sequence[Lease]) -> AsyncIterator[None]:
        """Holds leases while the context is open.

        Args:
          wanted: one lease per engine; usually none.

        Raises:
          LeaseError: an engine did not grant its lease.
          statements.EvacuatedError: an engine's data centre is evacuated;
            nothing was sent.
        """
        if not wanted:
            yield
            return
        self._statements.check_evacuated(lease.endpoint for lease in wanted)
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
                self._start_task(
                    self._release_reliably(lease, lease.lease_id in unsure)
                )

    async def wait(self) -> None:
        """Waits until all leases are released, for a second at most."""
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
        request = dialects.LeaseRequest(
            lease.lease_id, lease.tokens, self._hold_s
        )
        # If this task is cancelled, the engine may carry out the request
        # anyway.
        was_unsure = lease.lease_id in unsure
        unsure.add(lease.lease_id)
        sent_s = self._timers.read_monotonic()
        reply = await self._client.reserve(lease.endpoint, request)
        self._statements.note_partial_answer(
            lease.endpoint, reply.statement, sent_s
        )
        answer = reply.answer
        if answer is not dialects.LeaseAnswer.UNSURE and not was_unsure:
            unsure.discard(lease.lease_id)
        return answer

    async def _renew(self, wanted: Sequence[Lease], unsure: set[str]) -> None:
        while True:
            await self._timers.sleep(RENEW_FRACTION * self._hold_s)
            await asyncio.gather(
                *(self._reserve(lease, unsure) for lease in wanted)
            )

    async def _release_reliably(self, lease: Lease, was_unsure: bool) -> None:
        reply = await self._release(lease)
        if reply.answer is dialects.LeaseAnswer.UNSURE:
            await self._release(lease)
        if not was_unsure:
            return
        waited_s = 0.0
        for delay_s in LATE_RELEASES_S:
            await self._timers.sleep(delay_s - waited_s)
            waited_s = delay_s
            await self._release(lease)

    async def _release(self, lease: Lease) -> dialects.LeaseReply:
        sent_s = self._timers.read_monotonic()
        reply = await self._client.release(lease.endpoint, lease.lease_id)
        self._statements.note_partial_answer(
            lease.endpoint, reply.statement, sent_s
        )
        return reply

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@contextlib.asynccontextmanager
async def open_holder(
    client: dialects.LeaseClient,
    bounds: settings_lib.ExchangeBounds,
    statement_handler: statements.StatementHandler,
    timers: timer_service.Timers,
) -> AsyncIterator[LeaseHolder]:
    """Opens a holder that waits for releases when it is closed.

    Args:
      client: sends lease requests to engines.
      bounds: time within which memory must be free.
      statement_handler: handles what engines state about themselves.
      timers: the clock.
    """
    holder = LeaseHolder(client, bounds, statement_handler, timers)
    try:
        yield holder
    finally:
        await holder.wait()
