"""The latest changes of the configuration, for peers that lack only these."""

import collections

from rhubarblock.core import document as documents

# Changes that are kept: a peer asks again within a second, in which a quick
# succession of versions brings a few; one that is further behind gets the whole
# configuration.
KEPT_CHANGES = 32


class History:
    """Changes of one configuration, each following the one before it."""

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        """Starts empty."""
        self._changes: collections.deque[documents.Difference] = (
            collections.deque(maxlen=KEPT_CHANGES)
        )

    def note(self, change: documents.Difference) -> None:
        """Takes in the latest change."""
        self._changes.append(change)

    def find(self, known: documents.Identity) -> documents.Difference | None:
        """Returns what changed since a content, or None if that isn't known."""
        since: list[documents.Difference] = []
        for change in reversed(self._changes):
            since.append(change)
            if change.before == known:
                return documents.join(reversed(since))
        return None
