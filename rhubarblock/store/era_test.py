import pytest

from rhubarblock.kernel import metrics as metric_store
from rhubarblock.store import era as eras
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


def make():
    watch = eras.EraTracker(metric_store.Metrics())
    heard = []
    watch.listen(lambda: heard.append(watch.current))
    return watch, heard


def fail(watch, era):
    with pytest.raises(stores.StoreError) as caught:
        watch.take(era)
    return caught.value.kind


def test_first_era_is_no_change():
    watch, heard = make()
    assert watch.take(None) == 0
    assert (watch.take(4), watch.take(4), heard) == (4, 4, [])
    assert not watch.has_changed


@pytest.mark.parametrize("era", [5, 9])
def test_later_era_is_heard_once(era):
    watch, heard = make()
    watch.take(4)
    assert (watch.take(era), watch.take(era)) == (era, era)
    assert heard == [era]
    assert watch.has_changed


def test_two_eras_after_each_other_are_both_heard():
    watch, heard = make()
    for era in (4, 5, 6):
        watch.take(era)
    assert heard == [5, 6]


def test_answer_of_an_ended_era_is_dropped():
    watch, heard = make()
    watch.take(4)
    watch.take(5)
    assert fail(watch, 4) is _Kind.OUTDATED
    assert (watch.current, heard) == (5, [5])


def test_answer_without_an_era_says_nothing_once_one_is_known():
    watch, _ = make()
    watch.take(4)
    assert fail(watch, None) is _Kind.UNAVAILABLE
