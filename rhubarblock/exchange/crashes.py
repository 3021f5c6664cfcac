"""Detects endpoint crashes and what may have caused them.

When a connection breaks within an answer, the endpoint is probed once: only one
that refuses connections has crashed. A machine that goes dark breaks nothing:
after a request without an answer, the endpoint has crashed if it takes no
connection for some time while its neighbours do. The requests that ran there
are the evidence for the quarantine.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import logging
import math

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import listed as lists
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.quarantine import partregistry
from rhubarblock.routing.quarantine import registry as quarantineregistry

# Timeout of a probe in seconds.
PROBE_TIMEOUT_S = 0.3
# Longest wait in seconds of a broken request for a probe. A crash shows sooner;
# an endpoint that is silent must not delay the next attempt.
CRASH_WAIT_S = 0.05
# Connections that are tried to an endpoint that kept silent, and the pause
# between two of them in seconds. A sound endpoint may be silent for a second.
SILENCE_PROBES = 3
SILENCE_PAUSE_S = 0.5
# Seconds after a crash of an endpoint within which requests that got no answer
# there show no other one.
KNOWN_CRASH_S = 10.0
# Most endpoints of which is kept when they last answered.
MAX_ANSWERED = 4096
# Seconds from the begin of an answer within which the request that causes a
# crash does so.
CRASH_LAG_S = 0.5

_logger = logging.getLogger(__name__)

Probe = Callable[[str], Awaitable[bool]]


class Reach(enum.Enum):
    """Result of a connection to an endpoint."""

    OPEN = "open"
    REFUSED = "refused"
    # Nothing answered; this may be a fault of the network.
    NONE = "none"


async def probe(dialer: dialers.Dialer, address: str) -> Reach:
    """Tries to connect to an endpoint.

    One that refuses this instance and takes a connection of a peer is open, and
    a refusal does not speak against it if this instance is partitioned.

    Args:
      dialer: connects directly or through a peer.
      address: ``host:port`` of the endpoint.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            opened = await dialer.connect(address)
    except ConnectionRefusedError:
        paths = dialer.paths.find(address)
        if paths.partitioned_s is not None:
            return Reach.NONE
        paths.note_crashed(address)
        return Reach.REFUSED
    except (OSError, TimeoutError):
        return Reach.NONE
    opened.sock.close()
    return Reach.OPEN


async def has_crashed(dialer: dialers.Dialer, address: str) -> bool:
    """Returns whether an endpoint refuses connections."""
    return await probe(dialer, address) is Reach.REFUSED


async def is_gone(dialer: dialers.Dialer, address: str) -> bool:
    """Returns whether an endpoint that kept silent takes no connections.

    Another endpoint of its data centre must take one each time, as otherwise
    the network may be at fault.

    Args:
      dialer: connects directly or through a peer.
      address: ``host:port`` of the endpoint.
    """
    paths = dialer.paths.find(address)
    for number in range(SILENCE_PROBES):
        if number:
            await asyncio.sleep(SILENCE_PAUSE_S)
        found = await probe(dialer, address)
        if found is not Reach.NONE:
            return found is Reach.REFUSED
        neighbour = paths.find_neighbour(address)
        if neighbour is None:
            return False
        if await probe(dialer, neighbour) is not Reach.OPEN:
            return False
    return True


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """A request that runs at an endpoint.

    Attributes:
      exchange: the request.
      digest: its shortened digest.
      sent_s: when it was placed there, in monotonic seconds.
      begun_s: when its answer began, or None.
      is_trial: whether it tries quarantined parts.
      abandon: ends the attempt once it is not to run any more.
    """

    exchange: exchanges.Exchange
    digest: str
    sent_s: float
    begun_s: float | None = None
    is_trial: bool = False
    abandon: Callable[[], object] = lambda: None

    def may_crash(self, now_s: float) -> bool:
        """Returns whether it had just begun to be answered, or had not yet.

        A request crashes an endpoint when its answer begins.
        """
        if self.begun_s is None:
            return True
        return now_s - self.begun_s <= quarantineregistry.YOUNG_S

    def threatens(self, now_s: float) -> bool:
        """Returns whether it would crash its engine if it were the cause.

        Engines drop a request whose connection closes; plain services may not.
        """
        if self.is_trial or not self.exchange.prompt_parts:
            return False
        return self.begun_s is None or now_s - self.begun_s <= CRASH_LAG_S


