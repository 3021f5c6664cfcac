"""Interface of the platform's object API.

An object is named ``kind/name``, holds bytes up to a megabyte and has a
version that the platform raises with every write. The protocol is described
in docs/standins.md.
"""

import abc
from collections.abc import AsyncIterator
import dataclasses
import enum

# The platform refuses values above this size, in bytes.
VALUE_LIMIT = 1_000_000


class StoreErrorKind(enum.Enum):
    """Why a call to the object API did not succeed."""

    CONFLICT = "conflict"  # The expected version is not the present one.
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"  # Refused before it took effect.
    UNSURE = "unsure"  # No answer: a write may or may not have taken effect.
    RATE_LIMITED = "rate_limited"
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
      version: version of this state; rises with each write of any object.
      value: content; empty when deleted.
      deleted: whether this state is the deletion.
    """

    name: str
    version: int
    value: bytes
    deleted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Objects of one listing and the store version at which it was taken."""

    objects: tuple[StoredObject, ...]
    version: int


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
        self, name: str, value: bytes, expected_version: int
    ) -> StoredObject:
        """Writes one object if its version is still the expected one.

        Args:
          name: full name.
          value: new content, at most ``VALUE_LIMIT`` bytes.
          expected_version: present version; 0 means it must not exist.

        Returns:
          The object as written, with its new version.
        """

    @abc.abstractmethod
    async def delete(self, name: str, expected_version: int) -> None:
        """Deletes one object if its version is still the expected one."""

    @abc.abstractmethod
    def watch(self, prefix: str, after: int) -> AsyncIterator[StoredObject]:
        """Yields the states written after a version, as long as it is read.

        The iterator ends without an error when the platform closes the watch;
        it raises ``StoreError`` when events were lost and a new listing is
        needed.
        """
