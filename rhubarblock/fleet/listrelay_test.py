import pytest

from rhubarblock.fleet import listrelay
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet
from rhubarblock.store import instances
from rhubarblock.store import store as stores

ENGINE = instances.ListedInstance(
    "e1", "10.9.0.1:80", "a", "pool", instances.InstanceKind.ENGINE
)


class Harness:
    """Instances that fetch the list through relays."""

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

    async def count_found(self):
        """Returns the number of instances whose list has the engine."""
        found = 0
        for relay in self.relays:
            found += ENGINE in await relay.fetch_instances()
        return found


def run(scenario):
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            harness = Harness(fleet)
            for number in range(6):
                await harness.start(f"i{number}")
            await fleet.timers.sleep(20.0)
            return await scenario(harness)

    return virtualloop.run(main())


def test_only_the_readers_read_the_platform():
    async def scenario(harness):
        counters = harness.fleet.platform.counters
        before = counters["instances"]
        for _ in range(10):
            await harness.count_found()
            await harness.fleet.timers.sleep(1.0)
        # The membership of each of the six instances also reads the list, every
        # ten seconds.
        return counters["instances"] - before <= 2 * 10 + 6 * 2

    assert run(scenario)


def test_list_change_reaches_all_instances():
    async def scenario(harness):
        harness.fleet.listing.put(ENGINE)
        counts = [await harness.count_found()]
        # The list lags by five seconds, and each relay by one.
        for _ in range(8):
            await harness.fleet.timers.sleep(1.0)
            counts.append(await harness.count_found())
        return counts[0], counts[-1]

    assert run(scenario) == (0, 6)


def test_platform_outage_without_a_list_raises_at_every_instance():
    async def scenario(harness):
        harness.fleet.platform.faults.start_outage()
        errors = 0
        for relay in harness.relays:
            with pytest.raises(stores.StoreError):
                await relay.fetch_instances()
            errors += 1
        return errors

    assert run(scenario) == 6


def test_instances_read_the_platform_when_readers_are_unreachable():
    async def scenario(harness):
        harness.fleet.listing.put(ENGINE)
        await harness.fleet.timers.sleep(6.0)
        harness.fleet.network.loss = 1.0
        return await harness.count_found()

    assert run(scenario) == 6
