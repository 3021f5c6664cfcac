"""Stand-in for the platform's list of instances, which lags behind reality.

Reality is the objects ``instances/<id>`` of the stand-in platform; the list
shows them as they were some seconds ago.
"""

import dataclasses

from rhubarblock.core import position as positions
from rhubarblock.standins.platform import state as platformstate
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceListSettings:
    """How the list behaves.

    Attributes:
      lag_s: seconds by which it is behind reality.
    """

    lag_s: float = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    shown_s: float
    name: str
    instance: instances.ListedInstance | None


class InstanceList:
    """Follows the objects of a store and shows them later."""

    __slots__ = ("_changes", "_settings", "_shown", "_store")

    def __init__(
        self,
        store: platform.MemoryStore,
        settings: InstanceListSettings | None = None,
    ):
        """Starts to follow a store.

        Args:
          store: stand-in platform that holds reality.
          settings: lag, or None for the defaults.
        """
        self._store = store
        self._settings = settings or InstanceListSettings()
        self._shown: dict[str, instances.ListedInstance] = {}
        self._changes: list[_Change] = []
        for stored in store.state.find_all(instances.OBJECT_PREFIX):
            self._shown[stored.name] = instances.decode_instance(stored.value)
        store.state.add_listener(self._hear)

    def put(self, instance: instances.ListedInstance) -> None:
        """Makes an instance part of reality, or changes it, as its owner."""
        name = instances.name_object(instance.instance_id)
        present = self._store.state.find(name)
        self._store.state.write(
            name,
            instances.encode_instance(instance),
            present.version if present is not None else positions.NOWHERE,
            self._store.timers.read_monotonic(),
        )

    def mark_leaving(self, instance_id: str) -> None:
        """Marks an instance as about to stop."""
        present = self._store.state.find(instances.name_object(instance_id))
        if present is not None:
            instance = instances.decode_instance(present.value)
            self.put(dataclasses.replace(instance, leaving=True))

    def remove(self, instance_id: str) -> None:
        """Takes an instance out of reality, as when it has died."""
        name = instances.name_object(instance_id)
        present = self._store.state.find(name)
        if present is not None:
            now_s = self._store.timers.read_monotonic()
            self._store.state.delete(name, present.version, now_s)

    def list_instances(self) -> list[instances.ListedInstance]:
        """Returns reality as it was ``lag_s`` ago, by instance id."""
        if not self._store.faults.list_frozen:
            self._show_due_changes()
        return [self._shown[name] for name in sorted(self._shown)]

    def connect(self, client_id: str) -> "MemoryInstanceSource":
        """Returns the list as one client of the platform reads it."""
        return MemoryInstanceSource(self, self._store.connect(client_id))

    def _show_due_changes(self) -> None:
        now_s = self._store.timers.read_monotonic()
        while self._changes and self._changes[0].shown_s <= now_s:
            change = self._changes.pop(0)
            if change.instance is None:
                self._shown.pop(change.name, None)
            else:
                self._shown[change.name] = change.instance

    def _hear(self, event: platformstate.Event) -> None:
        stored = event.after
        if not stored.name.startswith(instances.OBJECT_PREFIX):
            return
        instance = None
        if not stored.deleted:
            instance = instances.decode_instance(stored.value)
        shown_s = event.at_s + self._settings.lag_s
        self._changes.append(_Change(shown_s, stored.name, instance))


class MemoryInstanceSource(instances.InstanceSource):
    """Reads the list without sockets, within the platform's limits."""

    __slots__ = ("_connection", "_list")

    def __init__(
        self, instance_list: InstanceList, connection: platform.Connection
    ):
        """Creates a source; see ``InstanceList.connect``."""
        self._list = instance_list
        self._connection = connection

    async def fetch_instances(self) -> list[instances.ListedInstance]:
        await self._connection.check_list_call()
        return self._list.list_instances()
