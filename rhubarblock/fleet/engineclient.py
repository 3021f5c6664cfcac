"""Interface to model engines, over sockets or in memory.

The protocol is described in docs/standins.md. Relay, routing and fleet use
only this interface, so that the same code runs against an engine process and
against an in-memory engine on the virtual clock.
"""

import abc
from collections.abc import AsyncGenerator

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints


class EngineClient(abc.ABC):
    """Client of the engines of a fleet, each given by its address.

    Every method reports a failure as ``failure.FailureError``. Its verdict is
    NOT_RUN only if the engine cannot have received the whole request, or
    refused it.
    """

    @abc.abstractmethod
    def generate(
        self, address: str, attempt: attempts.Attempt
    ) -> AsyncGenerator[attempts.Chunk, None]:
        """Runs an attempt and yields its answer in chunks.

        Closing the generator cancels the attempt at the engine.

        Args:
          address: ``host:port`` of the engine.
          attempt: what to run.

        Returns:
          An async generator of chunks; a complete answer ends with a chunk
          whose ``end`` is true.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, attempt_id: str) -> bool:
        """Frees everything that an attempt holds (memory, stream, export).

        Returns:
          Whether the engine still knew the attempt.
        """

    @abc.abstractmethod
    async def fetch_load(self, address: str) -> endpoints.LoadReport:
        """Returns the engine's latest load report, which lags its state."""

    @abc.abstractmethod
    async def fetch_cache_events(
        self, address: str, after: int
    ) -> list[attempts.CacheEvent]:
        """Returns cache events after a sequence number; some may be missing."""

    @abc.abstractmethod
    async def give_order(
        self, address: str, order: attempts.Order
    ) -> endpoints.LoadReport:
        """Gives an order and returns the engine's state after accepting it.

        Raises:
          failure.FailureError: FORBIDDEN if the engine checks fencing numbers
            and that of the order is outdated.
        """
