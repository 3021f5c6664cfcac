"""Stateful property test of restores of the store from older copies.

A reader lists and watches the store, and a follower polls the reader. In any
sequence of events, a configuration never reverts, live endpoints are used, and
endpoints that left are not.
"""

import heapq
import itertools
import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from rhubarblock.core import position as positions
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import feed_test as fakes
from rhubarblock.store import store as stores

# More engines than are ever started, so that every instance uses all.
ENGINES = 1_000
# Interval of polling the store and the reader, and of the simulation, in
# seconds.
POLL_S = 0.5
STEP_S = 0.1
# Seconds after a restore within which every owner writes its entries again, and
# after which the store has removed entries that nobody renews.
REWRITE_S = 2.0
RENEW_S = 3.6
# Seconds for which a draining server stays listed.
SERVE_S = 8.0
# Seconds within which a change must have reached both instances.
REACH_S = 2 * POLL_S + STEP_S
# Largest age of a copy in seconds.
COPY_S = 5.0


class ManualTimers:
    """A clock that the test advances."""

    def __init__(self):
        self.now_s = 0.0
        self._due = []
        self._numbers = itertools.count()

    def read_monotonic(self):
        return self.now_s

    def call_later(self, delay_s, callback):
        due_s = self.now_s + delay_s
        heapq.heappush(self._due, (due_s, next(self._numbers), callback))

    def advance(self, delay_s):
        end_s = self.now_s + delay_s
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._due)
            callback()
        self.now_s = end_s


class ModelStore:
    """A store with positions, a change log and copies of itself."""

    def __init__(self, timers):
        self.timers = timers
        self.era = 1
        self.revision = 1
        self.objects = {}
        self.log = []
        self.copies = []
        self.restored_s = -100.0

    @property
    def position(self):
        return positions.Position(self.era, self.revision)

    def put(self, name, value):
        self.revision += 1
        at = positions.Position(self.era, self.revision)
        stored = stores.StoredObject(name, at, value)
        self.objects[name] = stored
        self.log.append(stored)

    def remove(self, name):
        if self.objects.pop(name, None) is not None:
            self.revision += 1
            at = positions.Position(self.era, self.revision)
            self.log.append(stores.StoredObject(name, at, b"", True))

    def copy(self):
        now_s = self.timers.now_s
        self.copies.append((now_s, self.revision, dict(self.objects)))
        self.copies = [c for c in self.copies if c[0] >= now_s - COPY_S]

    def restore(self, number):
        _, self.revision, objects = self.copies[number % len(self.copies)]
        self.era += 1
        self.objects = {
            name: stores.StoredObject(
                name,
                positions.Position(self.era, stored.version.revision),
                stored.value,
            )
            for name, stored in objects.items()
        }
        self.log = []
        self.copies = []
        self.restored_s = self.timers.now_s

    def list_entries(self):
        return [o for n, o in self.objects.items() if n.startswith("servers/")]


class ModelInstance(fakes.Instance):
    """State of one instance, with what was observed of it."""

    def __init__(self, name, timers):
        super().__init__(name, timers, timers, ENGINES)
        self.client = statefeed.StateClient(
            None,
            name,
            "osu",
            self.replica,
            self.directory,
            self.config_lease,
            timers,
            self.eras,
        )
        self.eras.add_listener(self.client.forget)
        self.highest = 0
        self.seen = set()
        self.unused = set()


