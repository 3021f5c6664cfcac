"""The latest changes of the configuration, for peers that lack only these."""

import collections

from rhubarblock.core import document as documents

# Changes that are kept: a peer asks again within a second, in which a quick
# succession of versions brings a few; one that is further behind gets the whole
# configuration.
KEPT_CHANGES = 32


class History:
    """Changes of one configuration, each following the one before it."""

    __slots__ = ("_changes", "_found")

    def __init__(self) -> None:
        """Starts empty."""
        self._changes: collections.deque[documents.Difference] = (
            collections.deque(maxlen=KEPT_CHANGES)
        )
        # What was found since the last change: most peers ask from the same
        # version.
        self._found: dict[documents.Identity, documents.Difference] = {}

    def note(self, change: documents.Difference) -> None:
        """Takes in the latest change."""
        self._changes.append(change)
        self._found.clear()

    def find(self, known: documents.Identity) -> documents.Difference | None:
        """Returns what changed since a content, or None if that isn't known."""
        found = self._found.get(known)
        if found is None:
            found = self._join_since(known)
            if found is not None:
                self._found[known] = found
        return found

    def _join_since(
        self, known: documents.Identity
    ) -> documents.Difference | None:
        since: list[documents.Difference] = []
        for change in reversed(self._changes):
            since.append(change)
            if change.before == known:
                return documents.join(reversed(since))
        return None
