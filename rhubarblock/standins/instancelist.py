"""Stand-in for the platform's list of instances, which is out of date.

The actual state is the objects ``instances/<id>`` of the stand-in platform; the
list returns them as they were some seconds ago.
"""

import dataclasses

from rhubarblock.core import position as positions
from rhubarblock.standins.platform import state as platformstate
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceListSettings:
    """Settings of the instance list.

    Attributes:
      lag_s: age in seconds of the state that the list returns.
    """

    lag_s: float = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    visible_s: float
    name: str
    instance: instances.ListedInstance | None


class InstanceList:
    """Lists the instance objects of a store with a lag."""

    __slots__ = ("_pending_changes", "_settings", "_store", "_visible")

    def __init__(
        self,
        store: platform.MemoryStore,
        settings: InstanceListSettings | None = None,
    ):
        """Creates a list that watches a store.

        Args:
          store: stand-in platform that holds the instance objects.
          settings: lag, or None for the default.
        """
        self._store = store
        self._settings = settings or InstanceListSettings()
        self._visible: dict[str, instances.ListedInstance] = {}
        self._pending_changes: list[_Change] = []
        for stored in store.state.find_all(instances.OBJECT_PREFIX):
            self._visible[stored.name] = instances.decode_instance(stored.value)
        store.state.add_listener(self._handle_event)

    def put(self, instance: instances.ListedInstance) -> None:
        """Writes the object of an instance, as the instance itself would."""
        name = instances.name_object(instance.instance_id)
        present = self._store.state.find(name)
        self._store.state.write(
            name,
            instances.encode_instance(instance),
            present.version if present is not None else positions.NOWHERE,
            self._store.timers.read_monotonic(),
        )

    def mark_leaving(self, instance_id: str) -> None:
        """Marks an instance as about to stop, if it exists."""
        present = self._store.state.find(instances.name_object(instance_id))
        if present is not None:
            instance = instances.decode_instance(present.value)
            self.put(dataclasses.replace(instance, leaving=True))

    def remove(self, instance_id: str) -> None:
        """Deletes the object of an instance, as when it has died."""
        name = instances.name_object(instance_id)
        present = self._store.state.find(name)
        if present is not None:
            now_s = self._store.timers.read_monotonic()
            self._store.state.delete(name, present.version, now_s)

    def list_instances(self) -> list[instances.ListedInstance]:
        """Returns the instances as of ``lag_s`` ago, sorted by instance id."""
        if not self._store.faults.list_frozen:
            self._apply_due_changes()
        return [self._visible[name] for name in sorted(self._visible)]

    def connect(self, client_id: str) -> "MemoryInstanceSource":
        """Returns a source that reads the list as a client of the platform."""
        return MemoryInstanceSource(self, self._store.connect(client_id))

    def _apply_due_changes(self) -> None:
        now_s = self._store.timers.read_monotonic()
        while (
            self._pending_changes
            and self._pending_changes[0].visible_s <= now_s
        ):
            change = self._pending_changes.pop(0)
            if change.instance is None:
                self._visible.pop(change.name, None)
            else:
                self._visible[change.name] = change.instance

    def _handle_event(self, event: platformstate.Event) -> None:
        stored = event.after
        if not stored.name.startswith(instances.OBJECT_PREFIX):
            return
        instance = None
        if not stored.deleted:
            instance = instances.decode_instance(stored.value)
        visible_s = event.at_s + self._settings.lag_s
        self._pending_changes.append(_Change(visible_s, stored.name, instance))


class MemoryInstanceSource(instances.InstanceSource):
    """Reads the list in memory, subject to the platform's limits and faults."""

    __slots__ = ("_connection", "_instance_list")

    def __init__(
        self, instance_list: InstanceList, connection: platform.Connection
    ):
        """Creates a source; use ``InstanceList.connect``."""
        self._instance_list = instance_list
        self._connection = connection

    async def fetch_instances(self) -> list[instances.ListedInstance]:
        await self._connection.check_list_call()
        return self._instance_list.list_instances()
