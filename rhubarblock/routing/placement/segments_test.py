"""Tests of split prompts and of the choices that the policies make."""

import pytest

from rhubarblock.plugins import length_aware
from rhubarblock.plugins import naive
from rhubarblock.routing.placement import decision as placements
from rhubarblock.routing.placement import loadtable_test
from rhubarblock.routing.placement import segments

_Segment = placements.Segment
_FREE = 400_000 - segments.WINDOW_TOKENS
make_query = loadtable_test.make_query


def split(tokens, output, *, engines="abc", kv_tokens=400_000):
    table = loadtable_test.make_table(*engines, kv_tokens=kv_tokens)
    return segments.split_prompt(
        make_query(tokens, output), table.list_all(), 7
    )


def test_prompt_fills_engine_after_engine():
    placement = split(1_000_000, 100)
    assert placement.segments == (
        _Segment("a", _FREE),
        _Segment("b", 2 * _FREE),
    )
    assert placement.prefill_id == placement.decode_id == "c"
    assert placement.priority == 7


@pytest.mark.parametrize(
    ("tokens", "output", "engines"),
    [(_FREE, 1, "ab"), (2 * _FREE, 100, "abc"), (2 * _FREE - 1, 1, "ab")],
)
def test_last_segment_has_a_token_of_its_own_and_room_for_the_output(
    tokens, output, engines
):
    placement = split(tokens, output)
    ends = [segment.end for segment in placement.segments]
    assert [
        *(x.endpoint_id for x in placement.segments),
        placement.prefill_id,
    ] == list(engines)
    remaining = tokens - ends[-1]
    assert remaining >= 1 and remaining + output <= _FREE
    assert all(
        0 < b - a <= _FREE for a, b in zip([0, *ends], ends, strict=False)
    )


def test_prompt_that_does_not_fit_is_not_placed_in_part():
    assert split(3 * _FREE, 1) is None
    assert split(10, 1, kv_tokens=segments.WINDOW_TOKENS) is None
    full = loadtable_test.make_table("a", "b")
    full.find("a").other_kv = 390_000
    assert (
        segments.split_prompt(make_query(500_000), full.list_all(), 7) is None
    )


POLICIES = pytest.mark.parametrize(
    "policy", [naive.NaivePolicy(), length_aware.LengthAwarePolicy()]
)


@POLICIES
@pytest.mark.parametrize("tokens", [1_000, 100_000, 900_000])
def test_policy_places_each_length_within_its_memory(policy, tokens):
    table = loadtable_test.make_table("a", "b", "c", "d")
    placement = policy.choose(make_query(tokens), table, 0.0)
    names = placement.list_endpoints()
    assert len(names) == (3 if tokens > 400_000 else 1)
    # A retry avoids the engines that failed while there are others.
    avoid = frozenset(names[:1])
    again = policy.choose(make_query(tokens, avoid=avoid), table, 0.0)
    assert not avoid & set(again.list_endpoints())
    every = frozenset("abcd")
    assert policy.choose(make_query(tokens, avoid=every), table, 0.0)


@POLICIES
def test_policy_without_usable_engines_places_nothing(policy):
    table = loadtable_test.make_table("a")
    table.set_endpoints([], 1)
    assert policy.choose(make_query(), table, 0.0) is None
    assert policy.choose(make_query(900_000), table, 0.0) is None


@POLICIES
def test_prompt_that_needs_engines_of_all_roles_is_placed(policy):
    table = loadtable_test.make_table("p", "d", roles="pd")
    placement = policy.choose(make_query(450_000), table, 0.0)
    assert set(placement.list_endpoints()) == {"p", "d"}


@POLICIES
def test_group_that_needs_every_engine_includes_one_that_failed(policy):
    """It may have recovered; without it the prompt could never be placed."""
    table = loadtable_test.make_table("a", "b", "c")
    query = make_query(1_000_000, avoid=frozenset("a"))
    placement = policy.choose(query, table, 0.0)
    assert set(placement.list_endpoints()) == {"a", "b", "c"}


def test_naive_policy_chooses_the_engine_with_the_fewest_requests():
    table = loadtable_test.make_table("a", "b")
    table.add(loadtable_test.make_grant(tokens=1))
    chosen = naive.NaivePolicy().choose(make_query(), table, 0.0)
    assert chosen == placements.Placement("b", "b", 0)


def test_length_aware_policy_places_prefill_and_decode_by_role():
    table = loadtable_test.make_table("p", "q", "d", roles="ppd")
    policy = length_aware.LengthAwarePolicy()
    placement = policy.choose(make_query(), table, 0.0)
    assert placement.prefill_id in "pq"
    assert placement.decode_id == "d"
    # A prompt that would fill much of the decode engine does not move.
    long = policy.choose(make_query(300_000), table, 0.0)
    assert not long.handed_over


def test_length_aware_policy_ranks_shorter_prompts_first():
    table = loadtable_test.make_table("a")
    policy = length_aware.LengthAwarePolicy()
    ranks = [
        policy.choose(make_query(tokens), table, 0.0).priority
        for tokens in (1_000, 20_000, 300_000)
    ]
    assert ranks[0] < ranks[1] <= ranks[2]


def test_length_aware_policy_waits_for_memory_instead_of_splitting():
    table = loadtable_test.make_table("a")
    table.find("a").other_kv = 350_000
    policy = length_aware.LengthAwarePolicy()
    assert policy.choose(make_query(100_000), table, 0.0) is None
