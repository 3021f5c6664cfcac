"""Reads the cost of parts: processor time, memory, messages, platform calls."""

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

# Types of objects that a part refers to but does not own.
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
    """Returns the bytes of objects and of all objects that they own.

    Args:
      roots: objects to start from.
      foreign: objects that are reachable but belong to another part.
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
    """Totals since the start of a run.

    Attributes:
      messages: messages that instances sent to each other.
      byte_count: bytes of those messages.
      reads: platform reads.
      writes: platform writes.
    """

    messages: float = 0.0
    byte_count: float = 0.0
    reads: float = 0.0
    writes: float = 0.0

    def subtract(self, before: "Usage") -> "Usage":
        """Returns the difference from earlier totals."""
        return Usage(
            self.messages - before.messages,
            self.byte_count - before.byte_count,
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
      counters: call counters of their platform; None leaves it out.
    """
    traffic = [each.traffic for each in peers]
    calls = counters or {}
    return Usage(
        messages=sum(x.messages_sent for x in traffic),
        byte_count=sum(x.bytes_sent for x in traffic),
        reads=sum(calls.get(name, 0) for name in _READ_CALLS),
        writes=sum(calls.get(name, 0) for name in _WRITE_CALLS),
    )


class HandlerMeter:
    """Measures the processor time of handlers of peer calls.

    It wraps handlers as they are registered (see ``MeteredPeers``).

    Attributes:
      cpu_s: processor seconds used so far.
      calls: calls answered so far.
      byte_count: bytes of request and answer payloads.
    """

    def __init__(self, read_cpu: Callable[[], float]):
        """Creates a meter.

        Args:
          read_cpu: returns the processor seconds used so far.
        """
        self._read_cpu = read_cpu
        self.cpu_s = 0.0
        self.calls = 0
        self.byte_count = 0

    def wrap(self, handler: peertransport.Handler) -> peertransport.Handler:
        """Returns a measured handler; the wrapped one must not suspend.

        If it did, the time of other tasks would count as its own.
        """

        async def answer(sender: str, payload: bytes) -> bytes:
            started_s = self._read_cpu()
            reply = await handler(sender, payload)
            self.cpu_s += self._read_cpu() - started_s
            self.calls += 1
            self.byte_count += len(payload) + len(reply)
            return reply

        return answer


class MeteredPeers(peertransport.PeerTransport):
    """A peer transport that measures the handlers of some kinds of calls.

    It must be in place before a part registers its handlers.
    """

    def __init__(
        self,
        peers: peertransport.PeerTransport,
        meters: dict[str, HandlerMeter],
    ):
        """Creates the transport.

        Args:
          peers: the transport that carries the calls.
          meters: handler meter by kind of call.
        """
        self._peers = peers
        self._meters = meters

    def register(self, kind: str, handler: peertransport.Handler) -> None:
        meter = self._meters.get(kind)
        self._peers.register(kind, meter.wrap(handler) if meter else handler)

    async def call(
        self, address: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes:
        return await self._peers.call(address, kind, payload, timeout_s)
