"""Fair queueing of requests that wait for a permit.

Workspaces share an endpoint's rate limit round-robin, however many requests
each of them has waiting.
"""

from collections.abc import Iterator
import contextlib
import itertools


class PermitQueue:
    """The waiting workspaces of one instance, by service."""

    __slots__ = ("_numbers", "_passed", "_waiting")

    def __init__(self) -> None:
        """Creates an empty queue."""
        # Waiting requests by workspace, and the turn number of the request of
        # each workspace that proceeded last.
        self._waiting: dict[str, dict[str, int]] = {}
        self._passed: dict[str, dict[str, int]] = {}
        self._numbers = itertools.count(1)

    @contextlib.contextmanager
    def wait(self, service: str, workspace: str) -> Iterator[None]:
        """Counts a request as waiting while the context is open."""
        waiting = self._waiting.setdefault(service, {})
        waiting[workspace] = waiting.get(workspace, 0) + 1
        try:
            yield
        finally:
            waiting[workspace] -= 1
            if not waiting[workspace]:
                del waiting[workspace]
            if not waiting:
                self._waiting.pop(service, None)
                self._passed.pop(service, None)

    def is_next(self, service: str, workspace: str) -> bool:
        """Returns whether no other waiting workspace comes first.

        Workspaces without a turn come first, then those whose last turn was
        earliest.
        """
        passed = self._passed.get(service, {})
        waiting = self._waiting.get(service, {})
        own = passed.get(workspace, 0)
        return all(passed.get(other, 0) >= own for other in waiting)

    def note_passed(self, service: str, workspace: str) -> None:
        """Records that a waiting request proceeds."""
        passed = self._passed.setdefault(service, {})
        passed[workspace] = next(self._numbers)
