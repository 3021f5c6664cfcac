"""Tombstones of removed endpoint entries.

A removed entry leaves a tombstone, so that neither a peer that is behind nor a
store that was restored from an older copy brings its endpoint back.
"""

from collections.abc import Callable
import functools

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import store as stores

# Number of kept versions of entries that are not in the list. It covers the
# removals of an hour at the designed fleet size.
MAX_VERSIONS = 1024
# Seconds after a restore of the store for which a previously removed entry is
# held back: the store removes it within that time if nobody renews it.
HOLD_BACK_S = 6.0

Listing = dict[str, stores.StoredObject]


class VersionCache:
    """Versions of some entries by name; the oldest are evicted first."""

    __slots__ = ("_versions",)

    def __init__(self) -> None:
        self._versions: dict[str, positions.Position] = {}

    def note(self, stored: stores.StoredObject) -> None:
        """Stores the version of an entry."""
        self._versions.pop(stored.name, None)
        self._versions[stored.name] = stored.version
        if len(self._versions) > MAX_VERSIONS:
            del self._versions[next(iter(self._versions))]

    def find(self, name: str) -> positions.Position:
        """Returns the version of an entry, or ``NOWHERE``."""
        return self._versions.get(name, positions.NOWHERE)

    def forget(self, name: str) -> None:
        """Removes one entry."""
        self._versions.pop(name, None)

    def clear(self) -> None:
        """Removes all entries."""
        self._versions.clear()


class Tombstones:
    """The tombstones of one instance."""

    __slots__ = ("_admit", "_held_back", "_removed", "_timers")

    def __init__(
        self,
        admit: Callable[[stores.StoredObject], None],
        timers: timer_service.Timers,
    ):
        """Creates an empty set.

        Args:
          admit: receives an entry that was held back and is still listed.
          timers: callbacks.
        """
        self._admit = admit
        self._timers = timers
        self._removed = VersionCache()
        self._held_back: Listing = {}

    def note(self, stored: stores.StoredObject) -> None:
        """Records a removal."""
        self._removed.note(stored)

    def forget(self, name: str) -> None:
        """Drops the tombstone of an entry that exists again."""
        self._removed.forget(name)

    def note_change(self, name: str) -> None:
        """Stops holding back an entry that changed."""
        self._held_back.pop(name, None)

    def is_outdated(self, stored: stores.StoredObject) -> bool:
        """Returns whether an entry was removed after it had been written."""
        return stored.version <= self._removed.find(stored.name)

    def hold_back(self, listed: Listing) -> Listing:
        """Returns a list without entries that a restore may have revived.

        The copy from which the store was restored may contain an entry that was
        removed later. If the entry stays listed, somebody renews it, so it is
        admitted.
        """
        copies = {
            name: stored
            for name, stored in listed.items()
            if self._is_copy(stored)
        }
        for name, stored in copies.items():
            if self._held_back.get(name) != stored:
                end_hold = functools.partial(self._end_hold, stored)
                self._timers.call_later(HOLD_BACK_S, end_hold)
        self._held_back = copies
        return {n: s for n, s in listed.items() if n not in copies}

    def _is_copy(self, stored: stores.StoredObject) -> bool:
        removed = self._removed.find(stored.name)
        return bool(removed) and stored.version.may_be_copy_of(removed)

    def _end_hold(self, stored: stores.StoredObject) -> None:
        # A later restore may have started another hold of the same entry.
        if self._held_back.get(stored.name) == stored:
            self._admit(stored)
