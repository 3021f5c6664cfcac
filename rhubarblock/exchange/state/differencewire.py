"""Wire format of configuration deltas between instances."""

import base64
import json
import zlib

from rhubarblock.core import document as documents

# Largest accepted delta in bytes; a whole configuration of ten thousand routes
# has a third of it.
MAX_BYTES = 16_000_000


def encode(difference: documents.Difference) -> str:
    """Encodes a delta as compressed text."""
    fields = {
        "before": _write_identity(difference.before),
        "after": _write_identity(difference.after),
        "changed": dict(difference.changed),
        "removed": difference.removed,
    }
    return base64.b64encode(zlib.compress(json.dumps(fields).encode())).decode()


def decode(text: str) -> documents.Difference:
    """Decodes a delta.

    Raises:
      ValueError: the text can't be decoded.
    """
    try:
        packed = base64.b64decode(text, validate=True)
        unpacker = zlib.decompressobj()
        content = unpacker.decompress(packed, MAX_BYTES)
        if not unpacker.eof:
            raise ValueError("the changes are cut off or too long")
        fields = json.loads(content)
        return documents.Difference(
            _read_identity(fields["before"]),
            _read_identity(fields["after"]),
            fields["changed"],
            tuple(fields["removed"]),
        )
    except (zlib.error, KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"the changes can't be read: {error}") from error


def _write_identity(identity: documents.Identity) -> list[str]:
    return [str(identity.version), f"{identity.digest:x}"]


def _read_identity(fields: list[str]) -> documents.Identity:
    version, digest = fields
    return documents.Identity(int(version), int(digest, 16))
