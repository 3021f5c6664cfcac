"""Keeps requests that crash endpoints from crashing more of them.

When a connection breaks within an answer, the endpoint is tried once: only one
that refuses connections has crashed. What ran there is told to the peers, and
every instance lays crashes to requests in the same book. A request that is in
quarantine is refused until its time is over.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging

from rhubarblock.core import exchange as exchanges
from rhubarblock.core import failure as failures
from rhubarblock.core import listed as lists
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing.quarantine import registry as quarantineregistry

# Seconds that the trial of an endpoint may take.
TRIAL_S = 0.3
# Longest time in seconds after which a refused caller is told to come back.
RETRY_S = 60.0

_logger = logging.getLogger(__name__)

Trial = Callable[[str], Awaitable[bool]]


async def has_crashed(address: str) -> bool:
    """Says whether nobody listens at an address."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(TRIAL_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # Silence may be the way's fault.
        return False
    writer.close()
    return False


class CrashDetector:
    """What runs where, and what is laid to it."""

    __slots__ = (
        "_book",
        "_has_crashed",
        "_updates",
        "_running",
        "_tasks",
        "_timers",
    )

    def __init__(
        self,
        updates: peer_updates.PeerUpdates,
        timers: timer_service.Timers,
        trial: Trial = has_crashed,
    ):
        """Starts with an empty book.

        Args:
          updates: tells peers and hears of them.
          timers: the clock; times stay within this instance.
          trial: says whether nobody listens at an address.
        """
        self._book = quarantineregistry.QuarantineRegistry()
        self._updates = updates
        self._timers = timers
        self._has_crashed = trial
        self._running: dict[str, dict[str, float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        updates.on_crash = self._hear

    def check(self, exchange: exchanges.Exchange) -> None:
        """Refuses an exchange that is in quarantine.

        Raises:
          failures.FailureError: it is; it did not run.
        """
        if not self.is_quarantined(exchange):
            return
        raise failures.FailureError(
            failures.Failure(
                failures.FailureCode.NO_ENDPOINT,
                "requests like this one crashed endpoints",
                retry_after_s=RETRY_S,
            )
        )

    def is_quarantined(self, exchange: exchanges.Exchange) -> bool:
        """Says whether an exchange may not run at present."""
        now_s = self._timers.read_monotonic()
        digest = quarantineregistry.shorten(exchange.digest)
        decision = self._book.decide(digest, now_s)
        return decision is quarantineregistry.Decision.REFUSE

    @contextlib.contextmanager
    def note_running(
        self, exchange: exchanges.Exchange, endpoint: lists.ListedEndpoint
    ) -> Iterator[None]:
        """Keeps in mind what runs at an endpoint while the context is open."""
        digest = quarantineregistry.shorten(exchange.digest)
        there = self._running.setdefault(endpoint.endpoint_id, {})
        there[digest] = self._timers.read_monotonic()
        try:
            yield
        finally:
            there.pop(digest, None)
            if not there:
                self._running.pop(endpoint.endpoint_id, None)

    def note_served(self, exchange: exchanges.Exchange) -> None:
        """Takes in that an exchange ended well, which clears it."""
        now_s = self._timers.read_monotonic()
        digest = quarantineregistry.shorten(exchange.digest)
        allowed = quarantineregistry.Decision.ALLOW
        if self._book.decide(digest, now_s) is not allowed:
            self._book.clear(digest, now_s)

    def note_broken(self, endpoint: lists.ListedEndpoint) -> None:
        """Begins to find out whether an endpoint crashed under its work.

        It is called while what broke is still noted as running there.
        """
        now_s = self._timers.read_monotonic()
        there = self._running.get(endpoint.endpoint_id, {})
        ages = {digest: now_s - begun_s for digest, begun_s in there.items()}
        task = asyncio.ensure_future(self._try_endpoint(endpoint, ages))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _try_endpoint(
        self, endpoint: lists.ListedEndpoint, ages: dict[str, float]
    ) -> None:
        if not await self._has_crashed(endpoint.address):
            return
        young = [d for d, s in ages.items() if s <= quarantineregistry.YOUNG_S]
        _logger.warning(
            "endpoint crashed",
            extra={"endpoint": endpoint.endpoint_id, "under": sorted(young)},
        )
        self._hear(endpoint.endpoint_id, ages)
        self._updates.announce_crash(endpoint.endpoint_id, ages)

    def _hear(self, endpoint_id: str, ages: dict[str, float]) -> None:
        now_s = self._timers.read_monotonic()
        self._book.add_crash(endpoint_id, ages, now_s)
