"""Keeps an instance in the platform's list while it runs.

Without the platform the seeds and the peers still know it, so a failed write
is tried again later and never stops the instance.
"""

from collections.abc import AsyncIterator
import contextlib

from rhubarblock.core import capacity as capacities
from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import instances
from rhubarblock.store import store as stores

# Seconds between two looks at the own line.
CHECK_INTERVAL_S = 30.0


class Listing:
    """The line of one instance in the list."""

    __slots__ = ("_name", "_store", "_value")

    def __init__(
        self, store: stores.ObjectStore, own: instances.ListedInstance
    ):
        self._store = store
        self._name = instances.name_object(own.instance_id)
        self._value = instances.encode_instance(own)

    async def write(self) -> None:
        """Writes the line unless it stands there already."""
        with contextlib.suppress(stores.StoreError):
            await self.claim()

    async def claim(self) -> bool:
        """Writes the line unless it stands there already.

        Returns:
          Whether it was written.

        Raises:
          store.StoreError: the store gave no answer, or refused.
        """
        version = await self._find_version()
        if version is None:
            return False
        await self._store.write(self._name, self._value, version)
        return True

    async def enter(self, is_first_start: bool) -> stores.Page:
        """Enters the list and returns it, in as few calls as there can be.

        It is written before it is read, so that of two instances that start
        together one finds the other. A first start finds no line and writes at
        once; any other one mostly finds its line as it should be.

        Args:
          is_first_start: whether nothing of the fleet ran before.

        Raises:
          store.StoreError: the store gave no answer, or refused.
        """
        if is_first_start:
            await self._create()
        page = await self._store.list_objects(instances.OBJECT_PREFIX)
        lines = {stored.name: stored for stored in page.objects}
        line = lines.get(self._name)
        if line is not None and line.value == self._value:
            return page
        version = line.version if line else positions.NOWHERE
        await self._store.write(self._name, self._value, version)
        return await self._store.list_objects(instances.OBJECT_PREFIX)

    async def remove(self) -> None:
        """Takes the line out, if it is still the one of this start."""
        with contextlib.suppress(stores.StoreError):
            stored = await self._store.read(self._name)
            if stored.value == self._value:
                await self._store.delete(self._name, stored.version)

    async def _create(self) -> None:
        """Writes the line if there is none."""
        try:
            await self._store.write(self._name, self._value, positions.NOWHERE)
        except stores.StoreError as error:
            if error.kind is not stores.StoreErrorKind.CONFLICT:
                raise

    async def _find_version(self) -> positions.Position | None:
        """Returns the version to write over, None when nothing is to do."""
        try:
            stored = await self._store.read(self._name)
        except stores.StoreError as error:
            if error.kind is stores.StoreErrorKind.NOT_FOUND:
                return positions.NOWHERE
            raise
        return None if stored.value == self._value else stored.version


def describe_entry(
    instance_id: str,
    address: str,
    data_centre: str,
    capacity: capacities.Capacity = capacities.UNKNOWN,
) -> instances.ListedInstance:
    """Returns the line of an entry instance."""
    return instances.ListedInstance(
        instance_id,
        address,
        data_centre,
        "",
        instances.InstanceKind.ENTRY,
        capacity=capacity,
    )


@contextlib.asynccontextmanager
async def keep_listed(
    store: stores.ObjectStore,
    own: instances.ListedInstance,
    timers: timer_service.Timers,
) -> AsyncIterator[None]:
    """Is in the platform's list while the context is open.

    Args:
      store: the platform's object API.
      own: this instance.
      timers: timer service.
    """
    line = Listing(store, own)
    await line.write()
    try:
        with timers.subscribe(CHECK_INTERVAL_S, line.write):
            yield
    finally:
        await line.remove()
