"""Whose request comes next where several wait for a permit.

Workspaces take turns at what an endpoint's rate limit leaves, however many
requests each of them has waiting.
"""

from collections.abc import Iterator
import contextlib
import itertools


class PermitQueue:
    """The workspaces that wait at one instance, by service."""

    __slots__ = ("_numbers", "_passed", "_waiting")

    def __init__(self) -> None:
        """Starts with nobody waiting."""
        # Requests that wait, by workspace, and the number of the last one of
        # the workspace that went on.
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
        """Says whether no other workspace waits that went on longer ago."""
        passed = self._passed.get(service, {})
        waiting = self._waiting.get(service, {})
        own = passed.get(workspace, 0)
        return all(passed.get(other, 0) >= own for other in waiting)

    def note_passed(self, service: str, workspace: str) -> None:
        """Takes in that a request that waited goes on."""
        passed = self._passed.setdefault(service, {})
        passed[workspace] = next(self._numbers)
