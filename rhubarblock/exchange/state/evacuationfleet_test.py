"""Evacuations in a fleet of instances that share a store and a feed."""

import asyncio
import contextlib
import json
import random
import types

import pytest

from rhubarblock.core import listed as lists
from rhubarblock.core import position as positions
from rhubarblock.exchange.state import evacuationfollower
from rhubarblock.exchange.state import evacuationreplica
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import feed_test as fakes
from rhubarblock.exchange.state import follower as followers
from rhubarblock.exchange.state import isolation as isolations
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import virtualloop
from rhubarblock.store import store as stores

BOUND_S = 5.0
CENTRES = ("osu", "mill")


class Dialect(fakes.Dialect):
    """Endpoints whose names begin with their data centre."""

    def decode_endpoint(self, stored):
        name = stored.name.partition("/")[2]
        centre = name.partition("-")[0]
        return lists.ListedEndpoint(name, "a:1", centre, "pool", 8, False)


class Store:
    """Objects by name; all writes are acknowledged at once.

    Attributes:
      fails: whether all calls fail.
      fails_evacuations: whether calls for evacuations fail.
      is_silent: whether watches of evacuations get no answer.
      is_gone: whether the next watch lacks history.
      removes_at_last_write: whether a removed object keeps the position of its
        last write.
      calls: names of the calls for evacuations.
    """

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.objects = {}
        self.log = []
        self.fails = False
        self.fails_evacuations = False
        self.latency_s = 0.003
        self.is_silent = False
        self.is_gone = False
        self.removes_at_last_write = False
        self.calls = []
        self.changed = asyncio.Event()
        for centre in CENTRES:
            self.put(f"servers/{centre}-1")

    @property
    def position(self):
        return positions.Position(self.era, self.revision)

    def put(self, name):
        self.revision += 1
        stored = stores.StoredObject(name, self.position, b"ready")
        self.objects[name] = stored
        self._note(stored)

    def remove(self, name):
        self.revision += 1
        last = self.objects.pop(name).version
        version = last if self.removes_at_last_write else self.position
        self._note(stores.StoredObject(name, version, b"", True))

    def restore(self, lost):
        """Starts a new era without some objects."""
        self.era += 1
        self.revision -= 1
        self.log = []
        self.objects = {
            n: stores.StoredObject(
                n, positions.Position(self.era, o.version.revision), o.value
            )
            for n, o in self.objects.items()
            if n not in lost
        }

    def _note(self, stored):
        self.log.append((self.position, stored))
        self.changed.set()
        self.changed = asyncio.Event()


class Connection(stores.ObjectStore):
    """One instance's calls, which validate the era."""

    def __init__(self, store, eras):
        self.store = store
        self.eras = eras
        self.is_cut_off = False

    async def _call(self, kind, prefix):
        store = self.store
        if prefix.startswith("evacuations"):
            store.calls.append(kind)
        await asyncio.sleep(store.latency_s)
        fails = prefix.startswith("evacuations") and store.fails_evacuations
        if store.fails or self.is_cut_off or fails:
            raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)
        self.eras.validate(store.era)

    async def read(self, name):
        await self._call("read", name)
        value = fakes.table(1, "k")
        return stores.StoredObject(name, self.store.position, value)

    async def list_objects(self, prefix):
        await self._call("list", prefix)
        found = self.store.objects.items()
        chosen = tuple(o for n, o in found if n.startswith(prefix))
        return stores.Page(chosen, self.store.position)

    async def write(self, name, value, expected_version):
        raise AssertionError("nothing is written here")

    async def delete(self, name, expected_version):
        raise AssertionError("nothing is deleted here")

    async def watch(self, prefix, after, wait_s=4.0):
        while True:
            await self._call("watch", prefix)
            store = self.store
            if store.is_gone:
                store.is_gone = False
                raise stores.StoreError(stores.StoreErrorKind.CONFLICT)
            if store.is_silent and prefix.startswith("evacuations"):
                await asyncio.sleep(wait_s + 1.5)
                raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while not self._find(prefix, after):
                        await store.changed.wait()
            if after.era != store.era:
                raise stores.StoreError(stores.StoreErrorKind.CONFLICT)
            found = tuple(self._find(prefix, after))
            after = store.position
            if found:
                yield stores.Page(found, after)

    def _find(self, prefix, after):
        return [
            stored
            for position, stored in self.store.log
            if position > after and stored.name.startswith(prefix)
        ]


class Clock:
    @property
    def now_s(self):
        return asyncio.get_running_loop().time()


