"""Choice of the reader, outages of the store, and its restores."""

import asyncio
import json
import math
import random

import pytest

from rhubarblock.core import position as positions
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import feed_test as fakes
from rhubarblock.exchange.state import follower as followers
from rhubarblock.exchange.state import isolation as isolations
from rhubarblock.exchange.state import tombstones
from rhubarblock.kernel import virtualloop
from rhubarblock.store import store as stores


class Clock:
    """A lease clock that follows the event loop."""

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()


class Store(stores.ObjectStore):
    """A store with a version of the configuration and some entries.

    Attributes:
      eras: receives the era of each answer.
      key: the key in the configuration.
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
        # Answers to watches.
        self.answers = 0

    def at(self):
        era = self.eras.validate(self.era or None) if self.eras else 0
        return positions.Position(era, self.revision)

    def put(self, name, value=b"ready"):
        """Writes an entry; the watch reports it at once."""
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

    def restore(self, revision, names=("a", "b")):
        """Starts a new era with the entries of an older copy."""
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

    async def watch(self, prefix, after, wait_s=None):
        while True:
            # All that has been written is in the next answer.
            answer = [await self.events.get()]
            while not self.events.empty():
                answer.append(self.events.get_nowait())
            if None in answer:
                raise stores.StoreError(stores.StoreErrorKind.CONFLICT)
            self.answers += 1
            yield stores.Page(tuple(answer), self.at())


class Client:
    """Peers whose state has a fixed age, or that have none."""

    def __init__(self, instance, age_s):
        self.instance = instance
        self.age_s = age_s
        # Ages of single peers, by address.
        self.ages = {}
        self.polled = []

    async def poll(self, address, wait_s=0.7, max_age_s=math.inf):
        self.polled.append(address)
        sent_s = self.instance.config_lease.read_clock()
        await asyncio.sleep(wait_s)
        age_s = self.ages.get(address, self.age_s)
        if age_s is None:
            raise statefeed.FeedError("none")
        if age_s + wait_s >= max_age_s:
            raise statefeed.StaleStateError("old")
        self.instance.replica.apply_listing([fakes.entry("a")])
        value = fakes.table(1, "k")
        self.instance.replica.apply_configuration(value, sent_s - age_s)

    def forget(self):
        pass


class Peers:
    """Readers in order of preference, until each is backed off from."""

    def __init__(self, readers, *peers):
        self.readers = list(readers)
        self.peers = peers

    def find_reader(self):
        return self.readers[0] if self.readers else None

    def list_peers(self):
        return list(self.peers)

    def back_off_from(self, address):
        self.readers.remove(address)


def run(step, *readers, peers=(), age_s=0.5):
    async def main():
        instance = fakes.Instance("i1", Clock())
        store = Store()
        client = Client(instance, age_s)
        follower = followers.StoreFollower(
            store,
            fakes.Dialect(),
            instance.replica,
            instance.config_lease,
            client,
            Peers(readers, *peers),
            followers.PollIntervals(2.0),
            instance.timers,
            random.Random(1),
            instance.eras,
            isolations.Isolation(),
        )
        store.eras = instance.eras
        async with follower.run():
            return await step(instance, store, client)

    return virtualloop.run(main())


def test_first_instance_of_a_data_centre_reads_the_store():
    async def step(instance, store, client):
        await asyncio.sleep(10.4)
        return store.reads, store.lists, client.polled, instance.usable()

    assert run(step) == (15, 1, [], ["a", "b"])


def test_other_instances_poll_the_reader_and_not_the_store():
    async def step(instance, store, client):
        await asyncio.sleep(10.0)
        valid = instance.config_lease.find_valid() is not None
        return store.reads, store.lists, valid, instance.usable()

    assert run(step, "10.0.0.1:1") == (0, 0, True, ["a"])


def test_stale_state_of_the_reader_is_replaced_by_a_store_read():
    async def step(instance, store, client):
        await asyncio.sleep(10.0)
        return store.reads >= 3, instance.config_lease.age_s < 2.0

    assert run(step, "10.0.0.1:1", age_s=3.0) == (True, True)


def test_instance_without_a_live_reader_reads_the_store():
    async def step(instance, store, client):
        await asyncio.sleep(3.0)
        return len(client.polled), store.reads > 1, instance.usable()

    assert run(step, "10.0.0.1:1", age_s=None) == (1, True, ["a", "b"])


def test_next_reader_is_polled_if_the_first_ones_are_down():
    async def step(instance, store, client):
        client.ages = {"10.0.0.1:1": None, "10.0.0.2:1": None}
        await asyncio.sleep(5.0)
        valid = instance.config_lease.find_valid() is not None
        return store.reads, valid, client.polled[:4]

    readers = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
    assert run(step, *readers) == (0, True, [*readers, readers[-1]])


def test_at_most_three_readers_are_polled():
    async def step(instance, store, client):
        await asyncio.sleep(2.0)
        return store.reads > 0, client.polled[:3]

    readers = [f"10.0.0.{n}:1" for n in (1, 2, 3, 4)]
    assert run(step, *readers, age_s=None) == (True, readers[:3])


def test_instance_that_reads_no_list_has_no_timer_wakeups():
    async def step(instance, store, client):
        before = instance.timers.wakeups
        await asyncio.sleep(10.0)
        return instance.timers.wakeups - before, len(client.polled)

    wakeups, polled = run(step, "10.0.0.1:1")
    # One for each answer, to remove endpoints that it lacks.
    assert wakeups <= polled


def test_instance_that_the_store_rejects_polls_peers():
    async def step(instance, store, client):
        store.fails = True
        await asyncio.sleep(30.0)
        return instance.config_lease.find_valid() is not None, instance.usable()

    assert run(step, peers=("10.0.0.2:1", "10.0.0.3:1")) == (True, ["a"])


def test_instance_without_store_and_peers_loses_its_lease():
    async def step(instance, store, client):
        await asyncio.sleep(5.0)
        store.fails = True
        await asyncio.sleep(6.0)
        lost = instance.config_lease.find_valid()
        store.fails = False
        await asyncio.sleep(1.5)
        return lost, instance.config_lease.find_valid() is not None

    peers = ("10.0.0.2:1",)
    assert run(step, peers=peers, age_s=None) == (None, True)


def test_failed_watch_leads_to_a_new_list():
    async def step(instance, store, client):
        await asyncio.sleep(1.0)
        store.events.put_nowait(fakes.entry("b", b"", deleted=True))
        await asyncio.sleep(0.5)
        between = instance.usable()
        store.events.put_nowait(None)
        await asyncio.sleep(1.0)
        return between, store.lists, instance.usable()

    assert run(step) == (["a"], 2, ["a", "b"])


def test_removal_before_a_listed_entry_does_not_remove_it():
    """A watch may repeat changes that a listing of several pages contains."""

    async def step(instance, store, client):
        await asyncio.sleep(1.0)
        store.put("a")
        await asyncio.sleep(1.0)
        older = store.revision - 1
        store.events.put_nowait(fakes.entry("a", b"", True, older))
        await asyncio.sleep(1.0)
        return instance.usable()

    assert run(step) == ["a", "b"]


def test_list_is_read_again_after_a_failed_read():
    """The connection of the watch may be silent, too."""

    async def step(instance, store, client):
        await asyncio.sleep(1.0)
        del store.listed["a"]
        store.fails = True
        await asyncio.sleep(0.8)
        store.fails = False
        await asyncio.sleep(1.0)
        return store.lists, instance.usable()

    assert run(step) == (2, ["b"])


def test_stream_of_changes_takes_few_calls():
    async def step(instance, store, client):
        await asyncio.sleep(1.0)
        taken = []
        for number in range(40):
            store.events.put_nowait(fakes.entry(f"e{number}"))
            await asyncio.sleep(0.01)
            taken.append(len(instance.usable()))
        written_s = asyncio.get_running_loop().time()
        while len(instance.usable()) < 42:
            await asyncio.sleep(0.01)
        late_s = asyncio.get_running_loop().time() - written_s
        return taken[0], store.answers, late_s

    first, answers, late_s = run(step)
    # The first change is applied at once, the others with the next answers.
    assert first == 3
    # A tenth of the 2 s within which a configuration must be in force.
    assert late_s <= 0.2
    assert answers <= 1 + 0.4 / 0.2 + 1


def test_all_changes_of_one_answer_are_applied_at_once():
    async def step(instance, store, client):
        await asyncio.sleep(1.0)
        for number in range(700):
            store.events.put_nowait(fakes.entry(f"e{number}"))
        await asyncio.sleep(0.01)
        return len(instance.usable()), store.answers

    assert run(step) == (702, 1)


def test_older_version_from_the_store_is_rejected():
    async def step(instance, store, client):
        store.version = 5
        await asyncio.sleep(1.5)
        store.version = 4
        await asyncio.sleep(6.0)
        return instance.config_lease.version, instance.config_lease.find_valid()

    assert run(step) == (5, None)


def test_reader_that_lost_the_store_is_detected_within_the_bound():
    # Its answers arrive in time, but their state ages.
    async def step(instance, store, client):
        lost_s = instance.timers.read_monotonic()
        poll = client.poll

        async def poll_older(address, wait_s=0.7, max_age_s=math.inf):
            client.age_s = instance.timers.read_monotonic() - lost_s + wait_s
            await poll(address, wait_s, max_age_s)

        client.poll = poll_older
        while not store.reads:
            await asyncio.sleep(0.01)
        return instance.timers.read_monotonic() - lost_s

    assert run(step, "10.0.0.1:1") < 1.9


def test_reader_that_lost_the_store_is_backed_off_from():
    # Otherwise every instance would alternate between reading the store itself
    # and polling the reader.
    async def step(instance, store, client):
        client.age_s = 1.6
        await asyncio.sleep(2.5)
        return len(client.polled), store.reads

    polled, reads = run(step, "10.0.0.1:1")
    assert polled == 1
    assert reads >= 2


def test_reader_is_kept_while_the_store_is_down():
    async def step(instance, store, client):
        store.fails = True
        client.age_s = 9.0
        await asyncio.sleep(6.0)
        return len(client.polled)

    assert run(step, "10.0.0.1:1") >= 2


def run_with_eras(step):
    """Runs a step three seconds after the store's first era began."""

    async def begin(instance, store, client):
        store.restore(1)
        await asyncio.sleep(3.0)
        return await step(instance, store)

    return run(begin)


