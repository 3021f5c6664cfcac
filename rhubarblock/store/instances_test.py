"""Tests the encoding of the entries of the instance list."""

import json

from rhubarblock.core import capacity as capacities
from rhubarblock.store import instances

INSTANCE = instances.ListedInstance(
    "i1",
    "10.0.0.1:7",
    "osu",
    "",
    instances.InstanceKind.ENTRY,
    capacity=capacities.Capacity(200.0, 2.15),
)


def test_encoded_entry_is_decoded_unchanged():
    assert (
        instances.decode_instance(instances.encode_instance(INSTANCE))
        == INSTANCE
    )


def test_entries_of_other_releases_are_decoded():
    fields = json.loads(instances.encode_instance(INSTANCE))
    earlier = {k: v for k, v in fields.items() if k != "capacity"}
    read = instances.decode_instance(json.dumps(earlier).encode())
    assert read.capacity == capacities.UNKNOWN
    later = {**fields, "capacity": {"link_mbps": 20, "memory_mb": 300}}
    read = instances.decode_instance(json.dumps(later).encode())
    assert read.capacity == capacities.Capacity(20.0, 0.0)
