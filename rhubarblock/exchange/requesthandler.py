"""Handles callers' HTTP requests: reads, authenticates, routes, relays."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hashlib
import logging
import random

from aiohttp import web

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import homes
from rhubarblock.core import route as routes
from rhubarblock.exchange import callerbuffer
from rhubarblock.exchange import dialect as dialects
from rhubarblock.exchange import durations
from rhubarblock.exchange import memoryaccount
from rhubarblock.exchange import relay as relays
from rhubarblock.exchange import sink as sinks
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import apierrors

# Seconds for which a request waits for the lease of the configuration, as after
# a frozen process resumes: one read of the store and some slack.
LEASE_WAIT_S = 0.3
# Seconds for which a request waits at an instance that has just started: the
# first read is in progress and ends before a refused caller would retry.
START_WAIT_S = 1.0
# Retry-After in seconds of a caller that could not be authenticated because the
# configuration has no valid lease.
LEASE_RETRY_S = 1.0
# Retry-After in seconds of a caller that is refused by an instance which is
# about to stop: another instance can serve it at once.
LEAVING_RETRY_S = 0.05
# Seconds for which a body waits for memory, and Retry-After in seconds of one
# that got none. Most requests end within a second and release theirs.
BODY_WAIT_S = 0.5
BODY_RETRY_S = 1.0
# Seconds within which a body must arrive if its caller states no deadline, and
# whatever it states, so that a caller that sends slowly does not hold memory
# for long: 4 MB take 3.4 s over 10 Mbit/s.
BODY_READ_S = 15.0
MAX_BODY_READ_S = 60.0
# Bytes that the chunked encoding adds to a piece, and the head of an answer
# that is written with the first piece, at most.
CHUNK_OVERHEAD_BYTES = 16_384

_ANSWERS = memoryaccount.Kind.ANSWERS
_BODIES = memoryaccount.Kind.BODIES

_logger = logging.getLogger(__name__)


class RequestHandler:
    """Handles the requests of callers."""

    __slots__ = (
        "_config_lease",
        "_dialect",
        "_durations",
        "_lifecycle",
        "_listed",
        "_memory",
        "_metrics",
        "_relay",
        "_rng",
        "_timers",
    )

    def __init__(
        self,
        config_lease: config_leases.ConfigurationLease,
        dialect: dialects.Dialect,
        relay: relays.ExchangeRelay,
        listed: asyncio.Event,
        lifecycle: lifecycles.InstanceLifecycle,
        timers: timer_service.Timers,
        metrics: metric_store.Metrics,
        rng: random.Random,
        memory: memoryaccount.MemoryAccount | None = None,
    ):
        """Creates a handler.

        Args:
          config_lease: the configuration in force.
          dialect: header fields of the deployment.
          relay: serves exchanges.
          listed: set once endpoints are known.
          lifecycle: counts requests in flight.
          timers: the clock.
          metrics: counters.
          rng: splits requests between the services of a route.
          memory: bounds what is held for callers; None: no bound.
        """
        self._config_lease = config_lease
        self._dialect = dialect
        self._relay = relay
        self._listed = listed
        self._lifecycle = lifecycle
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self._memory = memory
        self._durations = durations.RouteDurations()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request of a caller."""
        arrived_s = self._timers.read_monotonic()
        sink = HttpSink(request, self._lifecycle)
        self._metrics.count("exchange.requests")
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._lifecycle.track_request())
            share = None
            if self._memory is not None:
                share = stack.enter_context(self._memory.open_share())
            try:
                exchange = await self._read_exchange(request, arrived_s, share)
                read_s = self._timers.read_monotonic()
                self._check_time_left(exchange, read_s)
                caller: sinks.Sink = sink
                if share is not None:
                    caller = stack.enter_context(
                        callerbuffer.open_buffer(
                            sink,
                            share,
                            exchange.request_id,
                            self._timers,
                            self._metrics,
                        )
                    )
                with self._durations.track(exchange.route.name, read_s):
                    await self._relay.serve(exchange, caller)
                self._durations.note(
                    exchange.route.name,
                    self._timers.read_monotonic() - read_s,
                )
            except failures.FailureError as error:
                if share is not None and sink.begun and share.held[_ANSWERS]:
                    # Unsent data would be kept until this caller reads it.
                    sink.abort()
                return self._answer_failure(request, sink, error.failure)
            assert sink.response is not None
            return sink.response

    def _check_time_left(
        self, exchange: exchanges.Exchange, now_s: float
    ) -> None:
        """Refuses what may not end before a planned stop cuts it.

        Raises:
          failures.FailureError: it is refused; NOT_RUN.
        """
        ends_s = self._lifecycle.drain_ends_s - relays.ANSWER_RESERVE_S
        route = exchange.route
        if exchange.deadline_s > ends_s and not self._durations.fits(
            route.name, now_s, ends_s, route.repeatable
        ):
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.DRAINING,
                    "it may not end before this instance stops",
                    retry_after_s=LEAVING_RETRY_S,
                )
            )

    def _answer_failure(
        self,
        request: web.BaseRequest,
        sink: "HttpSink",
        failure: failures.Failure,
    ) -> web.StreamResponse:
        self._metrics.count(f"exchange.failed.{failure.code.value}")
        _logger.warning(
            "request failed",
            extra={
                "request": self._dialect.read_caller(
                    request.headers
                ).request_id,
                "path": request.rel_url.raw_path,
                "code": failure.code.value,
                "reason": failure.message,
                "verdict": failure.verdict.value,
                "begun": sink.begun,
                "retry_after_s": failure.retry_after_s,
                "configuration": self._config_lease.version,
                "configuration_age_s": self._describe_age(),
            },
        )
        if sink.response is not None:
            sink.cut()
            return sink.response
        response = apierrors.make_response(failure)
        if failure.retry_after_s is not None:
            # Callers accept fractions of seconds, which spread retries better.
            response.headers["Retry-After"] = f"{failure.retry_after_s:g}"
        if _closes_connection(request, self._lifecycle):
            response.force_close()
        return response

    def _describe_age(self) -> float | None:
        """Returns the age of the configuration in seconds, None without one."""
        if self._config_lease.table is None:
            return None
        return round(self._config_lease.age_s, 2)

    async def _read_body(
        self,
        request: web.BaseRequest,
        bounds: routes.CallerBounds,
        share: memoryaccount.Share | None,
    ) -> bytes:
        """Reads a body, within the memory that its connection may hold.

        Raises:
          failures.FailureError: the request is refused.
        """
        if share is None:
            return await _read_body(request, bounds)
        fields = self._dialect.read_caller(request.headers)
        # In this order, a deadline that is no number counts as the maximum.
        read_s = min(MAX_BODY_READ_S, fields.remaining_s or BODY_READ_S)

        async def hold(size: int) -> None:
            await self._hold_body(share, size, fields)

        try:
            async with asyncio.timeout(read_s):
                declared = request.content_length
                if declared is None:
                    return await _read_body(request, bounds, hold)
                if 0 < declared <= bounds.body_bytes:
                    await hold(declared)
                return await _read_body(request, bounds)
        except TimeoutError:
            raise apierrors.make_rejection(
                failures.FailureCode.DEADLINE_EXCEEDED,
                "the body did not arrive in time",
            ) from None

    async def _hold_body(
        self,
        share: memoryaccount.Share,
        size: int,
        fields: dialects.CallerFields,
    ) -> None:
        """Waits briefly for the memory of a body.

        Raises:
          failures.FailureError: none became free; the request did not run.
        """
        if share.try_hold_first(_BODIES, size):
            return
        account = share.account
        self._metrics.count("memory.bodies_waited")
        started_s = self._timers.read_monotonic()
        if await share.wait_hold(_BODIES, size, BODY_WAIT_S):
            return
        self._metrics.count("memory.bodies_refused")
        _logger.warning(
            "no memory for a body",
            extra={
                "request": fields.request_id,
                "size": size,
                "held_bodies": account.held[_BODIES],
                "held_total": account.total,
                "limit": account.limit,
                "waiting": account.count_waiting(),
                "waited_s": round(self._timers.read_monotonic() - started_s, 3),
            },
        )
        raise failures.FailureError(
            failures.Failure(
                failures.FailureCode.QUEUE_FULL,
                "no memory is free for the body",
                retry_after_s=BODY_RETRY_S,
            )
        )

    async def _read_exchange(
        self,
        request: web.BaseRequest,
        arrived_s: float,
        share: memoryaccount.Share | None,
    ) -> exchanges.Exchange:
        """Reads a request and checks its key and route.

        Raises:
          failures.FailureError: the request is refused.
        """
        table = self._config_lease.table
        bounds = self._config_lease.bounds
        body = await self._read_body(request, bounds, share)
        wait_s = START_WAIT_S if table is None else LEASE_WAIT_S
        table = await self._config_lease.wait_valid(wait_s)
        if not self._listed.is_set():
            # At startup the list arrives right after the configuration.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEASE_WAIT_S):
                    await self._listed.wait()
        if table is None:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.PLATFORM_UNAVAILABLE,
                    "the configuration can't be confirmed at present",
                    retry_after_s=LEASE_RETRY_S,
                )
            )
        fields = self._dialect.read_caller(request.headers)
        route = table.find_route(request.host, request.rel_url.raw_path)
        if route is None:
            raise apierrors.make_rejection(
                failures.FailureCode.UNKNOWN_SERVICE, "no route has this path"
            )
        workspace = _find_workspace(table, route, fields.key)
        wait_s = route.timeout_s
        if fields.remaining_s:
            wait_s = min(wait_s, fields.remaining_s)
        return exchanges.Exchange(
            request_id=fields.request_id,
            method=request.method,
            target=request.raw_path,
            headers=self._dialect.filter_request_headers(
                request.headers.items(), request.headers.get("Connection", "")
            ),
            body=body,
            route=route,
            service=self._choose_service(table, route),
            workspace=workspace.name if workspace else "",
            priority=_find_priority(route, workspace),
            arrived_s=arrived_s,
            deadline_s=arrived_s + wait_s,
            prompt_tokens=fields.prompt_tokens,
            answer_tokens=fields.answer_tokens,
            last_event=fields.last_event,
            digest=_digest(request, workspace, body),
            prompt_parts=fields.prompt_parts,
            home_regions=homes.combine(
                route.home_regions,
                workspace.home_regions if workspace else frozenset(),
            ),
        )

    def _choose_service(
        self, table: routes.RoutingTable, route: routes.Route
    ) -> routes.ServiceSpec:
        weights = [share.weight for share in route.shares]
        share = self._rng.choices(route.shares, weights)[0]
        return table.services[share.service]


