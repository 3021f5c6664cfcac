"""Store calls of a registration, for each state of the instance's record."""

import asyncio

import pytest

from rhubarblock.core import position as positions
from rhubarblock.daemon import listing
from rhubarblock.store import instances
from rhubarblock.store import store as stores

OWN = listing.describe_entry("i1", "10.0.0.1:7", "osu")
VALUE = instances.encode_instance(OWN)


def make_position(revision):
    return positions.Position(0, revision)


class RecordingStore(stores.ObjectStore):
    """Holds records in memory and logs the calls."""

    def __init__(self, records):
        self.records = dict(records)
        self.calls = []

    async def read(self, name):
        raise AssertionError("a single record is not read")

    async def list_objects(self, prefix):
        self.calls.append("list")
        found = [
            stores.StoredObject(name, make_position(3), value)
            for name, value in self.records.items()
        ]
        return stores.Page(tuple(found), make_position(3))

    async def write(self, name, value, expected_version):
        self.calls.append(f"write over {expected_version.revision}")
        if not expected_version and name in self.records:
            raise stores.StoreError(stores.StoreErrorKind.CONFLICT)
        self.records[name] = value
        return stores.StoredObject(name, make_position(4), value)

    async def delete(self, name, expected_version):
        raise AssertionError("nothing is deleted")

    async def watch(self, prefix, after, wait_s=None):
        raise AssertionError("nothing is watched")
        yield


@pytest.mark.parametrize(
    ("record", "is_first_start", "calls"),
    [
        (None, True, ["write over 0", "list"]),
        (VALUE, False, ["list"]),
        (VALUE, True, ["write over 0", "list"]),
        (None, False, ["list", "write over 0", "list"]),
        (b"moved", False, ["list", "write over 3", "list"]),
        (b"moved", True, ["write over 0", "list", "write over 3", "list"]),
    ],
)
def test_registration_makes_the_expected_store_calls(
    record, is_first_start, calls
):
    store = RecordingStore({"instances/i1": record} if record else {})
    page = asyncio.run(
        listing.InstanceRecord(store, OWN).register(is_first_start)
    )
    assert store.calls == calls
    assert [stored.value for stored in page.objects] == [VALUE]
