"""Wire format of endpoint entries between instances."""

import base64
from typing import Any

from rhubarblock.core import position as positions
from rhubarblock.store import store as stores


def encode(stored: stores.StoredObject) -> list[Any]:
    """Encodes an entry without its era, which the answer contains once."""
    value = base64.b64encode(stored.value).decode()
    return [stored.name, stored.version.revision, value, stored.deleted]


def decode(fields: list[Any], era: int) -> stores.StoredObject:
    """Decodes an entry of an answer.

    Args:
      fields: output of ``encode``.
      era: era of the store in which the answer's list was read.

    Raises:
      ValueError: they can't be decoded.
    """
    name, revision, value, deleted = fields
    # A removal that was inferred from a list has no position.
    version = positions.NOWHERE
    if revision:
        version = positions.Position(era, revision)
    return stores.StoredObject(name, version, base64.b64decode(value), deleted)
