import pytest

from rhubarblock.fleet import listrelay
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet
from rhubarblock.store import instances
from rhubarblock.store import store as stores

ENGINE = instances.ListedInstance(
    "e1", "10.9.0.1:80", "a", "pool", instances.InstanceKind.ENGINE
)


class Bench:
    """Instances that read the list through relays."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.relays = []

    async def start(self, instance_id):
        node = await self.fleet.start(instance_id, "a")
        self.relays.append(
            listrelay.ListRelay(
                self.fleet.listing.connect(instance_id),
                node.membership,
                node.peers,
                node.timers,
                node.rng,
            )
        )

    async def read_all(self):
        """Returns how often the engine is in what the instances read."""
        found = 0
        for relay in self.relays:
            found += ENGINE in await relay.fetch_instances()
        return found


def run(scene):
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            bench = Bench(fleet)
            for number in range(6):
                await bench.start(f"i{number}")
            await fleet.timers.sleep(20.0)
            return await scene(bench)

    return virtualloop.run(main())


def test_two_instances_read_the_platform_for_all():
    async def scene(bench):
        counters = bench.fleet.platform.counters
        before = counters["instances"]
        for _ in range(10):
            await bench.read_all()
            await bench.fleet.timers.sleep(1.0)
        # Membership of six instances reads it every ten seconds, too.
        return counters["instances"] - before <= 2 * 10 + 6 * 2

    assert run(scene)


def test_change_of_the_list_reaches_all():
    async def scene(bench):
        bench.fleet.listing.put(ENGINE)
        counts = [await bench.read_all()]
        # The list lags by five seconds, and each relay by one.
        for _ in range(8):
            await bench.fleet.timers.sleep(1.0)
            counts.append(await bench.read_all())
        return counts[0], counts[-1]

    assert run(scene) == (0, 6)


def test_platform_that_is_down_is_an_error_for_all():
    async def scene(bench):
        bench.fleet.platform.faults.start_outage()
        errors = 0
        for relay in bench.relays:
            with pytest.raises(stores.StoreError):
                await relay.fetch_instances()
            errors += 1
        return errors

    assert run(scene) == 6


def test_without_readers_an_instance_reads_itself():
    async def scene(bench):
        bench.fleet.listing.put(ENGINE)
        await bench.fleet.timers.sleep(6.0)
        bench.fleet.network.loss = 1.0
        return await bench.read_all()

    assert run(scene) == 6