class HttpSink(sinks.Sink):
    """Writes an answer to a caller's connection."""

    __slots__ = ("_lifecycle", "_request", "response")

    def __init__(
        self, request: web.BaseRequest, lifecycle: lifecycles.InstanceLifecycle
    ):
        self._request = request
        self._lifecycle = lifecycle
        self.response: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        return self.response is not None

    async def begin(
        self,
        status: int,
        headers: tuple[exchanges.Header, ...],
        length: int | None,
    ) -> None:
        response = web.StreamResponse(status=status)
        for header in headers:
            response.headers.add(header.name, header.value)
        if length is None:
            response.enable_chunked_encoding()
        else:
            response.content_length = length
        if _closes_connection(self._request, self._lifecycle):
            response.force_close()
        self.response = response
        with _cancel_on_disconnect():
            await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        assert self.response is not None
        if data:
            with _cancel_on_disconnect():
                await self.response.write(data)

    async def finish(self) -> None:
        assert self.response is not None
        with _cancel_on_disconnect():
            await self.response.write_eof()

    def cut(self) -> None:
        transport = self._request.transport
        if transport is not None:
            transport.close()

    def abort(self) -> None:
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def fits(self, size: int) -> bool:
        transport = self._request.transport
        if transport is None:
            return True
        _, most = transport.get_write_buffer_limits()
        buffered = transport.get_write_buffer_size()
        return buffered + size + CHUNK_OVERHEAD_BYTES <= most


