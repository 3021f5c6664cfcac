"""Test doubles for the tests of exchanges."""

import asyncio
import contextlib
import dataclasses
import functools
import random

import aiohttp
from aiohttp import web

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed
from rhubarblock.core import route as routes
from rhubarblock.exchange import admission
from rhubarblock.exchange import attempts
from rhubarblock.exchange import candidates
from rhubarblock.exchange import crashes
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import endpointlimits
from rhubarblock.exchange import leases
from rhubarblock.exchange import outcomes
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import placer as placers
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange import relay as relays
from rhubarblock.exchange import requesthandler
from rhubarblock.exchange import retrybudgets
from rhubarblock.exchange import sink as sinks
from rhubarblock.exchange import statements
from rhubarblock.exchange import transport as transports
from rhubarblock.exchange.peering import limitupdates
from rhubarblock.exchange.peering import quarantineupdates
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.platform import dialect as platform_dialect
from rhubarblock.platform import names
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.endpointlimits import peers as limitpeers
from rhubarblock.routing.placement import jobtracker
from rhubarblock.routing.retrylending import peers as loanpeers
from rhubarblock.settings import exchange as settings_lib

ATTEMPT = names.ATTEMPT_ID
SEAL = names.SEAL

MODEL = routes.EngineCostModel(
    slots=8,
    kv_capacity_tokens=450_000,
    stride=46,
    step_ms=0.925,
    sequence_ms=0.00966,
    context_ms=0.00254,
    prefill_tokens_per_ms=256.0,
    pair_ms=0.0917,
    chunk_tokens=2048,
    hop_ms=0.1,
)
SERVICE = routes.ServiceSpec("desk", "/health", 100, None)
ENGINES = routes.ServiceSpec("pool", "/health", 100, MODEL)
REGIONS = {"osu-hall": "accra", "oda-hall": "kumasi"}
BOUNDS = settings_lib.ExchangeBounds(retry_ratio=0.2, retry_slack=100)


def make_route(kind=routes.RouteKind.IDEMPOTENT, **changes):
    route = routes.Route(
        name="r-1",
        host="desk.example",
        path_prefix="/a/",
        kind=kind,
        shares=(routes.ServiceShare("desk", 1.0),),
        max_attempts=2,
        timeout_s=2.0,
        objective_s=0.3,
        pause_s=0.2 if kind is routes.RouteKind.STREAMING else 0.0,
        priority=1,
        anonymous=False,
        resumable=kind is routes.RouteKind.STREAMING,
    )
    return dataclasses.replace(route, **changes)


def make_exchange(route=None, service=SERVICE, **changes):
    made = exchanges.Exchange(
        request_id="q1",
        method="POST",
        target="/a/b%2Fc?d=e",
        headers=(exchanges.Header(ATTEMPT, "q1"),),
        body=b"body",
        route=route or make_route(),
        service=service,
        workspace="members",
        priority=1,
        arrived_s=asyncio.get_running_loop().time(),
        deadline_s=asyncio.get_running_loop().time() + 2.0,
    )
    return dataclasses.replace(made, **changes)


def make_endpoint(number, address="127.0.0.1:1", service="desk"):
    return listed.ListedEndpoint(
        f"e{number}", address, "osu-hall", service, 6, False
    )