class Instance(fakes.Instance):
    """An instance with its follower, which polls through the fleet."""

    def __init__(self, fleet, name, evacuate_s=BOUND_S):
        super().__init__(name, Clock())
        self.fleet = fleet
        self.address = name
        self.metrics = metric_store.Metrics()
        dialect = Dialect()
        held = None
        if evacuate_s is not None:
            held = evacuationreplica.EvacuationReplica(
                dialect, self.directory, self.timers, self.metrics
            )
        self.replica = replicas.StateReplica(
            dialect, self.config_lease, self.directory, self.timers, held
        )
        self.server = statefeed.StateServer(
            self.replica,
            self.config_lease,
            self.directory,
            self.subsets,
            name,
            self.metrics,
            self.eras,
        )
        self.returned = []
        self.directory.on_return = self.returned.append
        self.store = Connection(fleet.store, self.eras)
        self.avoided = set()
        self.task = asyncio.ensure_future(self._run(dialect, held, evacuate_s))

    async def _run(self, dialect, held, evacuate_s):
        rng = random.Random(self.address)
        reads = held and evacuationfollower.EvacuationFollower(
            self.store, dialect, held, evacuate_s, self.timers, rng, self.eras
        )
        client = statefeed.StateClient(
            self,
            self.address,
            "osu",
            self.replica,
            self.directory,
            self.config_lease,
            self.timers,
            self.eras,
        )
        async with followers.StoreFollower(
            self.store,
            dialect,
            self.replica,
            self.config_lease,
            client,
            self,
            followers.PollIntervals(2.0),
            self.timers,
            rng,
            self.eras,
            isolations.Isolation(),
            reads,
        ).run():
            await asyncio.Event().wait()

    def usable_centres(self):
        if not self.replica.listed.is_set():
            assert not self.usable()
        return {name.partition("-")[0] for name in self.usable()}

    # The table of peers that the follower asks.

    def find_reader(self):
        for peer in self.fleet.instances:
            if peer is self:
                return None
            if peer.address not in self.avoided:
                return peer.address
        return None

    def list_peers(self):
        return [i.address for i in self.fleet.instances if i is not self]

    def back_off_from(self, address):
        self.avoided.add(address)

    # The HTTP session of the client.

    @contextlib.asynccontextmanager
    async def get(self, url, params, **options):
        address = url.removeprefix("http://").partition("/")[0]
        peer = self.fleet.find(address)
        if peer is None or {address, self.address} in self.fleet.cuts:
            await asyncio.sleep(0.25)
            raise OSError("unreachable")
        request = types.SimpleNamespace(path=statefeed.PATH, query=params)
        response = await peer.server.handle(request)
        answer = types.SimpleNamespace(status=response.status)

        async def read():
            return response.body

        answer.read = read
        yield answer


class Fleet:
    def __init__(self):
        self.store = Store()
        self.instances = []
        self.cuts = []

    def start(self, name, evacuate_s=BOUND_S):
        instance = Instance(self, name, evacuate_s)
        self.instances.append(instance)
        return instance

    def find(self, address):
        found = (i for i in self.instances if i.address == address)
        return next(found, None)

    def kill(self, instance):
        self.instances.remove(instance)
        instance.task.cancel()

    async def measure(self, *usable, instances=None):
        """Returns the seconds until instances use just these data centres."""
        begun_s = asyncio.get_running_loop().time()
        observed = instances or self.instances
        while any(i.usable_centres() != set(usable) for i in observed):
            await asyncio.sleep(0.01)
            passed_s = asyncio.get_running_loop().time() - begun_s
            assert passed_s < 20.0, [i.usable_centres() for i in observed]
        return asyncio.get_running_loop().time() - begun_s


def run(step, count=3, **options):
    async def main():
        fleet = Fleet()
        for number in range(count):
            fleet.start(f"i{number}", **options)
        await fleet.measure(*CENTRES)
        await asyncio.sleep(3.0)
        try:
            return await step(fleet, fleet.store)
        finally:
            for instance in list(fleet.instances):
                fleet.kill(instance)
            await asyncio.sleep(0.0)

    return virtualloop.run(main())


async def stay(fleet, *usable, seconds):
    """Checks that instances use just these data centres for some time."""
    for _ in range(round(seconds / 0.01)):
        for instance in fleet.instances:
            assert instance.usable_centres() <= set(usable)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("removes_at_last_write", [False, True])
def test_evacuation_begins_and_ends_everywhere_at_once(removes_at_last_write):
    async def step(fleet, store):
        store.removes_at_last_write = removes_at_last_write
        store.put("evacuations/osu")
        begun_s = await fleet.measure("mill")
        store.remove("evacuations/osu")
        ended_s = await fleet.measure(*CENTRES)
        return begun_s, ended_s, [i.returned for i in fleet.instances]

    begun_s, ended_s, returned = run(step)
    assert max(begun_s, ended_s) < 0.1
    assert returned == [["osu"]] * 3


