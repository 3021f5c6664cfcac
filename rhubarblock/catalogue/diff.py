"""Computes and formats the differences between two catalogues.

They are shown to operators and stored in audit records.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

from rhubarblock.catalogue import schema as schemas
from rhubarblock.core import catalogue as catalogues


class Act(enum.Enum):
    """Kind of change to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(slots=True, frozen=True)
class FieldChange:
    """A field's values before and after, as text; empty if absent."""

    field: str
    before: str
    after: str


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """The change to one entry.

    Attributes:
      act: whether the entry was added, removed or changed.
      kind: kind of the entry.
      name: name of the entry.
      fields: fields that differ; for an added or removed entry, all fields
        whose value is not the default.
      institution: institution that the entry belongs to; empty if shared.
    """

    act: Act
    kind: schemas.EntryKind
    name: str
    fields: tuple[FieldChange, ...]
    institution: str = ""


def compare(
    before: catalogues.Catalogue, after: catalogues.Catalogue
) -> list[Change]:
    """Returns the changes between two catalogues.

    Args:
      before: the older catalogue.
      after: the newer catalogue.

    Returns:
      The changes ordered by kind and name; revisions are not compared.
    """
    changes = []
    for schema in schemas.SCHEMAS.values():
        old = schema.get_entries(before)
        new = schema.get_entries(after)
        for name in sorted({*old, *new}):
            change = _compare_entry(schema, name, old.get(name), new.get(name))
            if change is not None:
                changes.append(change)
    return changes


def _compare_entry(
    schema: schemas.EntrySchema, name: str, old: Any, new: Any
) -> Change | None:
    if old == new:
        return None
    act = Act.CHANGED
    if old is None:
        act = Act.ADDED
    elif new is None:
        act = Act.REMOVED
    fields = tuple(
        FieldChange(key, before, after)
        for key, field in schema.fields.items()
        for before, after in [
            (_format_value(field, old, new), _format_value(field, new, old))
        ]
        if before != after
    )
    present = old if new is None else new
    institution = schemas.find_institution(schema.kind, present)
    return Change(act, schema.kind, name, fields, institution)


def _format_value(field: schemas.EntryField, entry: Any, other: Any) -> str:
    """Returns a field's value as text; empty if there is nothing to show.

    That is the case if the entry does not exist, and for a default value of an
    entry that was added or removed.

    Args:
      field: the field to format.
      entry: the entry on this side of the comparison, or None.
      other: the entry on the other side, or None.
    """
    if entry is None or (other is None and field.is_default(entry)):
        return ""
    return field.format_value(entry)


_MARKS = {Act.ADDED: "+", Act.REMOVED: "-", Act.CHANGED: "~"}


def format_changes(changes: Iterable[Change]) -> str:
    """Returns changes as text for operators; empty if there are none."""
    lines = []
    for change in changes:
        mark = _MARKS[change.act]
        lines.append(f"{mark} [{change.kind.value} {change.name}]")
        lines += [_format_field(change.act, field) for field in change.fields]
    return "".join(line + "\n" for line in lines)


def _format_field(act: Act, field: FieldChange) -> str:
    if act is Act.ADDED:
        return f"    {field.field} = {field.after}"
    if act is Act.REMOVED:
        return f"    {field.field} = {field.before}"
    before = field.before or "(empty)"
    after = field.after or "(empty)"
    return f"    {field.field}: {before} -> {after}"
