"""Peer transport between entry instances in memory, with network faults.

It replaces gRPC in tests and measurements on the virtual clock and simulates
delays within and between data centres, lost messages, partitions, paused and
dead instances. It counts messages and bytes as they would cross the network.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
import random

from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers as timers_lib

# Bytes that gRPC adds to the payload of a request and of an answer: frames,
# compressed headers, TLS records and the envelope, with instance ids of about
# 20 bytes.
REQUEST_OVERHEAD_BYTES = 125
ANSWER_OVERHEAD_BYTES = 110


_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages and bytes that one instance sent and received.

    Attributes:
      messages_sent: requests and answers sent.
      messages_received: requests and answers received.
      bytes_sent: bytes sent, including the overhead of gRPC.
      bytes_received: bytes received, including the overhead of gRPC.
    """

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class NetworkDelays:
    """Mean one-way delays in seconds.

    The delay of each message is uniform between 0.5 and 1.5 times the mean.

    Attributes:
      within_s: delay within a data centre.
      between_s: delay between data centres.
    """

    within_s: float = 0.0003
    between_s: float = 0.0015


class MemoryPeerNetwork:
    """Network between the instances of one test.

    Attributes:
      loss: probability that a message is lost.
    """

    def __init__(
        self,
        rng: random.Random,
        delays: NetworkDelays | None = None,
        loss: float = 0.0,
    ):
        """Creates a network without instances.

        Args:
          rng: draws delays and losses.
          delays: one-way delays, or None for the defaults.
          loss: probability that a message is lost.
        """
        self._rng = rng
        self._delays = delays or NetworkDelays()
        self.loss = loss
        self._peers: dict[str, MemoryPeers] = {}
        self._cuts: list[tuple[frozenset[str], frozenset[str]]] = []

    def join(
        self, address: str, instance_id: str, data_centre: str = ""
    ) -> "MemoryPeers":
        """Adds an instance to the network and returns its transport."""
        peers = MemoryPeers(self, address, instance_id, data_centre)
        self._peers[address] = peers
        return peers

    def remove(self, address: str) -> None:
        """Removes an instance at once, as when it dies."""
        peers = self._peers.pop(address)
        peers.die()

    def pause(self, address: str) -> None:
        """Pauses an instance: it neither sends, answers nor reads answers."""
        self._peers[address].running.clear()

    def resume(self, address: str) -> None:
        """Resumes a paused instance."""
        self._peers[address].running.set()

    def cut(self, group_a: Iterable[str], group_b: Iterable[str]) -> None:
        """Partitions the network between two groups of addresses."""
        self._cuts.append((frozenset(group_a), frozenset(group_b)))

    def heal(self) -> None:
        """Ends all partitions."""
        self._cuts.clear()

    def traffic(self, address: str) -> Traffic:
        """Returns the traffic of an instance since it joined."""
        return self._peers[address].traffic

    async def transmit(
        self, sender: "MemoryPeers", address: str, size: int
    ) -> "MemoryPeers":
        """Transmits one message; waits forever if it is lost.

        Args:
          sender: transport of the sending instance.
          address: ``host:port`` of the receiving instance.
          size: size in bytes.

        Returns:
          The transport of the receiving instance.
        """
        sender.traffic.messages_sent += 1
        sender.traffic.bytes_sent += size
        target = self._peers.get(address)
        await asyncio.sleep(self._draw_delay(sender, target))
        if target is None or self._peers.get(address) is not target:
            await _wait_forever()
        if self._is_cut(sender.address, address) or self._is_lost():
            await _wait_forever()
        assert target is not None
        target.traffic.messages_received += 1
        target.traffic.bytes_received += size
        return target

    def _draw_delay(
        self, sender: "MemoryPeers", target: "MemoryPeers | None"
    ) -> float:
        in_same_data_centre = (
            target is None or target.data_centre == sender.data_centre
        )
        mean_s = (
            self._delays.within_s
            if in_same_data_centre
            else self._delays.between_s
        )
        return mean_s * (0.5 + self._rng.random())

    def _is_lost(self) -> bool:
        return self.loss > 0 and self._rng.random() < self.loss

    def _is_cut(self, first: str, second: str) -> bool:
        return any(
            (first in group_a and second in group_b)
            or (first in group_b and second in group_a)
            for group_a, group_b in self._cuts
        )


