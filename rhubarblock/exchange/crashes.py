"""Detects endpoint crashes and what may have caused them.

When a connection breaks within an answer, the endpoint is probed once: only one
that refuses connections has crashed. The requests that ran there are the
evidence for the quarantine.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging

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
# Seconds from the begin of an answer within which the request that causes a
# crash does so.
CRASH_LAG_S = 0.5

_logger = logging.getLogger(__name__)

Probe = Callable[[str], Awaitable[bool]]


async def has_crashed(dialer: dialers.Dialer, address: str) -> bool:
    """Returns whether an endpoint refuses connections.

    One that refuses this instance and takes a connection of a peer has not
    crashed, nor does it speak against it if this instance is partitioned.

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
            return False
        paths.note_crashed(address)
        return True
    except (OSError, TimeoutError):
        # A timeout may be a network fault.
        return False
    opened.sock.close()
    return False


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
        """Returns whether it has just begun to be answered, or has not yet.

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
        "_has_crashed",
        "_is_evacuated",
        "_probing",
        "_quarantine",
        "_running",
        "_timers",
    )

    def __init__(
        self,
        quarantine: quarantines.ExchangeQuarantine,
        timers: timer_service.Timers,
        probe: Probe,
        is_evacuated: Callable[[str], bool] = lambda data_centre: False,
    ):
        """Creates a detector.

        Args:
          quarantine: gets the evidence; its hook ends what it has come to
            refuse.
          timers: the clock.
          probe: returns whether an address refuses connections.
          is_evacuated: returns whether nothing may be sent to a data centre.
        """
        self._quarantine = quarantine
        self._timers = timers
        self._has_crashed = probe
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
        requests = {
            r.digest: quarantines.name_parts(r.exchange)
            for r in started
            if r.may_crash(now_s) and r.exchange.prompt_parts
        }
        task = asyncio.ensure_future(
            self._probe_endpoint(endpoint, ages, requests)
        )
        self._probing[endpoint.endpoint_id] = task
        task.add_done_callback(
            lambda _: self._probing.pop(endpoint.endpoint_id)
        )
        return task

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
        if not await self._has_crashed(endpoint.address):
            return
        self._quarantine.add_crash(endpoint.endpoint_id, ages, requests)
        young = sorted(
            d for d, s in ages.items() if s <= quarantineregistry.YOUNG_S
        )
        _logger.warning(
            "endpoint crashed",
            extra={
                "endpoint": endpoint.endpoint_id,
                "under": young,
                "parts": [sorted(requests.get(digest, ())) for digest in young],
                "concluded": [
                    self._quarantine.decide_request(digest) for digest in young
                ],
            },
        )
