from rhubarblock.core import attempt as attempts
from rhubarblock.routing.placement import prefixindex


def stored(sequence, block):
    return attempts.CacheEvent(sequence, block, True)


def test_only_leading_blocks_count():
    index = prefixindex.PrefixIndex()
    index.take_events("e", [stored(1, "a"), stored(2, "c")])
    assert index.count_cached("e", ("a", "b", "c")) == 512
    assert index.count_cached("e", ("b", "c")) == 0
    assert index.count_cached("other", ("a",)) == 0


def test_gap_is_counted_and_later_events_still_apply():
    index = prefixindex.PrefixIndex()
    index.take_events("e", [stored(1, "a"), stored(3, "b")])
    assert index.counters == prefixindex.IndexCounters(events=2, gaps=1)
    assert index.count_cached("e", ("a", "b")) == 1_024


def test_dropped_and_repeated_events():
    index = prefixindex.PrefixIndex()
    dropped = attempts.CacheEvent(2, "a", False)
    index.take_events("e", [stored(1, "a"), dropped, stored(1, "a")])
    assert index.count_cached("e", ("a",)) == 0


def test_restarted_engine_has_an_empty_cache():
    index = prefixindex.PrefixIndex()
    index.note_start("e", "one")
    index.take_events("e", [stored(1, "a")])
    index.note_start("e", "one")
    assert index.count_cached("e", ("a",)) == 512
    index.note_start("e", "two")
    assert index.count_cached("e", ("a",)) == 0
    assert index.read_sequence("e") == 0


def test_expected_blocks_count_before_the_engine_reports_them():
    index = prefixindex.PrefixIndex()
    index.expect("e", ("a", "b"))
    assert index.count_cached("e", ("a", "b")) == 1_024


def test_oldest_blocks_are_evicted(monkeypatch):
    monkeypatch.setattr(prefixindex, "MAX_BLOCKS", 2)
    index = prefixindex.PrefixIndex()
    index.expect("e", ("a", "b", "c"))
    assert index.count_cached("e", ("a",)) == 0
    assert index.count_cached("e", ("b", "c")) == 1_024
