"""A random walk of a store that comes back older, and of what follows it.

A reader lists and watches the store and a follower asks the reader, both at
their usual pace. Whatever the walk does, a configuration never reverts, what
lives is used, and what left is not.
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

# More engines than the walk starts, so that everybody uses all.
ENGINES = 1_000
# Seconds between two looks at the store, and at the reader.
PACE_S = 0.5
STEP_S = 0.1
# Seconds after a return within which everybody writes again what is his, and
# after which the store has removed entries that nobody renews.
REWRITE_S = 2.0
RENEW_S = 3.6
# Seconds for which a server that drains stays listed.
SERVE_S = 8.0
# Seconds within which a change must have reached both.
REACH_S = 2 * PACE_S + STEP_S
# Seconds that a copy is old at most.
COPY_S = 5.0


class WalkTimers:
    """A clock that the walk moves."""

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


class WalkStore:
    """The store: objects with positions, a log and copies of itself."""

    def __init__(self, timers):
        self.timers = timers
        self.era = 1
        self.revision = 1
        self.objects = {}
        self.log = []
        self.copies = []
        self.returned_s = -100.0

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

    def come_back(self, number):
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
        self.returned_s = self.timers.now_s

    def list_entries(self):
        return [o for n, o in self.objects.items() if n.startswith("servers/")]


class WalkSide(fakes.Side):
    """What one instance believes."""

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
        self.eras.listen(self.client.forget)
        self.highest = 0
        self.seen = set()
        self.dropped = set()


class EraWalk(stateful.RuleBasedStateMachine):
    """The walk; servers are named by numbers and never start again."""

    def __init__(self):
        super().__init__()
        self.timers = WalkTimers()
        self.store = WalkStore(self.timers)
        self.reader = WalkSide("r.1", self.timers)
        self.follower = WalkSide("f.1", self.timers)
        self.mark = statefeed.Mark()
        self.version = 0
        self.written_s = 0.0
        self.numbers = itertools.count()
        # What each server last wrote, and when; those that left, and when.
        self.live = {}
        self.draining = set()
        # When the store last said of each that it doesn't leave.
        self.said_s = {}
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
        """Entries change, so that copies are many revisions behind."""
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
        self.left[name] = self.said_s[name] = self.timers.now_s
        if drains:
            self.draining.add(name)
            self.store.put(name, b"draining")
        else:
            self.store.remove(name)

    @stateful.rule(number=strategies.integers(0, 99))
    def come_back(self, number):
        """The store is there again, some seconds older."""
        if not self.store.copies or self.pending:
            return
        self.late.append((self.store.position, self.store.list_entries()))
        self.store.come_back(number)
        now_s = self.timers.now_s
        for name in [*self.live, "config/main"]:
            self.pending[name] = now_s + REWRITE_S
        for name in self.draining & self.store.objects.keys():
            # It serves for a while yet, and says so again.
            self.pending[name] = now_s + REWRITE_S

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(number=strategies.integers(0, 9))
    def hear_late_answer(self, number):
        """An answer of an ended era comes on another connection."""
        at, objects = self.late[number % len(self.late)]
        for side in (self.reader, self.follower):
            try:
                side.eras.take(at.era)
            except stores.StoreError:
                continue
            side.replica.take_listing(objects, at=at)

    @stateful.rule(tenths=strategies.integers(1, 40))
    def pass_time(self, tenths):
        for _ in range(round(tenths)):
            self.timers.advance(STEP_S)
            self.store.copy()
            self._write_again()
            self._remove_unrenewed()
            self._note_said()
            step = round(self.timers.now_s / STEP_S)
            if step % round(PACE_S / STEP_S) == 0:
                self._read()
                self._ask()
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
        if self.timers.now_s < self.store.returned_s + RENEW_S:
            return
        for name, left_s in self.left.items():
            lasts_s = SERVE_S if name in self.draining else RENEW_S
            if self.timers.now_s > left_s + lasts_s:
                self.store.remove(name)

    def _read(self):
        """Reads as the follower of the store does."""
        side = self.reader
        side.eras.take(self.store.era)
        value = self.store.objects.get("config/main")
        if value is not None:
            side.replica.take_configuration(
                value.value, self.timers.now_s, self.store.era
            )
        if self.watched is None or self.watched.era != self.store.era:
            entries = self.store.list_entries()
            side.replica.take_listing(entries, at=self.store.position)
        else:
            for stored in self.store.log:
                is_entry = stored.name.startswith("servers/")
                if is_entry and stored.version > self.watched:
                    side.replica.take_change(stored)
        self.watched = self.store.position

    def _ask(self):
        """Asks the reader as the feed does, without its sockets."""
        if not self.reader.server._has_state():
            return
        side = self.follower
        fields = json.loads(
            json.dumps(
                self.reader.server._describe(
                    side.replica.identity, self.mark.number, "f", "osu"
                )
            )
        )
        confirmed_s = self.timers.now_s - fields["age_s"]
        before = side.eras.current
        try:
            era = side.client._take_era(fields)
            if before not in (0, era):
                # Marks are forgotten with the era.
                self.mark = statefeed.Mark()
            side.client._take(fields, self.mark, confirmed_s, era)
        except stores.StoreError:
            pass

    def check(self):
        now_s = self.timers.now_s
        for side in (self.reader, self.follower):
            version = side.config_lease.version
            assert version >= side.highest, "the configuration reverted"
            side.highest = version
            if now_s > self.written_s + REACH_S and not self.pending:
                assert version == self.version
            if not version:
                continue
            usable = {f"servers/{name}" for name in side.usable()}
            settled = {n for n in self.live if self._must_be_used(n, side)}
            assert settled <= usable, "an endpoint that lives is dropped"
            side.seen |= usable
            gone = {n for n in self.left if self._must_be_left(n, side)}
            assert not usable & gone, "an endpoint that left is used"
            side.dropped |= self.left.keys() - usable

    def _must_be_used(self, name, side):
        """Whether an instance must use a server that lives.

        One that is written again at the last moment may be missing until the
        next look, and one that nobody had seen until it is written again.
        """
        now_s = self.timers.now_s
        if now_s <= self.live[name] + REACH_S:
            return False
        written_s = self.store.returned_s + REWRITE_S
        if written_s - STEP_S <= now_s <= written_s + REACH_S:
            return False
        return name in side.seen or name not in self.pending

    def _must_be_left(self, name, side):
        """Whether an instance must not use a server that left.

        That is so from the time that it ceased to, and otherwise once the store
        has said it for long enough. Shortly after a return what the store lacks
        can't be told from what is yet to be written again.
        """
        if name in side.dropped:
            return True
        now_s = self.timers.now_s
        if now_s <= self.store.returned_s + directories.RETURN_S + REACH_S:
            return False
        return now_s > self.said_s[name] + REACH_S

    def _note_said(self):
        """Notes since when the store says of each server that it left."""
        for name in self.left:
            stored = self.store.objects.get(name)
            if stored is not None and stored.value == b"ready":
                self.said_s[name] = self.timers.now_s


EraWalk.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestEraWalk = EraWalk.TestCase