class CrashDetector:
    """Tracks what runs at each endpoint and notices which endpoints crash."""

    __slots__ = (
        "_answered_s",
        "_has_crashed",
        "_is_evacuated",
        "_is_gone",
        "_probing",
        "_quarantine",
        "_running",
        "_silent",
        "_timers",
    )

    def __init__(
        self,
        quarantine: quarantines.ExchangeQuarantine,
        timers: timer_service.Timers,
        probe: Probe,
        is_evacuated: Callable[[str], bool] = lambda data_centre: False,
        probe_silent: Probe | None = None,
    ):
        """Creates a detector.

        Args:
          quarantine: gets the evidence; its hook ends what it has come to
            refuse.
          timers: the clock.
          probe: returns whether an address refuses connections.
          is_evacuated: returns whether nothing may be sent to a data centre.
          probe_silent: returns whether an address that kept silent takes no
            connections; None if silence is never a crash.
        """
        self._quarantine = quarantine
        self._timers = timers
        self._has_crashed = probe
        self._is_gone = probe_silent
        # When endpoints last answered, in monotonic seconds.
        self._answered_s: dict[str, float] = {}
        self._silent: dict[str, asyncio.Task[None]] = {}
        self._is_evacuated = is_evacuated
        self._running: dict[str, list[Running]] = {}
        self._probing: dict[str, asyncio.Task[None]] = {}
        quarantine.on_found = self._abandon_quarantined

    @contextlib.contextmanager
    def note_running(
        self,
        exchange: exchanges.Exchange,
        endpoint: lists.ListedEndpoint,
        is_trial: bool = False,
    ) -> Iterator[Running]:
        """Tracks an exchange as running while the context is open."""
        running = Running(
            exchange,
            quarantineregistry.shorten(exchange.digest),
            self._timers.read_monotonic(),
            is_trial=is_trial,
        )
        started = self._running.setdefault(endpoint.endpoint_id, [])
        started.append(running)
        try:
            yield running
        finally:
            started.remove(running)
            if not started:
                self._running.pop(endpoint.endpoint_id, None)

    async def find_crash(
        self, endpoint: lists.ListedEndpoint, running: Running
    ) -> None:
        """Starts a probe that finds out whether an endpoint crashed.

        Waits for it if the broken exchange may be the cause, so that it is not
        sent again, here or by its caller, before that is known.

        Args:
          endpoint: the endpoint; one of an evacuated data centre is not probed.
          running: the broken exchange, still tracked.
        """
        now_s = self._timers.read_monotonic()
        probing = self.note_broken(endpoint)
        repeatable = running.exchange.route.repeatable
        if probing is not None and repeatable and running.may_crash(now_s):
            await asyncio.wait({probing}, timeout=CRASH_WAIT_S)

    def note_broken(
        self, endpoint: lists.ListedEndpoint
    ) -> asyncio.Task[None] | None:
        """Starts a probe and returns its task, None if there is none.

        The requests that a crash breaks share one probe.
        """
        if self._is_evacuated(endpoint.data_centre):
            return None
        probing = self._probing.get(endpoint.endpoint_id)
        if probing is not None:
            return probing
        now_s = self._timers.read_monotonic()
        started = self._running.get(endpoint.endpoint_id, ())
        ages = {r.digest: now_s - r.sent_s for r in started}
        requests = _name_suspects(started, now_s)
        task = asyncio.ensure_future(
            self._probe_endpoint(endpoint, ages, requests)
        )
        self._probing[endpoint.endpoint_id] = task
        task.add_done_callback(
            lambda _: self._probing.pop(endpoint.endpoint_id)
        )
        return task

    def note_answered(self, endpoint: lists.ListedEndpoint) -> None:
        """Records that an endpoint has answered a request."""
        if len(self._answered_s) >= MAX_ANSWERED:
            self._answered_s.clear()
        now_s = self._timers.read_monotonic()
        self._answered_s[endpoint.endpoint_id] = now_s

    def note_silent(
        self, endpoint: lists.ListedEndpoint, running: Running
    ) -> None:
        """Starts to find out whether an endpoint went dark under a request.

        Args:
          endpoint: the endpoint.
          running: the request without an answer, still tracked.
        """
        endpoint_id = endpoint.endpoint_id
        answered_s = self._find_answered(endpoint_id)
        if (
            self._is_gone is None
            or endpoint_id in self._silent
            or answered_s > running.sent_s
            or self._is_evacuated(endpoint.data_centre)
        ):
            return
        started = tuple(self._running.get(endpoint_id, ()))
        task = asyncio.ensure_future(
            self._watch_silent(endpoint, started, answered_s)
        )
        self._silent[endpoint_id] = task
        task.add_done_callback(lambda _: self._silent.pop(endpoint_id))

    def _find_answered(self, endpoint_id: str) -> float:
        """Returns when an endpoint last answered, in monotonic seconds."""
        begun = (r.begun_s for r in self._running.get(endpoint_id, ()))
        return max(
            self._answered_s.get(endpoint_id, -math.inf),
            *(begun_s for begun_s in begun if begun_s is not None),
            -math.inf,
        )

    async def _watch_silent(
        self,
        endpoint: lists.ListedEndpoint,
        started: Iterable[Running],
        answered_s: float,
    ) -> None:
        """Records a crash under some requests if a silent endpoint is gone.

        Args:
          endpoint: the endpoint.
          started: the requests that ran there.
          answered_s: when it last answered, in monotonic seconds.
        """
        assert self._is_gone is not None
        # As of the last sign of life; what was sent later is young.
        ages = {r.digest: max(0.0, answered_s - r.sent_s) for r in started}
        requests = _name_suspects(started, answered_s)
        if not await self._is_gone(endpoint.address):
            return
        if self._find_answered(endpoint.endpoint_id) > answered_s:
            return
        age_s = self._quarantine.find_crash_age(endpoint.endpoint_id)
        if quarantineregistry.SAME_CRASH_S < age_s < KNOWN_CRASH_S:
            return
        self._add_crash(endpoint, ages, requests, is_silent=True)

    def _abandon_quarantined(self) -> None:
        """Ends what is quarantined now, unless its endpoint outlived it."""
        now_s = self._timers.read_monotonic()
        threatening = [
            running
            for started in self._running.values()
            for running in started
            if running.threatens(now_s)
        ]
        for running in threatening:
            if self._quarantine.is_quarantined(running.exchange):
                running.abandon()

    async def _probe_endpoint(
        self,
        endpoint: lists.ListedEndpoint,
        ages: dict[str, float],
        requests: dict[str, partregistry.Parts],
    ) -> None:
        if await self._has_crashed(endpoint.address):
            self._add_crash(endpoint, ages, requests)

    def _add_crash(
        self,
        endpoint: lists.ListedEndpoint,
        ages: dict[str, float],
        requests: dict[str, partregistry.Parts],
        is_silent: bool = False,
    ) -> None:
        self._quarantine.add_crash(endpoint.endpoint_id, ages, requests)
        young = sorted(
            d for d, s in ages.items() if s <= quarantineregistry.YOUNG_S
        )
        _logger.warning(
            "endpoint crashed",
            extra={
                "endpoint": endpoint.endpoint_id,
                "silent": is_silent,
                "under": young,
                "parts": [sorted(requests.get(digest, ())) for digest in young],
                "concluded": [
                    self._quarantine.decide_request(digest) for digest in young
                ],
            },
        )


def _name_suspects(
    started: Iterable[Running], now_s: float
) -> dict[str, partregistry.Parts]:
    """Returns the parts of the requests that may be a cause, by digest."""
    return {
        r.digest: quarantines.name_parts(r.exchange)
        for r in started
        if r.may_crash(now_s) and r.exchange.prompt_parts
    }
