"""Selects the records of the audit trail that a request may see."""

from collections.abc import Iterable
import dataclasses

from rhubarblock.catalogue import audit

DEFAULT_LIMIT = 100


@dataclasses.dataclass(slots=True, frozen=True)
class AuditFilter:
    """Filter of a query; an empty value matches every record.

    Attributes:
      who: name of the credential.
      action: action of the record.
      kind: kind of an entry that was changed or drained.
      name: name of an entry that was changed or drained.
      since_s: earliest time, in seconds since the Unix epoch.
      until_s: latest time, in seconds since the Unix epoch; 0 for no bound.
      limit: most records to return, latest first.
    """

    who: str = ""
    action: str = ""
    kind: str = ""
    name: str = ""
    since_s: float = 0.0
    until_s: float = 0.0
    limit: int = DEFAULT_LIMIT

    def matches(self, record: audit.AuditRecord) -> bool:
        """Returns whether a record matches; ignores ``limit``."""
        if self.who and record.who != self.who:
            return False
        if self.action and record.action.value != self.action:
            return False
        if record.when_s < self.since_s:
            return False
        if self.until_s and record.when_s > self.until_s:
            return False
        return self._matches_entries(record)

    def _matches_entries(self, record: audit.AuditRecord) -> bool:
        if not self.kind and not self.name:
            return True
        kind, _, name = record.target.partition(" ")
        affected = {(c.kind.value, c.name) for c in record.changes}
        affected.add((kind, name))
        return any(
            self.kind in ("", kind) and self.name in ("", name)
            for kind, name in affected
        )


def select_records(
    records: Iterable[audit.AuditRecord],
    audit_filter: AuditFilter,
    institution: str,
) -> list[audit.AuditRecord]:
    """Returns the records that match a filter.

    Args:
      records: all records, latest first.
      audit_filter: filter of the query.
      institution: institution of an operator, who sees all drains, but only
        changes to entries of this institution and to shared entries; empty for
        an administrator, who sees everything.

    Returns:
      At most ``audit_filter.limit`` records, latest first.
    """
    selected = []
    for record in records:
        visible = _restrict(record, institution)
        if visible is not None and audit_filter.matches(visible):
            selected.append(visible)
    return selected[: audit_filter.limit]


def _restrict(
    record: audit.AuditRecord, institution: str
) -> audit.AuditRecord | None:
    if not institution or record.action is audit.Action.DRAIN:
        return record
    changes = tuple(
        change
        for change in record.changes
        if change.institution in ("", institution)
    )
    if not changes:
        return None
    return dataclasses.replace(record, changes=changes)
