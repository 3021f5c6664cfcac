"""Entries of endpoints as they go from one instance to another."""

import base64
from typing import Any

from rhubarblock.core import position as positions
from rhubarblock.store import store as stores


def encode(stored: stores.StoredObject) -> list[Any]:
    """Returns an entry without its era, which the whole answer names."""
    value = base64.b64encode(stored.value).decode()
    return [stored.name, stored.version.revision, value, stored.deleted]


def decode(fields: list[Any], era: int) -> stores.StoredObject:
    """Returns an entry of an answer.

    Args:
      fields: as ``encode`` made them.
      era: era of the store in which the answer's list was read.

    Raises:
      ValueError: they can't be read.
    """
    name, revision, value, deleted = fields
    # A removal that nobody saw has no position of its own.
    version = positions.NOWHERE
    if revision:
        version = positions.Position(era, revision)
    return stores.StoredObject(name, version, base64.b64decode(value), deleted)
