"""A position in the history of a store.

A store that is restored from an older copy begins a new era: its revisions go
back and are assigned again. Comparing revisions alone therefore shows neither
which of two states is later nor whether they are equal; comparing positions
shows both.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Position:
    """Position of a state in the history of a store.

    Attributes:
      era: increases each time the store is restored from an older copy; 0 if
        the store reports no era.
      revision: increases with each write within an era.
    """

    era: int = 0
    revision: int = 0

    def __bool__(self) -> bool:
        return self != NOWHERE

    def may_be_copy_of(self, earlier: "Position") -> bool:
        """Returns whether this state may be a copy from an earlier era.

        A copied state keeps its revision, and a write in the new era gets a
        revision above all copied ones.

        Args:
          earlier: position of the object's last state in the earlier era.
        """
        return self.era > earlier.era and self.revision <= earlier.revision


# Precedes all states. As an expected position: the object must not exist.
NOWHERE = Position()
