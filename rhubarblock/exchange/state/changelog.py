"""Numbered changes of the list of endpoints, for peers that follow them."""

from rhubarblock.store import store as stores

# Changes that are kept; a peer that is further behind gets the whole list. A
# rolling replacement changes some entries a second.
KEPT_CHANGES = 256


class ChangeLog:
    """The latest changes of one instance's list.

    Attributes:
      number: number of the latest change.
    """

    __slots__ = ("_changes", "_first", "number")

    def __init__(self) -> None:
        self._changes: list[stores.StoredObject] = []
        self.number = 0
        # Number of the oldest change that is kept.
        self._first = 1

    def note(self, stored: stores.StoredObject) -> None:
        """Takes in a change."""
        self.number += 1
        self._changes.append(stored)
        if len(self._changes) > KEPT_CHANGES:
            del self._changes[0]
            self._first += 1

    def forget(self) -> None:
        """Gives every peer the whole list, as changes were of another era."""
        self._changes.clear()
        self.number += 1
        self._first = self.number + 1

    def list_since(self, after: int) -> list[stores.StoredObject] | None:
        """Returns the changes after a number, None where some are not kept.

        Args:
          after: number of the latest change that is known, 0 for none.
        """
        if after <= 0 or not self._first <= after + 1 <= self.number + 1:
            return None
        return self._changes[after + 1 - self._first :]
