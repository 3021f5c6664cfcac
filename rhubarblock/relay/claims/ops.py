"""Operations on the claims of a shard.

Operations of one instance are queued and applied to the head of the shard in
batches; each batch is one write. Operations are idempotent: applying one to a
head that already contains its effect changes nothing.
"""

import abc
import asyncio
import dataclasses

from rhubarblock.relay.claims import row as claimrow
from rhubarblock.relay.claims import table as claimtable


class Operation(abc.ABC):
    """One operation on one key.

    Attributes:
      key_digest: digest of the key.
      found: the row of the key after the operation was applied, or None.
      done: resolved with ``found`` once the effect is certain.
      unsure: whether a write with this operation was sent and its outcome is
        unknown; such a write may still take effect later.
      abandoned: whether nobody waits for the result any more.
      urgent: whether a caller waits for the result, so that it is written
        without delay.
    """

    __slots__ = ("abandoned", "done", "found", "key_digest", "unsure")

    urgent = False

    def __init__(self, key_digest: str):
        """Creates an operation that has not been applied yet."""
        self.key_digest = key_digest
        self.found: claimrow.ClaimRow | None = None
        self.unsure = False
        self.abandoned = False
        self.done: asyncio.Future[claimrow.ClaimRow | None] = asyncio.Future()

    @abc.abstractmethod
    def apply(
        self,
        table: claimtable.ClaimTable,
        current: claimrow.ClaimRow | None,
    ) -> None:
        """Applies the operation to the head of the shard.

        Args:
          table: the head.
          current: the row of the key, from the head or a segment, or None.
        """

    @abc.abstractmethod
    def is_certain(self) -> bool:
        """Returns whether the result holds even if the head was outdated.

        A change made to an outdated head counts as certain too, since the
        conditional write of the head confirms or refuses it.
        """

    def make_release(self) -> "Release | None":
        """Returns the operation that undoes this one, or None.

        It is called after this operation was abandoned.
        """
        return None


class Claim(Operation):
    """Adds the row of a key unless the key has one."""

    __slots__ = ("row",)

    urgent = True

    def __init__(self, row: claimrow.ClaimRow):
        """Creates a claim that writes the given row."""
        super().__init__(row.key_digest)
        self.row = row

    def apply(
        self,
        table: claimtable.ClaimTable,
        current: claimrow.ClaimRow | None,
    ) -> None:
        if current is None:
            table.put_row(self.row)
            current = self.row
        self.found = current

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

    Only that instance knows whether the claim was used, so the coordinator
    never releases it.
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
        current: claimrow.ClaimRow | None,
    ) -> None:
        self.found = current

    def is_certain(self) -> bool:
        return False


class Finish(Operation):
    """Records the outcome of the run that a claim allowed."""

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
          key_digest: digest of the claim's key.
          claim_id: claim that ended; the row of another claim is not changed.
          state: new state.
          answer: answer of the run, or None.
        """
        super().__init__(key_digest)
        self.claim_id = claim_id
        self.state = state
        self.answer = answer

    def apply(
        self,
        table: claimtable.ClaimTable,
        current: claimrow.ClaimRow | None,
    ) -> None:
        self.found = current
        if current is None or current.claim_id != self.claim_id:
            return
        if self.key_digest not in table.lines:
            # Rows in segments never change. An unfinished row is sealed only
            # long after the deadline of its call.
            return
        if current.state is claimrow.RowState.CLAIMED:
            self.found = dataclasses.replace(
                current, state=self.state, answer=self.answer
            )
            table.put_row(self.found)

    def is_certain(self) -> bool:
        return self.found is not None and (self.found.claim_id == self.claim_id)


class Release(Operation):
    """Removes the row of a claim that was not used and never will be.

    It always writes the head: a write of the claim whose reply was lost may
    still be delayed, and a newer version of the head makes it fail.
    """

    __slots__ = ("claim_id",)

    def __init__(self, key_digest: str, claim_id: str):
        """Creates the operation.

        Args:
          key_digest: digest of the claim's key.
          claim_id: claim to release; the row of another claim is not changed.
        """
        super().__init__(key_digest)
        self.claim_id = claim_id

    def apply(
        self,
        table: claimtable.ClaimTable,
        current: claimrow.ClaimRow | None,
    ) -> None:
        table.changed = True
        is_own = current is not None and current.claim_id == self.claim_id
        if is_own and self.key_digest in table.lines:
            table.remove_row(self.key_digest)
            current = None
        self.found = current

    def is_certain(self) -> bool:
        return True
