"""Interface for calls between entry instances, over gRPC or in memory.

Each subsystem registers a handler for its kind of message and serializes its
own protobuf messages; the transport only carries bytes. Calls carry soft state
only: a lost call causes delay but never breaks a guarantee.
"""

import abc
from collections.abc import Awaitable
from collections.abc import Callable

Handler = Callable[[str, bytes], Awaitable[bytes]]


class PeerError(Exception):
    """A call to a peer failed; it may or may not have had an effect."""


class PeerTransport(abc.ABC):
    """Carries calls between entry instances."""

    @abc.abstractmethod
    def register(self, kind: str, handler: Handler) -> None:
        """Registers ``handler(sender_id, payload)`` for calls of a kind."""

    @abc.abstractmethod
    async def call(
        self, address: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Calls a peer.

        Args:
          address: ``host:port`` of the peer.
          kind: kind of message, e.g. ``membership.heartbeat``.
          payload: serialized message.
          timeout_s: timeout in seconds.

        Returns:
          The serialized response.

        Raises:
          PeerError: the call failed for any reason.
        """