class RestoreMachine(stateful.RuleBasedStateMachine):
    """The state machine; servers have unique names and never restart."""

    def __init__(self):
        super().__init__()
        self.timers = ManualTimers()
        self.store = ModelStore(self.timers)
        self.reader = ModelInstance("r.1", self.timers)
        self.follower = ModelInstance("f.1", self.timers)
        self.cursor = statefeed.ListCursor()
        self.version = 0
        self.written_s = 0.0
        self.numbers = itertools.count()
        # Start times of the live servers, and the servers that drained.
        self.live = {}
        self.draining = set()
        # When the store last listed each server that left as ready, and when it
        # left.
        self.listed_ready_s = {}
        self.left = {}
        self.pending = {}
        self.watched = None
        self.late = []
        for _ in range(3):
            self.start_server()
        self.write_configuration()
        self.pass_time(10)

    @stateful.rule()
    def write_configuration(self):
        self.version += 1
        self.pending.pop("config/main", None)
        self._put_configuration()

    @stateful.rule()
    def start_server(self):
        name = f"servers/s{next(self.numbers)}"
        self.live[name] = self.timers.now_s
        self.store.put(name, b"ready")

    @stateful.rule()
    def renew_entries(self):
        """Changes entries, so that copies are many revisions behind."""
        for _ in range(5):
            for name in self.live.keys() - self.pending.keys():
                self.store.put(name, b"ready")

    @stateful.precondition(lambda self: len(self.live) > 1)
    @stateful.rule(
        number=strategies.integers(0, 9), drains=strategies.booleans()
    )
    def stop_server(self, number, drains):
        name = sorted(self.live)[number % len(self.live)]
        del self.live[name]
        self.pending.pop(name, None)
        self.left[name] = self.listed_ready_s[name] = self.timers.now_s
        if drains:
            self.draining.add(name)
            self.store.put(name, b"draining")
        else:
            self.store.remove(name)

    @stateful.rule(number=strategies.integers(0, 99))
    def restore(self, number):
        """Restores the store from a copy that is some seconds old."""
        if not self.store.copies or self.pending:
            return
        self.late.append((self.store.position, self.store.list_entries()))
        self.store.restore(number)
        now_s = self.timers.now_s
        for name in [*self.live, "config/main"]:
            self.pending[name] = now_s + REWRITE_S
        for name in self.draining & self.store.objects.keys():
            # A draining server still serves for a while and writes its entry
            # again.
            self.pending[name] = now_s + REWRITE_S

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(number=strategies.integers(0, 9))
    def receive_late_answer(self, number):
        """Delivers a late answer of an ended era."""
        at, objects = self.late[number % len(self.late)]
        for instance in (self.reader, self.follower):
            try:
                instance.eras.validate(at.era)
            except stores.StoreError:
                continue
            instance.replica.apply_listing(objects, at=at)

    @stateful.rule(tenths=strategies.integers(1, 40))
    def pass_time(self, tenths):
        for _ in range(round(tenths)):
            self.timers.advance(STEP_S)
            self.store.copy()
            self._write_again()
            self._remove_unrenewed()
            self._note_listed_ready()
            step = round(self.timers.now_s / STEP_S)
            if step % round(POLL_S / STEP_S) == 0:
                self._read()
                self._poll()
            self.check()

    def _put_configuration(self):
        self.written_s = self.timers.now_s
        self.store.put(
            "config/main", fakes.table(self.version, f"k{self.version}")
        )

    def _write_again(self):
        for name, due_s in list(self.pending.items()):
            if self.timers.now_s < due_s - STEP_S:
                continue
            del self.pending[name]
            if name == "config/main":
                self._put_configuration()
            else:
                value = b"draining" if name in self.draining else b"ready"
                self.store.put(name, value)

    def _remove_unrenewed(self):
        if self.timers.now_s < self.store.restored_s + RENEW_S:
            return
        for name, left_s in self.left.items():
            lasts_s = SERVE_S if name in self.draining else RENEW_S
            if self.timers.now_s > left_s + lasts_s:
                self.store.remove(name)

    def _read(self):
        """Reads the store as StoreFollower does."""
        instance = self.reader
        instance.eras.validate(self.store.era)
        value = self.store.objects.get("config/main")
        if value is not None:
            instance.replica.apply_configuration(
                value.value, self.timers.now_s, self.store.era
            )
        if self.watched is None or self.watched.era != self.store.era:
            entries = self.store.list_entries()
            instance.replica.apply_listing(entries, at=self.store.position)
        else:
            for stored in self.store.log:
                is_entry = stored.name.startswith("servers/")
                if is_entry and stored.version > self.watched:
                    instance.replica.apply_change(stored)
        self.watched = self.store.position

    def _poll(self):
        """Polls the reader as StateClient does, without sockets."""
        if not self.reader.server._has_state():
            return
        instance = self.follower
        fields = json.loads(
            json.dumps(
                self.reader.server._make_answer(
                    instance.replica.identity, self.cursor.number, "f", "osu"
                )
            )
        )
        confirmed_s = self.timers.now_s - fields["age_s"]
        before = instance.eras.current
        try:
            era = instance.client._check_era(fields)
            if before not in (0, era):
                # Cursors are reset with the era.
                self.cursor = statefeed.ListCursor()
            instance.client._apply(fields, self.cursor, confirmed_s, era)
        except stores.StoreError:
            pass

    def check(self):
        now_s = self.timers.now_s
        for instance in (self.reader, self.follower):
            version = instance.config_lease.version
            assert version >= instance.highest, "the configuration reverted"
            instance.highest = version
            if now_s > self.written_s + REACH_S and not self.pending:
                assert version == self.version
            if not version:
                continue
            usable = {f"servers/{name}" for name in instance.usable()}
            expected = {n for n in self.live if self._must_be_used(n, instance)}
            assert expected <= usable, "a live endpoint is not used"
            instance.seen |= usable
            departed = {
                n for n in self.left if self._must_be_unused(n, instance)
            }
            assert not usable & departed, "a departed endpoint is used"
            instance.unused |= self.left.keys() - usable

    def _must_be_used(self, name, instance):
        """Returns whether an instance must use a live server.

        A server that is written again at the last moment may be missing until
        the next poll, and one that was never seen until it is written again.
        """
        now_s = self.timers.now_s
        if now_s <= self.live[name] + REACH_S:
            return False
        written_s = self.store.restored_s + REWRITE_S
        if written_s - STEP_S <= now_s <= written_s + REACH_S:
            return False
        return name in instance.seen or name not in self.pending

    def _must_be_unused(self, name, instance):
        """Returns whether an instance must not use a server that left.

        That holds from when the instance first stopped using it, and otherwise
        once the store has shown it for long enough. Shortly after a restore,
        removed entries cannot be told from those that are yet to be written
        again.
        """
        if name in instance.unused:
            return True
        now_s = self.timers.now_s
        if now_s <= self.store.restored_s + directories.REREGISTER_S + REACH_S:
            return False
        return now_s > self.listed_ready_s[name] + REACH_S

    def _note_listed_ready(self):
        """Records when the store last listed each departed server as ready."""
        for name in self.left:
            stored = self.store.objects.get(name)
            if stored is not None and stored.value == b"ready":
                self.listed_ready_s[name] = self.timers.now_s


RestoreMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestRestores = RestoreMachine.TestCase
