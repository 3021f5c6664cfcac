"""What a replica of the evacuations logs, counts and confirms."""

import logging

from rhubarblock.core import position as positions
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import directory_test as fakes
from rhubarblock.exchange.state import evacuationreplica
from rhubarblock.exchange.state import evacuationwire
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.platform import dialect as dialects
from rhubarblock.store import store as stores


def make_replica():
    timers, metrics = fakes.Timers(), metric_store.Metrics()
    replica = evacuationreplica.EvacuationReplica(
        dialects.PlatformDialect(),
        directories.Directory(timers),
        timers,
        metrics,
    )
    return replica, timers, metrics


def make_entry(name, revision, deleted=False):
    return stores.StoredObject(
        f"evacuations/{name}", positions.Position(1, revision), b"", deleted
    )


def test_begin_and_end_are_logged_with_position_and_age(caplog):
    caplog.set_level(logging.INFO)
    replica, timers, metrics = make_replica()
    timers.now_s = 4.0
    entry = make_entry("osu", 5)
    replica.apply_listing([entry], positions.Position(1, 9), sent_s=3.5)
    timers.now_s = 7.0
    assert replica.describe() == {"osu": 3.0}
    removed = make_entry("osu", 10, deleted=True)
    replica.apply_changes([removed], removed.version)
    began, ended = caplog.records
    assert (began.message, ended.message) == (
        "evacuation began",
        "evacuation ended",
    )
    assert (began.data_centre, began.position, began.age_s) == (
        "osu",
        "1.9",
        0.5,
    )
    assert (ended.position, ended.lasted_s) == ("1.10", 3.0)
    counts = metrics.snapshot()
    assert counts["evacuations.begun"] == counts["evacuations.ended"] == 1


def test_confirmation_of_an_earlier_position_ends_nothing():
    # The process was paused, and the answer is older than the restored store.
    replica, timers, _ = make_replica()
    before = positions.Position(1, 9)
    replica.apply_listing([make_entry("osu", 5)], before, sent_s=0.0)
    after = positions.Position(2, 4)
    replica.apply_sent(evacuationwire.SentSet(after, {}), 0.0)
    timers.now_s = 9.0
    assert not replica.confirm(before)
    assert replica.known.data_centres == {"osu"}
    assert replica.confirm(after)
    assert replica.known.data_centres == frozenset()
