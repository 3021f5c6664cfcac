"""Reads what parts cost: processor time, memory, messages, platform calls."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import gc
import sys
import types
from typing import Any

from rhubarblock.fleet import engineclient
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import metrics
from rhubarblock.kernel import timers
from rhubarblock.standins import memorypeers
from rhubarblock.store import instances
from rhubarblock.store import store as stores

# What a part refers to and does not hold itself.
_FOREIGN = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    types.MethodType,
    engineclient.EngineClient,
    instances.InstanceSource,
    metrics.Metrics,
    peertransport.PeerTransport,
    stores.ObjectStore,
    timers.Timers,
)
_READ_CALLS = ("read", "list", "instances", "watch")
_WRITE_CALLS = ("write", "delete")


def measure_state(roots: Iterable[Any], foreign: tuple[Any, ...] = ()) -> int:
    """Returns the bytes of objects and of all that they hold.

    Args:
      roots: where to begin.
      foreign: objects that are referred to and belong to another part.
    """
    seen = {id(each) for each in foreign}
    total = 0
    waiting = list(roots)
    while waiting:
        each = waiting.pop()
        if id(each) in seen or isinstance(each, _FOREIGN):
            continue
        if type(each).__module__ in ("asyncio", "_asyncio", "random"):
            continue
        seen.add(id(each))
        total += sys.getsizeof(each)
        waiting += gc.get_referents(each)
    return total


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Totals at one moment.

    Attributes:
      messages: messages that instances sent to each other.
      moved: bytes of them.
      reads: calls to the platform that read.
      writes: calls to the platform that write.
    """

    messages: float = 0.0
    moved: float = 0.0
    reads: float = 0.0
    writes: float = 0.0

    def subtract(self, before: "Usage") -> "Usage":
        """Returns what was added since an earlier moment."""
        return Usage(
            self.messages - before.messages,
            self.moved - before.moved,
            self.reads - before.reads,
            self.writes - before.writes,
        )


def read_usage(
    peers: Iterable[memorypeers.MemoryPeers],
    counters: dict[str, int] | None = None,
) -> Usage:
    """Reads the totals of some instances.

    Args:
      peers: their transports.
      counters: those of the platform that they share; None leaves it out.
    """
    traffic = [each.traffic for each in peers]
    calls = counters or {}
    return Usage(
        messages=sum(x.messages_sent for x in traffic),
        moved=sum(x.bytes_sent for x in traffic),
        reads=sum(calls.get(name, 0) for name in _READ_CALLS),
        writes=sum(calls.get(name, 0) for name in _WRITE_CALLS),
    )


class HandlerClock:
    """Measures the processor time of the handlers of some kinds of calls.

    It stands between a part and its transport, so it has to be put in before
    the part registers.

    Attributes:
      cpu_s: seconds used so far.
      calls: calls answered so far.
      moved: bytes of requests and answers, without those of the transport.
    """

    def __init__(self, read_cpu: Callable[[], float]):
        """Creates a clock.

        Args:
          read_cpu: returns processor seconds.
        """
        self._read_cpu = read_cpu
        self.cpu_s = 0.0
        self.calls = 0
        self.moved = 0

    def wrap(self, handler: peertransport.Handler) -> peertransport.Handler:
        """Returns a handler that is measured; it must not wait."""

        async def answer(sender: str, payload: bytes) -> bytes:
            started_s = self._read_cpu()
            reply = await handler(sender, payload)
            self.cpu_s += self._read_cpu() - started_s
            self.calls += 1
            self.moved += len(payload) + len(reply)
            return reply

        return answer


class ClockedPeers(peertransport.PeerTransport):
    """A transport whose handlers of some kinds are measured."""

    def __init__(
        self,
        peers: peertransport.PeerTransport,
        clocks: dict[str, HandlerClock],
    ):
        """Creates the transport.

        Args:
          peers: what carries the calls.
          clocks: clock by kind of call.
        """
        self._peers = peers
        self._clocks = clocks

    def register(self, kind: str, handler: peertransport.Handler) -> None:
        clock = self._clocks.get(kind)
        self._peers.register(kind, clock.wrap(handler) if clock else handler)

    async def call(
        self, address: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes:
        return await self._peers.call(address, kind, payload, timeout_s)