def test_only_the_reader_makes_calls_and_few():
    async def step(fleet, store):
        store.calls.clear()
        await asyncio.sleep(60.0)
        return len(store.calls)

    # A list with each read of the configuration would take 86.
    assert run(step, count=8) <= 41


def test_deployment_without_the_bound_makes_no_call():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await asyncio.sleep(10.0)
        return store.calls, [i.usable_centres() for i in fleet.instances]

    assert run(step, evacuate_s=None) == ([], [set(CENTRES)] * 3)


def test_evacuation_is_not_forgotten_when_the_reader_changes():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        for _ in range(2):
            # The next reader can't read evacuations at first.
            store.fails_evacuations = True
            fleet.kill(fleet.instances[0])
            await stay(fleet, "mill", seconds=3.0)
            store.fails_evacuations = False
            await stay(fleet, "mill", seconds=3.0)
        store.remove("evacuations/osu")
        return await fleet.measure(*CENTRES)

    assert run(step) < 0.1


def test_evacuation_that_begins_while_the_reader_changes():
    async def step(fleet, store):
        fleet.kill(fleet.instances[0])
        store.put("evacuations/osu")
        return await fleet.measure("mill")

    assert run(step) < BOUND_S


@pytest.mark.parametrize("number", [0, 2])
def test_restarted_instance_uses_nothing_before_it_knows(number):
    # The reader and another instance restart while the store is slow.
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        store.latency_s = 0.4
        fleet.kill(fleet.instances[number])
        fleet.instances.insert(number, Instance(fleet, "new"))
        await stay(fleet, "mill", seconds=5.0)
        return await fleet.measure("mill")

    assert run(step) == 0.0


def test_start_waits_a_second_at_most_for_evacuations():
    async def main():
        fleet = Fleet()
        fleet.store.fails_evacuations = True
        instance = fleet.start("i0")
        waited_s = await fleet.measure(*CENTRES)
        fleet.store.put("evacuations/osu")
        fleet.store.fails_evacuations = False
        late_s = await fleet.measure("mill")
        fleet.kill(instance)
        return waited_s, late_s, instance.metrics.snapshot()

    waited_s, late_s, counters = virtualloop.run(main())
    assert 0.9 < waited_s < 1.2
    assert late_s < 1.5
    assert counters["evacuations.unknown"] == 1


def test_restarted_reader_learns_from_peers_what_the_store_does_not_give():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        store.fails_evacuations = True
        fleet.kill(fleet.instances[0])
        fleet.instances.insert(0, Instance(fleet, "new"))
        await stay(fleet, "mill", seconds=4.0)
        started = fleet.instances[0]
        return started.usable_centres(), started.replica.complete

    assert run(step) == ({"mill"}, True)


def test_evacuation_reaches_an_instance_that_is_cut_off_from_the_reader():
    async def step(fleet, store):
        fleet.cuts = [{"i0", "i2"}]
        store.put("evacuations/osu")
        return await fleet.measure("mill")

    assert run(step) < BOUND_S


def test_evacuation_reaches_instances_whose_reader_lost_the_store():
    async def step(fleet, store):
        fleet.instances[0].store.is_cut_off = True
        await asyncio.sleep(0.5)
        store.put("evacuations/osu")
        return await fleet.measure("mill")

    assert run(step) < BOUND_S


def test_evacuation_stays_in_force_while_the_store_is_down():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        store.fails = True
        await stay(fleet, "mill", seconds=8.0)
        store.remove("evacuations/osu")
        store.fails = False
        return await fleet.measure(*CENTRES)

    assert run(step) < BOUND_S


def test_evacuation_is_in_force_in_time_after_a_silent_watch():
    async def step(fleet, store):
        store.is_silent = True
        store.latency_s = 0.5
        await asyncio.sleep(3.0)
        taken = []
        for _ in range(8):
            store.put("evacuations/osu")
            taken.append(await fleet.measure("mill"))
            store.remove("evacuations/osu")
            await fleet.measure(*CENTRES)
            await asyncio.sleep(0.4)
        return max(taken)

    assert run(step) < BOUND_S


def test_missing_history_leads_to_a_new_list():
    async def step(fleet, store):
        store.is_gone = True
        await asyncio.sleep(1.6)
        store.put("evacuations/osu")
        return await fleet.measure("mill"), store.is_gone

    taken_s, is_gone = run(step)
    assert taken_s < 1.0
    assert not is_gone


def test_older_copy_keeps_an_evacuation_that_is_written_again():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        store.restore({"evacuations/osu"})
        await stay(fleet, "mill", seconds=1.9)
        store.put("evacuations/osu")
        await stay(fleet, "mill", seconds=6.0)
        return await fleet.measure("mill")

    assert run(step) == 0.0


