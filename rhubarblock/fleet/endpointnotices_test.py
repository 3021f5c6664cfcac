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


class Bench:
    """Instances that each have a table of endpoints."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.tables = []
        self.news = []

    async def start(self, instance_id):
        node = await self.fleet.start(instance_id, "a")
        table = endpointtables.EndpointTable(node.timers)
        table.update_from_list(LISTED)
        news = endpointnotices.EndpointNotices(
            table,
            node.membership,
            node.peers,
            node.timers,
            node.rng,
            node.store,
        )
        await node.stack.enter_async_context(news.run())
        self.tables.append(table)
        self.news.append(news)

    def usable(self):
        return [
            [view.endpoint.endpoint_id for view in table.usable("desk")]
            for table in self.tables
        ]


def run(scene, count=3):
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            bench = Bench(fleet)
            for number in range(count):
                await bench.start(f"i{number}")
            await fleet.timers.sleep(20.0)
            return await scene(bench)

    return virtualloop.run(main())


def test_endpoint_that_refuses_one_instance_gets_no_work_from_any():
    async def scene(bench):
        bench.tables[0].record_failure("d1", REFUSED)
        await bench.fleet.timers.sleep(0.1)
        return bench.usable()

    assert run(scene) == [["d2"]] * 3


def test_drain_reaches_every_instance_and_those_that_start_later():
    async def scene(bench):
        await bench.news[0].order_drain("d1", True)
        await bench.start("i9")
        await bench.fleet.timers.sleep(20.0)
        drained = bench.usable()
        await bench.news[1].order_drain("d1", False)
        return drained, bench.usable(), bench.news[2].list_drained()

    assert run(scene) == ([["d2"]] * 4, [["d1", "d2"]] * 4, [])


def test_drain_of_an_endpoint_that_is_not_listed_yet():
    async def scene(bench):
        await bench.news[0].order_drain("d3", True)
        later = instances.ListedInstance(
            "d3", "10.9.0.3:80", "a", "desk", instances.InstanceKind.SERVICE
        )
        for table in bench.tables:
            table.update_from_list([*LISTED, later])
        return bench.usable()

    assert run(scene) == [["d1", "d2"]] * 3


def test_drain_outlasts_all_instances():
    async def scene(bench):
        kept = [await bench.news[0].order_drain("d1", True)]
        for node in list(bench.fleet.nodes.values()):
            await bench.fleet.kill(node)
        bench.tables.clear()
        await bench.start("i7")
        return kept, bench.usable()

    assert run(scene) == ([True], [["d2"]])


def test_drain_while_the_platform_is_down_says_that_it_is_not_kept():
    async def scene(bench):
        bench.fleet.platform.faults.start_outage()
        kept = await bench.news[0].order_drain("d1", True)
        return kept, bench.usable()

    assert run(scene) == (False, [["d2"]] * 3)


def test_drain_whose_write_was_unanswered_is_kept_once():
    async def scene(bench):
        bench.fleet.platform.faults.lose_answers_next = 1
        kept = await bench.news[0].order_drain("d1", True)
        stored = await bench.fleet.platform.read(drainrecord.RECORD_OBJECT)
        return kept, stored.value.count(b"d1")

    assert run(scene) == (True, 1)


def test_order_that_was_lost_is_made_good():
    async def scene(bench):
        bench.fleet.network.loss = 0.9
        await bench.news[0].order_drain("d1", True)
        bench.fleet.network.loss = 0.0
        await bench.fleet.timers.sleep(60.0)
        return bench.usable()

    assert run(scene) == [["d2"]] * 3
