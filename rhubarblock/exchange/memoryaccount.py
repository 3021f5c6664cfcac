"""Accounts for the bytes that an instance holds for its connections.

The total is bounded, each kind of data has a bound of its own, so that neither
can use up all memory, and a part is left for connections that hold little. A
connection that wants to hold more for a slow caller gets at most as much as
stays free afterwards. With n such connections each one then has at most one
part in n + 1, and one that came earlier can't grow at the cost of others.
"""

import asyncio
import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import enum

from rhubarblock.kernel import metrics as metric_store

# Part of an instance's memory that it may hold for connections: of 200 MB, 128
# are for control traffic, and the rest also covers the interpreter and the
# buffers that are not accounted for.
MEMORY_FRACTION = 0.25
# Part of the limit that one kind of data may use.
KIND_FRACTION = 0.6
# Part of the limit that connections with more than SMALL_BYTES may use.
LARGE_FRACTION = 0.8
# Bytes that a connection may hold as long as the limit itself is kept: most
# bodies are shorter.
SMALL_BYTES = 16_384
# Part of the limit for what connections that wait have already received.
WAITING_FRACTION = 0.1
# Bytes that a connection buffers before its body is read, if memory is bounded,
# and the most that it has received then: twice as many, and one read of a
# socket by asyncio.
READ_BYTES = 16_384
RECEIVED_BYTES = 2 * READ_BYTES + 262_144

_BYTES_PER_MB = 1_000_000


class Kind(enum.Enum):
    """What is held.

    BODIES: bodies of requests, until the request ends.
    ANSWERS: answers, until the caller has received them.
    """

    BODIES = "bodies"
    ANSWERS = "answers"


@dataclasses.dataclass(slots=True, frozen=True)
class Holding:
    """Bytes held at the time of a decision.

    Attributes:
      total: by all connections, of all kinds.
      of_kind: by all connections, of the kind in question.
      of_share: by the connection in question, of this kind.
    """

    total: int
    of_kind: int
    of_share: int


