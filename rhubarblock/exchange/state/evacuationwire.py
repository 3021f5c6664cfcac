"""Wire format of the set of evacuated data centres between instances.

A requester names its position. The answer's field holds a set only if that is
later; otherwise the field is one word, as a reader answers many requests.
"""

import dataclasses
from typing import Any

from rhubarblock.core import position as positions
from rhubarblock.exchange.state import evacuations as evacuation_sets


@dataclasses.dataclass(slots=True, frozen=True)
class SentSet:
    """A set as an instance sends it.

    Attributes:
      at: position at which it was valid.
      entries: the set.
    """

    at: positions.Position
    entries: evacuation_sets.Entries


def encode(
    held: evacuation_sets.Evacuations, requester: positions.Position | None
) -> dict[str, Any] | bool | None:
    """Encodes the field of an answer.

    Args:
      held: the set of the instance that answers.
      requester: position of the requester's set, None if it knows no set.

    Returns:
      The set, True if the requester's is not older, or None if nothing is
      known here.
    """
    if not held.is_known:
        return None
    if requester is not None and requester >= held.position:
        return True if requester.era == held.position.era else None
    entries = [
        [name, *_write(version)] for name, version in held.entries.items()
    ]
    return {"at": _write(held.position), "entries": entries}


def decode(fields: dict[str, Any]) -> SentSet:
    """Decodes a set.

    Raises:
      ValueError: it can't be decoded.
    """
    try:
        entries = {
            str(name): _read(*version) for name, *version in fields["entries"]
        }
        return SentSet(_read(*fields["at"]), entries)
    except (KeyError, TypeError) as error:
        raise ValueError(f"the evacuations can't be read: {error}") from error


def encode_position(held: evacuation_sets.Evacuations) -> str:
    """Encodes the position of a set, empty if none is known."""
    if not held.is_known:
        return ""
    era, revision = _write(held.position)
    return f"{era}.{revision}"


def decode_position(text: str | None) -> positions.Position | None:
    """Decodes the position of a requester's set; None if it knows no set.

    Raises:
      ValueError: it can't be decoded.
    """
    if not text:
        return None
    era, _, revision = text.partition(".")
    return _read(era, revision)


def _write(position: positions.Position) -> list[int]:
    return [position.era, position.revision]


def _read(era: Any, revision: Any) -> positions.Position:
    return positions.Position(int(era), int(revision))
