"""The set of evacuated data centres, as a state with a position.

All decisions are made here, without input or output. Positions are ordered, so
of two sets the one with the later position is right, wherever it comes from. A
store that was restored from an older copy may lack an evacuation that is still
wanted: the operator has some time to write it again, in which it is kept.
"""

from collections.abc import Mapping

from rhubarblock.core import position as positions

# Seconds for which an evacuation that an older copy of the store lacks is kept.
KEPT_S = 2.0

# Positions of evacuations by data centre.
Entries = Mapping[str, positions.Position]


class Evacuations:
    """The evacuated data centres.

    Attributes:
      is_known: whether any set was applied.
      position: position of the store at which the set was valid.
    """

    __slots__ = ("_entries", "_kept", "is_known", "position")

    def __init__(self) -> None:
        """Starts without a known set."""
        self._entries: dict[str, positions.Position] = {}
        # Until when entries are kept that the store lacks since its restore.
        self._kept: dict[str, float] = {}
        self.is_known = False
        self.position = positions.NOWHERE

    @property
    def data_centres(self) -> frozenset[str]:
        """The evacuated data centres."""
        return frozenset(self._entries)

    @property
    def entries(self) -> dict[str, positions.Position]:
        """Positions of the evacuations; those that are kept have an old era."""
        return dict(self._entries)

    @property
    def kept_until_s(self) -> float | None:
        """When the last kept entry may be dropped, in monotonic seconds."""
        return max(self._kept.values(), default=None)

    def apply_list(
        self,
        entries: Entries,
        at: positions.Position,
        now_s: float,
        keep_s: float = KEPT_S,
    ) -> bool:
        """Applies a whole set, from the store or from a peer.

        Args:
          entries: the set; a peer's may hold entries of an earlier era, which
            the peer keeps because the older copy of the store lacks them.
          at: position at which it was valid.
          now_s: monotonic seconds.
          keep_s: seconds for which entries that a new era lacks are kept.

        Returns:
          Whether it was applied. An older set than the present one is not.
        """
        if self.is_known and at < self.position:
            return False
        confirmed = {n: p for n, p in entries.items() if p.era == at.era}
        others = dict(self._entries)
        if not self.is_known or at.era > self.position.era:
            others = {**entries, **others}
            self._kept = dict.fromkeys(others, now_s + keep_s)
        self._kept = {
            name: until_s
            for name, until_s in self._kept.items()
            if until_s > now_s and name not in confirmed
        }
        self._entries = confirmed | {name: others[name] for name in self._kept}
        self.position = at
        self.is_known = True
        return True

    def apply_change(
        self, name: str, version: positions.Position, deleted: bool
    ) -> None:
        """Applies a change that a watch reported after the last list.

        Args:
          name: the data centre.
          version: position of the change.
          deleted: whether the evacuation ended.
        """
        if not self.is_known or version.era != self.position.era:
            # Only a list shows what else changed with the era.
            return
        if version < self._entries.get(name, positions.NOWHERE):
            return
        self._kept.pop(name, None)
        if deleted:
            self._entries.pop(name, None)
        else:
            self._entries[name] = version
        self.position = max(self.position, version)

    def advance(self, at: positions.Position) -> None:
        """Records that the set is valid at a later position of its era."""
        if self.is_known and at.era == self.position.era:
            self.position = max(self.position, at)

    def expire(self, now_s: float) -> None:
        """Drops kept entries whose time is over.

        Called when the present set was confirmed without a new list.
        """
        for name, until_s in list(self._kept.items()):
            if until_s <= now_s:
                del self._kept[name]
                del self._entries[name]
