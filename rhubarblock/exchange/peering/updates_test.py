import asyncio

from rhubarblock.core import listed as lists
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.peering import updates as peer_updates
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.routing import health as healths
from rhubarblock.routing.placement import jobtracker

JOB = jobtracker.Job(
    "i1.s1.1",
    (
        jobtracker.Part("a", 0.25, 5_000),
        jobtracker.Part("b", 0.25),
        jobtracker.Part("c", 0.25, 700),
        jobtracker.Part("d", 0.25),
    ),
    0.2,
    5_700,
    0.3,
)
SUBSET_SIZE = 5


class Node:
    def __init__(self, name, data_centre="osu"):
        timers = timer_service.LoopTimers()
        self.job_tracker = jobtracker.JobTracker()
        self.health = healths.Health(data_centre)
        self.directory = directories.Directory(timers)
        self.peers = peer_table.PeerTable(name, data_centre, timers)
        self.updates = peer_updates.PeerUpdates(
            name,
            "s1",
            data_centre,
            self.job_tracker,
            self.health,
            subsets.Subsets(self.directory, SUBSET_SIZE),
            self.peers,
            timers,
            metric_store.Metrics(),
        )

    @property
    def address(self):
        return self.updates._transport.get_extra_info("sockname")[:2]


def run(step, second_data_centre="osu"):
    async def main():
        first, second = Node("i1"), Node("i2", second_data_centre)
        async with (
            first.updates.open("127.0.0.1", 0),
            second.updates.open("127.0.0.1", 0),
        ):
            first.peers.add(*second.address)
            return await step(first, second)

    return asyncio.run(main())


async def wait_for(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.001)


def test_peer_receives_a_job_and_its_end():
    async def step(first, second):
        first.updates.announce_placed(JOB)
        await wait_for(lambda: second.job_tracker.find("a").jobs)
        job = second.job_tracker.find("a").jobs["i1.s1.1"].job
        held = second.job_tracker.find("c").tokens
        first.updates.announce_ended(JOB)
        await wait_for(lambda: not second.job_tracker.find("a").jobs)
        return job, held, second.job_tracker.find("c").tokens

    assert run(step) == (JOB, 700, 0)


def test_sender_is_added_with_its_first_datagram():
    async def step(first, second):
        await first.updates.send_heartbeat()
        await wait_for(lambda: second.peers.count_instances() == 2)
        second.updates.announce_placed(JOB)
        await wait_for(lambda: first.job_tracker.find("b").prefills)

    run(step)


def test_broken_endpoint_is_announced_within_its_data_centre_only():
    async def step(first, second):
        first.updates.announce_broken("a", "osu")
        first.updates.announce_placed(JOB)
        await wait_for(lambda: second.job_tracker.find("a").jobs)
        return second.health.is_tripped("a")

    assert run(step)
    assert not run(step, "tema")


def test_malformed_datagrams_are_ignored():
    async def step(first, second):
        for data in (b"", b"[]", b"{", b'["p"]', b"[1, 2]", b"\xff"):
            first.updates._transport.sendto(data, second.address)
        first.updates.announce_placed(JOB)
        await wait_for(lambda: second.job_tracker.find("a").jobs)

    run(step)


def test_closed_channel_sends_nothing():
    async def main():
        node = Node("i1")
        node.updates.announce_placed(JOB)
        await node.updates.send_heartbeat()
        return node.peers.count_instances()

    assert asyncio.run(main()) == 1


async def exchange_heartbeats(first, second):
    """Makes two instances known to each other by name."""
    await first.updates.send_heartbeat()
    peer = first.peers.find(second.address)
    await wait_for(lambda: peer.instance_id == "i2")


def list_engines(node, count):
    for number in range(count):
        node.directory.update(
            lists.ListedEndpoint(f"e{number}", "a:1", "osu", "pool", 8, False)
        )


def make_job(number):
    part = jobtracker.Part(f"e{number}", 0.1)
    return jobtracker.Job(f"i1.s1.e{number}", (part,), 0.2)


def test_peer_receives_only_jobs_of_engines_that_it_uses():
    async def step(first, second):
        for node in (first, second):
            list_engines(node, 50)
        await exchange_heartbeats(first, second)
        for number in range(50):
            first.updates.announce_placed(make_job(number))
        # Every instance uses unlisted engines, so this arrives, and last.
        first.updates.announce_placed(JOB)
        await wait_for(lambda: second.job_tracker.find("a").jobs)
        received = [
            n for n in range(50) if second.job_tracker.find(f"e{n}").jobs
        ]
        used = [
            n
            for n in range(50)
            if subsets.Subsets(second.directory, SUBSET_SIZE).uses(
                "i2", "osu", f"e{n}"
            )
        ]
        return received, used

    received, used = run(step)
    assert received == used
    assert 0 < len(used) < 25


def test_far_peer_gets_every_fourth_heartbeat():
    async def step(first, second):
        await exchange_heartbeats(first, second)
        received = []
        second.updates._apply = lambda fields, peer, now_s: received.append(
            fields[0]
        )
        for _ in range(5):
            await first.updates.send_heartbeat()
        first.updates.announce_placed(JOB)
        await wait_for(lambda: "p" in received)
        return received

    assert run(step) == [*"ggggg", "p"]
    assert run(step, "tema") == ["g", "p"]


def test_restart_of_a_peer_drops_its_old_jobs():
    async def step(first, second):
        await exchange_heartbeats(first, second)
        first.updates.announce_placed(JOB)
        await wait_for(lambda: second.job_tracker.find("a").jobs)
        first.updates._heartbeat[3] = "i1.s2"
        await first.updates.send_heartbeat()
        await wait_for(lambda: not second.job_tracker.find("a").jobs)

    run(step)


def test_instance_that_starts_receives_running_jobs():
    async def main():
        first, second = Node("i1"), Node("i2")
        async with first.updates.open("127.0.0.1", 0):
            first.updates.announce_placed(JOB)
            ended = jobtracker.Job("i1.s1.2", JOB.parts, 0.2)
            first.updates.announce_placed(ended)
            first.updates.announce_ended(ended)
            async with second.updates.open("127.0.0.1", 0):
                second.peers.add(*first.address)
                await second.updates.send_heartbeat()
                await wait_for(lambda: second.job_tracker.find("a").jobs)
                return list(second.job_tracker.find("a").jobs)

    assert asyncio.run(main()) == ["i1.s1.1"]


def test_reused_address_is_announced_to_peers_that_use_the_endpoint():
    async def step(first, second):
        for node in (first, second):
            list_engines(node, 50)
        await exchange_heartbeats(first, second)
        received = []
        second.updates.listen(
            peer_updates.ADDRESS_REUSED,
            lambda fields, address: received.append(fields),
        )
        for number in range(50):
            first.updates.announce_reused(first.directory.find(f"e{number}"))
        first.updates.announce_placed(JOB)
        await wait_for(lambda: second.job_tracker.find("a").jobs)
        return received

    received = run(step)
    assert 0 < len(received) < 25
    assert received[0][1:] == ["a:1", 0]
