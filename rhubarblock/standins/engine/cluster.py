"""Engines in one process and a client that calls them without sockets."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Iterator
import contextlib

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import verdict as verdicts
from rhubarblock.fleet import engineclient
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import exports as engineexport


class EngineCluster(engineexport.KvTransport):
    """Engines by address that read each other's KV cache in memory."""

    __slots__ = ("_engines",)

    def __init__(self) -> None:
        self._engines: dict[str, engines.Engine] = {}

    def add(self, engine: engines.Engine) -> None:
        """Adds an engine and makes it read exports within the cluster."""
        self._engines[engine.address] = engine
        engine.connect(self)

    def remove(self, address: str) -> None:
        """Removes an engine without stopping it."""
        del self._engines[address]

    def get(self, address: str) -> engines.Engine | None:
        """Returns the engine at an address, or None."""
        return self._engines.get(address)

    def __getitem__(self, address: str) -> engines.Engine:
        return self._engines[address]

    def __iter__(self) -> Iterator[engines.Engine]:
        return iter(self._engines.values())

    def __len__(self) -> int:
        return len(self._engines)

    async def read_kv(
        self, address: str, request: engineexport.ReadRequest
    ) -> AsyncGenerator[engineexport.ReadEvent, None]:
        engine = self._engines.get(address)
        if engine is None or not engine.reachable:
            raise failures.FailureError(
                engineexport.make_lost_failure(request.handle)
            )
        async with contextlib.aclosing(engine.read_kv(request)) as events:
            async for event in events:
                yield event


class MemoryEngineClient(engineclient.EngineClient):
    """Client of the engines in a cluster, as used by one entry instance.

    While an address is blocked, new calls to it fail, open streams stall, and
    closing a stream does not cancel its attempt on the engine.
    """

    __slots__ = (
        "_blocked",
        "_cluster",
        "_latencies_s",
        "_latency_s",
        "_timers",
    )

    def __init__(
        self,
        cluster: EngineCluster,
        clock: timers.Timers,
        latency_s: float = 0.0,
        latencies_s: dict[str, float] | None = None,
    ):
        """Creates a client.

        Args:
          cluster: engines to call.
          clock: timer service.
          latency_s: one-way latency in seconds. A call takes it once before
            and once after the engine handles it; a stream takes it twice
            before its first chunk.
          latencies_s: latency by address where it differs.
        """
        self._cluster = cluster
        self._timers = clock
        self._latency_s = latency_s
        self._latencies_s = latencies_s or {}
        self._blocked: dict[str, asyncio.Event] = {}

    def block(self, address: str) -> None:
        """Makes an address unreachable."""
        self._blocked.setdefault(address, asyncio.Event())

    def unblock(self, address: str) -> None:
        """Makes an address reachable again."""
        unblocked = self._blocked.pop(address, None)
        if unblocked is not None:
            unblocked.set()

    async def generate(
        self, address: str, attempt: attempts.Attempt
    ) -> AsyncGenerator[attempts.Chunk, None]:
        engine = await self._connect(address)
        await self._delay(address)
        request = engine.submit(attempt)
        stream = request.stream
        items = stream.items
        blocked = self._blocked
        try:
            while True:
                if not items:
                    if stream.closed:
                        break
                    await stream.make_waiter()
                if address in blocked:
                    await blocked[address].wait()
                while items:
                    yield items.popleft()
            if stream.failure is not None:
                raise failures.FailureError(stream.failure)
        finally:
            if address not in blocked:
                engine.release(request)

    async def cancel(self, address: str, attempt_id: str) -> bool:
        engine = await self._connect(address)
        known = engine.cancel(attempt_id)
        await self._return_answer(address)
        return known

    async def fetch_load(self, address: str) -> endpoints.LoadReport:
        engine = await self._connect(address)
        report = engine.make_load_report()
        await self._return_answer(address)
        return report

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> list[attempts.CacheEvent]:
        engine = await self._connect(address)
        events = engine.read_cache_events(after)
        await self._return_answer(address)
        return events

    async def give_order(
        self, address: str, order: attempts.Order
    ) -> endpoints.LoadReport:
        engine = await self._connect(address)
        state = engine.apply_order(order)
        await self._return_answer(address)
        return state

    async def _connect(self, address: str) -> engines.Engine:
        """Returns an engine once it is reachable and not paused.

        Raises:
          failure.FailureError: it is unreachable; the verdict is NOT_RUN.
        """
        await self._delay(address)
        engine = self._find(address)
        await engine.wait_for_pause()
        return self._find(address)

    def _find(self, address: str) -> engines.Engine:
        engine = self._cluster.get(address)
        reachable = engine is not None and engine.reachable
        if engine is None or not reachable or address in self._blocked:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.ENDPOINT_FAILED,
                    f"no connection to {address}",
                )
            )
        return engine

    async def _delay(self, address: str) -> None:
        latency_s = self._latencies_s.get(address, self._latency_s)
        if latency_s:
            await self._timers.sleep(latency_s)

    async def _return_answer(self, address: str) -> None:
        """Delays an answer; fails if the address is blocked by then."""
        await self._delay(address)
        if address in self._blocked:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.ENDPOINT_FAILED,
                    f"the connection to {address} broke",
                    verdicts.Verdict.MAY_HAVE_RUN,
                )
            )
