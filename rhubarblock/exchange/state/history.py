"""The latest configuration deltas, for peers that lack only these."""

import collections

from rhubarblock.core import document as documents

# Number of deltas that are kept: a peer polls again within a second, in which
# even rapid updates bring only a few versions. A peer that is further behind
# gets the whole configuration.
MAX_CHANGES = 32


class History:
    """Consecutive deltas of one configuration."""

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        """Creates an empty history."""
        self._changes: collections.deque[documents.Difference] = (
            collections.deque(maxlen=MAX_CHANGES)
        )

    def note(self, change: documents.Difference) -> None:
        """Appends the latest delta."""
        self._changes.append(change)

    def find(self, known: documents.Identity) -> documents.Difference | None:
        """Returns the delta from a known content, or None if it isn't kept."""
        since: list[documents.Difference] = []
        for change in reversed(self._changes):
            since.append(change)
            if change.before == known:
                return documents.join(reversed(since))
        return None
