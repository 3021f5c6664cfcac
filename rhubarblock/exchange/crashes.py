"""Detects endpoint crashes and quarantines the requests that cause them.

When a connection breaks within an answer, the endpoint is probed once: only one
that refuses connections has crashed. The requests that ran there are announced
to all peers, so that every instance attributes crashes to requests in the same
way. A quarantined request is refused until its quarantine ends.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.quarantine import registry as quarantineregistry

# Timeout of a probe in seconds.
PROBE_TIMEOUT_S = 0.3
# Retry-After of a quarantined request in seconds.
RETRY_AFTER_S = 60.0

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
        return dialer.paths.find(address).partitioned_s is None
    except (OSError, TimeoutError):
        # A timeout may be a network fault.
        return False
    opened.sock.close()
    return False


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class _Running:
    """A request that runs at an endpoint, and when it was sent."""

    digest: str
    prompt_parts: tuple[str, ...]
    begun_s: float


class CrashDetector:
    """Tracks what runs at each endpoint and which requests crash endpoints."""

    __slots__ = (
        "_registry",
        "_has_crashed",
        "_is_evacuated",
        "_updates",
        "_running",
        "_tasks",
        "_timers",
    )

    def __init__(
        self,
        updates: peer_updates.PeerUpdates,
        timers: timer_service.Timers,
        probe: Probe,
        is_evacuated: Callable[[str], bool] = lambda data_centre: False,
    ):
        """Creates a detector with an empty registry.

        Args:
          updates: exchanges crash announcements with peers.
          timers: the clock; its times are not sent to peers.
          probe: returns whether an address refuses connections.
          is_evacuated: returns whether nothing may be sent to a data centre.
        """
        self._registry = quarantineregistry.QuarantineRegistry()
        self._updates = updates
        self._timers = timers
        self._has_crashed = probe
        self._is_evacuated = is_evacuated
        self._running: dict[str, list[_Running]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        updates.on_crash = self._record_crash

    def check(self, exchange: exchanges.Exchange) -> None:
        """Refuses a quarantined exchange.

        Raises:
          failures.FailureError: it is quarantined; it did not run.
        """
        if not self.is_quarantined(exchange):
            return
        raise failures.FailureError(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                "requests like this one crashed endpoints",
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def is_quarantined(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether an exchange is quarantined."""
        now_s = self._timers.read_monotonic()
        digest = quarantineregistry.shorten(exchange.digest)
        decision = self._registry.decide(digest, now_s)
        return decision is quarantineregistry.Decision.REFUSE

    @contextlib.contextmanager
    def note_running(
        self, exchange: exchanges.Exchange, endpoint: lists.ListedEndpoint
    ) -> Iterator[None]:
        """Tracks an exchange as running while the context is open."""
        running = _Running(
            quarantineregistry.shorten(exchange.digest),
            exchange.prompt_parts,
            self._timers.read_monotonic(),
        )
        started = self._running.setdefault(endpoint.endpoint_id, [])
        started.append(running)
        try:
            yield
        finally:
            started.remove(running)
            if not started:
                self._running.pop(endpoint.endpoint_id, None)

    def note_served(self, exchange: exchanges.Exchange) -> None:
        """Clears an exchange of suspicion after it succeeded."""
        now_s = self._timers.read_monotonic()
        digest = quarantineregistry.shorten(exchange.digest)
        allowed = quarantineregistry.Decision.ALLOW
        if self._registry.decide(digest, now_s) is not allowed:
            self._registry.clear(digest, now_s)

    def note_broken(self, endpoint: lists.ListedEndpoint) -> None:
        """Starts a probe that finds out whether an endpoint crashed.

        Must be called while the broken exchange is still tracked as running.
        An endpoint of an evacuated data centre is not probed.
        """
        if self._is_evacuated(endpoint.data_centre):
            return
        now_s = self._timers.read_monotonic()
        started = self._running.get(endpoint.endpoint_id, ())
        ages = {r.digest: now_s - r.begun_s for r in started}
        parts = {r.digest: r.prompt_parts for r in started}
        task = asyncio.ensure_future(
            self._probe_endpoint(endpoint, ages, parts)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_endpoint(
        self,
        endpoint: lists.ListedEndpoint,
        ages: dict[str, float],
        parts: dict[str, tuple[str, ...]],
    ) -> None:
        if not await self._has_crashed(endpoint.address):
            return
        self._record_crash(endpoint.endpoint_id, ages)
        self._log_crash(endpoint.endpoint_id, ages, parts)
        self._updates.announce_crash(endpoint.endpoint_id, ages)

    def _log_crash(
        self,
        endpoint_id: str,
        ages: dict[str, float],
        parts: dict[str, tuple[str, ...]],
    ) -> None:
        """Logs a crash with the requests that may be its cause."""
        now_s = self._timers.read_monotonic()
        young = sorted(
            d for d, s in ages.items() if s <= quarantineregistry.YOUNG_S
        )
        _logger.warning(
            "endpoint crashed",
            extra={
                "endpoint": endpoint_id,
                "under": young,
                "parts": [list(parts[digest]) for digest in young],
                "concluded": [
                    self._registry.decide(digest, now_s).value
                    for digest in young
                ],
            },
        )

    def _record_crash(self, endpoint_id: str, ages: dict[str, float]) -> None:
        now_s = self._timers.read_monotonic()
        self._registry.add_crash(endpoint_id, ages, now_s)
