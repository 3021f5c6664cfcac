import contextlib

import pytest

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import position as positions
from rhubarblock.fleet import distribution
from rhubarblock.kernel import virtualloop
from rhubarblock.standins import memoryfleet
from rhubarblock.store import store as stores

SETTLE_S = 20.0
# Time within which a revision must be in force everywhere.
GOAL_S = 3.0


def encode(revision):
    return codec.encode(catalogues.Catalogue(revision=revision))


class Followers:
    """Test harness: a fleet whose instances follow the catalogue."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.store = fleet.platform.connect("operator")
        self.by_id = {}
        self.seen = {}

    async def start(self, instance_id, data_centre):
        node = await self.fleet.start(instance_id, data_centre)
        follower = distribution.CatalogueFollower(
            node.membership, node.peers, node.store, node.timers, node.rng
        )
        seen = self.seen.setdefault(instance_id, [])
        follower.subscribe(lambda found: seen.append(found.revision))
        self.by_id[instance_id] = follower
        await node.stack.enter_async_context(follower.run())
        return node

    async def start_many(self, count, data_centre):
        nodes = [
            await self.start(f"{data_centre}-{number}", data_centre)
            for number in range(count)
        ]
        await self.fleet.timers.sleep(SETTLE_S)
        return nodes

    async def publish(self, revision):
        version = positions.NOWHERE
        with contextlib.suppress(stores.StoreError):
            version = (await self.store.read(archive.CURRENT_OBJECT)).version
        await self.store.write(
            archive.CURRENT_OBJECT, encode(revision), version
        )

    def revisions(self, data_centre=""):
        return {
            follower.revision
            for instance_id, follower in self.by_id.items()
            if instance_id in self.fleet.nodes
            and instance_id.startswith(data_centre)
        }

    def never_reverted(self):
        return all(
            seen == sorted(set(seen)) for seen in self.seen.values() if seen
        )


@contextlib.asynccontextmanager
async def open_followers(loss=0.0):
    async with memoryfleet.open_fleet(loss=loss) as fleet:
        yield Followers(fleet)


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_revision_reaches_all_instances_within_the_goal(loss):
    async def main():
        async with open_followers(loss) as followers:
            await followers.start_many(12, "a")
            await followers.start_many(12, "b")
            await followers.publish(1)
            await followers.fleet.timers.sleep(GOAL_S)
            return followers.revisions(), followers.never_reverted()

    assert virtualloop.run(main()) == ({1}, True)


def test_only_watchers_watch_the_platform():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(10, "a")
            counters = followers.fleet.platform.counters
            before = dict(counters)
            await followers.fleet.timers.sleep(60.0)
            watchers = [
                follower.is_watcher() for follower in followers.by_id.values()
            ]
            reads = counters["read"] - before["read"]
            return (
                sum(watchers),
                counters["watch"] - before["watch"],
                # Two watchers poll every 1.5 s, eight others every 30 s.
                reads <= 2 * 40 + 8 * 3,
            )

    assert virtualloop.run(main()) == (2, 0, True)


def test_missed_and_reordered_events_do_not_revert_the_revision():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(4, "a")
            faults = followers.fleet.platform.faults
            faults.drop_events_share = 0.5
            faults.reorder_events_share = 0.5
            for revision in range(1, 20):
                await followers.publish(revision)
                await followers.fleet.timers.sleep(0.3)
            await followers.fleet.timers.sleep(GOAL_S)
            return followers.revisions(), followers.never_reverted()

    assert virtualloop.run(main()) == ({19}, True)


def test_stale_platform_reads_are_ignored():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(4, "a")
            for revision in (1, 2, 3):
                await followers.publish(revision)
                await followers.fleet.timers.sleep(5.0)
            followers.fleet.platform.faults.stale_s = 12.0
            new = await followers.start("a-new", "a")
            at_start = followers.by_id[new.instance_id].revision
            await followers.fleet.timers.sleep(SETTLE_S)
            ignored = sum(
                follower.counters.older_ignored
                for follower in followers.by_id.values()
            )
            return at_start, followers.revisions(), ignored > 0

    assert virtualloop.run(main()) == (3, {3}, True)


def test_instance_starts_from_peers_during_platform_outage():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(4, "a")
            await followers.publish(7)
            await followers.fleet.timers.sleep(GOAL_S)
            followers.fleet.platform.faults.start_outage()
            await followers.fleet.kill(followers.fleet.nodes["a-0"])
            await followers.fleet.timers.sleep(60.0)
            # The list cannot be read either, so the instance joins through a
            # seed.
            address = followers.fleet.nodes["a-1"].address
            node = followers.fleet.create("a-9", "a", seeds=[address])
            await node.stack.enter_async_context(node.membership.run())
            follower = distribution.CatalogueFollower(
                node.membership, node.peers, node.store, node.timers, node.rng
            )
            async with follower.run():
                return follower.revision

    assert virtualloop.run(main()) == 7


def test_platform_is_followed_again_after_an_outage():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(4, "a")
            await followers.publish(1)
            followers.fleet.platform.faults.start_outage()
            await followers.fleet.timers.sleep(600.0)
            followers.fleet.platform.faults.end_outage()
            await followers.publish(2)
            await followers.fleet.timers.sleep(GOAL_S)
            return followers.revisions()

    assert virtualloop.run(main()) == {2}


def test_partitioned_data_centre_catches_up_from_peers():
    async def main():
        async with open_followers() as followers:
            near = await followers.start_many(3, "a")
            far = await followers.start_many(3, "b")
            await followers.publish(1)
            await followers.fleet.timers.sleep(GOAL_S)
            # The far data centre reaches neither the platform nor the near one.
            followers.fleet.network.cut(
                [node.address for node in near], [node.address for node in far]
            )
            for node in far:
                node.store.cut_off()
            await followers.publish(2)
            await followers.fleet.timers.sleep(60.0)
            cut = followers.revisions("a"), followers.revisions("b")
            # Peers are reachable again, but the platform is not.
            followers.fleet.network.heal()
            await followers.fleet.timers.sleep(9.0)
            return cut, followers.revisions(), followers.never_reverted()

    assert virtualloop.run(main()) == (({2}, {1}), {2}, True)


def test_dead_watchers_are_replaced():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(5, "a")
            watching = [
                instance_id
                for instance_id, follower in followers.by_id.items()
                if follower.counters.watches and follower.is_watcher()
            ]
            for instance_id in watching:
                await followers.fleet.kill(followers.fleet.nodes[instance_id])
            await followers.fleet.timers.sleep(5.0)
            await followers.publish(1)
            await followers.fleet.timers.sleep(GOAL_S)
            return len(watching), followers.revisions()

    assert virtualloop.run(main()) == (2, {1})


def test_accepted_change_applies_at_once_and_is_broadcast():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(6, "a")
            follower = followers.by_id["a-2"]
            follower.accept(catalogues.Catalogue(revision=4))
            at_once = follower.revision
            await followers.fleet.timers.sleep(0.1)
            return at_once, followers.revisions()

    assert virtualloop.run(main()) == (4, {4})


def test_revisions_in_force_are_collected():
    async def main():
        async with open_followers() as followers:
            nodes = await followers.start_many(3, "a")
            await followers.publish(1)
            await followers.fleet.timers.sleep(GOAL_S)
            followers.fleet.network.pause(nodes[2].address)
            return await followers.by_id["a-0"].collect_revisions()

    assert virtualloop.run(main()) == {"a-0": 1, "a-1": 1, "a-2": None}


def test_malformed_catalogue_is_ignored():
    async def main():
        async with open_followers() as followers:
            await followers.start_many(2, "a")
            await followers.publish(1)
            await followers.fleet.timers.sleep(GOAL_S)
            stored = await followers.store.read(archive.CURRENT_OBJECT)
            await followers.store.write(
                archive.CURRENT_OBJECT, b"{", stored.version
            )
            await followers.fleet.timers.sleep(GOAL_S)
            bad = sum(
                follower.counters.bad_contents
                for follower in followers.by_id.values()
            )
            await followers.publish(2)
            await followers.fleet.timers.sleep(GOAL_S)
            return bad > 0, followers.revisions()

    assert virtualloop.run(main()) == (True, {2})
