"""Bounds and fairness of the memory account."""

import asyncio
import contextlib

from rhubarblock.exchange import memoryaccount
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import virtualloop

LIMIT = 10_000_000
BODIES = memoryaccount.Kind.BODIES
ANSWERS = memoryaccount.Kind.ANSWERS
SMALL = memoryaccount.SMALL_BYTES


def open_shares(count, limit=LIMIT):
    metrics = metric_store.Metrics()
    account = memoryaccount.MemoryAccount(limit, metrics)
    stack = contextlib.ExitStack()
    shares = [stack.enter_context(account.open_share()) for _ in range(count)]
    return account, shares, stack, metrics


def fill(share, kind, step=50_000):
    while share.try_hold(kind, step):
        pass
    return share.held[kind]


def test_large_bodies_leave_memory_for_answers_and_small_bodies():
    account, shares, _, _ = open_shares(100)
    taken = sum(share.try_hold(BODIES, 1_000_000) for share in shares)
    assert taken == 6
    assert shares[-1].try_hold(BODIES, SMALL)
    assert shares[-1].try_hold(ANSWERS, 500_000)
    assert account.total <= LIMIT


def test_slow_callers_share_evenly_and_late_ones_get_a_part():
    _, shares, _, _ = open_shares(6)
    first = fill(shares[0], ANSWERS)
    assert 0.4 <= first / (memoryaccount.KIND_FRACTION * LIMIT) <= 0.5
    later = [fill(share, ANSWERS) for share in shares[1:]]
    assert all(later)
    # The connection that holds most can't grow further.
    assert not shares[0].try_hold(ANSWERS, 1)


def test_small_holdings_keep_the_limit_too():
    account, shares, _, _ = open_shares(1000)
    assert not all(share.try_hold(ANSWERS, SMALL) for share in shares)
    assert account.total <= LIMIT


def test_all_is_released_at_the_end_of_a_connection():
    account, shares, stack, metrics = open_shares(3)
    for share in shares:
        share.try_hold(BODIES, 1_000_000)
        share.try_hold(ANSWERS, 100_000)
    assert metrics.gauges["memory.held_bodies"] == 3_000_000
    stack.close()
    assert account.total == 0
    assert metrics.gauges["memory.held_bodies"] == 0


def run_waiters(*steps):
    """Runs coroutines of shares, one second apart, on an account of one body.

    The first share holds the whole bound of bodies until second 10.
    """

    async def main():
        account, shares, _, _ = open_shares(len(steps) + 1)
        bound = int(memoryaccount.KIND_FRACTION * LIMIT)
        assert shares[0].try_hold(BODIES, bound)
        tasks = []
        for step, share in zip(steps, shares[1:], strict=True):
            tasks.append(asyncio.ensure_future(step(share)))
            await asyncio.sleep(1.0)
        await asyncio.sleep(10.0 - len(steps))
        shares[0].release(BODIES, bound)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        return results, account

    return virtualloop.run(main())


def wait(size, timeout_s=100.0):
    async def step(share):
        is_held = await share.wait_hold(BODIES, size, timeout_s)
        now_s = asyncio.get_running_loop().time()
        if is_held:
            await asyncio.sleep(1.0)
            share.release(BODIES, size)
        return is_held, now_s

    return step


def test_waiting_bodies_are_served_in_order_and_small_ones_at_once():
    # A stream of smaller bodies must not starve a large one.
    results, account = run_waiters(
        wait(5_000_000), wait(2_000_000), wait(SMALL), wait(2_000_000, 2.0)
    )
    (large, second, small, timed_out) = results
    start_s = small[1] - 2.0
    assert (large[0], round(large[1] - start_s)) == (True, 10)
    assert (second[0], round(second[1] - start_s)) == (True, 11)
    assert small[0]
    assert (timed_out[0], round(timed_out[1] - start_s)) == (False, 5)
    assert (account.total, account.count_waiting()) == (0, 0)


def test_body_that_never_fits_is_refused_at_once():
    results, _ = run_waiters(wait(LIMIT))
    assert results[0][0] is False
    assert results[0][1] < 9.0


def test_connections_that_wait_are_bounded():
    # Each has received a part of its body that no account covers.
    results, account = run_waiters(*[wait(100_000, 1.5) for _ in range(9)])
    assert account._max_waiters == 3
    assert not any(is_held for is_held, _ in results)


def test_cancelled_waiter_holds_nothing_and_lets_the_next_one_go():
    async def main():
        account, shares, _, _ = open_shares(3)
        shares[0].try_hold(BODIES, 5_000_000)
        big = asyncio.ensure_future(shares[1].wait_hold(BODIES, 3_000_000, 9.0))
        small = asyncio.ensure_future(
            shares[2].wait_hold(BODIES, 1_000_000, 9.0)
        )
        await asyncio.sleep(0.1)
        assert not small.done()
        big.cancel()
        return await small, shares[1].held[BODIES], account.count_waiting()

    assert virtualloop.run(main()) == (True, 0, 0)


def test_waiter_cancelled_in_the_step_of_a_release_is_passed_over():
    async def main():
        account, shares, _, _ = open_shares(3)
        shares[0].try_hold(BODIES, 6_000_000)
        waiting = [
            asyncio.ensure_future(share.wait_hold(BODIES, 100_000, 9.0))
            for share in shares[1:]
        ]
        await asyncio.sleep(0.1)
        waiting[0].cancel()
        shares[0].release(BODIES, 6_000_000)
        await asyncio.gather(*waiting, return_exceptions=True)
        return [share.held[BODIES] for share in shares], account.total

    assert virtualloop.run(main()) == ([0, 0, 100_000], 100_000)


def test_no_account_without_a_stated_memory():
    metrics = metric_store.Metrics()
    assert memoryaccount.make_account(0.0, metrics) is None
    assert memoryaccount.make_account(200.0, metrics).limit == 50_000_000
