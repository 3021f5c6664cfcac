import dataclasses
import itertools

from rhubarblock.fleet.membership import member as members
from rhubarblock.fleet.membership import table as membertable

ALIVE = members.MemberState.ALIVE
LEFT = members.MemberState.LEFT
DEAD = members.MemberState.DEAD
FIRST = members.Member("i1", "a", "10.0.0.1:1", incarnation=1)


def change(**fields):
    return dataclasses.replace(FIRST, **fields)


def test_merge_is_independent_of_arrival_order():
    records = [
        FIRST,
        change(revision=4),
        change(state=DEAD),
        change(incarnation=2),
        change(incarnation=2, state=LEFT),
    ]
    found = set()
    for order in itertools.permutations(records):
        table = membertable.MemberTable()
        for record in order:
            table.merge(record)
        found.add((table.find("i1"), table.read_digest()))
    assert len(found) == 1
    assert found.pop()[0] == change(incarnation=2, state=LEFT)


def test_merge_returns_the_replaced_record():
    table = membertable.MemberTable()
    assert table.merge(FIRST) == FIRST
    assert table.merge(FIRST) is None
    assert table.merge(change(state=DEAD)) == FIRST
    assert table.merge(change(revision=9)) is None


def test_update_is_sent_a_limited_number_of_times():
    table = membertable.MemberTable()
    table.merge(FIRST)
    sent = [table.take_updates(8) for _ in range(5)]
    assert sent == [[FIRST], [FIRST], [FIRST], [], []]


def test_least_sent_update_goes_first():
    table = membertable.MemberTable()
    table.merge(FIRST)
    table.take_updates(1)
    other = members.Member("i2", "a", "10.0.0.2:1")
    table.merge(other)
    assert table.take_updates(1) == [other]


def test_revision_is_neither_gossiped_nor_in_the_digest():
    table = membertable.MemberTable()
    table.merge(FIRST)
    digest = table.read_digest()
    while table.take_updates(8):
        pass
    table.merge(change(revision=3))
    assert table.take_updates(8) == []
    assert table.read_digest() == digest
    assert table.find("i1").revision == 3


def test_only_parts_that_differ_are_listed():
    tables = [membertable.MemberTable() for _ in range(2)]
    everyone = [
        members.Member(f"i{n}", "a", f"10.0.0.{n}:1") for n in range(40)
    ]
    for table, member in itertools.product(tables, everyone):
        table.merge(member)
    assert tables[0].list_differing(tables[1].read_part_digests()) == []
    dead = dataclasses.replace(everyone[7], state=DEAD)
    tables[0].merge(dead)
    differing = tables[0].list_differing(tables[1].read_part_digests())
    assert dead in differing
    assert len(differing) < 12


def test_forgotten_member_leaves_no_digest_and_no_update():
    table = membertable.MemberTable()
    empty = table.read_digest()
    table.merge(FIRST)
    table.forget("i1")
    assert table.read_digest() == empty
    assert table.take_updates(8) == []
    assert len(table) == 0
