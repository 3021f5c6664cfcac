"""Small soft state of other subsystems, piggybacked on heartbeats.

The state reaches only the instances with which this one exchanges heartbeats,
within some seconds. Data that must reach a particular instance needs a call.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

from rhubarblock.fleet.membership import member as members

# Maximum size of the state of one subsystem, and maximum number of subsystems.
# Together they bound the size of a heartbeat.
MAX_BYTES = 64
MAX_SUBSYSTEMS = 4

Callback = Callable[[members.Member, bytes], None]


class SoftState:
    """Soft state of this instance, and subscribers to that of peers."""

    __slots__ = ("_contents", "_callbacks")

    def __init__(self) -> None:
        self._contents: dict[str, bytes] = {}
        self._callbacks: dict[str, Callback] = {}

    @property
    def contents(self) -> Mapping[str, bytes]:
        """State sent with the next heartbeat, by subsystem."""
        return self._contents

    def set(self, subsystem: str, content: bytes) -> None:
        """Sets the state that is sent with each heartbeat from now on.

        Args:
          subsystem: name to which receivers subscribe.
          content: the state, at most ``MAX_BYTES`` long; empty removes it.

        Raises:
          ValueError: the state is too large, or too many subsystems have one.
        """
        if len(content) > MAX_BYTES:
            raise ValueError(f"soft state of {subsystem} is too large")
        if not content:
            self._contents.pop(subsystem, None)
            return
        is_new = subsystem not in self._contents
        if is_new and len(self._contents) >= MAX_SUBSYSTEMS:
            raise ValueError("too many subsystems with soft state")
        self._contents[subsystem] = content

    @contextlib.contextmanager
    def subscribe(self, subsystem: str, callback: Callback) -> Iterator[None]:
        """Calls back with the soft state of peers while the context is open.

        Args:
          subsystem: name under which it was set.
          callback: called with the sender and its state.

        Yields:
          Nothing.
        """
        self._callbacks[subsystem] = callback
        try:
            yield
        finally:
            del self._callbacks[subsystem]

    def deliver(
        self, sender: members.Member, contents: Mapping[str, bytes]
    ) -> None:
        """Passes the soft state in a heartbeat to its subscribers.

        Args:
          sender: the instance that sent it.
          contents: its soft state by subsystem.
        """
        for subsystem, content in contents.items():
            callback = self._callbacks.get(subsystem)
            if callback is not None:
                callback(sender, content)
