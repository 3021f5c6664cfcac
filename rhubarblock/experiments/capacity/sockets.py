"""Probes over real sockets: load reports of engines and the platform's list.

HTTP dominates the cost of both. The answers come from servers in another
thread that send canned bytes and count them, so that the processor time is
that of the client alone.
"""

import abc
import asyncio
from collections.abc import AsyncIterator
import contextlib

import aiohttp

from rhubarblock.core import attempt as attempts
from rhubarblock.daemon import endpointwatch
from rhubarblock.experiments import loopthread
from rhubarblock.experiments.capacity import lists as capacitylists
from rhubarblock.experiments.capacity import meter as capacitymeter
from rhubarblock.experiments.capacity import probe as capacityprobe
from rhubarblock.experiments.capacity import routing as capacityrouting
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.fleet import enginewire
from rhubarblock.fleet import httpengine
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.placement import loadtable
from rhubarblock.store import instances

# Seconds to open connections, and of the measurement.
WARM_S = 0.6
RUN_S = 3.0
# Answers that an engine generates at a time at the target size: its share of
# the tokens a second, at 12 ms from token to token.
RUNNING = 25
_HEAD_END = b"\r\n\r\n"


class CannedServer:
    """Sends the same answer to every request.

    Attributes:
      received: bytes received.
      sent: bytes sent.
    """

    def __init__(self, body: bytes):
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.answer = head.encode() + body
        self.received = 0
        self.sent = 0

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[str]:
        """Serves while the context is open.

        Yields:
          The address, ``host:port``.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _CannedConnection(self), "127.0.0.1", 0
        )
        try:
            host, port = server.sockets[0].getsockname()[:2]
            yield f"{host}:{port}"
        finally:
            server.close()


class _CannedConnection(asyncio.Protocol):
    """One connection; requests have no body and are not pipelined."""

    def __init__(self, server: CannedServer):
        self._server = server
        self._transport: asyncio.WriteTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._server.received += len(data)
        if data.endswith(_HEAD_END) and self._transport is not None:
            self._transport.write(self._server.answer)
            self._server.sent += len(self._server.answer)


class _FixedList(instances.InstanceSource):
    """A source that returns a fixed list of engines."""

    def __init__(self, listed: list[instances.ListedInstance]):
        self._listed = listed

    async def fetch_instances(self) -> list[instances.ListedInstance]:
        return self._listed


@contextlib.asynccontextmanager
async def _run_servers(
    servers: list[CannedServer],
) -> AsyncIterator[list[str]]:
    """Runs servers in another thread while the context is open."""
    async with (
        loopthread.open_thread("canned answers") as thread,
        contextlib.AsyncExitStack() as stack,
    ):
        yield [
            await stack.enter_async_context(
                loopthread.open_in_thread(thread, server.run)
            )
            for server in servers
        ]


class PollProbe(capacityprobe.Probe):
    """Periodic polling of engines by an instance.

    Attributes:
      interval_s: polling interval in seconds.
    """

    lines: tuple[capacityprobe.Line, ...] = (
        capacityprobe.Line(capacityprobe.MESSAGES, ("1", "endpoints")),
        capacityprobe.Line(capacityprobe.BYTES, ("1", "endpoints")),
        capacityprobe.Line(capacityprobe.CPU, ("1", "endpoints")),
    )
    plan = tuple({"endpoints": float(x)} for x in (4, 8, 16, 32, 64))
    interval_s = 1.0

    @abc.abstractmethod
    def make_answer(self, name: str) -> bytes:
        """Returns the body of an engine's answer."""

    @abc.abstractmethod
    async def poll(self, watch: endpointwatch.EndpointWatch) -> None:
        """Polls every engine once."""

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return asyncio.run(self._run(int(sizes["endpoints"])))

    async def _run(self, engines: int) -> capacityprobe.Values:
        servers = [
            CannedServer(self.make_answer(f"engine-{number:04d}"))
            for number in range(engines)
        ]
        timers = timer_service.LoopTimers()
        async with (
            _run_servers(servers) as addresses,
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as session,
        ):
            listed = [
                capacitylists.make_line(n, x) for n, x in enumerate(addresses)
            ]
            table = loadtable.LoadTable()
            watch = make_watch(_FixedList(listed), session, table, timers)
            await watch.refresh_list()
            state = capacitymeter.measure_state
            with timers.subscribe(self.interval_s, lambda: self.poll(watch)):
                await timers.sleep(self.interval_s + WARM_S)
                before = _count(servers)
                started_s = capacityprobe.read_cpu()
                began_s = timers.read_monotonic()
                await timers.sleep(RUN_S)
                seconds = timers.read_monotonic() - began_s
                cpu_s = capacityprobe.read_cpu() - started_s
                after = _count(servers)
            return {
                capacityprobe.STATE: state([table, watch.states], (watch,)),
                capacityprobe.MESSAGES: 2 * (after[0] - before[0]) / seconds,
                capacityprobe.BYTES: (after[1] - before[1]) / seconds,
                capacityprobe.CPU: cpu_s / seconds,
            }


