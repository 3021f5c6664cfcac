"""A store in memory whose answers a test can spoil."""

import asyncio
import contextlib
import enum

import pytest

from rhubarblock.core import position as positions
from rhubarblock.kernel import virtualloop
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


class Spoil(enum.Enum):
    """What happens to one call."""

    REFUSE = "refuse"  # Refused before it took effect.
    LOSE_ANSWER = "lose answer"  # It took effect, the answer is lost.
    LOSE_REQUEST = "lose request"  # It took no effect, the answer is lost.


class FakeStore(stores.ObjectStore):
    """Objects in a dictionary.

    Attributes:
      objects: present objects by name.
      spoils: what happens to the next writes, in order; None is no fault.
      before_write: awaited with the name before the next write, once.
      draw_delay: returns the seconds that a call takes, once on its way to
        the store and once on its way back.
      before_read: awaited with the name before the next read, once.
    """

    def __init__(self):
        self.objects = {}
        self.spoils = []
        self.before_write = None
        self.before_read = None
        self.is_down = False
        self.draw_delay = lambda: 0.001
        self._version = 0

    def put(self, name, value):
        self._version += 1
        version = positions.Position(0, self._version)
        stored = stores.StoredObject(name, version, value)
        self.objects[name] = stored
        return stored

    async def read(self, name):
        async with self._travel():
            if self.before_read is not None:
                hook, self.before_read = self.before_read, None
                await hook(name)
            if name not in self.objects:
                raise stores.StoreError(_Kind.NOT_FOUND)
            return self.objects[name]

    async def list_objects(self, prefix):
        async with self._travel():
            names = sorted(n for n in self.objects if n.startswith(prefix))
            found = tuple(self.objects[name] for name in names)
            return stores.Page(found, positions.Position(0, self._version))

    async def write(self, name, value, expected_version):
        async with self._travel():
            if self.before_write is not None:
                hook, self.before_write = self.before_write, None
                await hook(name)
            return self._write(name, value, expected_version)

    def _write(self, name, value, expected_version):
        spoil = self.spoils.pop(0) if self.spoils else None
        if spoil is Spoil.REFUSE:
            raise stores.StoreError(_Kind.UNAVAILABLE)
        if spoil is Spoil.LOSE_REQUEST:
            raise stores.StoreError(_Kind.UNSURE)
        present = self.objects.get(name)
        version = present.version if present else positions.NOWHERE
        if version != expected_version:
            raise stores.StoreError(_Kind.CONFLICT)
        if len(value) > stores.VALUE_LIMIT:
            raise stores.StoreError(_Kind.TOO_LARGE)
        stored = self.put(name, value)
        if spoil is Spoil.LOSE_ANSWER:
            raise stores.StoreError(_Kind.UNSURE)
        return stored

    async def delete(self, name, expected_version):
        raise NotImplementedError

    def watch(self, prefix, after):
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def _travel(self):
        """Lets other tasks run before and after the call takes effect."""
        await asyncio.sleep(self.draw_delay())
        if self.is_down:
            raise stores.StoreError(_Kind.UNAVAILABLE, "platform is down")
        try:
            yield
        finally:
            await asyncio.sleep(self.draw_delay())


def test_writes_are_conditional():
    async def main():
        store = FakeStore()
        first = await store.write("a/x", b"1", positions.NOWHERE)
        with pytest.raises(stores.StoreError) as caught:
            await store.write("a/x", b"2", positions.NOWHERE)
        await store.write("a/x", b"3", first.version)
        return caught.value.kind, (await store.read("a/x")).value

    assert virtualloop.run(main()) == (_Kind.CONFLICT, b"3")
