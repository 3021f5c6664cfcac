"""Versioned configuration documents and the differences between versions.

A document consists of named pieces of text. An operator's configuration has
thousands of pieces, of which each version changes a few. An instance that holds
one version needs only the changed pieces to build the next one, and a digest
confirms that every piece of the result is the same.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import hashlib

# A digest is a sum of hashes, so updating it needs only the changed pieces.
DIGEST_BYTES = 16
_DIGESTS = 1 << (8 * DIGEST_BYTES)


class DifferenceError(ValueError):
    """A difference does not apply to a document, or has a wrong digest."""


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """Identifies the content of a document.

    Attributes:
      version: increases with each accepted change; 0 without content.
      digest: sum of the hashes of all pieces.
    """

    version: int = 0
    digest: int = 0


NOTHING = Identity()


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """One version of a configuration.

    Attributes:
      identity: version and digest of its content.
      pieces: texts by name, in no particular order.
    """

    identity: Identity
    pieces: Mapping[str, str]


EMPTY = Document(NOTHING, {})


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """The changes that turn one document into a later one.

    Attributes:
      before: identity of the document that it applies to; ``NOTHING`` if it
        holds the whole document.
      after: identity of the resulting document.
      changed: new and changed pieces by name.
      removed: names of the removed pieces.
    """

    before: Identity
    after: Identity
    changed: Mapping[str, str]
    removed: tuple[str, ...] = ()


def compare(
    before: Document, version: int, pieces: Mapping[str, str]
) -> Difference:
    """Returns the changes that turn a document into another one.

    Args:
      before: the earlier document.
      version: version of the later document.
      pieces: all pieces of the later document.
    """
    known = before.pieces
    changed = {n: t for n, t in pieces.items() if known.get(n) != t}
    removed = tuple(name for name in known if name not in pieces)
    digest = _update_digest(before, changed, removed)
    return Difference(
        before.identity, Identity(version, digest), changed, removed
    )


def apply(before: Document, difference: Difference) -> Document:
    """Returns the document that results from applying a difference.

    Raises:
      DifferenceError: the difference belongs to another document, or its result
        does not have the digest that it names.
    """
    if difference.before != before.identity:
        raise DifferenceError(
            f"it follows version {difference.before.version}, not the content "
            f"of version {before.identity.version} that is here"
        )
    digest = _update_digest(before, difference.changed, difference.removed)
    if digest != difference.after.digest:
        raise DifferenceError(
            f"it does not lead to version {difference.after.version}"
        )
    pieces = dict(before.pieces)
    for name in difference.removed:
        pieces.pop(name, None)
    pieces.update(difference.changed)
    return Document(difference.after, pieces)


def join(differences: Iterable[Difference]) -> Difference:
    """Combines consecutive differences into one.

    Args:
      differences: at least one; each applies to the result of the previous one.
    """
    return functools.reduce(_join_two, differences)


def _join_two(first: Difference, second: Difference) -> Difference:
    changed = {**first.changed, **second.changed}
    for name in second.removed:
        changed.pop(name, None)
    removed = dict.fromkeys(first.removed + second.removed)
    gone = tuple(name for name in removed if name not in changed)
    return Difference(first.before, second.after, changed, gone)


def _update_digest(
    before: Document, changed: Mapping[str, str], removed: Iterable[str]
) -> int:
    """Returns the digest of a document after a change."""
    digest = before.identity.digest
    for name in (*changed, *removed):
        text = before.pieces.get(name)
        if text is not None:
            digest -= _hash_piece(name, text)
    digest += sum(_hash_piece(name, text) for name, text in changed.items())
    return digest % _DIGESTS


def _hash_piece(name: str, text: str) -> int:
    content = f"{name}\0{text}".encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
