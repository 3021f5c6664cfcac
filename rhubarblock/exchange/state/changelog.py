"""Numbered changes of the endpoint list, for peers that poll for them."""

from rhubarblock.store import store as stores

# Number of changes that are kept; a peer that is further behind gets the whole
# list. A rolling replacement changes some entries per second.
MAX_CHANGES = 256


class ChangeLog:
    """The latest changes of one instance's list.

    Attributes:
      number: number of the latest change.
    """

    __slots__ = ("_changes", "_first", "number")

    def __init__(self) -> None:
        self._changes: list[stores.StoredObject] = []
        self.number = 0
        # Number of the oldest kept change.
        self._first = 1

    def note(self, stored: stores.StoredObject) -> None:
        """Appends a change."""
        self.number += 1
        self._changes.append(stored)
        if len(self._changes) > MAX_CHANGES:
            del self._changes[0]
            self._first += 1

    def forget(self) -> None:
        """Discards all changes, as they are of another era.

        Every peer gets the whole list next.
        """
        self._changes.clear()
        self.number += 1
        self._first = self.number + 1

    def list_since(self, after: int) -> list[stores.StoredObject] | None:
        """Returns the changes after a number, or None if some are not kept.

        Args:
          after: number of the latest known change, 0 for none.
        """
        if after <= 0 or not self._first <= after + 1 <= self.number + 1:
            return None
        return self._changes[after + 1 - self._first :]
