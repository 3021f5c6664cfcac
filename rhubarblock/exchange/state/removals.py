"""Entries of endpoints that were removed, and those that a copy brings back.

A removed entry is remembered, so that neither a peer that is behind nor a store
that came back older brings its endpoint back.
"""

from collections.abc import Callable
import functools

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import store as stores

# Entries whose version is remembered although they are not in the list. It
# holds the removals of an hour at the size built for.
KEPT_VERSIONS = 1024
# Seconds after the store's return from a copy for which an entry is held back
# that was removed before: one that nobody renews is removed in that time.
HOLD_S = 6.0

Listing = dict[str, stores.StoredObject]


class VersionMemory:
    """Versions of some entries by name; the ones kept for longest go first."""

    __slots__ = ("_versions",)

    def __init__(self) -> None:
        self._versions: dict[str, positions.Position] = {}

    def note(self, stored: stores.StoredObject) -> None:
        """Keeps the version of an entry."""
        self._versions.pop(stored.name, None)
        self._versions[stored.name] = stored.version
        if len(self._versions) > KEPT_VERSIONS:
            del self._versions[next(iter(self._versions))]

    def find(self, name: str) -> positions.Position:
        """Returns the version of an entry, ``NOWHERE`` if none is kept."""
        return self._versions.get(name, positions.NOWHERE)

    def forget(self, name: str) -> None:
        """Forgets one entry."""
        self._versions.pop(name, None)

    def clear(self) -> None:
        """Forgets all."""
        self._versions.clear()


class Removals:
    """What one instance remembers of removed entries."""

    __slots__ = ("_admit", "_held", "_removed", "_timers")

    def __init__(
        self,
        admit: Callable[[stores.StoredObject], None],
        timers: timer_service.Timers,
    ):
        """Starts with none.

        Args:
          admit: takes an entry that was held back and is listed still.
          timers: callbacks.
        """
        self._admit = admit
        self._timers = timers
        self._removed = VersionMemory()
        self._held: Listing = {}

    def note(self, stored: stores.StoredObject) -> None:
        """Takes in a removal."""
        self._removed.note(stored)

    def forget(self, name: str) -> None:
        """Takes in that an entry is there again."""
        self._removed.forget(name)

    def note_change(self, name: str) -> None:
        """Takes in a change of an entry, which is held back no more."""
        self._held.pop(name, None)

    def is_outdated(self, stored: stores.StoredObject) -> bool:
        """Says whether an entry was removed after it had been written."""
        return stored.version <= self._removed.find(stored.name)

    def hold_back(self, listed: Listing) -> Listing:
        """Returns a list without what a copy brought back for a moment.

        An entry that was removed before and has not been written since may
        stand in a copy. If it is listed for long it is renewed, so it counts.
        """
        copies = {
            name: stored
            for name, stored in listed.items()
            if self._is_copy(stored)
        }
        for name, stored in copies.items():
            if self._held.get(name) != stored:
                step = functools.partial(self._end_hold, stored)
                self._timers.call_later(HOLD_S, step)
        self._held = copies
        return {n: s for n, s in listed.items() if n not in copies}

    def _is_copy(self, stored: stores.StoredObject) -> bool:
        removed = self._removed.find(stored.name)
        return bool(removed) and stored.version.may_be_copy_of(removed)

    def _end_hold(self, stored: stores.StoredObject) -> None:
        # A later return may have begun another hold of the same entry.
        if self._held.get(stored.name) == stored:
            self._admit(stored)