def test_restore_does_not_revive_a_removed_entry():
    async def step(instance, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        seen = [instance.usable()]
        store.restore(1)
        for _ in range(2):
            await asyncio.sleep(2.5)
            seen.append(instance.usable())
        # Nobody renews the revived entry, so the store removes it.
        store.remove("a")
        await asyncio.sleep(3.0)
        return [*seen, instance.usable()]

    assert run_with_eras(step) == [["b"]] * 4


def test_entry_written_after_a_restore_is_usable_at_once():
    async def step(instance, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        store.restore(10)
        await asyncio.sleep(1.0)
        store.put("a")
        await asyncio.sleep(0.5)
        return instance.usable()

    assert run_with_eras(step) == ["a", "b"]


def test_revived_entry_that_stays_listed_becomes_usable():
    async def step(instance, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        store.restore(1)
        await asyncio.sleep(tombstones.HOLD_BACK_S + 2.0)
        return instance.usable()

    assert run_with_eras(step) == ["a", "b"]


def test_entry_newer_than_the_copy_is_usable_until_written_again():
    async def step(instance, store):
        store.put("c")
        store.put("d")
        await asyncio.sleep(1.0)
        seen = [instance.usable()]
        store.restore(1)
        await asyncio.sleep(1.8)
        seen.append(instance.usable())
        store.put("c")
        await asyncio.sleep(3.0)
        return [*seen, instance.usable()]

    everything = ["a", "b", "c", "d"]
    assert run_with_eras(step) == [everything, everything, ["a", "b", "c"]]


def test_change_of_a_later_era_with_a_lower_revision_is_applied():
    async def step(instance, store):
        for _ in range(9):
            store.put("b")
        await asyncio.sleep(1.0)
        store.restore(2)
        await asyncio.sleep(1.0)
        store.put("b", b"draining")
        await asyncio.sleep(0.5)
        return store.revision, instance.usable()

    assert run_with_eras(step) == (3, ["a"])


def test_restore_does_not_undo_a_drain():
    async def step(instance, store):
        store.put("b", b"draining")
        await asyncio.sleep(1.0)
        store.restore(1)
        await asyncio.sleep(4.0)
        return instance.usable()

    assert run_with_eras(step) == ["a"]


def test_restore_does_not_revert_the_configuration():
    async def step(instance, store):
        store.version = 5
        await asyncio.sleep(2.0)
        store.version = 3
        store.restore(1)
        await asyncio.sleep(2.0)
        seen = [
            instance.config_lease.version,
            instance.config_lease.find_valid() is None,
        ]
        await asyncio.sleep(4.0)
        # A revocation may have been written since, so the lease expires.
        seen.append(instance.config_lease.find_valid() is None)
        store.version = 5
        await asyncio.sleep(2.0)
        return [*seen, instance.config_lease.find_valid().version]

    assert run_with_eras(step) == [5, False, True, 5]


def test_reused_version_with_other_content_is_applied_in_a_new_era():
    async def step(instance, store):
        store.key = "other"
        await asyncio.sleep(2.0)
        seen = [list(instance.config_lease.table.keys)]
        store.restore(1)
        await asyncio.sleep(2.0)
        return [*seen, list(instance.config_lease.table.keys)]

    # Within an era a version has one content only, so the first one stays.
    assert run_with_eras(step) == [["k"], ["other"]]


@pytest.mark.parametrize("jump", [1, 5])
def test_list_is_read_again_in_each_era(jump):
    async def step(instance, store):
        before = store.lists
        for _ in range(2):
            store.era += jump - 1
            store.restore(1, ("c",))
            await asyncio.sleep(1.0)
        await asyncio.sleep(4.0)
        return store.lists - before, instance.usable(), instance.eras.current

    assert run_with_eras(step) == (2, ["c"], 1 + 2 * jump)


def test_two_restores_within_a_second():
    async def step(instance, store):
        store.restore(1, ("c",))
        await asyncio.sleep(0.3)
        store.restore(1, ("d",))
        await asyncio.sleep(4.0)
        return instance.usable(), instance.eras.current

    assert run_with_eras(step) == (["d"], 3)


def test_restore_after_an_outage():
    async def step(instance, store):
        store.fails = True
        await asyncio.sleep(3.0)
        store.restore(1, ("a", "c"))
        store.fails = False
        await asyncio.sleep(5.0)
        return instance.usable(), instance.config_lease.find_valid() is not None

    assert run_with_eras(step) == (["a", "c"], True)


def test_removed_entry_is_held_back_after_each_restore():
    async def step(instance, store):
        store.remove("a")
        await asyncio.sleep(1.0)
        seen = set()
        for _ in range(3):
            store.restore(1)
            await asyncio.sleep(tombstones.HOLD_BACK_S / 2)
            seen.update(instance.usable())
        return seen

    assert run_with_eras(step) == {"b"}


def test_restore_does_not_revive_an_entry_missing_from_a_list():
    async def step(instance, store):
        # The watch breaks, so the removal shows only in the next list.
        del store.listed["a"]
        store.revision += 1
        store.events.put_nowait(None)
        await asyncio.sleep(3.0)
        seen = [instance.usable()]
        store.restore(1)
        await asyncio.sleep(4.0)
        return [*seen, instance.usable()]

    assert run_with_eras(step) == [["b"], ["b"]]
