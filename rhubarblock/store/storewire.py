"""Names and encodings of the object API over HTTP.

The protocol is described in docs/standins-platform.md. The client and the
stand-in's server share this module, so that they use the same encodings.
"""

import base64
import json
from typing import Any

from rhubarblock.core import jsontext
from rhubarblock.core import position as positions
from rhubarblock.store import store as stores

OBJECTS_PATH = "/v1/objects"
WATCH_PATH = "/v1/watch"
INSTANCES_PATH = "/v1/instances"

VERSION_HEADER = "X-Object-Version"
EXPECTED_HEADER = "X-Expected-Version"
CLIENT_HEADER = "X-Client-Id"

STATUS_BY_KIND = {
    stores.StoreErrorKind.CONFLICT: 409,
    stores.StoreErrorKind.NOT_FOUND: 404,
    stores.StoreErrorKind.UNAVAILABLE: 503,
    stores.StoreErrorKind.RATE_LIMITED: 429,
    stores.StoreErrorKind.TOO_LARGE: 413,
}
KIND_BY_STATUS = {status: kind for kind, status in STATUS_BY_KIND.items()}


def encode_position(position: positions.Position) -> int:
    """Encodes a position as a number.

    Raises:
      ValueError: the era is not 0; the protocol has no eras.
    """
    if position.era:
        raise ValueError(f"the protocol has no word for era {position.era}")
    return position.revision


def decode_position(number: int) -> positions.Position:
    """Decodes the result of ``encode_position``."""
    return positions.Position(0, number)


def encode_object(stored: stores.StoredObject) -> dict[str, Any]:
    """Encodes an object as the JSON value of listings and watches."""
    return {
        "name": stored.name,
        "version": encode_position(stored.version),
        "value": base64.b64encode(stored.value).decode(),
        "deleted": stored.deleted,
    }


def decode_object(fields: dict[str, Any]) -> stores.StoredObject:
    """Decodes the result of ``encode_object``."""
    return stores.StoredObject(
        name=fields["name"],
        version=decode_position(fields["version"]),
        value=base64.b64decode(fields["value"]),
        deleted=fields["deleted"],
    )


def encode_event(stored: stores.StoredObject) -> bytes:
    """Encodes a watched state as one line."""
    return json.dumps(encode_object(stored)).encode() + b"\n"


def decode_event(line: bytes) -> stores.StoredObject:
    """Decodes one line of a watch."""
    return decode_object(jsontext.load(line))
