import math

from rhubarblock.routing.lending import lending_pb2
from rhubarblock.routing.lending import pool as lendingpool

ALL = frozenset({"a", "b"})


def make_pool(hold_s=0.0):
    return lendingpool.Pool(lendingpool.PoolSettings(3.0, hold_s, 6.0))


def exchange(pool, sender, now_s, stamp_s=None, **report):
    grant = pool.exchange(
        sender,
        lending_pb2.ResourceReport(**report),
        now_s - 1.0 if stamp_s is None else stamp_s,
        ALL,
        now_s,
    )
    return grant.release, grant.take, grant.loan


def lend_from_a_to_b(pool):
    exchange(pool, "a", 0.0, own=500_000)
    exchange(pool, "b", 0.5, own=500_000, demand=900_000)
    assert exchange(pool, "a", 1.0, own=500_000) == (0, 400_000, 0)
    exchange(pool, "a", 1.1, own=500_000, pledged=400_000)
    assert exchange(pool, "b", 1.5, own=500_000, demand=900_000) == (
        0,
        0,
        400_000,
    )


def test_only_pledged_amounts_are_lent():
    pool = make_pool()
    exchange(pool, "a", 0.0, own=500_000)
    assert exchange(pool, "b", 0.5, own=500_000, demand=900_000) == (0, 0, 0)
    lend_from_a_to_b(make_pool())


def test_a_pledge_without_a_fresh_stamp_is_not_lent():
    pool = make_pool()
    exchange(pool, "a", 0.0, own=500_000, pledged=400_000, stamp_s=-math.inf)
    assert exchange(pool, "b", 0.5, own=500_000, demand=900_000) == (0, 0, 0)
    exchange(pool, "a", 4.0, own=500_000, pledged=400_000, stamp_s=0.9)
    assert exchange(pool, "b", 4.0, own=500_000, demand=900_000) == (0, 0, 0)


def test_a_pledge_is_released_once_the_borrower_reports_no_loan():
    pool = make_pool()
    lend_from_a_to_b(pool)
    wanted = {"own": 500_000, "pledged": 400_000, "demand": 500_000}
    assert exchange(pool, "a", 2.0, **wanted) == (0, 0, 0)
    busy = {"own": 500_000, "demand": 900_000}
    assert exchange(pool, "b", 2.5, loan=400_000, **busy) == (0, 0, 0)
    assert exchange(pool, "a", 2.6, **wanted) == (0, 0, 0)
    exchange(pool, "b", 2.7, loan=0, **busy)
    assert exchange(pool, "a", 2.8, **wanted) == (400_000, 0, 0)


def test_a_pledge_is_released_once_the_loan_has_expired():
    pool = make_pool()
    lend_from_a_to_b(pool)
    wanted = {"own": 500_000, "pledged": 400_000, "demand": 500_000}
    assert exchange(pool, "a", 4.4, **wanted) == (0, 0, 0)
    assert exchange(pool, "a", 4.6, **wanted) == (400_000, 0, 0)


def test_a_lent_slot_counts_for_as_long_as_a_prompt_may_hold_it():
    pool = make_pool(hold_s=60.0)
    exchange(pool, "a", 0.0, own=1)
    exchange(pool, "b", 0.5, demand=1)
    exchange(pool, "a", 1.0, own=1)
    exchange(pool, "a", 1.1, own=1, pledged=1)
    assert exchange(pool, "b", 1.5, demand=1) == (0, 0, 1)
    wanted = {"own": 1, "pledged": 1, "demand": 1}
    assert exchange(pool, "b", 2.5, held=1) == (0, 0, 0)
    assert exchange(pool, "a", 60.0, **wanted) == (0, 0, 0)
    assert exchange(pool, "a", 66.0, **wanted) == (1, 0, 0)


def test_earlier_pledges_are_adopted_once_all_instances_have_reported():
    pool = make_pool()
    adopted = []
    for second in range(9):
        for sender in ("a", "b"):
            report = lending_pb2.ResourceReport(own=1, locked=1)
            grant = pool.exchange(sender, report, second - 1, ALL, second)
            adopted.append(grant.adopt)
    assert adopted == [False] * 14 + [True] * 4


def test_an_instance_joins_once_all_others_left_room():
    pool = make_pool()
    exchange(pool, "b", 0.0)
    assert not pool.has_room("b", ALL, 0.0)
    exchange(pool, "a", 0.1, own=1_000_000)
    assert not pool.has_room("b", ALL, 0.2)
    exchange(pool, "a", 1.0, own=500_000)
    assert pool.has_room("b", ALL, 1.1)
    assert not pool.has_room("b", ALL, 4.1)
