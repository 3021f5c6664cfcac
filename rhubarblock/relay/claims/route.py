"""Forwards the operations of a shard to its coordinator.

When one instance writes a shard for all, the claims of all instances share its
writes and no writes conflict. This only saves cost and is not needed for
safety: any instance may write any shard at any time, and does so if the
coordinator does not reply.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable

from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay.claims import ops as claimops
from rhubarblock.relay.claims import settings as claimsettings
from rhubarblock.relay.claims import shard as claimshard
from rhubarblock.relay.claims import wire as claimwire

MESSAGE_KIND = "claims.commit"
DUTY_PREFIX = "claims/"

# Returns the address of the instance that coordinates a duty; the duty of a
# shard is named ``claims/<shard>``. Returns None if this instance is the
# coordinator, or if no coordinator is known.
CoordinatorFinder = Callable[[str], str | None]


class ShardRoute:
    """Submits operations of this instance to the coordinator of one shard."""

    __slots__ = (
        "_avoid_until_s",
        "_counters",
        "_deferred",
        "_find_coordinator",
        "_local",
        "_peers",
        "_settings",
        "_shard",
        "_tasks",
        "_timers",
        "_urgent",
    )

    def __init__(
        self,
        shard: str,
        local: claimshard.ShardCommitter,
        peers: peertransport.PeerTransport,
        find_coordinator: CoordinatorFinder,
        timers: timer_service.Timers,
        settings: claimsettings.ClaimSettings,
        counters: "collections.Counter[str]",
    ):
        """Creates a route.

        Args:
          shard: name of the shard.
          local: writes the shard from this instance.
          peers: transport to other instances.
          find_coordinator: returns the address of the shard's coordinator.
          timers: clock and sleeps.
          settings: windows and timeouts.
          counters: counts forwarded operations.
        """
        self._shard = shard
        self._local = local
        self._peers = peers
        self._find_coordinator = find_coordinator
        self._timers = timers
        self._settings = settings
        self._counters = counters
        self._urgent: list[claimops.Operation] = []
        self._deferred: list[claimops.Operation] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._avoid_until_s = float("-inf")

    @property
    def failing_s(self) -> float:
        """Seconds since the platform began to fail here; 0 while it works."""
        return self._local.failing_s

    def submit(self, operation: claimops.Operation) -> None:
        """Queues an operation, whose ``done`` is resolved later."""
        if self._find_address() is None:
            self._local.submit(operation)
            return
        queue = self._urgent if operation.urgent else self._deferred
        queue.append(operation)
        if len(queue) == 1:
            task = asyncio.ensure_future(self._send(queue, operation.urgent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Waits until no operation is left."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        await self._local.drain()

    def close(self) -> None:
        """Stops at once."""
        for task in self._tasks:
            task.cancel()
        self._local.close()

    def _find_address(self) -> str | None:
        if self._timers.read_monotonic() < self._avoid_until_s:
            return None
        return self._find_coordinator(DUTY_PREFIX + self._shard)

    async def _send(
        self, queue: list[claimops.Operation], urgent: bool
    ) -> None:
        # Urgent operations queued in the same loop iteration share a message.
        # The others are collected for the whole window.
        window_s = 0.0 if urgent else self._settings.finish_window_s
        await self._timers.sleep(window_s)
        operations = list(queue)
        queue.clear()
        address = self._find_address()
        if address is None:
            self._submit_locally(operations)
            return
        timeout_s = self._settings.forward_timeout_s
        if not urgent:
            timeout_s += self._settings.finish_window_s
        await self._forward(address, operations, timeout_s)

    async def _forward(
        self,
        address: str,
        operations: list[claimops.Operation],
        timeout_s: float,
    ) -> None:
        batch = claimwire.Batch(operations, timeout_s)
        message = claimwire.encode_batch(batch)
        self._counters["forward.operations"] += len(operations)
        try:
            answer = await self._peers.call(
                address, MESSAGE_KIND, message, timeout_s
            )
        except peertransport.PeerError:
            self._counters["forward.failed"] += 1
            now_s = self._timers.read_monotonic()
            self._avoid_until_s = now_s + self._settings.forward_pause_s
            for operation in operations:
                # The coordinator may have written it or may still write it.
                operation.unsure = True
            self._submit_locally(operations)
            return
        rows = claimwire.decode_found(answer)
        for operation, row in zip(operations, rows, strict=True):
            operation.found = row
            if not operation.done.done():
                operation.done.set_result(row)
            self._release_abandoned(operation)

    def _release_abandoned(self, operation: claimops.Operation) -> None:
        release = operation.make_release() if operation.abandoned else None
        if release is not None:
            self._local.submit(release)

    def _submit_locally(self, operations: Iterable[claimops.Operation]) -> None:
        for operation in operations:
            self._local.submit(operation)


async def commit_batch(
    batch: claimwire.Batch, committer: claimshard.ShardCommitter
) -> bytes:
    """Applies a batch forwarded by another instance, as coordinator.

    Args:
      batch: operations of one shard.
      committer: writes the shard from this instance.

    Returns:
      The encoded results of the operations.

    Raises:
      TimeoutError: the sender has given up. Unwritten operations are dropped;
        the sender writes or releases them itself.
      claimshard.ShardFullError: the shard has no room for a claim.
    """
    for operation in batch.operations:
        committer.submit(operation)
    done = [operation.done for operation in batch.operations]
    try:
        await asyncio.wait(done, timeout=batch.left_s)
    finally:
        # Also runs if the call is cancelled because the sender disconnected.
        for operation in batch.operations:
            operation.abandoned = not operation.done.done()
    if any(operation.abandoned for operation in batch.operations):
        raise TimeoutError
    return claimwire.encode_found([future.result() for future in done])