def _closes_connection(
    request: web.BaseRequest, lifecycle: lifecycles.InstanceLifecycle
) -> bool:
    """Returns whether the connection closes after this answer.

    A pipelined request that has already been read is answered first.
    """
    if not (
        lifecycle.closes_connections
        or lifecycle.state is lifecycles.LifecycleState.DRAINING
    ):
        return False
    return not request.protocol._messages


@contextlib.contextmanager
def _cancel_on_disconnect():  # type: ignore[no-untyped-def]
    """Treats a caller that disconnected as a cancelled exchange."""
    try:
        yield
    except ConnectionError as error:
        raise asyncio.CancelledError from error


async def _hold_nothing(size: int) -> None:
    del size


async def _read_body(
    request: web.BaseRequest,
    bounds: routes.CallerBounds,
    hold: Callable[[int], Awaitable[None]] = _hold_nothing,
) -> bytes:
    """Reads a body; ``hold`` is awaited with the size of each piece."""
    pieces = []
    size = 0
    while data := await request.content.readany():
        size += len(data)
        if size > bounds.body_bytes:
            raise apierrors.make_rejection(
                failures.FailureCode.BODY_TOO_LARGE,
                f"the body is over {bounds.body_bytes} bytes",
            )
        await hold(len(data))
        pieces.append(data)
    return b"".join(pieces)


def _find_workspace(
    table: routes.RoutingTable, route: routes.Route, key: str
) -> routes.Workspace | None:
    if route.anonymous or table.keys is None:
        return None
    workspace = table.keys.get(key)
    if workspace is None:
        raise apierrors.make_rejection(
            failures.FailureCode.UNAUTHENTICATED, "the key is not known"
        )
    return workspace


def _find_priority(
    route: routes.Route, workspace: routes.Workspace | None
) -> int:
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def _digest(
    request: web.BaseRequest, workspace: routes.Workspace | None, body: bytes
) -> str:
    owner = workspace.name if workspace else ""
    digest = hashlib.sha256(f"{request.raw_path}\0{owner}\0".encode())
    digest.update(body)
    return digest.hexdigest()[:32]
