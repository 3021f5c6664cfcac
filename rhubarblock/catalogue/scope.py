"""Authorisation of operators: the entries they may see and change.

Operators see the entries of their institution and the shared entries, and may
change only those of their institution. Only an administrator may change what
the contract fixes: the contract fields, the weight, and any increase of a
limit.
"""

import math
from typing import Any

from returns import result

from rhubarblock.catalogue import diff
from rhubarblock.catalogue import faults
from rhubarblock.catalogue import schema as schemas
from rhubarblock.core import catalogue as catalogues

_Kind = schemas.EntryKind
_OWNED_KINDS = (_Kind.INSTITUTION, _Kind.WORKSPACE, _Kind.CREDENTIAL)
_CONTRACT_FIELDS = ("weight", "contract_tokens_per_s", "contract_until")
_LIMIT_FIELDS = tuple(catalogues.Limits.__dataclass_fields__)
_ONLY_ADMINISTRATOR = "only an administrator may change this"

Merged = result.Result[catalogues.Catalogue, tuple[faults.CatalogueError, ...]]


def is_visible(
    schema: schemas.EntrySchema, entry: Any, institution: str
) -> bool:
    """Returns whether operators of an institution may see an entry."""
    if schema.kind not in _OWNED_KINDS:
        return True
    return schemas.find_institution(schema.kind, entry) == institution


def restrict(
    catalogue: catalogues.Catalogue, institution: str
) -> catalogues.Catalogue:
    """Returns the part of a catalogue that is visible to an institution.

    Args:
      catalogue: the complete catalogue.
      institution: institution of the operator; empty for an administrator,
        who sees everything.
    """
    if not institution:
        return catalogue
    entries = [
        (schema, entry)
        for schema, entry in schemas.iterate_entries(catalogue)
        if is_visible(schema, entry, institution)
    ]
    return schemas.build_catalogue(catalogue.revision, entries)


def replace_institution_entries(
    current: catalogues.Catalogue,
    other: catalogues.Catalogue,
    institution: str,
) -> catalogues.Catalogue:
    """Replaces the entries of an institution with those of another catalogue.

    Args:
      current: source of all entries that do not belong to the institution.
      other: source of the entries that belong to the institution.
      institution: the institution; if empty, ``other`` is returned.
    """
    if not institution:
        return other
    entries = [
        (schema, entry)
        for source, is_institution_entry in ((current, False), (other, True))
        for schema, entry in schemas.iterate_entries(source)
        if (schemas.find_institution(schema.kind, entry) == institution)
        is is_institution_entry
    ]
    return schemas.build_catalogue(current.revision, entries)


def merge(
    current: catalogues.Catalogue,
    proposed: catalogues.Catalogue,
    institution: str,
) -> Merged:
    """Merges an operator's proposal into the complete catalogue.

    Args:
      current: the complete catalogue.
      proposed: the proposal; it may omit entries that the operator cannot see.
      institution: institution of the operator; empty for an administrator.

    Returns:
      The complete proposed catalogue, or an error for each change that the
      operator is not authorised to make.
    """
    if not institution:
        return result.Success(proposed)
    complete = _add_invisible(current, proposed, institution)
    errors = [
        error
        for change in diff.compare(current, complete)
        for error in _check_change(change, current, complete, institution)
    ]
    if errors:
        return result.Failure(tuple(errors))
    return result.Success(complete)


def _add_invisible(
    current: catalogues.Catalogue,
    proposed: catalogues.Catalogue,
    institution: str,
) -> catalogues.Catalogue:
    entries = list(schemas.iterate_entries(proposed))
    for schema, entry in schemas.iterate_entries(current):
        is_given = entry.name in schema.get_entries(proposed)
        if not is_given and not is_visible(schema, entry, institution):
            entries.append((schema, entry))
    return schemas.build_catalogue(proposed.revision, entries)


def _check_change(
    change: diff.Change,
    before: catalogues.Catalogue,
    after: catalogues.Catalogue,
    institution: str,
) -> list[faults.CatalogueError]:
    schema = schemas.SCHEMAS[change.kind]
    old: Any = schema.get_entries(before).get(change.name)
    new: Any = schema.get_entries(after).get(change.name)
    institutions = {
        schemas.find_institution(schema.kind, entry)
        for entry in (old, new)
        if entry is not None
    }
    if institutions != {institution}:
        message = f"is no entry of {institution}"
        return [faults.make_error(change.kind, change.name, "", message)]
    if change.kind is not _Kind.INSTITUTION:
        return []
    if change.act is not diff.Act.CHANGED:
        return [
            faults.make_error(change.kind, change.name, "", _ONLY_ADMINISTRATOR)
        ]
    return _check_own_institution(old, new)


def _check_own_institution(
    old: catalogues.Institution, new: catalogues.Institution
) -> list[faults.CatalogueError]:
    names = [
        name
        for name in _CONTRACT_FIELDS
        if getattr(old, name) != getattr(new, name)
    ]
    names += [
        name
        for name in _LIMIT_FIELDS
        if _get_upper_bound(new, name) > _get_upper_bound(old, name)
    ]
    return [
        faults.make_error(
            _Kind.INSTITUTION, old.name, name, _ONLY_ADMINISTRATOR
        )
        for name in names
    ]


def _get_upper_bound(institution: catalogues.Institution, name: str) -> float:
    """Returns a limit as an upper bound; a limit of 0 is unlimited."""
    return getattr(institution.limits, name) or math.inf
