"""Small soft state that other subsystems let travel with heartbeats.

It reaches the instances that this one happens to talk to, each within some
seconds, and no others. What must reach a certain instance needs a call.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

from rhubarblock.fleet.membership import member as members

# Most bytes of one subsystem, and most subsystems: together they bound the
# size of a heartbeat.
LIMIT_BYTES = 64
LIMIT_COUNT = 4

Callback = Callable[[members.Member, bytes], None]


class SoftState:
    """What this instance lets travel, and who hears that of others."""

    __slots__ = ("_contents", "_callbacks")

    def __init__(self) -> None:
        self._contents: dict[str, bytes] = {}
        self._callbacks: dict[str, Callback] = {}

    @property
    def contents(self) -> Mapping[str, bytes]:
        """What travels with the next heartbeat, by subsystem."""
        return self._contents

    def set(self, subsystem: str, content: bytes) -> None:
        """Lets soft state travel with each heartbeat from now on.

        Args:
          subsystem: name that receivers subscribe to.
          content: at most ``LIMIT_BYTES``; empty ends it.

        Raises:
          ValueError: it is too large, or there are too many subsystems.
        """
        if len(content) > LIMIT_BYTES:
            raise ValueError(f"soft state of {subsystem} is too large")
        if not content:
            self._contents.pop(subsystem, None)
            return
        is_new = subsystem not in self._contents
        if is_new and len(self._contents) >= LIMIT_COUNT:
            raise ValueError("too many subsystems with soft state")
        self._contents[subsystem] = content

    @contextlib.contextmanager
    def subscribe(self, subsystem: str, callback: Callback) -> Iterator[None]:
        """Calls back with the soft state of peers while the context is open.

        Args:
          subsystem: name under which it was set.
          callback: gets the sender and the content.

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
        """Hands what came with a heartbeat to its subscribers.

        Args:
          sender: the instance that sent it.
          contents: its soft state by subsystem.
        """
        for subsystem, content in contents.items():
            callback = self._callbacks.get(subsystem)
            if callback is not None:
                callback(sender, content)
