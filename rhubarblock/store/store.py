"""Interface of the platform's object API.

An object is named ``kind/name``, holds bytes up to a megabyte and has a
version, the position of its last write in the store's history. The protocol is
described in docs/standins-platform.md.
"""

import abc
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses
import enum

from rhubarblock.core import jsontext
from rhubarblock.core import position as positions

# Maximum size of a value in bytes; the platform rejects larger ones.
VALUE_LIMIT = 1_000_000


class StoreErrorKind(enum.Enum):
    """Why a call to the object API failed."""

    CONFLICT = "conflict"  # The expected version is not the current one.
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"  # Rejected before it took effect.
    UNSURE = "unsure"  # No answer: a write may or may not have taken effect.
    RATE_LIMITED = "rate_limited"
    OUTDATED = "outdated"  # The response is from an era that has ended.
    TOO_LARGE = "too_large"


class StoreError(Exception):
    """A call to the object API failed.

    Attributes:
      kind: reason of the failure.
    """

    def __init__(self, kind: StoreErrorKind, message: str = ""):
        super().__init__(message or kind.value)
        self.kind = kind


@contextlib.contextmanager
def translate_invalid(kind: StoreErrorKind) -> Iterator[None]:
    """Raises a StoreError of a kind if an answer lacks what it should have."""
    try:
        yield
    except jsontext.MISMATCH as error:
        name = type(error).__name__
        raise StoreError(kind, f"the answer can't be read: {name}") from error


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """One object as read or watched.

    Attributes:
      name: full name, ``kind/name``.
      version: position of this state; increases with each write of any object.
      value: content; empty when deleted.
      deleted: whether this state is the deletion.
    """

    name: str
    version: positions.Position
    value: bytes
    deleted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Objects of one listing, or of one answer to a watch.

    Attributes:
      objects: the objects; they may contain some of the changes after the
        position, and a watch from there repeats these.
      version: the position up to which they contain all changes.
    """

    objects: tuple[StoredObject, ...]
    version: positions.Position


class Eras(abc.ABC):
    """Validates the eras that responses with state of the store name."""

    @property
    @abc.abstractmethod
    def current(self) -> int:
        """The current era; 0 while none is known."""

    @abc.abstractmethod
    def validate(self, era: int | None) -> int:
        """Validates and records the era that a response names.

        Args:
          era: the era; None if the response names no valid one.

        Returns:
          The era that the content of the response belongs to.

        Raises:
          StoreError: the content of the response must not be used.
        """


class ObjectStore(abc.ABC):
    """The object API. Every method raises ``StoreError`` on failure."""

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
        """Writes one object if its version is the expected one.

        Args:
          name: full name.
          value: new content, at most ``VALUE_LIMIT`` bytes.
          expected_version: current version; ``NOWHERE`` means that the object
            must not exist.

        Returns:
          The object as written, with its new version.
        """

    @abc.abstractmethod
    async def delete(
        self, name: str, expected_version: positions.Position
    ) -> None:
        """Deletes one object if its version is the expected one."""

    @abc.abstractmethod
    def watch(
        self,
        prefix: str,
        after: positions.Position,
        wait_s: float | None = None,
    ) -> AsyncIterator[Page]:
        """Yields the states that are written after a position.

        States that arrived with one answer are yielded together, with the
        position of the answer: a removed object may have the one of its last
        write.

        Args:
          prefix: prefix of the names to watch.
          after: position of the listing or state from which to go on.
          wait_s: longest time in seconds for which an answer waits for an
            event, so that a silent connection is noticed; None leaves it to the
            store's client. Clients whose watch has one endless answer ignore
            it.

        The iterator ends without an error when the platform closes the watch;
        it raises ``StoreError`` if events were lost and a new listing is
        needed.
        """
