"""Tests of the list of instances and its lag."""

import asyncio
import random

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import instancelist
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances

SERVICE_INSTANCE = instances.ListedInstance(
    instance_id="desk-1",
    address="127.0.0.1:9",
    data_centre="osu-hall",
    service="filing-desk",
    kind=instances.InstanceKind.SERVICE,
)


async def list_ids(source: instances.InstanceSource) -> list[str]:
    listed = await source.fetch_instances()
    return [i.instance_id + "-" * i.leaving for i in listed]


def test_list_lags_behind_the_instance_objects() -> None:
    async def main() -> list[list[str]]:
        store = platform.MemoryStore(
            timer_service.LoopTimers(0.0), random.Random(1)
        )
        lagging = instancelist.InstanceList(store)
        source = lagging.connect("one")
        lagging.put(SERVICE_INSTANCE)
        seen = [await list_ids(source)]
        await asyncio.sleep(5)
        seen.append(await list_ids(source))
        lagging.mark_leaving("desk-1")
        await asyncio.sleep(4)
        seen.append(await list_ids(source))
        lagging.remove("desk-1")
        await asyncio.sleep(2)
        seen.append(await list_ids(source))
        store.faults.list_frozen = True
        await asyncio.sleep(9)
        seen.append(await list_ids(source))
        store.faults.list_frozen = False
        seen.append(await list_ids(source))
        return seen

    assert virtualloop.run(main()) == [
        [],
        ["desk-1"],
        ["desk-1"],
        ["desk-1-"],
        ["desk-1-"],
        [],
    ]


def test_instances_that_register_themselves_are_listed() -> None:
    async def main() -> list[instances.ListedInstance]:
        store = platform.MemoryStore(
            timer_service.LoopTimers(0.0), random.Random(1)
        )
        settings = instancelist.InstanceListSettings(lag_s=0.0)
        lagging = instancelist.InstanceList(store, settings)
        name = instances.name_object("desk-1")
        await store.write(
            name, instances.encode_instance(SERVICE_INSTANCE), positions.NOWHERE
        )
        return await lagging.connect("one").fetch_instances()

    assert virtualloop.run(main()) == [SERVICE_INSTANCE]