class ScriptedEndpoint:
    """Answers each request with the next script, over a real socket.

    A script is a coroutine function of a request's head and a writer.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.heads = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.address = ""
        self.server = None

    @contextlib.asynccontextmanager
    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            self.server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        await reader.readexactly(int(line.split(":")[1]))
                self.heads.append(head)
                await self.scripts.pop(0)(head, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            pass
        finally:
            self.closed.set()
            writer.close()


def whole(body=b"ok", status="200 OK", extra="", request_id="q1", seal=True):
    """Returns a script that sends a complete answer."""

    async def script(head, writer):
        sealed = f"{SEAL}: s\r\n" if seal else ""
        writer.write(
            f"HTTP/1.1 {status}\r\n{ATTEMPT}: {request_id}\r\n{sealed}{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    return script


def events(*numbers, end=True, partial=b"", extra=""):
    """Returns a script that streams events, and then ends or resets."""

    async def script(head, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{ATTEMPT}: q1\r\n{SEAL}: s\r\n{extra}"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in numbers:
            write_chunk(writer, b"id: %d\ndata: x\n\n" % number)
        if partial:
            write_chunk(writer, partial)
        if end:
            writer.write(b"0\r\n\r\n")
        else:
            await writer.drain()
            raise ConnectionResetError

    return script


def write_chunk(writer, data):
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class NoLeases(dialects.LeaseClient):
    async def reserve(self, endpoint, request):
        return dialects.LeaseReply(dialects.LeaseAnswer.DONE)

    async def release(self, endpoint, lease_id):
        return dialects.LeaseReply(dialects.LeaseAnswer.DONE)


class NoPeers(limitpeers.LimitPeers):
    """No other instance."""

    def count_users(self, endpoint_id):
        return 1

    def choose_coordinator(self, endpoint_id, silent):
        return limitpeers.SELF

    def send_request(self, peer, request):
        raise AssertionError

    def send_grant(self, peer, grant):
        raise AssertionError

    def send_report(self, peer, report):
        raise AssertionError

    def broadcast_report(self, report):
        pass


class NoLenders(loanpeers.LoanPeers):
    """No other instance."""

    def list_names(self, near):
        return []

    def send_request(self, peer, request):
        raise AssertionError

    def send_grant(self, peer, grant):
        raise AssertionError


def make_statement_handler(limits, timers, directory=None):
    metrics = metric_store.Metrics()
    return statements.StatementHandler(
        directory or directories.Directory(timers),
        limits,
        cooldowns.Cooldowns(metrics),
        timers,
        metrics,
    )


def make_limits(timers):
    return endpointlimits.EndpointLimits(
        NoPeers(), random.Random(1), timers, metric_store.Metrics()
    )


class MemorySink(sinks.Sink):
    """Records what a caller would receive."""

    def __init__(self):
        self.status = None
        self.headers = ()
        self.body = b""
        self.finished = False

    @property
    def begun(self):
        return self.status is not None

    async def begin(self, status, headers, length):
        self.status = status
        self.headers = headers

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.finished = True

    def cut(self):
        pass


class Parts:
    """The components around a relay, with real sockets to endpoints."""

    def __init__(self, sessions):
        self.timers = timer_service.LoopTimers()
        self.dialect = platform_dialect.PlatformDialect()
        self.directory = directories.Directory(self.timers)
        self.job_tracker = jobtracker.JobTracker()
        self.health = healths.Health("osu-hall")
        self.metrics = metric_store.Metrics()
        self.lifecycle = lifecycles.InstanceLifecycle()
        self.listed = asyncio.Event()
        self.listed.set()
        self.config_lease = config_leases.ConfigurationLease(BOUNDS.revoke_s)
        self.subsets = subsets.Subsets(self.directory)
        table = peer_table.PeerTable("i1", "osu-hall", self.timers)
        self.updates = peer_updates.PeerUpdates(
            "i1",
            "s1",
            "osu-hall",
            self.job_tracker,
            self.health,
            self.subsets,
            table,
            self.timers,
            self.metrics,
        )
        self.limits = endpointlimits.EndpointLimits(
            limitupdates.DatagramLimitPeers(
                self.updates, table, self.subsets, "i1", "osu-hall", self.timers
            ),
            random.Random(1),
            self.timers,
            self.metrics,
        )
        self.cooldowns = cooldowns.Cooldowns(self.metrics)
        self.placer = placers.Placer(
            self.directory,
            self.job_tracker,
            self.health,
            self.updates,
            candidates.Candidates(
                self.directory,
                self.health,
                self.subsets,
                self.limits,
                self.cooldowns,
                "i1",
                "osu-hall",
                self.timers,
                random.Random(1),
                REGIONS,
            ),
            self.limits,
            self.cooldowns,
            "osu-hall",
            self.timers,
        )
        self.statements = statements.StatementHandler(
            self.directory,
            self.limits,
            self.cooldowns,
            self.timers,
            self.metrics,
        )
        self.sessions = sessions
        self.memory = None
        self.transport = transports.EndpointTransport(sessions, self.dialect)
        runner = attempts.AttemptRunner(
            self.placer,
            self.transport,
            self.health,
            leases.LeaseHolder(
                NoLeases(), BOUNDS, self.statements, self.timers
            ),
            self.statements,
            self.timers,
        )
        peers = quarantineupdates.DatagramQuarantinePeers(
            self.updates, table, "i1", self.timers, random.Random(1)
        )
        self.quarantine = quarantines.ExchangeQuarantine(
            peers, self.timers, self.metrics
        )
        quarantineupdates.connect(
            self.updates, peers, self.quarantine, self.timers
        )
        paths = endpoint_paths.EndpointPaths(
            self.directory.find_at,
            self.directory.list_usable,
            self.timers,
            self.metrics,
        )
        self.relay = relays.ExchangeRelay(
            self.placer,
            runner,
            outcomes.OutcomeRecorder(
                self.health,
                self.updates,
                retrybudgets.RetryBudgets(
                    NoLenders(),
                    lambda: 8,
                    BOUNDS,
                    random.Random(1),
                    self.metrics,
                    is_first_start=True,
                ),
                paths,
                self.timers,
                self.metrics,
            ),
            crashes.CrashDetector(
                self.quarantine,
                self.timers,
                functools.partial(crashes.has_crashed, dialers.Dialer(paths)),
            ),
            self.quarantine,
            admission.ExchangeAdmission(
                controllers.AdmissionController(random.Random(1)),
                self.timers,
                self.metrics,
            ),
            self.timers,
            paths,
        )

        self.lifecycle.add_drain_listener(self.relay.note_drain_end)

    def add_endpoints(self, *endpoints, service="desk"):
        for number, endpoint in enumerate(endpoints, 1):
            self.directory.update(
                make_endpoint(number, endpoint.address, service)
            )

    def make_request_handler(self, rng):
        return requesthandler.RequestHandler(
            self.config_lease,
            self.dialect,
            self.relay,
            self.listed,
            self.lifecycle,
            self.timers,
            self.metrics,
            rng,
            self.memory,
        )


@contextlib.asynccontextmanager
async def open_parts(*endpoints, service="desk"):
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.open())
        sessions = await stack.enter_async_context(
            transports.open_sessions(ATTEMPT)
        )
        parts = Parts(sessions)
        parts.add_endpoints(*endpoints, service=service)
        yield parts


@contextlib.asynccontextmanager
async def open_callers(parts, table, seed=1):
    """Listens for callers and yields the URL of the instance."""
    parts.lifecycle.mark_ready()
    if table is not None:
        parts.config_lease.install(table, parts.config_lease.read_clock())
    handler = parts.make_request_handler(random.Random(seed))
    server = web.Server(handler.handle, handler_cancellation=True)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    yield f"http://127.0.0.1:{port}"
    listener.close()
    await server.shutdown(0.1)


@contextlib.asynccontextmanager
async def open_plain_session():
    async with aiohttp.ClientSession() as session:
        yield session