def _count(servers: list[CannedServer]) -> tuple[int, int]:
    """Returns the answers sent and the bytes of both directions so far."""
    answers = sum(x.sent // len(x.answer) for x in servers)
    return answers, sum(x.received + x.sent for x in servers)


class LoadProbe(PollProbe):
    """Load reports that an entry instance fetches from engines."""

    name = "loads"
    role = "entry instance"
    note = (
        "An instance asks every engine for its load report at its usual "
        "interval over HTTP on loopback; each report names 25 attempts."
    )
    lines = (
        *PollProbe.lines,
        capacityprobe.Line(capacityprobe.STATE, ("1", "endpoints")),
        capacityprobe.Line(capacityprobe.MEMORY, ("1", "endpoints")),
    )
    interval_s = endpointwatch.LOAD_INTERVAL_S

    def make_answer(self, name: str) -> bytes:
        return enginewire.encode_load(
            capacityrouting.make_report(name, running=RUNNING)
        )

    async def poll(self, watch: endpointwatch.EndpointWatch) -> None:
        await watch.refresh_loads()


class CacheProbe(PollProbe):
    """Cache events that the coordinator of a pool fetches from its engines."""

    name = "caches"
    role = "coordinator of endpoints"
    note = (
        "The coordinator of a pool asks every engine of it for its cache "
        "events at its usual interval over HTTP on loopback; each answer has "
        "10 events."
    )
    interval_s = endpointwatch.CACHE_INTERVAL_S

    def make_answer(self, name: str) -> bytes:
        return enginewire.encode_cache_events(
            [
                attempts.CacheEvent(number, f"{number:016x}", True)
                for number in range(1, 11)
            ]
        )

    async def poll(self, watch: endpointwatch.EndpointWatch) -> None:
        await watch.refresh_caches()


def make_watch(
    source: instances.InstanceSource,
    session: aiohttp.ClientSession,
    table: loadtable.LoadTable,
    timers: timer_service.Timers,
) -> endpointwatch.EndpointWatch:
    """Returns the endpoint watch of an instance that coordinates all pools."""
    return endpointwatch.EndpointWatch(
        source=source,
        client=httpengine.HttpEngineClient(session),
        table=table,
        states=endpointtables.EndpointTable(timers),
        timers=timers,
        is_coordinator=lambda service: True,
    )


class ListProbe(capacityprobe.Probe):
    """The platform's list, read directly from the platform."""

    name = "list"
    role = "reader of the list"
    note = (
        "A reader of the list reads it from the platform at its usual "
        "interval over HTTP on loopback and takes it into its table of "
        "endpoints."
    )
    lines = (
        capacityprobe.Line(capacityprobe.BYTES, ("1", "lines")),
        capacityprobe.Line(capacityprobe.CPU, ("1", "lines")),
        capacityprobe.Line(capacityprobe.READS, ("1", "lines")),
        capacityprobe.Line(capacityprobe.STATE, ("1", "lines")),
    )
    plan = tuple({"lines": float(x)} for x in (50, 100, 200, 400, 800))

    def run(self, sizes: capacityprobe.Sizes) -> capacityprobe.Values:
        return asyncio.run(self._run(int(sizes["lines"])))

    async def _run(self, lines: int) -> capacityprobe.Values:
        body = b"".join(
            instances.encode_instance(capacitylists.make_line(number)) + b"\n"
            for number in range(lines)
        )
        server = CannedServer(body)
        timers = timer_service.LoopTimers()
        async with (
            _run_servers([server]) as addresses,
            aiohttp.ClientSession() as session,
        ):
            source = instances.HttpInstanceSource(
                session, f"http://{addresses[0]}", "entry-0"
            )
            table = loadtable.LoadTable()
            watch = make_watch(source, session, table, timers)
            with timers.subscribe(
                endpointwatch.LIST_INTERVAL_S, watch.refresh_list
            ):
                await timers.sleep(WARM_S + endpointwatch.LIST_INTERVAL_S)
                before = _count([server])
                started_s = capacityprobe.read_cpu()
                began_s = timers.read_monotonic()
                await timers.sleep(RUN_S)
                seconds = timers.read_monotonic() - began_s
                cpu_s = capacityprobe.read_cpu() - started_s
                after = _count([server])
            return {
                capacityprobe.BYTES: (after[1] - before[1]) / seconds,
                capacityprobe.CPU: cpu_s / seconds,
                capacityprobe.READS: (after[0] - before[0]) / seconds,
                capacityprobe.STATE: capacitymeter.measure_state(
                    [watch.states], (watch,)
                ),
            }
