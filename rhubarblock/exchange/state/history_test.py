"""Configurations passed on by their changes, whatever happens on the way."""

import hypothesis
from hypothesis import strategies

from rhubarblock.core import document as documents
from rhubarblock.exchange.state import differencewire
from rhubarblock.exchange.state import feed_test as fakes
from rhubarblock.exchange.state import history as histories

READERS = 2


class Story:
    """A store, readers of it, and one instance that asks them in any order."""

    def __init__(self):
        self.version = 1
        self.keys = {"k0"}
        self.clock = fakes.Clock()
        self.readers = [self.make_side(f"r{n}") for n in range(READERS)]
        self.asker = self.make_side("a")
        # Answers that are still on their way.
        self.answers = []

    def make_side(self, name):
        return fakes.Side(name, self.clock)

    def write(self, key):
        self.version += 2
        self.keys ^= {key}

    def read(self, number):
        value = fakes.table(self.version, *sorted(self.keys))
        self.readers[number].replica.take_configuration(value, 100.0)

    def restart(self, number):
        self.readers[number] = self.make_side(f"again{number}")

    def ask(self, number, is_whole=False):
        known = documents.NOTHING if is_whole else self.asker.replica.identity
        found = self.readers[number].replica.find_difference(known)
        self.answers.append(differencewire.encode(found))

    def take(self, position):
        """Takes in an answer, and leaves it there to come again."""
        if not self.answers:
            return
        text = self.answers[position % len(self.answers)]
        before = self.asker.config_lease.version
        try:
            self.asker.replica.take_difference(
                differencewire.decode(text), 100.0
            )
        except documents.DifferenceError:
            assert self.asker.config_lease.version == before
        assert self.asker.config_lease.version >= before
        held = self.asker.replica.identity.version
        assert held == self.asker.config_lease.version

    def finish(self):
        """The newest state arrives, whole if the changes don't fit."""
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
def test_any_order_of_answers_ends_with_the_same_text(steps):
    story = Story()
    for name, argument in steps:
        getattr(story, name)(argument)
    story.finish()
    held = story.asker.replica.find_difference(documents.NOTHING)
    read = story.readers[1].replica.find_difference(documents.NOTHING)
    assert documents.apply(documents.EMPTY, held) == documents.apply(
        documents.EMPTY, read
    )
    assert set(story.asker.config_lease.table.keys) == story.keys


def test_changes_since_a_known_version_are_joined():
    story = Story()
    story.read(0)
    story.ask(0)
    story.take(0)
    for key in ("k1", "k2", "k0"):
        story.write(key)
        story.read(0)
    change = story.readers[0].replica.find_difference(
        story.asker.replica.identity
    )
    assert change.changed == {"k1": "", "k2": ""}
    assert change.removed == ("k0",)
    assert (change.before.version, change.after.version) == (1, 7)


def test_whole_is_passed_on_to_one_that_is_too_far_behind():
    story = Story()
    story.read(0)
    first = story.readers[0].replica.identity
    for _ in range(histories.KEPT_CHANGES + 1):
        story.write("k1")
        story.read(0)
    change = story.readers[0].replica.find_difference(first)
    assert change.before == documents.NOTHING
    assert change.changed == {"k0": "", "k1": ""}


def test_other_content_under_the_same_version_gets_the_whole():
    story = Story()
    story.read(0)
    other = documents.Identity(story.version, 12345)
    change = story.readers[0].replica.find_difference(other)
    assert change.before == documents.NOTHING


def test_what_the_store_gave_before_confirms_no_newer_version():
    story = Story()
    old = fakes.table(1, "k0")
    story.asker.replica.take_configuration(old, 100.0)
    story.write("k1")
    story.read(0)
    story.ask(0)
    story.take(0)
    story.asker.replica.take_configuration(old, 104.0)
    story.clock.now_s = 105.0
    assert story.asker.config_lease.version == 3
    assert story.asker.config_lease.age_s == 5.0
