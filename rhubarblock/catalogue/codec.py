"""Encodes catalogues and audit records as JSON for the platform and peers.

A catalogue and the audit record of the change that created it are stored in one
object, so no accepted change lacks its record. Fields with their default value
are omitted. Unknown fields are ignored when read, so instances of two versions
can run side by side.
"""

import dataclasses
import enum
import json
from typing import Any

from rhubarblock.catalogue import audit
from rhubarblock.catalogue import diff
from rhubarblock.catalogue import schema as schemas
from rhubarblock.core import catalogue as catalogues
from rhubarblock.settings import fields

_REVISION = "revision"
_AUDIT = "audit"


class CodecError(ValueError):
    """The bytes are not a valid catalogue or audit record."""


def encode(
    catalogue: catalogues.Catalogue, record: audit.AuditRecord | None = None
) -> bytes:
    """Returns a catalogue as compact JSON.

    Args:
      catalogue: the catalogue to encode.
      record: audit record of the change that created it, or None.
    """
    document = build_document(catalogue)
    if record is not None:
        document[_AUDIT] = build_record_document(record)
    return _dump(document)


def decode(content: bytes) -> catalogues.Catalogue:
    """Returns the catalogue in the output of ``encode``.

    Args:
      content: JSON, with or without an audit record.

    Raises:
      CodecError: the content is not a valid catalogue.
    """
    document = _load(content)
    revision = _expect(document.get(_REVISION), int)
    entries = []
    for schema in schemas.SCHEMAS.values():
        found = _expect(document.get(schema.container, {}), dict)
        for name, raw in found.items():
            entries.append((schema, _read_entry(schema, name, raw)))
    return schemas.build_catalogue(revision, entries)


def decode_revision(content: bytes) -> int:
    """Returns the revision of an encoded catalogue or audit record.

    Raises:
      CodecError: the content is not JSON or has no revision.
    """
    return _expect(_load(content).get(_REVISION), int)


def decode_attached_record(content: bytes) -> audit.AuditRecord | None:
    """Returns the audit record in the output of ``encode``, or None.

    Raises:
      CodecError: the content or the record in it is invalid.
    """
    document = _load(content).get(_AUDIT)
    return None if document is None else parse_record_document(document)


def encode_record(record: audit.AuditRecord) -> bytes:
    """Returns an audit record as compact JSON."""
    return _dump(build_record_document(record))


def decode_record(content: bytes) -> audit.AuditRecord:
    """Returns the audit record in the output of ``encode_record``.

    Raises:
      CodecError: the content is not a valid audit record.
    """
    return parse_record_document(_load(content))


def build_document(catalogue: catalogues.Catalogue) -> dict[str, Any]:
    """Returns a catalogue as a JSON-serialisable dictionary."""
    document: dict[str, Any] = {_REVISION: catalogue.revision}
    for schema, entry in schemas.iterate_entries(catalogue):
        container = document.setdefault(schema.container, {})
        container[entry.name] = {
            key: _to_json_value(field.get_value(entry))
            for key, field in schema.fields.items()
            if not field.is_default(entry)
        }
    return document


def build_record_document(record: audit.AuditRecord) -> dict[str, Any]:
    """Returns an audit record as a JSON-serialisable dictionary."""
    return {
        "change_id": record.change_id,
        "action": record.action.value,
        "who": record.who,
        "when_s": record.when_s,
        "why": record.why,
        _REVISION: record.revision,
        "changes": [build_change_document(c) for c in record.changes],
        "target": record.target,
    }


def build_change_document(change: diff.Change) -> dict[str, Any]:
    """Returns one change as a JSON-serialisable dictionary."""
    return {
        "act": change.act.value,
        "kind": change.kind.value,
        "name": change.name,
        "fields": [
            {"field": f.field, "before": f.before, "after": f.after}
            for f in change.fields
        ],
        "institution": change.institution,
    }


def parse_record_document(document: Any) -> audit.AuditRecord:
    """Returns the audit record in a decoded JSON document.

    Raises:
      CodecError: the document is not a valid audit record.
    """
    document = _expect(document, dict)
    try:
        return audit.AuditRecord(
            change_id=str(document["change_id"]),
            action=audit.Action(document["action"]),
            who=str(document["who"]),
            when_s=float(document["when_s"]),
            why=str(document["why"]),
            revision=int(document[_REVISION]),
            changes=tuple(map(parse_change_document, document["changes"])),
            target=str(document.get("target", "")),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f"no audit record: {error!r}") from error


def parse_change_document(document: Any) -> diff.Change:
    """Returns the change in a decoded JSON document.

    Raises:
      CodecError: the document is not a valid change.
    """
    document = _expect(document, dict)
    try:
        return diff.Change(
            diff.Act(document["act"]),
            schemas.EntryKind(document["kind"]),
            str(document["name"]),
            tuple(
                diff.FieldChange(f["field"], f["before"], f["after"])
                for f in document["fields"]
            ),
            str(document.get("institution", "")),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f"no change: {error!r}") from error


def _read_entry(schema: schemas.EntrySchema, name: str, raw: Any) -> Any:
    raw = _expect(raw, dict)
    values = {
        key: _read_value(field.key, raw, f"{schema.kind.value} {name}")
        for key, field in schema.fields.items()
    }
    return schema.build(name, values)


def _read_value(key: fields.Key, raw: dict[str, Any], entry: str) -> Any:
    json_value = raw.get(key.name, dataclasses.MISSING)
    if json_value is dataclasses.MISSING:
        if key.required:
            raise CodecError(f"[{entry}] {key.name}: is missing")
        return key.default
    try:
        return key.kind.parse(_to_file_text(json_value))
    except ValueError as error:
        raise CodecError(f"[{entry}] {key.name}: {error}") from error


def _to_json_value(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value


def _to_file_text(json_value: Any) -> str:
    """Returns a JSON value in the syntax of a catalogue file."""
    if isinstance(json_value, str):
        return json_value
    if isinstance(json_value, bool):
        return "yes" if json_value else "no"
    if isinstance(json_value, list):
        return ", ".join(map(str, json_value))
    return str(json_value)


def _dump(document: dict[str, Any]) -> bytes:
    text = json.dumps(document, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def _load(content: bytes) -> dict[str, Any]:
    try:
        return _expect(json.loads(content), dict)
    except (UnicodeDecodeError, json.JSONDecodeError) as error:
        raise CodecError(f"no JSON: {error}") from error


def _expect(value: Any, expected_type: type) -> Any:
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise CodecError(f"{value!r:.40} is no {expected_type.__name__}")
    return value
