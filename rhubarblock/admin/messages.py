"""Typed request messages of the administration API, parsed from JSON.

A single error reports all unknown, missing and invalid fields of a body.
"""

import dataclasses
import json
import types
import typing
from typing import Any
from typing import TypeVar
import uuid

from rhubarblock.admin import errors
from rhubarblock.core import failure as failures

# Maximum length in characters of the fields that the audit trail stores.
_MAX_LENGTHS = types.MappingProxyType(
    {"why": 1000, "change_id": 64, "name": 200}
)


def _make_id() -> str:
    return uuid.uuid4().hex


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyMessage:
    """Body of ``POST /admin/v1/catalogue``.

    Attributes:
      revision: revision on which the text is based.
      text: the catalogue in INI format.
      why: reason for the change.
      dry_run: whether to validate only.
      change_id: idempotency key of the change; a repeated request with it is
        applied only once.
    """

    revision: int
    text: str
    why: str
    dry_run: bool = False
    change_id: str = dataclasses.field(default_factory=_make_id)


@dataclasses.dataclass(slots=True, frozen=True)
class RollbackMessage:
    """Body of ``POST /admin/v1/rollback``.

    Attributes:
      revision: revision that the operator expects to be in force.
      to: revision whose content is restored.
      why: reason for the rollback.
      dry_run: whether to validate only.
      change_id: as in ``ApplyMessage``.
    """

    revision: int
    to: int
    why: str
    dry_run: bool = False
    change_id: str = dataclasses.field(default_factory=_make_id)


@dataclasses.dataclass(slots=True, frozen=True)
class DrainMessage:
    """Body of ``POST /admin/v1/drain``.

    Attributes:
      kind: ``endpoint``, ``instance`` or ``data_centre``.
      name: name of the endpoint, instance or data centre.
      why: reason for the drain.
      unrecorded: drain even if the platform cannot store the audit record.
      change_id: id of the drain in the audit trail.
    """

    kind: str
    name: str
    why: str
    unrecorded: bool = False
    change_id: str = dataclasses.field(default_factory=_make_id)


Message = TypeVar("Message", ApplyMessage, RollbackMessage, DrainMessage)

_TYPE_NAMES = types.MappingProxyType(
    {int: "whole number", str: "text", bool: "true or false"}
)


def parse_message(body: bytes, message_type: type[Message]) -> Message:
    """Parses and validates a request body.

    Args:
      body: JSON as received.
      message_type: message class to parse it into.

    Raises:
      errors.ApiError: BAD_REQUEST with one detail for each invalid field.
    """
    document = _load_json(body)
    if not isinstance(document, dict):
        raise errors.refuse(
            failures.FailureCode.BAD_REQUEST, "the body is no JSON object"
        )
    faults = _find_faults(document, message_type)
    if faults:
        failure = failures.Failure(
            failures.FailureCode.BAD_REQUEST,
            "; ".join(f"{fault.field}: {fault.message}" for fault in faults),
        )
        details = tuple(dataclasses.asdict(fault) for fault in faults)
        raise errors.ApiError(failure, details)
    return message_type(**document)


def _load_json(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.refuse(
            failures.FailureCode.BAD_REQUEST, f"the body is no JSON: {error}"
        ) from error


@dataclasses.dataclass(slots=True, frozen=True)
class FieldFault:
    """A validation error of one field of a body."""

    field: str
    message: str


def _find_faults(
    document: dict[str, Any], message_type: type[Message]
) -> list[FieldFault]:
    hints = typing.get_type_hints(message_type)
    fields = {f.name: f for f in dataclasses.fields(message_type)}
    allowed = ", ".join(fields)
    faults = [
        FieldFault(name, f"unknown field; allowed: {allowed}")
        for name in document
        if name not in fields
    ]
    for name, field in fields.items():
        if name in document:
            faults += _check_value(name, document[name], hints[name])
        elif _is_required(field):
            faults.append(FieldFault(name, "is missing"))
    return faults


def _is_required(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _check_value(name: str, value: Any, expected_type: Any) -> list[FieldFault]:
    # bool is a subclass of int, so isinstance would accept True as a number.
    if type(value) is not expected_type:
        return [FieldFault(name, f"must be a {_TYPE_NAMES[expected_type]}")]
    if expected_type is int and value < 0:
        return [FieldFault(name, "must not be negative")]
    if expected_type is str:
        return _check_text(name, value)
    return []


def _check_text(name: str, value: str) -> list[FieldFault]:
    max_length = _MAX_LENGTHS.get(name)
    if max_length is None:
        return []
    if not 0 < len(value.strip()) <= max_length or not value.isprintable():
        message = f"must have 1 to {max_length} printable characters"
        return [FieldFault(name, message)]
    return []