def test_older_copy_ends_an_evacuation_that_is_not_written_again():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        store.restore({"evacuations/osu"})
        await stay(fleet, "mill", seconds=2.0)
        return await fleet.measure(*CENTRES)

    assert run(step) < BOUND_S


def test_instance_started_after_a_restore_knows_what_is_kept():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        store.restore({"evacuations/osu"})
        await asyncio.sleep(1.2)
        fleet.start("new")
        await stay(fleet, "mill", seconds=0.7)
        return fleet.instances[-1].usable_centres()

    assert run(step) == {"mill"}


def test_entries_of_other_writers_do_no_harm():
    async def step(fleet, store):
        for name in ("", "x" * 300, "no-such-place", "osu/extra"):
            store.put(f"evacuations/{name}")
        await asyncio.sleep(1.0)
        store.is_gone = True
        await asyncio.sleep(3.0)
        unreadable = fleet.instances[0].metrics.snapshot()[
            "evacuations.unreadable"
        ]
        return unreadable, [i.usable_centres() for i in fleet.instances]

    assert run(step) == (2, [set(CENTRES)] * 3)


def test_all_data_centres_may_be_evacuated():
    async def step(fleet, store):
        for centre in CENTRES:
            store.put(f"evacuations/{centre}")
        await fleet.measure()
        store.remove("evacuations/mill")
        return await fleet.measure("mill")

    assert run(step) < 0.1


def test_part_of_the_list_is_replaced_when_the_own_data_centre_is_evacuated():
    # Instances know only a few endpoints of a large pool, those of their own
    # data centre first.
    async def step(fleet, store):
        for number in range(40):
            for centre in CENTRES:
                store.put(f"servers/{centre}-{number}")
        await asyncio.sleep(5.0)
        fleet.kill(fleet.instances[1])
        started = fleet.start("new")
        await fleet.measure("osu", instances=[started])
        store.put("evacuations/osu")
        begun_s = await fleet.measure("mill")
        store.remove("evacuations/osu")
        return begun_s, await fleet.measure("osu", instances=[started])

    begun_s, ended_s = run(step)
    assert begun_s < 1.0
    assert ended_s < BOUND_S


def test_instance_reads_itself_if_its_reader_knows_no_evacuations():
    async def main():
        fleet = Fleet()
        old, new = fleet.start("old", None), fleet.start("new")
        await fleet.measure(*CENTRES)
        fleet.store.put("evacuations/osu")
        begun_s = await fleet.measure("mill", instances=[new])
        usable = old.usable_centres()
        for instance in (old, new):
            fleet.kill(instance)
        return begun_s, usable

    begun_s, usable = virtualloop.run(main())
    assert begun_s < 1.0
    assert usable == set(CENTRES)


def test_build_without_evacuations_ignores_those_of_its_reader():
    async def main():
        fleet = Fleet()
        new, old = fleet.start("new"), fleet.start("old", None)
        await fleet.measure(*CENTRES)
        fleet.store.put("evacuations/osu")
        await fleet.measure("mill", instances=[new])
        await asyncio.sleep(6.0)
        valid = old.config_lease.find_valid() is not None
        usable = old.usable_centres()
        for instance in (old, new):
            fleet.kill(instance)
        return valid, usable

    assert virtualloop.run(main()) == (True, set(CENTRES))


def test_answer_without_the_field_ends_no_evacuation():
    async def step(fleet, store):
        store.put("evacuations/osu")
        await fleet.measure("mill")
        fleet.kill(fleet.instances[0])
        fleet.instances.insert(0, Instance(fleet, "old", None))
        new = fleet.instances[1:]
        for _ in range(300):
            assert all(i.usable_centres() == {"mill"} for i in new)
            await asyncio.sleep(0.01)
        return fleet.find("i1").replica.evacuations.is_fed

    assert run(step) is False


def test_paused_reader_reads_evacuations_before_it_serves():
    async def step(fleet, store):
        reader = fleet.instances[0]
        # The process is paused for longer than its lease.
        reader.clock = types.SimpleNamespace(now_s=0.0)
        store.fails = True
        await asyncio.sleep(6.0)
        store.put("evacuations/osu")
        store.fails = False
        while reader.config_lease.find_valid() is None:
            await asyncio.sleep(0.001)
        return reader.usable_centres()

    assert run(step, count=1) == {"mill"}


def test_answer_that_can_not_be_decoded_is_an_error():
    async def step(fleet, store):
        served = fleet.instances[0].server.handle

        async def spoil(request):
            answer = await served(request)
            fields = json.loads(answer.body)
            fields["evacuations"] = {"at": [1]}
            answer.body = json.dumps(fields).encode()
            return answer

        fleet.instances[0].server = types.SimpleNamespace(handle=spoil)
        store.put("evacuations/osu")
        return await fleet.measure("mill")

    assert run(step) < BOUND_S
