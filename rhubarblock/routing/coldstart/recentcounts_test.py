from rhubarblock.routing.coldstart import recentcounts


def test_requests_count_for_a_little_over_a_second():
    counts = recentcounts.RecentCounts()
    counts.note("e1", 1.0)
    counts.note("e1", 1.5)
    assert counts.count("e1", 2.05) == 2
    assert counts.list_ages("e1", 2.15) == [2.15 - 1.5]
    assert counts.count("e1", 2.65) == 0
    assert counts.count("e2", 1.0) == 0


def test_unlisted_and_restarted_endpoints_are_forgotten():
    counts = recentcounts.RecentCounts()
    for endpoint_id in ("e1", "e2", "e3"):
        counts.note(endpoint_id, 1.0)
    counts.forget("e1")
    counts.keep_only({"e1", "e2"})
    left = [counts.count(name, 1.0) for name in ("e1", "e2", "e3")]
    assert left == [0, 1, 0]
