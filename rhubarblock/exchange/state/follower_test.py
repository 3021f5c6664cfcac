"""Who reads the store, and what happens when it can't be reached."""

import asyncio
import json
import math
import random

import pytest

from rhubarblock.core import position as positions
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import feed_test as fakes
from rhubarblock.exchange.state import follower as followers
from rhubarblock.exchange.state import removals
from rhubarblock.kernel import virtualloop
from rhubarblock.store import store as stores


class Clock:
    """The lease's clock is that of the loop."""

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()


class Store(stores.ObjectStore):
    """Holds a version of the configuration and some entries.

    Attributes:
      eras: hears the era with each answer.
      key: stands in the configuration.
      listed: entries by name.
    """

    def __init__(self):
        self.eras = None
        self.era = 0
        self.key = "k"
        self.revision = 1
        self.listed = {name: fakes.entry(name) for name in ("a", "b")}
        self.fails = False
        self.reads = 0
        self.lists = 0
        self.version = 1
        self.events = asyncio.Queue()

    def at(self):
        era = self.eras.take(self.era or None) if self.eras else 0
        return positions.Position(era, self.revision)

    def put(self, name, value=b"ready"):
        """Writes an entry; the watch tells of it at once."""
        self.revision += 1
        stored = fakes.entry(name, value, version=self.revision, era=self.era)
        self.listed[name] = stored
        self.events.put_nowait(stored)

    def remove(self, name):
        self.revision += 1
        del self.listed[name]
        self.events.put_nowait(
            fakes.entry(name, b"", True, self.revision, self.era)
        )

    def come_back(self, revision, names=("a", "b")):
        """Begins an era with entries of an older copy."""
        self.era += 1
        self.revision = revision
        self.listed = {
            name: fakes.entry(name, version=number, era=self.era)
            for number, name in enumerate(names, 1)
        }

    async def read(self, name):
        self.reads += 1
        if self.fails:
            raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)
        value = json.dumps(
            {"version": self.version, "keys": [self.key]}
        ).encode()
        return stores.StoredObject(name, self.at(), value)

    async def list_objects(self, prefix):
        self.lists += 1
        if self.fails:
            raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)
        return stores.Page(tuple(self.listed.values()), self.at())

    async def write(self, name, value, expected_version):
        raise AssertionError("nothing is written here")

    async def delete(self, name, expected_version):
        raise AssertionError("nothing is deleted here")

    async def watch(self, prefix, after):
        while True:
            event = await self.events.get()
            if event is None:
                raise stores.StoreError(stores.StoreErrorKind.CONFLICT)
            yield event


class Client:
    """Peers whose state is always a certain age, or who give none."""

    def __init__(self, side, age_s):
        self.side = side
        self.age_s = age_s
        # Of single peers, by address.
        self.ages = {}
        self.asked = []

    async def ask(self, address, wait_s=0.7, oldest_s=math.inf):
        self.asked.append(address)
        asked_s = self.side.config_lease.read_clock()
        await asyncio.sleep(wait_s)
        age_s = self.ages.get(address, self.age_s)
        if age_s is None:
            raise statefeed.FeedError("none")
        if age_s + wait_s >= oldest_s:
            raise statefeed.OldStateError("old")
        self.side.replica.take_listing([fakes.entry("a")])
        value = fakes.table(1, "k")
        self.side.replica.take_configuration(value, asked_s - age_s)

    def forget(self):
        pass


class Peers:
    """Readers come in turn, and None when all are distrusted."""

    def __init__(self, readers, *peers):
        self.readers = list(readers)
        self.peers = peers

    def find_reader(self):
        return self.readers[0] if self.readers else None

    def list_peers(self):
        return list(self.peers)

    def distrust(self, address):
        self.readers.remove(address)