class MemoryPeers(peertransport.PeerTransport):
    """Transport of one instance in a ``MemoryPeerNetwork``.

    Attributes:
      address: ``host:port`` of the instance.
      data_centre: data centre of the instance.
      running: set unless the instance is paused or dead.
      traffic: messages and bytes sent and received.
    """

    def __init__(
        self,
        network: MemoryPeerNetwork,
        address: str,
        instance_id: str,
        data_centre: str,
    ):
        self._network = network
        self._instance_id = instance_id
        self._handlers: dict[str, peertransport.Handler] = {}
        self._handler_tasks: set[asyncio.Task[bytes | None]] = set()
        self.address = address
        self.data_centre = data_centre
        self.running = asyncio.Event()
        self.running.set()
        self.traffic = Traffic()

    def register(self, kind: str, handler: peertransport.Handler) -> None:
        self._handlers[kind] = handler

    def die(self) -> None:
        """Ends the instance: its calls never return, its handlers stop."""
        self.running.clear()
        for task in self._handler_tasks:
            task.cancel()

    async def call(
        self, address: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes:
        await self.running.wait()
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(address, kind, payload)
        except TimeoutError:
            # A paused caller notices the timeout only once it is resumed.
            await self.running.wait()
            raise peertransport.PeerError(
                f"{kind} to {address}: no answer"
            ) from None
        await self.running.wait()
        return answer

    def call_when_running(self, callback: Callable[[], None]) -> None:
        """Runs a callback now or, if this instance is paused, on resume."""
        if self.running.is_set():
            callback()
            return
        asyncio.ensure_future(self._call_after_resume(callback))

    async def _call_after_resume(self, callback: Callable[[], None]) -> None:
        await self.running.wait()
        callback()

    async def handle_call(
        self, kind: str, sender: str, payload: bytes
    ) -> bytes | None:
        """Handles a call; the handler continues if the caller times out.

        Returns:
          The answer; None if there is no handler or it failed.
        """
        task = asyncio.ensure_future(self.run_handler(kind, sender, payload))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)
        await asyncio.wait([task])
        if task.cancelled():
            # This instance died, so its caller gets no answer.
            await _wait_forever()
        return task.result()

    async def run_handler(
        self, kind: str, sender: str, payload: bytes
    ) -> bytes | None:
        """Runs the handler of a call once this instance is not paused.

        Returns:
          The answer; None if there is no handler or it failed.
        """
        await self.running.wait()
        handler = self._handlers.get(kind)
        if handler is None:
            return None
        try:
            return await handler(sender, payload)
        except Exception:
            # As with gRPC, the caller gets an error without the reason.
            _logger.debug("handler of %s failed", kind, exc_info=True)
            return None

    async def _exchange(self, address: str, kind: str, payload: bytes) -> bytes:
        size = REQUEST_OVERHEAD_BYTES + len(payload)
        target = await self._network.transmit(self, address, size)
        answer = await target.handle_call(kind, self._instance_id, payload)
        if answer is None:
            raise peertransport.PeerError(f"{kind} to {address}: it failed")
        size = ANSWER_OVERHEAD_BYTES + len(answer)
        await self._network.transmit(target, self.address, size)
        return answer


async def _wait_forever() -> None:
    await asyncio.get_running_loop().create_future()


class PausableTimers(timers_lib.Timers):
    """Timers of an instance, which do not fire while it is paused.

    As for a stopped process, the clock continues during the pause, and timers
    that came due fire when the instance is resumed.
    """

    __slots__ = ("_peers", "_timers")

    def __init__(self, timers: timers_lib.Timers, peers: MemoryPeers):
        """Creates the timers.

        Args:
          timers: underlying timer service.
          peers: transport of the instance, which tracks its pauses.
        """
        self._timers = timers
        self._peers = peers

    def read_monotonic(self) -> float:
        return self._timers.read_monotonic()

    def read_wall(self) -> float:
        return self._timers.read_wall()

    async def sleep(self, delay_s: float) -> None:
        await self._timers.sleep(delay_s)
        await self._peers.running.wait()

    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        return self._timers.call_later(
            delay_s, lambda: self._peers.call_when_running(callback)
        )
