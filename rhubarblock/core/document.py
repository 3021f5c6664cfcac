"""A configuration as named pieces of text, and what differs between two.

An operator's configuration has thousands of pieces and each version changes a
few. Whoever has one version needs only those to have the next one, and a digest
says whether the result is the same text for text.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import hashlib

# A digest is a sum of hashes, so that a change costs no look at other pieces.
DIGEST_BYTES = 16
_DIGESTS = 1 << (8 * DIGEST_BYTES)


class DifferenceError(ValueError):
    """A difference does not lead from the document at hand to its result."""


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """Names one content of a document.

    Attributes:
      version: rises with each accepted change; 0 without content.
      digest: sum of the hashes of all pieces.
    """

    version: int = 0
    digest: int = 0


NOTHING = Identity()


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """One version of a configuration.

    Attributes:
      identity: names its content.
      pieces: texts by name; their order means nothing.
    """

    identity: Identity
    pieces: Mapping[str, str]


EMPTY = Document(NOTHING, {})


@dataclasses.dataclass(slots=True, frozen=True)
class Difference:
    """What leads from one document to a later one.

    Attributes:
      before: the document that it applies to; ``NOTHING`` where it is whole.
      after: the document that it leads to.
      changed: new and changed pieces by name.
      removed: names of pieces that are gone.
    """

    before: Identity
    after: Identity
    changed: Mapping[str, str]
    removed: tuple[str, ...] = ()


def compare(
    before: Document, version: int, pieces: Mapping[str, str]
) -> Difference:
    """Returns what leads from a document to other pieces.

    Args:
      before: the document at hand.
      version: version of the other pieces.
      pieces: all of them.
    """
    known = before.pieces
    changed = {n: t for n, t in pieces.items() if known.get(n) != t}
    removed = tuple(name for name in known if name not in pieces)
    digest = _move_digest(before, changed, removed)
    return Difference(
        before.identity, Identity(version, digest), changed, removed
    )


def apply(before: Document, difference: Difference) -> Document:
    """Returns the document that a difference leads to.

    Raises:
      DifferenceError: it belongs to another document, or does not lead to what
        it says.
    """
    if difference.before != before.identity:
        raise DifferenceError(
            f"it follows version {difference.before.version}, not the content "
            f"of version {before.identity.version} that is here"
        )
    digest = _move_digest(before, difference.changed, difference.removed)
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
    """Returns the one difference that does what several do in turn.

    Args:
      differences: at least one; each follows the one before it.
    """
    return functools.reduce(_join_two, differences)


def _join_two(first: Difference, second: Difference) -> Difference:
    changed = {**first.changed, **second.changed}
    for name in second.removed:
        changed.pop(name, None)
    removed = dict.fromkeys(first.removed + second.removed)
    gone = tuple(name for name in removed if name not in changed)
    return Difference(first.before, second.after, changed, gone)


def _move_digest(
    before: Document, changed: Mapping[str, str], removed: Iterable[str]
) -> int:
    """Returns the digest of a document after a change of it."""
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
