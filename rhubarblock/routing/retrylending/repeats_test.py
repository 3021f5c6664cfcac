"""Tests of which workspaces count as flooding."""

from rhubarblock.routing.retrylending import repeats


def count(arrivals, now_s=1.0):
    """Returns a counter after arrivals of (workspace, digest)."""
    counter = repeats.RepeatCounter(10.0)
    for workspace, digest in arrivals:
        counter.note_arrival("desk", workspace, digest, now_s)
    return counter


def flood(workspace, times):
    return [(workspace, f"{workspace}0")] * times


def list_distinct(workspace, times):
    return [(workspace, f"{workspace}{number}") for number in range(times)]


def test_workspace_that_repeats_most_is_flooding():
    counter = count([*flood("a", 40), *list_distinct("b", 40)])
    assert counter.is_flooding("desk", "a", 1.0)
    assert not counter.is_flooding("desk", "b", 1.0)
    assert not counter.is_flooding("other", "a", 1.0)


def test_workspaces_that_repeat_alike_are_not_flooding():
    # All callers repeat when all are refused.
    counter = count([x for w in "abcd" for x in flood(w, 40)])
    assert not any(counter.is_flooding("desk", w, 1.0) for w in "abcd")


def test_few_repeats_and_a_lone_workspace_are_not_flooding():
    assert not count([*flood("a", 5), ("b", "b0")]).is_flooding(
        "desk", "a", 1.0
    )
    assert not count(flood("a", 90)).is_flooding("desk", "a", 1.0)


def test_requests_without_a_digest_are_no_repeats():
    counter = count([("a", "")] * 40 + list_distinct("b", 2))
    assert not counter.is_flooding("desk", "a", 1.0)


def test_repeats_are_forgotten():
    counter = count([*flood("a", 40), *list_distinct("b", 40)])
    assert counter.is_flooding("desk", "a", 12.0)
    assert not counter.is_flooding("desk", "a", 32.0)