def run(step, *readers, peers=(), age_s=0.5):
    async def main():
        side = fakes.Side("i1", Clock())
        store = Store()
        client = Client(side, age_s)
        follower = followers.StoreFollower(
            store,
            fakes.Dialect(),
            side.replica,
            side.config_lease,
            client,
            Peers(readers, *peers),
            followers.PollIntervals(2.0),
            side.timers,
            random.Random(1),
            side.eras,
        )
        store.eras = side.eras
        async with follower.run():
            return await step(side, store, client)

    return virtualloop.run(main())


def test_first_instance_of_a_data_centre_reads_the_store():
    async def step(side, store, client):
        await asyncio.sleep(10.4)
        return store.reads, store.lists, client.asked, side.usable()

    assert run(step) == (15, 1, [], ["a", "b"])


def test_others_ask_it_and_make_no_calls():
    async def step(side, store, client):
        await asyncio.sleep(10.0)
        valid = side.config_lease.find_valid() is not None
        return store.reads, store.lists, valid, side.usable()

    assert run(step, "10.0.0.1:1") == (0, 0, True, ["a"])


def test_state_that_is_too_old_is_read_from_the_store():
    async def step(side, store, client):
        await asyncio.sleep(10.0)
        return store.reads >= 3, side.config_lease.age_s < 2.0

    assert run(step, "10.0.0.1:1", age_s=3.0) == (True, True)


def test_instance_whose_reader_is_gone_reads_the_store_itself():
    async def step(side, store, client):
        await asyncio.sleep(3.0)
        return len(client.asked), store.reads > 1, side.usable()

    assert run(step, "10.0.0.1:1", age_s=None) == (1, True, ["a", "b"])


def test_next_reader_is_asked_where_the_first_ones_are_not_up():
    async def step(side, store, client):
        client.ages = {"10.0.0.1:1": None, "10.0.0.2:1": None}
        await asyncio.sleep(5.0)
        valid = side.config_lease.find_valid() is not None
        return store.reads, valid, client.asked[:4]

    readers = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
    assert run(step, *readers) == (0, True, [*readers, readers[-1]])


def test_fourth_reader_is_not_waited_for():
    async def step(side, store, client):
        await asyncio.sleep(2.0)
        return store.reads > 0, client.asked[:3]

    readers = [f"10.0.0.{n}:1" for n in (1, 2, 3, 4)]
    assert run(step, *readers, age_s=None) == (True, readers[:3])


def test_no_timer_wakes_an_instance_that_lists_nothing():
    async def step(side, store, client):
        before = side.timers.wakeups
        await asyncio.sleep(10.0)
        return side.timers.wakeups - before, len(client.asked)

    wakeups, asked = run(step, "10.0.0.1:1")
    # One for each answer, to forget endpoints that it lacks.
    assert wakeups <= asked


def test_instance_that_the_store_turns_away_asks_peers():
    async def step(side, store, client):
        store.fails = True
        await asyncio.sleep(30.0)
        return side.config_lease.find_valid() is not None, side.usable()

    assert run(step, peers=("10.0.0.2:1", "10.0.0.3:1")) == (True, ["a"])


def test_instance_that_is_cut_off_from_all_loses_its_lease():
    async def step(side, store, client):
        await asyncio.sleep(5.0)
        store.fails = True
        await asyncio.sleep(6.0)
        lost = side.config_lease.find_valid()
        store.fails = False
        await asyncio.sleep(1.5)
        return lost, side.config_lease.find_valid() is not None

    peers = ("10.0.0.2:1",)
    assert run(step, peers=peers, age_s=None) == (None, True)


def test_history_that_is_gone_brings_a_new_listing():
    async def step(side, store, client):
        await asyncio.sleep(1.0)
        store.events.put_nowait(fakes.entry("b", b"", deleted=True))
        await asyncio.sleep(0.5)
        between = side.usable()
        store.events.put_nowait(None)
        await asyncio.sleep(1.0)
        return between, store.lists, side.usable()

    assert run(step) == (["a"], 2, ["a", "b"])


