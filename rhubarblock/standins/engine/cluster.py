"""Engines in one process, and a client that reaches them without sockets."""

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
    """Engines by address, which read each other's KV cache in memory."""

    __slots__ = ("_engines",)

    def __init__(self) -> None:
        self._engines: dict[str, engines.Engine] = {}

    def add(self, engine: engines.Engine) -> None:
        """Adds an engine and lets it read from the others."""
        self._engines[engine.address] = engine
        engine.connect(self)

    def remove(self, address: str) -> None:
        """Takes an engine out; it isn't stopped."""
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
    """Client of the engines in a cluster, as one entry instance has it.

    A blocked address can't be reached: new calls fail, running streams stand
    still until it is unblocked, and the engine doesn't learn that a stream
    was closed.
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
          cluster: engines that it reaches.
          clock: timer service.
          latency_s: time one way in seconds, before and after each call and
            both ways before the first chunk of a stream.
          latencies_s: the same by address, where it differs.
        """
        self._cluster = cluster
        self._timers = clock
        self._latency_s = latency_s
        self._latencies_s = latencies_s or {}
        self._blocked: dict[str, asyncio.Event] = {}

    def block(self, address: str) -> None:
        """Cuts an address off."""
        self._blocked.setdefault(address, asyncio.Event())

    def unblock(self, address: str) -> None:
        """Lets an address be reached again."""
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
                engine.leave(request)

    async def cancel(self, address: str, attempt_id: str) -> bool:
        engine = await self._connect(address)
        known = engine.cancel(attempt_id)
        await self._return(address)
        return known

    async def fetch_load(self, address: str) -> endpoints.LoadReport:
        engine = await self._connect(address)
        report = engine.make_load_report()
        await self._return(address)
        return report

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> list[attempts.CacheEvent]:
        engine = await self._connect(address)
        events = engine.read_cache_events(after)
        await self._return(address)
        return events

    async def give_order(
        self, address: str, order: attempts.Order
    ) -> endpoints.LoadReport:
        engine = await self._connect(address)
        state = engine.obey(order)
        await self._return(address)
        return state

    async def _connect(self, address: str) -> engines.Engine:
        """Returns an engine once it answers.

        Raises:
          failure.FailureError: it can't be reached; the verdict is NOT_RUN.
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

    async def _return(self, address: str) -> None:
        """Brings an answer back, unless the way is cut off by now."""
        await self._delay(address)
        if address in self._blocked:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.ENDPOINT_FAILED,
                    f"the connection to {address} broke",
                    verdicts.Verdict.MAY_HAVE_RUN,
                )
            )
