import contextlib

import pytest

from rhubarblock.fleet import softstate
from rhubarblock.fleet.membership import member as members
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet

SETTLE_S = 20.0


def list_live(node, data_centre=None):
    """Returns the sorted ids of the instances that a node counts as live."""
    live = node.membership.list_live_instances(data_centre)
    return sorted(member.instance_id for member in live)


def total(nodes, counter):
    return sum(getattr(node.membership.counters, counter) for node in nodes)


async def wait_until(fleet, condition, limit_s):
    """Returns the seconds until a condition holds, or fails at a limit."""
    started_s = fleet.timers.read_monotonic()
    while not condition():
        elapsed_s = fleet.timers.read_monotonic() - started_s
        assert elapsed_s < limit_s, "too late"
        await fleet.timers.sleep(0.05)


def test_instances_join_through_lagging_platform_list():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(3, "a")
            await fleet.timers.sleep(SETTLE_S)
            return [list_live(node) for node in nodes]

    assert virtualloop.run(main()) == [["a-0", "a-1", "a-2"]] * 3


def test_instances_join_through_seeds_during_platform_outage():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            fleet.platform.faults.start_outage()
            first = await fleet.start("a-0", "a")
            second = fleet.create("a-1", "a", seeds=[first.address])
            await second.stack.enter_async_context(second.membership.run())
            await fleet.timers.sleep(1.0)
            return list_live(first), list_live(second)

    assert virtualloop.run(main()) == (["a-0", "a-1"], ["a-0", "a-1"])


@pytest.mark.parametrize("size", [2, 6, 41])
def test_death_is_known_to_data_centre_within_three_seconds(size):
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(size, "a")
            await fleet.timers.sleep(SETTLE_S)
            dead = nodes.pop(1)
            await fleet.kill(dead)
            # In a fleet of two, no helper can confirm the death, which is
            # declared without one.
            await fleet.timers.sleep(3.0)
            return {dead.instance_id in list_live(node) for node in nodes}

    assert virtualloop.run(main()) == {False}


def test_death_of_a_rack_is_detected():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(20, "a")
            await fleet.timers.sleep(SETTLE_S)
            for node in nodes[:8]:
                await fleet.kill(node)
            await fleet.timers.sleep(9.0)
            return {tuple(list_live(node)) for node in nodes[8:]}

    live = tuple(sorted(f"a-{number}" for number in range(8, 20)))
    assert virtualloop.run(main()) == {live}


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_pause_under_a_second_is_not_declared_a_death(loss):
    async def main():
        async with memoryfleet.open_fleet(loss=loss) as fleet:
            nodes = await fleet.start_many(12, "a")
            await fleet.timers.sleep(SETTLE_S)
            for node in nodes * 3:
                fleet.network.pause(node.address)
                await fleet.timers.sleep(0.95)
                fleet.network.resume(node.address)
                await fleet.timers.sleep(0.3)
            return total(nodes, "deaths_found"), total(nodes, "suspicions") > 0

    assert virtualloop.run(main()) == (0, True)


def test_lost_packets_cause_no_false_death():
    async def main():
        async with memoryfleet.open_fleet(loss=0.1) as fleet:
            nodes = await fleet.start_many(8, "a")
            await fleet.timers.sleep(120.0)
            return total(nodes, "deaths_found"), total(nodes, "suspicions") > 0

    assert virtualloop.run(main()) == (0, True)


def test_long_pause_is_declared_a_death_and_refuted():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(6, "a")
            await fleet.timers.sleep(SETTLE_S)
            paused = nodes[2]
            before = paused.membership.own.incarnation
            fleet.network.pause(paused.address)
            await fleet.timers.sleep(10.0)
            during = {
                "a-2" in list_live(node) for node in nodes if node != paused
            }
            fleet.network.resume(paused.address)
            await fleet.timers.sleep(SETTLE_S)
            after = {"a-2" in list_live(node) for node in nodes}
            raised = paused.membership.own.incarnation > before
            # The paused instance must not declare the others dead.
            return during, after, raised, total([paused], "deaths_found")

    assert virtualloop.run(main()) == ({False}, {True}, True, 0)


def test_planned_stop_is_known_at_once():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(6, "a")
            remote = await fleet.start_many(2, "b")
            await fleet.timers.sleep(SETTLE_S)
            await nodes[0].membership.leave()
            await fleet.timers.sleep(0.1)
            views = {"a-0" in list_live(node) for node in nodes[1:]}
            state = nodes[1].membership.find("a-0").state
            await fleet.timers.sleep(5.0)
            return views, state, {"a-0" in list_live(node) for node in remote}

    assert virtualloop.run(main()) == (
        {False},
        members.MemberState.LEFT,
        {False},
    )


