"""The lifecycle of an entry instance: starting, ready, draining, stopped.

It counts the requests in flight, so that a planned stop can reject new requests
and wait for those in flight instead of aborting them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import logging
import math
from typing import Any

import transitions

from rhubarblock.core import failure as failures
from rhubarblock.kernel import logs


class LifecycleState(enum.Enum):
    """State in the lifecycle of an instance."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


Hook = Callable[[LifecycleState, LifecycleState], None]

# A rejected caller retries at another instance, so it need not wait long.
RETRY_AFTER_S = 1.0

_TRANSITIONS: list[Any] = [
    ["mark_ready", LifecycleState.STARTING, LifecycleState.READY],
    [
        "start_drain",
        [LifecycleState.STARTING, LifecycleState.READY],
        LifecycleState.DRAINING,
    ],
    ["start_drain", LifecycleState.DRAINING, None],
    ["mark_stopped", "*", LifecycleState.STOPPED],
]


class InstanceLifecycle:
    """State of one instance and the number of its requests in flight.

    A transition that the current state does not allow raises
    ``transitions.MachineError``.

    Attributes:
      drain_ends_s: when a drain cuts what is still in flight, in monotonic
        seconds; infinite before a drain with an end.
      closes_connections: whether connections close after the answer that is
        sent on them, so that their callers come back to other instances.
    """

    __slots__ = (
        "_hooks",
        "_in_flight",
        "_idle",
        "_machine",
        "_drain_listeners",
        "closes_connections",
        "drain_ends_s",
    )

    def __init__(self) -> None:
        self.closes_connections = False
        self.drain_ends_s = math.inf
        self._drain_listeners: list[Callable[[float], object]] = []
        self._hooks: list[Hook] = []
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._machine = transitions.Machine(
            states=LifecycleState,
            transitions=_TRANSITIONS,
            initial=LifecycleState.STARTING,
            auto_transitions=False,
        )

    @property
    def state(self) -> LifecycleState:
        """The current state."""
        return self._machine.state

    @property
    def in_flight(self) -> int:
        """Number of requests that began and have not ended."""
        return self._in_flight

    def add_hook(self, hook: Hook) -> None:
        """Calls ``hook(before, after)`` on each later change of state."""
        self._hooks.append(hook)

    def add_drain_listener(self, listener: Callable[[float], object]) -> None:
        """Calls a function with the end of a drain once that is known."""
        self._drain_listeners.append(listener)

    def end_drain_at(self, ends_s: float) -> None:
        """Sets when the drain cuts what is still in flight.

        Args:
          ends_s: that time in monotonic seconds.
        """
        self.drain_ends_s = ends_s
        for listener in self._drain_listeners:
            listener(ends_s)

    def mark_ready(self) -> None:
        """Marks the instance as ready to serve."""
        self._trigger("mark_ready")

    def start_drain(self) -> None:
        """Rejects new requests from now on; repeated calls have no effect."""
        self._trigger("start_drain")

    def mark_stopped(self) -> None:
        """Marks the instance as stopped."""
        self._trigger("mark_stopped")

    @contextlib.contextmanager
    def begin_request(self) -> Iterator[None]:
        """Counts a request as in flight while the context is open.

        Yields:
          Nothing.

        Raises:
          failure.FailureError: the instance accepts no requests; NOT_RUN.
        """
        self._check_ready()
        with self.track_request():
            yield

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Counts a request as in flight in any state.

        A load balancer takes a while to notice that an instance drains;
        requests that it still sends are served.

        Yields:
          Nothing.
        """
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def drain(self, deadline_s: float) -> bool:
        """Rejects new requests and waits for those in flight.

        Args:
          deadline_s: maximum wait, in seconds from now.

        Returns:
          Whether all requests ended in time.
        """
        self.start_drain()
        try:
            async with asyncio.timeout(deadline_s):
                await self.wait_idle()
        except TimeoutError:
            return False
        return True

    async def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        await self._idle.wait()

    def _check_ready(self) -> None:
        if self.state is LifecycleState.READY:
            return
        code = failures.FailureCode.DRAINING
        if self.state is LifecycleState.STARTING:
            code = failures.FailureCode.NO_ENDPOINT
        raise failures.FailureError(
            failures.Failure(
                code,
                f"this instance is {self.state.value}",
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def _trigger(self, trigger: str) -> None:
        before = self.state
        self._machine.trigger(trigger)
        after = self.state
        if after is before:
            return
        for hook in self._hooks:
            hook(before, after)


def log_transition(
    logger: logging.Logger,
    lifecycle: InstanceLifecycle,
    instance_id: str,
    trigger: Callable[[], None],
) -> None:
    """Triggers a transition of an instance and logs the change of state.

    Args:
      logger: logger of the calling module.
      lifecycle: state of the instance.
      instance_id: id of the instance.
      trigger: method to call, such as ``lifecycle.mark_ready``.
    """
    before = lifecycle.state.value
    trigger()
    logs.log_state_change(
        logger,
        f"instance {instance_id}",
        before,
        lifecycle.state.value,
        in_flight=lifecycle.in_flight,
    )
