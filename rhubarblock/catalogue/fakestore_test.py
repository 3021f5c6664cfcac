"""An in-memory object store with fault injection, for tests."""

import asyncio
import contextlib
import enum

import pytest

from rhubarblock.core import position as positions
from rhubarblock.kernel import virtualloop
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


class InjectedFault(enum.Enum):
    """Fault injected into one write."""

    REFUSE = "refuse"  # Refused before the write took effect.
    LOSE_ANSWER = "lose answer"  # The write took effect, no response.
    LOSE_REQUEST = "lose request"  # The write took no effect, no response.


class FakeStore(stores.ObjectStore):
    """Object store backed by a dictionary.

    Attributes:
      objects: stored objects by name.
      write_faults: faults for the next writes, in order; None injects none.
      before_write: hook awaited with the object name, once, before the next
        write.
      draw_delay: returns the latency in seconds, drawn once for the request and
        once for the response.
      before_read: hook awaited with the object name, once, before the next
        read.
    """

    def __init__(self):
        self.objects = {}
        self.write_faults = []
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
        async with self._simulate_latency():
            if self.before_read is not None:
                hook, self.before_read = self.before_read, None
                await hook(name)
            if name not in self.objects:
                raise stores.StoreError(_Kind.NOT_FOUND)
            return self.objects[name]

    async def list_objects(self, prefix):
        async with self._simulate_latency():
            names = sorted(n for n in self.objects if n.startswith(prefix))
            found = tuple(self.objects[name] for name in names)
            return stores.Page(found, positions.Position(0, self._version))

    async def write(self, name, value, expected_version):
        async with self._simulate_latency():
            if self.before_write is not None:
                hook, self.before_write = self.before_write, None
                await hook(name)
            return self._write(name, value, expected_version)

    def _write(self, name, value, expected_version):
        fault = self.write_faults.pop(0) if self.write_faults else None
        if fault is InjectedFault.REFUSE:
            raise stores.StoreError(_Kind.UNAVAILABLE)
        if fault is InjectedFault.LOSE_REQUEST:
            raise stores.StoreError(_Kind.UNSURE)
        present = self.objects.get(name)
        version = present.version if present else positions.NOWHERE
        if version != expected_version:
            raise stores.StoreError(_Kind.CONFLICT)
        if len(value) > stores.VALUE_LIMIT:
            raise stores.StoreError(_Kind.TOO_LARGE)
        stored = self.put(name, value)
        if fault is InjectedFault.LOSE_ANSWER:
            raise stores.StoreError(_Kind.UNSURE)
        return stored

    async def delete(self, name, expected_version):
        raise NotImplementedError

    def watch(self, prefix, after, wait_s=None):
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def _simulate_latency(self):
        """Delays request and response so that other tasks can run."""
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
