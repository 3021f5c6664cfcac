import collections
import random

from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import probing

EVERYONE = [
    members.Member(f"i{number}", "a", f"10.0.0.{number}:1")
    for number in range(9)
]


def count_subjects(make_plan):
    """Returns how often each instance is probed in one period."""
    counts = collections.Counter()
    for number, member in enumerate(EVERYONE):
        plan = make_plan(random.Random(number))
        for subject in plan.choose_subjects(member.instance_id, EVERYONE):
            assert subject != member
            counts[subject.instance_id] += 1
    return counts


def test_ring_probes_every_instance_equally_often():
    counts = count_subjects(lambda rng: probing.RingPlan(2, 0, rng))
    assert set(counts.values()) == {2}
    assert len(counts) == 9


def test_ring_adds_random_instances():
    plan = probing.RingPlan(2, 1, random.Random(1))
    drawn = [plan.choose_subjects("i0", EVERYONE) for _ in range(40)]
    assert {len(subjects) for subjects in drawn} == {3}
    assert len({subjects[2].instance_id for subjects in drawn}) == 6


def test_ring_plan_handles_one_or_two_instances():
    plan = probing.RingPlan(2, 1, random.Random(1))
    assert plan.choose_subjects("i0", EVERYONE[:1]) == []
    assert plan.choose_subjects("i0", EVERYONE[:2]) == [EVERYONE[1]]
    assert plan.choose_subjects("other", EVERYONE) == []


def test_random_plan_probes_each_instance_once_per_round():
    plan = probing.RandomPlan(2, random.Random(1))
    drawn = [
        subject.instance_id
        for _ in range(4)
        for subject in plan.choose_subjects("i0", EVERYONE)
    ]
    assert sorted(drawn) == [f"i{number}" for number in range(1, 9)]


def test_random_plan_handles_one_or_two_instances():
    plan = probing.RandomPlan(2, random.Random(1))
    assert plan.choose_subjects("i0", EVERYONE[:1]) == []
    assert plan.choose_subjects("i0", EVERYONE[:2]) == [EVERYONE[1]]
