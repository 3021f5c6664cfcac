"""Tests route lookup, also after changes of some routes."""

import hypothesis
from hypothesis import strategies

from rhubarblock.core import route as routes


def make(name, prefix, host="h"):
    return routes.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=routes.RouteKind.IDEMPOTENT,
        shares=(),
        max_attempts=1,
        timeout_s=1.0,
        objective_s=1.0,
        pause_s=0.0,
        priority=0,
        anonymous=False,
        resumable=False,
    )


def find(index, path, host="h"):
    found = index.find(host, path)
    return found.name if found else None


def test_longest_prefix_serves_a_path():
    index = routes.RouteIndex(
        [make("all", "/"), make("a", "/a/"), make("ab", "/a/b/")]
    )
    assert find(index, "/a/b/c/d") == "ab"
    assert find(index, "/a/b") == "a"
    assert find(index, "/x/y") == "all"
    assert find(index, "/a/b/c", host="other") is None
    assert find(index, "") is None


def test_change_does_not_modify_the_original_index():
    before = routes.RouteIndex([make("a", "/a/"), make("b", "/b/")])
    after = before.change([make("b", "/c/")], ["a"])
    assert [find(before, p) for p in ("/a/", "/b/", "/c/")] == ["a", "b", None]
    assert [find(after, p) for p in ("/a/", "/b/", "/c/")] == [None, None, "b"]


def test_routes_may_swap_their_prefixes():
    before = routes.RouteIndex([make("a", "/a/"), make("b", "/b/")])
    after = before.change([make("a", "/b/"), make("b", "/a/")], [])
    assert [find(after, p) for p in ("/a/", "/b/")] == ["b", "a"]


def test_hidden_duplicate_serves_after_the_other_is_removed():
    both = routes.RouteIndex([make("b", "/a/"), make("a", "/a/")])
    assert find(both, "/a/") == "a"
    assert find(both.change([], ["a"]), "/a/") == "b"


PREFIXES = strategies.sampled_from(["/", "/a/", "/b/", "/a/b/"])
PREFIX_BY_NAME = strategies.dictionaries(
    strategies.sampled_from("wxyz"), PREFIXES, max_size=4
)


@hypothesis.given(strategies.lists(PREFIX_BY_NAME, min_size=1, max_size=6))
def test_changed_index_equals_a_new_one(history):
    index = routes.RouteIndex()
    known = {}
    for prefixes in history:
        changed = [make(n, p) for n, p in prefixes.items() if known.get(n) != p]
        index = index.change(changed, [n for n in known if n not in prefixes])
        known = prefixes
        fresh = routes.RouteIndex([make(n, p) for n, p in prefixes.items()])
        for path in ("/", "/a/x", "/b/x", "/a/b/x"):
            assert find(index, path) == find(fresh, path)
