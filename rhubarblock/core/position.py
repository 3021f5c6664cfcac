"""A position in the history of a store.

A store that comes back from an older copy begins a new era: its revisions go
back and are given out again. So a revision alone says neither which of two
states is later nor whether they are the same; only a position does.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Position:
    """Where a state stands in the history of a store.

    Attributes:
      era: rises each time that the store comes back from an older copy; 0 where
        the store tells of none.
      revision: rises with each write within an era.
    """

    era: int = 0
    revision: int = 0

    def __bool__(self) -> bool:
        return self != NOWHERE

    def may_be_copy_of(self, earlier: "Position") -> bool:
        """Says whether a state may be the older copy of an earlier one.

        A copy keeps its revision, and what is written in a new era gets one
        above all copies.

        Args:
          earlier: position of the last state that an earlier era had.
        """
        return self.era > earlier.era and self.revision <= earlier.revision


# Stands before all states; as an expected position, that there is no object.
NOWHERE = Position()
