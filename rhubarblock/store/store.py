"""Interface of the platform's object API.

An object is named ``kind/name``, holds bytes up to a megabyte and has a
version, the position of its last write in the store's history. The protocol is
described in docs/standins.md.
"""

import abc
from collections.abc import AsyncIterator
import dataclasses
import enum

from rhubarblock.core import position as positions

# The platform refuses values above this size, in bytes.
VALUE_LIMIT = 1_000_000


class StoreErrorKind(enum.Enum):
    """Why a call to the object API did not succeed."""

    CONFLICT = "conflict"  # The expected version is not the present one.
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"  # Refused before it took effect.
    UNSURE = "unsure"  # No answer: a write may or may not have taken effect.
    RATE_LIMITED = "rate_limited"
    OUTDATED = "outdated"  # The answer tells of an era that has ended.
    TOO_LARGE = "too_large"


class StoreError(Exception):
    """A call to the object API did not succeed.

    Attributes:
      kind: what is known about it.
    """

    def __init__(self, kind: StoreErrorKind, message: str = ""):
        super().__init__(message or kind.value)
        self.kind = kind


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """One object as read or watched.

    Attributes:
      name: full name, ``kind/name``.
      version: position of this state; rises with each write of any object.
      value: content; empty when deleted.
      deleted: whether this state is the deletion.
    """

    name: str
    version: positions.Position
    value: bytes
    deleted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Objects of one listing and the position at which it was taken."""

    objects: tuple[StoredObject, ...]
    version: positions.Position


class Eras(abc.ABC):
    """Which era the store is in, as far as its answers told."""

    @property
    @abc.abstractmethod
    def current(self) -> int:
        """The present era; 0 while none is known."""

    @abc.abstractmethod
    def take(self, era: int | None) -> int:
        """Takes in the era that an answer names.

        Args:
          era: the era, None where the answer names none that can be read.

        Returns:
          The era to which what the answer says belongs.

        Raises:
          StoreError: what it says must not be taken in.
        """


class ObjectStore(abc.ABC):
    """The object API. Every method raises ``StoreError``."""

    @abc.abstractmethod
    async def read(self, name: str) -> StoredObject:
        """Reads one object."""

    @abc.abstractmethod
    async def list_objects(self, prefix: str) -> Page:
        """Reads all objects whose name starts with a prefix."""

    @abc.abstractmethod
    async def write(
        self, name: str, value: bytes, expected_version: positions.Position
    ) -> StoredObject:
        """Writes one object if its version is still the expected one.

        Args:
          name: full name.
          value: new content, at most ``VALUE_LIMIT`` bytes.
          expected_version: present version; ``NOWHERE`` means that it must not
            exist.

        Returns:
          The object as written, with its new version.
        """

    @abc.abstractmethod
    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        """Deletes one object if its version is still the expected one."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: positions.Position
    ) -> AsyncIterator[StoredObject]:
        """Yields the states written after a position, as long as it is read.

        The iterator ends without an error when the platform closes the watch;
        it raises ``StoreError`` when events were lost and a new listing is
        needed.
        """