def test_many_changes_at_once_are_asked_for_in_few_calls():
    async def step(side, store, client):
        await asyncio.sleep(1.0)
        taken = []
        for number in range(40):
            store.events.put_nowait(fakes.entry(f"e{number}"))
        begun_s = asyncio.get_running_loop().time()
        while len(side.usable()) < 42:
            taken.append(len(side.usable()))
            await asyncio.sleep(0.01)
        return taken[0], asyncio.get_running_loop().time() - begun_s

    first, took_s = run(step)
    # The first change counts at once, the others with the next answers.
    assert first <= 3
    # A tenth of the 2 s in which a configuration must be in force.
    assert 0.2 <= round(took_s, 6) <= 0.6


def test_older_version_of_the_store_is_not_believed():
    async def step(side, store, client):
        store.version = 5
        await asyncio.sleep(1.5)
        store.version = 4
        await asyncio.sleep(6.0)
        return side.config_lease.version, side.config_lease.find_valid()

    assert run(step) == (5, None)


def test_reader_that_lost_the_store_is_noticed_within_the_bound():
    # Its answers come in time and get older with each one.
    async def step(side, store, client):
        lost_s = side.timers.read_monotonic()
        ask = client.ask

        async def ask_older(address, wait_s=0.7, oldest_s=math.inf):
            client.age_s = side.timers.read_monotonic() - lost_s + wait_s
            await ask(address, wait_s, oldest_s)

        client.ask = ask_older
        while not store.reads:
            await asyncio.sleep(0.01)
        return side.timers.read_monotonic() - lost_s

    assert run(step, "10.0.0.1:1") < 1.9


def test_reader_that_lost_the_store_is_not_asked_again_at_once():
    # Else every instance would read for itself, then ask it again, by turns.
    async def step(side, store, client):
        client.age_s = 1.6
        await asyncio.sleep(2.5)
        return len(client.asked), store.reads

    asked, reads = run(step, "10.0.0.1:1")
    assert asked == 1
    assert reads >= 2


def test_reader_stays_the_reader_while_nobody_reaches_the_store():
    async def step(side, store, client):
        store.fails = True
        client.age_s = 9.0
        await asyncio.sleep(6.0)
        return len(client.asked)

    assert run(step, "10.0.0.1:1") >= 2


def run_eras(step):
    """Follows a store that is in its first era, for three seconds."""

    async def begin(side, store, client):
        store.come_back(1)
        await asyncio.sleep(3.0)
        return await step(side, store)

    return run(begin)


