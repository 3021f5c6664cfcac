"""Audit records: who changed what, when and why."""

import dataclasses
import enum

from rhubarblock.catalogue import diff


class Action(enum.Enum):
    """Kind of action taken by an operator."""

    APPLY = "apply"
    ROLLBACK = "rollback"
    DRAIN = "drain"


@dataclasses.dataclass(slots=True, frozen=True)
class AuditRecord:
    """One accepted action of an operator.

    Attributes:
      change_id: unique id of the action; a retry uses the same id.
      action: kind of the action.
      who: name of the operator's credential.
      when_s: time of the action, in seconds since the epoch.
      why: the operator's reason.
      revision: revision created by the action, or in force at the time if it
        created none.
      changes: changed entries with their values before and after.
      target: the drained endpoint, instance or data centre, or the revision
        rolled back to; else empty.
    """

    change_id: str
    action: Action
    who: str
    when_s: float
    why: str
    revision: int
    changes: tuple[diff.Change, ...] = ()
    target: str = ""
