"""Calls by which an instance enters the list, in each state of its line."""

import asyncio

import pytest

from rhubarblock.core import position as positions
from rhubarblock.daemon import listing
from rhubarblock.store import instances
from rhubarblock.store import store as stores

OWN = listing.describe_entry("i1", "10.0.0.1:7", "osu")
VALUE = instances.encode_instance(OWN)


def at(revision):
    return positions.Position(0, revision)


class Store(stores.ObjectStore):
    """Holds lines and notes the calls."""

    def __init__(self, lines):
        self.lines = dict(lines)
        self.calls = []

    async def read(self, name):
        raise AssertionError("a single line is not read")

    async def list_objects(self, prefix):
        self.calls.append("list")
        found = [
            stores.StoredObject(name, at(3), value)
            for name, value in self.lines.items()
        ]
        return stores.Page(tuple(found), at(3))

    async def write(self, name, value, expected_version):
        self.calls.append(f"write over {expected_version.revision}")
        if not expected_version and name in self.lines:
            raise stores.StoreError(stores.StoreErrorKind.CONFLICT)
        self.lines[name] = value
        return stores.StoredObject(name, at(4), value)

    async def delete(self, name, expected_version):
        raise AssertionError("nothing is deleted")

    async def watch(self, prefix, after):
        raise AssertionError("nothing is watched")
        yield


@pytest.mark.parametrize(
    ("line", "is_first_start", "calls"),
    [
        (None, True, ["write over 0", "list"]),
        (VALUE, False, ["list"]),
        (VALUE, True, ["write over 0", "list"]),
        (None, False, ["list", "write over 0", "list"]),
        (b"moved", False, ["list", "write over 3", "list"]),
        (b"moved", True, ["write over 0", "list", "write over 3", "list"]),
    ],
)
def test_line_is_as_it_should_be_after_few_calls(line, is_first_start, calls):
    store = Store({"instances/i1": line} if line else {})
    page = asyncio.run(listing.Listing(store, OWN).enter(is_first_start))
    assert store.calls == calls
    assert [stored.value for stored in page.objects] == [VALUE]
