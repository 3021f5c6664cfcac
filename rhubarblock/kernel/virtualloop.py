"""An event loop with a simulated clock.

When nothing is ready to run, the clock jumps to the next timer. A simulation of
minutes takes only the time of its computation, and the order of events depends
only on the program and its seeds. Sockets are never polled, so only in-memory
transports work on it.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class DeadlockError(RuntimeError):
    """Every task waits and no timer is set that could wake one."""


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock of its loop instead of waiting for sockets."""

    loop: "VirtualLoop"

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise DeadlockError("nothing is ready and no timer is set")
        if timeout > 0:
            self.loop.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock starts at zero and jumps from timer to timer."""

    def __init__(self) -> None:
        self._virtual_s = 0.0
        selector = _JumpingSelector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        return self._virtual_s

    def advance(self, delay_s: float) -> None:
        """Advances the clock by a number of seconds."""
        self._virtual_s += delay_s


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to completion on a new virtual loop.

    Args:
      main: the coroutine.

    Returns:
      The result of the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
