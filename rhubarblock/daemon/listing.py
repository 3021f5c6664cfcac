"""Registers an instance in the platform's instance list while it runs.

The list only helps others find the instance; its seeds and peers communicate
with it without the platform. A failed write is therefore retried later and
never stops the instance.
"""

from collections.abc import AsyncIterator
import contextlib

from rhubarblock.core import capacity as capacities
from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import instances
from rhubarblock.store import store as stores

# Seconds between two checks of the instance's own record.
CHECK_INTERVAL_S = 30.0


class InstanceRecord:
    """The record of one instance in the instance list."""

    __slots__ = ("_name", "_store", "_value")

    def __init__(
        self, store: stores.ObjectStore, own: instances.ListedInstance
    ):
        self._store = store
        self._name = instances.name_object(own.instance_id)
        self._value = instances.encode_instance(own)

    async def write(self) -> None:
        """Writes the record if it is missing or differs; ignores failures."""
        with contextlib.suppress(stores.StoreError):
            await self.ensure_written()

    async def ensure_written(self) -> bool:
        """Writes the record if it is missing or differs.

        Returns:
          Whether it was written.

        Raises:
          store.StoreError: the store did not answer, or rejected the call.
        """
        version = await self._find_version()
        if version is None:
            return False
        await self._store.write(self._name, self._value, version)
        return True

    async def register(self, is_first_start: bool) -> stores.Page:
        """Registers the instance and returns the list, with few store calls.

        The list that it returns is read after the record is written, so of two
        instances that start together at least one finds the other. A first
        start writes at once, since there is no record yet; other starts usually
        find an unchanged record and need only one call.

        Args:
          is_first_start: whether no instance of the fleet has run before.

        Returns:
          The list with this instance's record in it.

        Raises:
          store.StoreError: the store did not answer, or rejected the call.
        """
        if is_first_start:
            await self._create()
        page = await self._store.list_objects(instances.OBJECT_PREFIX)
        records = {stored.name: stored for stored in page.objects}
        record = records.get(self._name)
        if record is not None and record.value == self._value:
            return page
        version = record.version if record else positions.NOWHERE
        await self._store.write(self._name, self._value, version)
        return await self._store.list_objects(instances.OBJECT_PREFIX)

    async def remove(self) -> None:
        """Deletes the record unless a later start has replaced it."""
        with contextlib.suppress(stores.StoreError):
            stored = await self._store.read(self._name)
            if stored.value == self._value:
                await self._store.delete(self._name, stored.version)

    async def _create(self) -> None:
        """Writes the record if there is none."""
        try:
            await self._store.write(self._name, self._value, positions.NOWHERE)
        except stores.StoreError as error:
            if error.kind is not stores.StoreErrorKind.CONFLICT:
                raise

    async def _find_version(self) -> positions.Position | None:
        """Returns the version to overwrite, None if nothing has changed."""
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
    """Returns the record of an entry instance."""
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
    """Keeps an instance in the platform's list while the context is open.

    Args:
      store: the platform's object API.
      own: this instance.
      timers: timer service.
    """
    record = InstanceRecord(store, own)
    await record.write()
    try:
        with timers.subscribe(CHECK_INTERVAL_S, record.write):
            yield
    finally:
        await record.remove()
