import pytest

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.store import era as eras
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


def make():
    tracker = eras.EraTracker(metric_store.Metrics())
    notified = []
    tracker.add_listener(lambda: notified.append(tracker.current))
    return tracker, notified


def fail(tracker, era):
    with pytest.raises(stores.StoreError) as caught:
        tracker.validate(era)
    return caught.value.kind


def test_first_era_is_no_change():
    tracker, notified = make()
    assert tracker.validate(None) == 0
    assert (tracker.validate(4), tracker.validate(4), notified) == (4, 4, [])
    assert not tracker.has_changed


@pytest.mark.parametrize("era", [5, 9])
def test_listeners_are_notified_of_a_later_era_once(era):
    tracker, notified = make()
    tracker.validate(4)
    assert (tracker.validate(era), tracker.validate(era)) == (era, era)
    assert notified == [era]
    assert tracker.has_changed


def test_listeners_are_notified_of_each_new_era():
    tracker, notified = make()
    for era in (4, 5, 6):
        tracker.validate(era)
    assert notified == [5, 6]


def test_answer_of_an_ended_era_is_dropped():
    tracker, notified = make()
    tracker.validate(4)
    tracker.validate(5)
    assert fail(tracker, 4) is _Kind.OUTDATED
    assert (tracker.current, notified) == (5, [5])


def test_answer_without_an_era_is_rejected_once_an_era_is_known():
    tracker, _ = make()
    tracker.validate(4)
    assert fail(tracker, None) is _Kind.UNAVAILABLE
