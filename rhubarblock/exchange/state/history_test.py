"""Property test of configuration replication by deltas."""

import hypothesis
from hypothesis import strategies

from rhubarblock.core import document as documents
from rhubarblock.exchange.state import differencewire
from rhubarblock.exchange.state import feed_test as fakes
from rhubarblock.exchange.state import history as histories

READERS = 2


class Scenario:
    """A store, its readers, and one instance that polls them in any order."""

    def __init__(self):
        self.version = 1
        self.keys = {"k0"}
        self.clock = fakes.Clock()
        self.readers = [self.make_instance(f"r{n}") for n in range(READERS)]
        self.requester = self.make_instance("a")
        # Answers in flight.
        self.answers = []

    def make_instance(self, name):
        return fakes.Instance(name, self.clock)

    def write(self, key):
        self.version += 2
        self.keys ^= {key}

    def read(self, number):
        value = fakes.table(self.version, *sorted(self.keys))
        self.readers[number].replica.apply_configuration(value, 100.0)

    def restart(self, number):
        self.readers[number] = self.make_instance(f"again{number}")

    def ask(self, number, is_whole=False):
        known = (
            documents.NOTHING if is_whole else self.requester.replica.identity
        )
        found = self.readers[number].replica.find_difference(known)
        self.answers.append(differencewire.encode(found))

    def take(self, position):
        """Applies an answer and keeps it, so that it may arrive again."""
        if not self.answers:
            return
        text = self.answers[position % len(self.answers)]
        before = self.requester.config_lease.version
        try:
            self.requester.replica.apply_difference(
                differencewire.decode(text), 100.0
            )
        except documents.DifferenceError:
            assert self.requester.config_lease.version == before
        assert self.requester.config_lease.version >= before
        held = self.requester.replica.identity.version
        assert held == self.requester.config_lease.version

    def finish(self):
        """Delivers the latest state, whole if the delta does not apply."""
        for number in range(READERS):
            self.read(number)
        for is_whole in (False, True):
            self.ask(0, is_whole)
            self.take(-1)


STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("write"), strategies.sampled_from(["k1", "k2", "k3"])
    ),
    strategies.tuples(
        strategies.sampled_from(["read", "restart", "ask"]),
        strategies.integers(0, READERS - 1),
    ),
    strategies.tuples(strategies.just("take"), strategies.integers(0, 9)),
)


@hypothesis.given(strategies.lists(STEPS, max_size=40))
def test_any_order_of_answers_converges(steps):
    scenario = Scenario()
    for name, argument in steps:
        getattr(scenario, name)(argument)
    scenario.finish()
    held = scenario.requester.replica.find_difference(documents.NOTHING)
    read = scenario.readers[1].replica.find_difference(documents.NOTHING)
    assert documents.apply(documents.EMPTY, held) == documents.apply(
        documents.EMPTY, read
    )
    assert set(scenario.requester.config_lease.table.keys) == scenario.keys


def test_deltas_since_a_known_version_are_joined():
    scenario = Scenario()
    scenario.read(0)
    scenario.ask(0)
    scenario.take(0)
    for key in ("k1", "k2", "k0"):
        scenario.write(key)
        scenario.read(0)
    change = scenario.readers[0].replica.find_difference(
        scenario.requester.replica.identity
    )
    assert change.changed == {"k1": "", "k2": ""}
    assert change.removed == ("k0",)
    assert (change.before.version, change.after.version) == (1, 7)


def test_requester_too_far_behind_gets_the_whole_configuration():
    scenario = Scenario()
    scenario.read(0)
    first = scenario.readers[0].replica.identity
    for _ in range(histories.MAX_CHANGES + 1):
        scenario.write("k1")
        scenario.read(0)
    change = scenario.readers[0].replica.find_difference(first)
    assert change.before == documents.NOTHING
    assert change.changed == {"k0": "", "k1": ""}


def test_other_content_of_the_same_version_gets_the_whole_configuration():
    scenario = Scenario()
    scenario.read(0)
    other = documents.Identity(scenario.version, 12345)
    change = scenario.readers[0].replica.find_difference(other)
    assert change.before == documents.NOTHING


def test_older_read_does_not_confirm_a_newer_version():
    scenario = Scenario()
    old = fakes.table(1, "k0")
    scenario.requester.replica.apply_configuration(old, 100.0)
    scenario.write("k1")
    scenario.read(0)
    scenario.ask(0)
    scenario.take(0)
    scenario.requester.replica.apply_configuration(old, 104.0)
    scenario.clock.now_s = 105.0
    assert scenario.requester.config_lease.version == 3
    assert scenario.requester.config_lease.age_s == 5.0
