"""State of the stand-in platform: objects, versions and a window of events.

No method awaits anything, so conditional writes are atomic.
"""

from collections.abc import Callable
import dataclasses

from rhubarblock.core import position as positions
from rhubarblock.store import store as stores


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One write or deletion.

    Attributes:
      at_s: monotonic time of the event.
      before: previous state of the object, or None if the object is new.
      after: new state of the object.
    """

    at_s: float
    before: stores.StoredObject | None
    after: stores.StoredObject


class PlatformState:
    """Objects by name, with one version counter shared by all objects."""

    __slots__ = (
        "_events",
        "_events_limit",
        "_listeners",
        "_objects",
        "_version",
        "_window_start",
    )

    def __init__(self, events_limit: int):
        """Creates an empty state.

        Args:
          events_limit: minimum number of events kept for watches that start
            from an older version.
        """
        self._objects: dict[str, stores.StoredObject] = {}
        self._events: list[Event] = []
        self._events_limit = events_limit
        self._listeners: list[Callable[[Event], None]] = []
        self._version = 0
        self._window_start = positions.NOWHERE

    @property
    def version(self) -> positions.Position:
        """Version of the latest write."""
        return positions.Position(0, self._version)

    def add_listener(self, listener: Callable[[Event], None]) -> None:
        """Adds a callback for each event; it runs within the write."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[Event], None]) -> None:
        """Removes a callback."""
        self._listeners.remove(listener)

    def find(self, name: str) -> stores.StoredObject | None:
        """Returns the current state of an object, or None."""
        return self._objects.get(name)

    def find_all(self, prefix: str) -> list[stores.StoredObject]:
        """Returns the current objects with a name prefix, sorted by name."""
        names = sorted(n for n in self._objects if n.startswith(prefix))
        return [self._objects[name] for name in names]

    def find_version(self, at_s: float) -> positions.Position:
        """Returns the version that was the latest one at a monotonic time."""
        for event in reversed(self._events):
            if event.at_s <= at_s:
                return event.after.version
        return self._window_start

    def find_at(
        self, name: str, version: positions.Position
    ) -> stores.StoredObject | None:
        """Returns the state that an object had at a version, or None."""
        for event in self._events:
            if event.after.version > version and event.after.name == name:
                return event.before
        return self._objects.get(name)

    def find_all_at(
        self, prefix: str, version: positions.Position
    ) -> list[stores.StoredObject]:
        """Returns the objects with a name prefix as of a version, by name."""
        found = {o.name: o for o in self.find_all(prefix)}
        for event in reversed(self._events):
            name = event.after.name
            if event.after.version <= version or not name.startswith(prefix):
                continue
            found.pop(name, None)
            if event.before is not None:
                found[name] = event.before
        return [found[name] for name in sorted(found)]

    def find_events(
        self, prefix: str, after: positions.Position
    ) -> list[stores.StoredObject] | None:
        """Returns the states of the events after a version.

        Returns:
          The states, or None if the window no longer holds all of them.
        """
        if after < self._window_start:
            return None
        return [
            event.after
            for event in self._events
            if event.after.version > after
            and event.after.name.startswith(prefix)
        ]

    def write(
        self,
        name: str,
        value: bytes,
        expected_version: positions.Position,
        at_s: float,
    ) -> stores.StoredObject:
        """Writes an object if its current version is the expected one."""
        before = self._objects.get(name)
        present = before.version if before is not None else positions.NOWHERE
        if present != expected_version:
            raise stores.StoreError(
                stores.StoreErrorKind.CONFLICT,
                f"{name} has version {present}, not {expected_version}",
            )
        self._version += 1
        after = stores.StoredObject(name, self.version, value)
        self._objects[name] = after
        self._record(Event(at_s, before, after))
        return after

    def delete(
        self, name: str, expected_version: positions.Position, at_s: float
    ) -> None:
        """Deletes an object if its current version is the expected one."""
        before = self._objects.get(name)
        if before is None:
            raise stores.StoreError(stores.StoreErrorKind.NOT_FOUND, name)
        if before.version != expected_version:
            raise stores.StoreError(
                stores.StoreErrorKind.CONFLICT,
                f"{name} has version {before.version}, not {expected_version}",
            )
        self._version += 1
        after = stores.StoredObject(name, self.version, b"", deleted=True)
        del self._objects[name]
        self._record(Event(at_s, before, after))

    def _record(self, event: Event) -> None:
        self._events.append(event)
        if len(self._events) > 2 * self._events_limit:
            dropped = self._events[: -self._events_limit]
            self._window_start = dropped[-1].after.version
            self._events = self._events[-self._events_limit :]
        for listener in list(self._listeners):
            listener(event)
