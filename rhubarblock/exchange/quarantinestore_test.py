import asyncio
import json
import random

from rhubarblock.core import position as positions
from rhubarblock.exchange import crashes_test as crashfixtures
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.exchange import quarantinestore
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

NAME = quarantinestore.OBJECT_NAME


class MemoryStore(stores.ObjectStore):
    """One object with a version; it can be down.

    Attributes:
      value: the object's value, or None.
      writes: number of writes that took effect.
    """

    def __init__(self):
        self.value = None
        self.writes = 0
        self.reads = 0
        self.is_down = False

    async def read(self, name):
        self.reads += 1
        if self.is_down:
            raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)
        if self.value is None:
            raise stores.StoreError(stores.StoreErrorKind.NOT_FOUND)
        version = positions.Position(1, self.writes)
        return stores.StoredObject(name, version, self.value)

    async def write(self, name, value, expected_version):
        current = positions.NOWHERE
        if self.value is not None:
            current = positions.Position(1, self.writes)
        if expected_version != current:
            raise stores.StoreError(stores.StoreErrorKind.CONFLICT)
        self.value = value
        self.writes += 1
        version = positions.Position(1, self.writes)
        return stores.StoredObject(name, version, value)

    async def list_objects(self, prefix):
        raise AssertionError

    async def delete(self, name, expected_version):
        raise AssertionError

    def watch(self, prefix, after, wait_s=None):
        raise AssertionError


class Instance:
    def __init__(self, group, store):
        timers = timer_service.LoopTimers(1e9)
        peers = crashfixtures.GroupPeers(group)
        self.quarantine = peers.quarantine = quarantines.ExchangeQuarantine(
            peers, timers, metric_store.Metrics()
        )
        self.eras = era_lib.EraTracker(metric_store.Metrics())
        self.store = quarantinestore.QuarantineStore(
            store, self.quarantine, peers, self.eras, timers, random.Random(1)
        )
        self._running = asyncio.ensure_future(self.store.run())

    async def find(self, *names):
        """Lets crashes find parts, one after the other."""
        for name in names:
            for number in range(2):
                requests = {f"{name}.{number}": frozenset([name])}
                self.quarantine.add_crash(f"e{name}{number}", {}, requests)
                await asyncio.sleep(1.0)

    def list_parts(self):
        return {
            p for q in self.quarantine.list_records().parts for p in q.parts
        }

    def stop(self):
        self._running.cancel()


def list_stored(store):
    return {p for e in json.loads(store.value)["parts"] for p in e["parts"]}


def test_one_instance_writes_and_a_later_one_reads():
    async def main():
        store = MemoryStore()
        group = []
        first, second = Instance(group, store), Instance(group, store)
        await asyncio.sleep(0.1)
        await second.find("s/bad")
        await asyncio.sleep(20.0)
        writes = store.writes
        first.stop()
        second.stop()
        await asyncio.sleep(100.0)
        later = Instance([], store)
        await later.store.read.wait()
        return writes, later.list_parts(), later.quarantine.describe()

    writes, parts, described = virtualloop.run(main())
    assert writes == 1
    assert parts == {"s/bad"}
    # The age is stored, and the time until a trial counts from it.
    ((_, crashes, left_s),) = described
    assert crashes == 2
    assert 3400.0 < left_s < 3500.0


def test_quarantines_of_two_sides_of_a_cut_are_both_kept():
    async def main():
        store = MemoryStore()
        sides = [Instance([], store), Instance([], store)]
        await asyncio.sleep(0.1)
        await asyncio.gather(sides[0].find("s/a"), sides[1].find("s/b"))
        await asyncio.sleep(30.0)
        return list_stored(store)

    assert virtualloop.run(main()) == {"s/a", "s/b"}


def test_store_that_is_down_is_asked_seldom_and_gets_all_later():
    async def main():
        store = MemoryStore()
        store.is_down = True
        instance = Instance([], store)
        await instance.find("s/bad")
        await asyncio.sleep(120.0)
        reads = store.reads
        store.is_down = False
        await asyncio.sleep(20.0)
        return reads, list_stored(store)

    reads, parts = virtualloop.run(main())
    assert reads < 20
    assert parts == {"s/bad"}


def test_restored_older_store_gets_the_quarantines_again():
    async def main():
        store = MemoryStore()
        instance = Instance([], store)
        await asyncio.sleep(0.1)
        instance.eras.validate(1)
        await instance.find("s/bad")
        await asyncio.sleep(1.0)
        store.value = None
        instance.eras.validate(2)
        await asyncio.sleep(1.0)
        return list_stored(store)

    assert virtualloop.run(main()) == {"s/bad"}


def test_parts_that_were_let_go_leave_the_store():
    async def main():
        store = MemoryStore()
        instance = Instance([], store)
        await asyncio.sleep(0.1)
        await instance.find("s/a", "s/b")
        await asyncio.sleep(1.0)
        instance.quarantine.receive_served({"s/a": 0.0})
        await asyncio.sleep(1.0)
        return list_stored(store)

    assert virtualloop.run(main()) == {"s/b"}


def test_unreadable_object_does_not_end_the_synchronisation():
    async def main():
        store = MemoryStore()
        store.value = b'{"parts": 3}'
        instance = Instance([], store)
        await asyncio.sleep(5.0)
        store.value = b'{"parts": [], "requests": []}'
        await instance.find("s/bad")
        await asyncio.sleep(30.0)
        return list_stored(store)

    assert virtualloop.run(main()) == {"s/bad"}