def test_entry_that_left_is_not_brought_back_by_the_copy():
    async def step(side, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        seen = [side.usable()]
        store.come_back(1)
        for _ in range(2):
            await asyncio.sleep(2.5)
            seen.append(side.usable())
        # Nobody renews the copy's entry, so the store removes it.
        store.remove("a")
        await asyncio.sleep(3.0)
        return [*seen, side.usable()]

    assert run_eras(step) == [["b"]] * 4


def test_entry_that_is_written_again_is_used_at_once():
    async def step(side, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        store.come_back(10)
        await asyncio.sleep(1.0)
        store.put("a")
        await asyncio.sleep(0.5)
        return side.usable()

    assert run_eras(step) == ["a", "b"]


def test_entry_of_the_copy_that_stays_listed_is_used_at_last():
    async def step(side, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        store.come_back(1)
        await asyncio.sleep(removals.HOLD_S + 2.0)
        return side.usable()

    assert run_eras(step) == ["a", "b"]


def test_new_entry_that_the_copy_lacks_is_used_until_it_is_written_again():
    async def step(side, store):
        store.put("c")
        store.put("d")
        await asyncio.sleep(1.0)
        seen = [side.usable()]
        store.come_back(1)
        await asyncio.sleep(1.8)
        seen.append(side.usable())
        store.put("c")
        await asyncio.sleep(3.0)
        return [*seen, side.usable()]

    everything = ["a", "b", "c", "d"]
    assert run_eras(step) == [everything, everything, ["a", "b", "c"]]


def test_change_of_a_later_era_with_a_lower_revision_is_taken_in():
    async def step(side, store):
        for _ in range(9):
            store.put("b")
        await asyncio.sleep(1.0)
        store.come_back(2)
        await asyncio.sleep(1.0)
        store.put("b", b"draining")
        await asyncio.sleep(0.5)
        return store.revision, side.usable()

    assert run_eras(step) == (3, ["a"])


def test_endpoint_that_the_copy_calls_ready_stays_draining():
    async def step(side, store):
        store.put("b", b"draining")
        await asyncio.sleep(1.0)
        store.come_back(1)
        await asyncio.sleep(4.0)
        return side.usable()

    assert run_eras(step) == ["a"]


def test_older_configuration_of_the_copy_reverts_nothing():
    async def step(side, store):
        store.version = 5
        await asyncio.sleep(2.0)
        store.version = 3
        store.come_back(1)
        await asyncio.sleep(2.0)
        seen = [
            side.config_lease.version,
            side.config_lease.find_valid() is None,
        ]
        await asyncio.sleep(4.0)
        # What may have been written since can't be ruled out any more.
        seen.append(side.config_lease.find_valid() is None)
        store.version = 5
        await asyncio.sleep(2.0)
        return [*seen, side.config_lease.find_valid().version]

    assert run_eras(step) == [5, False, True, 5]


def test_version_that_is_given_out_again_with_another_content_is_another_one():
    async def step(side, store):
        store.key = "other"
        await asyncio.sleep(2.0)
        seen = [list(side.config_lease.table.keys)]
        store.come_back(1)
        await asyncio.sleep(2.0)
        return [*seen, list(side.config_lease.table.keys)]

    # Within an era no version has two contents, so the first one stays.
    assert run_eras(step) == [["k"], ["other"]]


@pytest.mark.parametrize("jump", [1, 5])
def test_list_is_read_anew_in_each_era(jump):
    async def step(side, store):
        before = store.lists
        for _ in range(2):
            store.era += jump - 1
            store.come_back(1, ("c",))
            await asyncio.sleep(1.0)
        await asyncio.sleep(4.0)
        return store.lists - before, side.usable(), side.eras.current

    assert run_eras(step) == (2, ["c"], 1 + 2 * jump)


def test_two_eras_within_a_second():
    async def step(side, store):
        store.come_back(1, ("c",))
        await asyncio.sleep(0.3)
        store.come_back(1, ("d",))
        await asyncio.sleep(4.0)
        return side.usable(), side.eras.current

    assert run_eras(step) == (["d"], 3)


def test_store_that_is_away_and_comes_back_older():
    async def step(side, store):
        store.fails = True
        await asyncio.sleep(3.0)
        store.come_back(1, ("a", "c"))
        store.fails = False
        await asyncio.sleep(5.0)
        return side.usable(), side.config_lease.find_valid() is not None

    assert run_eras(step) == (["a", "c"], True)


def test_entry_that_left_is_held_back_anew_at_each_return():
    async def step(side, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        seen = set()
        for _ in range(3):
            store.come_back(1)
            await asyncio.sleep(removals.HOLD_S / 2)
            seen.update(side.usable())
        return seen

    assert run_eras(step) == {"b"}


def test_entry_that_a_list_lacked_is_not_brought_back_by_the_copy():
    async def step(side, store):
        # The watch breaks, so the removal is learned from the next list.
        del store.listed["a"]
        store.revision += 1
        store.events.put_nowait(None)
        await asyncio.sleep(3.0)
        seen = [side.usable()]
        store.come_back(1)
        await asyncio.sleep(4.0)
        return [*seen, side.usable()]

    assert run_eras(step) == [["b"], ["b"]]
