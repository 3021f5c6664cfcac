from rhubarblock.fleet import assignment
from rhubarblock.fleet.membership import member as members


def make_members(count):
    return [
        members.Member(f"i{number}", "a", f"10.0.0.{number}:1")
        for number in range(count)
    ]


def choose(key, candidates):
    return assignment.choose_coordinator(key, candidates).instance_id


def test_choice_is_deterministic_and_independent_of_order():
    candidates = make_members(7)
    keys = [f"endpoint/{number}" for number in range(6)]
    forward = [choose(key, candidates) for key in keys]
    backward = [choose(key, candidates[::-1]) for key in keys]
    assert forward == ["i4", "i6", "i5", "i4", "i0", "i6"]
    assert backward == forward


def test_no_members_means_no_coordinator():
    assert assignment.choose_coordinator("key", []) is None
    assert assignment.choose_subset("key", [], 2) == []


def test_leaving_member_moves_only_its_own_keys():
    candidates = make_members(9)
    keys = [f"endpoint/{number}" for number in range(500)]
    before = {key: choose(key, candidates) for key in keys}
    rest = [member for member in candidates if member.instance_id != "i4"]
    moved = {key for key in keys if choose(key, rest) != before[key]}
    assert moved == {key for key in keys if before[key] == "i4"}


def test_keys_spread_evenly():
    candidates = make_members(8)
    held = [choose(f"workspace/{number}", candidates) for number in range(4000)]
    counts = [held.count(member.instance_id) for member in candidates]
    assert min(counts) > 400
    assert max(counts) < 600


def test_subset_starts_with_the_coordinator_and_grows():
    candidates = make_members(6)
    subsets = [
        [
            member.instance_id
            for member in assignment.choose_subset("k", candidates, n)
        ]
        for n in (1, 2, 6, 9)
    ]
    assert subsets[0] == [choose("k", candidates)]
    assert subsets[1] == subsets[2][:2]
    assert sorted(subsets[2]) == sorted(subsets[3])
    assert len(subsets[3]) == 6
