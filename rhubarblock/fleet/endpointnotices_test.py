from rhubarblock.core import failure as failures
from rhubarblock.fleet import drainrecord
from rhubarblock.fleet import endpointnotices
from rhubarblock.fleet import endpoints as endpointtables
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet
from rhubarblock.store import instances

REFUSED = failures.Failure(failures.FailureCode.DRAINING, "draining")
LISTED = [
    instances.ListedInstance(
        name, "10.9.0.1:80", "a", "desk", instances.InstanceKind.SERVICE
    )
    for name in ("d1", "d2")
]


class Harness:
    """Instances that each have an endpoint table."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.tables = []
        self.notices = []

    async def start(self, instance_id):
        node = await self.fleet.start(instance_id, "a")
        table = endpointtables.EndpointTable(node.timers)
        table.update_from_list(LISTED)
        notices = endpointnotices.EndpointNotices(
            table,
            node.membership,
            node.peers,
            node.timers,
            node.rng,
            node.store,
        )
        await node.stack.enter_async_context(notices.run())
        self.tables.append(table)
        self.notices.append(notices)

    def usable(self):
        return [
            [view.endpoint.endpoint_id for view in table.usable("desk")]
            for table in self.tables
        ]


def run(scenario, count=3):
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            harness = Harness(fleet)
            for number in range(count):
                await harness.start(f"i{number}")
            await fleet.timers.sleep(20.0)
            return await scenario(harness)

    return virtualloop.run(main())


def test_refusal_to_one_instance_stops_requests_from_all():
    async def scenario(harness):
        harness.tables[0].record_failure("d1", REFUSED)
        await harness.fleet.timers.sleep(0.1)
        return harness.usable()

    assert run(scenario) == [["d2"]] * 3


def test_drain_reaches_running_and_later_instances():
    async def scenario(harness):
        await harness.notices[0].order_drain("d1", True)
        await harness.start("i9")
        await harness.fleet.timers.sleep(20.0)
        drained = harness.usable()
        await harness.notices[1].order_drain("d1", False)
        return drained, harness.usable(), harness.notices[2].list_drained()

    assert run(scenario) == ([["d2"]] * 4, [["d1", "d2"]] * 4, [])


def test_drain_applies_to_an_endpoint_listed_later():
    async def scenario(harness):
        await harness.notices[0].order_drain("d3", True)
        later = instances.ListedInstance(
            "d3", "10.9.0.3:80", "a", "desk", instances.InstanceKind.SERVICE
        )
        for table in harness.tables:
            table.update_from_list([*LISTED, later])
        return harness.usable()

    assert run(scenario) == [["d1", "d2"]] * 3


def test_drain_survives_loss_of_all_instances():
    async def scenario(harness):
        is_stored = [await harness.notices[0].order_drain("d1", True)]
        for node in list(harness.fleet.nodes.values()):
            await harness.fleet.kill(node)
        harness.tables.clear()
        await harness.start("i7")
        return is_stored, harness.usable()

    assert run(scenario) == ([True], [["d2"]])


def test_drain_during_platform_outage_is_reported_as_not_stored():
    async def scenario(harness):
        harness.fleet.platform.faults.start_outage()
        is_stored = await harness.notices[0].order_drain("d1", True)
        return is_stored, harness.usable()

    assert run(scenario) == (False, [["d2"]] * 3)


def test_drain_with_unanswered_write_is_stored_once():
    async def scenario(harness):
        harness.fleet.platform.faults.lose_answers_next = 1
        is_stored = await harness.notices[0].order_drain("d1", True)
        stored = await harness.fleet.platform.read(drainrecord.RECORD_OBJECT)
        return is_stored, stored.value.count(b"d1")

    assert run(scenario) == (True, 1)


def test_lost_drain_notice_is_recovered_by_sync():
    async def scenario(harness):
        harness.fleet.network.loss = 0.9
        await harness.notices[0].order_drain("d1", True)
        harness.fleet.network.loss = 0.0
        await harness.fleet.timers.sleep(60.0)
        return harness.usable()

    assert run(scenario) == [["d2"]] * 3
