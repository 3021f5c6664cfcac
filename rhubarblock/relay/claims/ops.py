"""What can be asked of the claims of a shard.

Operations of one instance wait in a queue and are applied together to the
head of the shard, which is then written once. Applying one a second time, to
a head that already shows its effect, changes nothing.
"""

import abc
import asyncio
import dataclasses

from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import table as claimtable


class Operation(abc.ABC):
    """One operation on one key.

    Attributes:
      key_digest: key that it is about.
      found: after applying, the row that stands for the key, or None.
      done: resolved with ``found`` once the effect is certain.
      unsure: whether a write with this operation went out whose effect is not
        known; such a write may still be on its way.
      abandoned: whether nobody waits for it any more.
      urgent: whether a caller waits, so that it is written at once.
    """

    __slots__ = ("abandoned", "done", "found", "key_digest", "unsure")

    urgent = False

    def __init__(self, key_digest: str):
        """Creates an operation that has not been applied."""
        self.key_digest = key_digest
        self.found: claimrow.ClaimRow | None = None
        self.unsure = False
        self.abandoned = False
        self.done: asyncio.Future[claimrow.ClaimRow | None] = asyncio.Future()

    @abc.abstractmethod
    def apply(
        self,
        table: claimtable.ClaimTable,
        present: claimrow.ClaimRow | None,
    ) -> None:
        """Changes the head of the shard.

        Args:
          table: the head.
          present: the row of the key, from the head or from a segment.
        """

    @abc.abstractmethod
    def is_certain(self) -> bool:
        """Says whether what was found holds although the head may be older.

        What has been applied to an older head is not certain by itself, but is
        confirmed or refused when the head is written.
        """

    def make_release(self) -> "Release | None":
        """Returns what undoes this operation after it was abandoned."""
        return None


class Claim(Operation):
    """Creates the row of a key unless there is one."""

    __slots__ = ("row",)

    urgent = True

    def __init__(self, row: claimrow.ClaimRow):
        """Creates the claim with the row to be written."""
        super().__init__(row.key_digest)
        self.row = row

    def apply(
        self,
        table: claimtable.ClaimTable,
        present: claimrow.ClaimRow | None,
    ) -> None:
        if present is None:
            table.put_row(self.row)
            present = self.row
        self.found = present

    def is_certain(self) -> bool:
        if self.found is None or self.found.claim_id == self.row.claim_id:
            return True
        return self.found.state is claimrow.RowState.DONE

    def make_release(self) -> "Release | None":
        granted = self.found is not None and (
            self.found.claim_id == self.row.claim_id
        )
        if self.unsure or granted:
            return Release(self.key_digest, self.row.claim_id)
        return None


class ForwardedClaim(Claim):
    """A claim that a coordinator writes on behalf of another instance.

    Only the other instance knows whether the claim was used, so the
    coordinator never releases it.
    """

    __slots__ = ()

    def make_release(self) -> "Release | None":
        return None


class Lookup(Operation):
    """Finds the row of a key and changes nothing."""

    __slots__ = ()

    urgent = True

    def apply(
        self,
        table: claimtable.ClaimTable,
        present: claimrow.ClaimRow | None,
    ) -> None:
        self.found = present

    def is_certain(self) -> bool:
        return False


class Finish(Operation):
    """Records what became of the one run of a claim."""

    __slots__ = ("answer", "claim_id", "state")

    def __init__(
        self,
        key_digest: str,
        claim_id: str,
        state: claimrow.RowState,
        answer: claimrow.RowAnswer | None,
    ):
        """Creates the operation.

        Args:
          key_digest: key of the claim.
          claim_id: claim that ended; a row of another one stays as it is.
          state: new state.
          answer: answer of the run, if there is one.
        """
        super().__init__(key_digest)
        self.claim_id = claim_id
        self.state = state
        self.answer = answer

    def apply(
        self,
        table: claimtable.ClaimTable,
        present: claimrow.ClaimRow | None,
    ) -> None:
        self.found = present
        if present is None or present.claim_id != self.claim_id:
            return
        if self.key_digest not in table.lines:
            # The row was sealed long after the end of the call.
            return
        if present.state is claimrow.RowState.CLAIMED:
            self.found = dataclasses.replace(
                present, state=self.state, answer=self.answer
            )
            table.put_row(self.found)

    def is_certain(self) -> bool:
        return self.found is not None and (self.found.claim_id == self.claim_id)


class Release(Operation):
    """Removes the row of a claim that certainly was not and will not be used.

    It always writes: a write of the claim whose answer was lost may still be
    on its way, and a later version of the head keeps it from taking effect.
    """

    __slots__ = ("claim_id",)

    def __init__(self, key_digest: str, claim_id: str):
        """Creates the operation.

        Args:
          key_digest: key of the claim.
          claim_id: claim to release; a row of another one stays as it is.
        """
        super().__init__(key_digest)
        self.claim_id = claim_id

    def apply(
        self,
        table: claimtable.ClaimTable,
        present: claimrow.ClaimRow | None,
    ) -> None:
        table.changed = True
        own = present is not None and present.claim_id == self.claim_id
        if own and self.key_digest in table.lines:
            table.remove_row(self.key_digest)
            present = None
        self.found = present

    def is_certain(self) -> bool:
        return True
