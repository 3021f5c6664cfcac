"""Lines of the list of instances."""

import json

from rhubarblock.core import capacity as capacities
from rhubarblock.store import instances

LINE = instances.ListedInstance(
    "i1",
    "10.0.0.1:7",
    "osu",
    "",
    instances.InstanceKind.ENTRY,
    capacity=capacities.Capacity(200.0, 2.15),
)


def test_line_is_read_as_it_was_written():
    assert instances.decode_instance(instances.encode_instance(LINE)) == LINE


def test_line_of_another_release_is_read():
    fields = json.loads(instances.encode_instance(LINE))
    earlier = {k: v for k, v in fields.items() if k != "capacity"}
    read = instances.decode_instance(json.dumps(earlier).encode())
    assert read.capacity == capacities.UNKNOWN
    later = {**fields, "capacity": {"link_mbps": 20, "memory_mb": 300}}
    read = instances.decode_instance(json.dumps(later).encode())
    assert read.capacity == capacities.Capacity(20.0, 0.0)