def may_hold(limit: int, kind: Kind, holding: Holding, size: int) -> bool:
    """Returns whether a connection may hold more.

    Args:
      limit: bytes that all connections may hold.
      kind: kind of the data.
      holding: what is held now.
      size: bytes to add.
    """
    own = holding.of_share + size
    if own <= SMALL_BYTES:
        return holding.total + size <= limit
    free = min(
        LARGE_FRACTION * limit - holding.total,
        KIND_FRACTION * limit - holding.of_kind,
    )
    remaining = free - size
    if kind is Kind.ANSWERS:
        return own <= remaining
    # A body is of no use in part, so it needs to fit only.
    return remaining >= 0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A connection that waits until it may hold more."""

    share: "Share"
    kind: Kind
    size: int
    granted: asyncio.Future[None]


class MemoryAccount:
    """Bytes that one instance holds, by kind.

    Attributes:
      limit: bytes that all connections may hold.
      held: bytes held by kind.
    """

    __slots__ = ("_max_waiters", "_metrics", "_waiters", "held", "limit")

    def __init__(self, limit: int, metrics: metric_store.Metrics):
        """Creates an account that holds nothing.

        Args:
          limit: bytes that all connections may hold.
          metrics: gets the gauges.
        """
        self.limit = limit
        self.held = dict.fromkeys(Kind, 0)
        self._metrics = metrics
        self._max_waiters = max(
            1, int(WAITING_FRACTION * limit / RECEIVED_BYTES)
        )
        self._waiters: dict[Kind, collections.deque[_Waiter]] = {
            kind: collections.deque() for kind in Kind
        }
        metrics.gauge("memory.limit", limit)
        for kind in Kind:
            metrics.gauge(f"memory.held_{kind.value}", 0)

    @property
    def total(self) -> int:
        """Bytes held of all kinds."""
        return sum(self.held.values())

    def count_waiting(self) -> int:
        """Returns the number of connections that wait."""
        return sum(map(len, self._waiters.values()))

    @contextlib.contextmanager
    def open_share(self) -> Iterator["Share"]:
        """Yields the share of one connection; releases it at the end."""
        share = Share(self)
        try:
            yield share
        finally:
            for kind, size in share.held.items():
                if size:
                    share.release(kind, size)

    def _try_hold_first(self, share: "Share", kind: Kind, size: int) -> bool:
        """Holds more unless a large one would overtake those that wait."""
        is_small = share.held[kind] + size <= SMALL_BYTES
        if self._waiters[kind] and not is_small:
            return False
        return self._try_hold(share, kind, size)

    def _try_hold(self, share: "Share", kind: Kind, size: int) -> bool:
        holding = Holding(self.total, self.held[kind], share.held[kind])
        if not may_hold(self.limit, kind, holding, size):
            return False
        self._change(share, kind, size)
        return True

    def _change(self, share: "Share", kind: Kind, size: int) -> None:
        share.held[kind] += size
        self.held[kind] += size
        self._metrics.gauge(f"memory.held_{kind.value}", self.held[kind])

    def _release(self, share: "Share", kind: Kind, size: int) -> None:
        self._change(share, kind, -size)
        for waiters in self._waiters.values():
            self._wake(waiters)

    def _wake(self, waiters: collections.deque[_Waiter]) -> None:
        """Grants what the first waiters of a kind want while it fits."""
        while waiters:
            first = waiters[0]
            if first.granted.done():
                # It was cancelled and has not run since.
                waiters.popleft()
                continue
            if not self._try_hold(first.share, first.kind, first.size):
                return
            waiters.popleft()
            first.granted.set_result(None)

    async def _wait(
        self, share: "Share", kind: Kind, size: int, timeout_s: float
    ) -> bool:
        waiters = self._waiters[kind]
        if self._try_hold_first(share, kind, size):
            return True
        is_possible = size <= KIND_FRACTION * self.limit
        if not is_possible or self.count_waiting() >= self._max_waiters:
            return False
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(share, kind, size, granted)
        waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await granted
        except TimeoutError:
            pass
        finally:
            # What was granted in the same step as a time-out or cancellation
            # is in the share, which releases it.
            if waiter in waiters:
                waiters.remove(waiter)
                # Those behind it may fit.
                self._wake(waiters)
        return waiter.granted.done() and not waiter.granted.cancelled()


class Share:
    """What one connection holds.

    Attributes:
      held: bytes by kind.
    """

    __slots__ = ("_account", "held")

    def __init__(self, account: MemoryAccount):
        self._account = account
        self.held = dict.fromkeys(Kind, 0)

    @property
    def account(self) -> MemoryAccount:
        """The account that it is part of."""
        return self._account

    def try_hold(self, kind: Kind, size: int) -> bool:
        """Holds more if that is allowed now.

        Args:
          kind: kind of the data.
          size: bytes to add.

        Returns:
          Whether the bytes may be held.
        """
        return self._account._try_hold(self, kind, size)

    def try_hold_first(self, kind: Kind, size: int) -> bool:
        """Holds more if that is allowed now and none waits that is earlier."""
        return self._account._try_hold_first(self, kind, size)

    async def wait_hold(self, kind: Kind, size: int, timeout_s: float) -> bool:
        """Holds more as soon as that is allowed, in the order of the calls.

        It fails at once if too many connections wait or if it can never fit.

        Args:
          kind: kind of the data.
          size: bytes to add.
          timeout_s: seconds to wait.

        Returns:
          Whether the bytes may be held.
        """
        return await self._account._wait(self, kind, size, timeout_s)

    def release(self, kind: Kind, size: int) -> None:
        """Ends the holding of some bytes."""
        self._account._release(self, kind, size)


def make_account(
    memory_mb: float, metrics: metric_store.Metrics
) -> MemoryAccount | None:
    """Returns the account of an instance; None if its memory is unknown.

    Args:
      memory_mb: memory that the instance may use; 0 if unknown.
      metrics: gets the gauges.
    """
    if not memory_mb:
        return None
    limit = int(MEMORY_FRACTION * memory_mb * _BYTES_PER_MB)
    return MemoryAccount(limit, metrics)