def test_restart_under_same_id_replaces_the_record():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(4, "a")
            await fleet.timers.sleep(SETTLE_S)
            await fleet.kill(nodes[0])
            await fleet.timers.sleep(5.0)
            again = await fleet.start("a-0", "a")
            await fleet.timers.sleep(1.0)
            known = nodes[1].membership.find("a-0")
            return known == again.membership.own, list_live(again)

    assert virtualloop.run(main()) == (True, ["a-0", "a-1", "a-2", "a-3"])


def test_partitioned_instance_rejoins_its_data_centre():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(6, "a")
            await fleet.timers.sleep(SETTLE_S)
            alone, rest = nodes[0], nodes[1:]
            fleet.network.cut([alone.address], [node.address for node in rest])
            await fleet.timers.sleep(SETTLE_S)
            cut = list_live(alone), {len(list_live(node)) for node in rest}
            fleet.network.heal()
            await fleet.timers.sleep(SETTLE_S)
            return cut, {len(list_live(node)) for node in nodes}

    assert virtualloop.run(main()) == ((["a-0"], {5}), {6})


def test_data_centres_rejoin_after_partition():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            near = await fleet.start_many(4, "a")
            far = await fleet.start_many(4, "b")
            await fleet.timers.sleep(SETTLE_S)
            counts = [{len(list_live(node)) for node in near + far}]
            fleet.network.cut(
                [node.address for node in near],
                [node.address for node in far],
            )
            await fleet.timers.sleep(SETTLE_S)
            counts.append({len(list_live(node)) for node in near + far})
            reachable = {node.membership.is_reachable("b") for node in near}
            deaths = total(near + far, "deaths_found")
            # A death during the partition must be known after it.
            await fleet.kill(far[0])
            await fleet.timers.sleep(SETTLE_S)
            fleet.network.heal()
            await fleet.timers.sleep(SETTLE_S)
            counts.append({len(list_live(node)) for node in near})
            return counts, reachable, deaths

    assert virtualloop.run(main()) == ([{8}, {4}, {7}], {False}, 0)


def test_revision_is_announced_by_each_instance_itself():
    async def main():
        async with memoryfleet.open_fleet(loss=0.05) as fleet:
            nodes = await fleet.start_many(5, "a")
            await fleet.timers.sleep(SETTLE_S)
            for number, node in enumerate(nodes):
                node.membership.set_revision(10 + number)
            await fleet.timers.sleep(SETTLE_S)
            return {
                tuple(
                    node.membership.find(other.instance_id).revision
                    for other in nodes
                )
                for node in nodes
            }

    assert virtualloop.run(main()) == {(10, 11, 12, 13, 14)}


def test_soft_state_is_piggybacked_on_heartbeats():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(2, "a")
            received = []
            with contextlib.ExitStack() as stack:
                stack.enter_context(
                    nodes[1].membership.soft.subscribe(
                        "limits",
                        lambda sender, content: received.append(
                            (sender.instance_id, content)
                        ),
                    )
                )
                nodes[0].membership.soft.set("limits", b"7")
                await fleet.timers.sleep(SETTLE_S)
            return set(received)

    assert virtualloop.run(main()) == {("a-0", b"7")}


def test_soft_state_is_bounded():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            membership = fleet.create("a-0", "a").membership
            with pytest.raises(ValueError, match="too large"):
                membership.soft.set("x", b"x" * 65)
            for number in range(softstate.MAX_SUBSYSTEMS):
                membership.soft.set(f"s{number}", b"x")
            membership.soft.set("s0", b"y")
            with pytest.raises(ValueError, match="too many"):
                membership.soft.set("more", b"x")

    virtualloop.run(main())


def test_subscriber_is_notified_while_subscribed():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            node = await fleet.start("a-0", "a")
            received = []
            with node.membership.subscribe(received.append):
                other = await fleet.start("a-1", "a")
                await fleet.timers.sleep(SETTLE_S)
                await other.membership.leave()
            other.membership.set_revision(5)
            await fleet.timers.sleep(SETTLE_S)
            return [(item.instance_id, item.state.name) for item in received]

    assert virtualloop.run(main()) == [("a-1", "ALIVE"), ("a-1", "LEFT")]


def test_dead_unlisted_instance_is_forgotten():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(3, "a")
            await fleet.timers.sleep(SETTLE_S)
            await fleet.kill(nodes[0])
            fleet.listing.remove("a-0")
            await fleet.timers.sleep(SETTLE_S)
            known = nodes[1].membership.find("a-0") is not None
            await fleet.timers.sleep(600.0)
            return known, nodes[1].membership.find("a-0")

    assert virtualloop.run(main()) == (True, None)


def test_steady_traffic_stays_under_two_kilobytes_per_second():
    async def main():
        async with memoryfleet.open_fleet() as fleet:
            nodes = await fleet.start_many(41, "a")
            await fleet.timers.sleep(SETTLE_S)
            before = [node.peers.traffic.bytes_sent for node in nodes]
            await fleet.timers.sleep(20.0)
            return max(
                (node.peers.traffic.bytes_sent - start) / 20.0
                for node, start in zip(nodes, before, strict=True)
            )

    assert virtualloop.run(main()) < 2000
