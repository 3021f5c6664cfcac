import random

import pytest

from rhubarblock.core import position as positions
from rhubarblock.fleet import lease as leases
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.platform import store as platform

NAME = "orders/a/pool"


class Harness:
    """Two instances that contend for one lease."""

    def __init__(self):
        self.timers = timers_lib.LoopTimers(wall_offset_s=0.0)
        self.platform = platform.MemoryStore(self.timers, random.Random(1))
        self.stores = [
            self.platform.connect(name) for name in ("first", "second")
        ]
        self.leases = [
            leases.Lease(
                store, self.timers, random.Random(number), NAME, f"i{number}/1"
            )
            for number, store in enumerate(self.stores)
        ]

    async def poll(self, lease, seconds):
        """Polls a lease for a while; returns the times when it was held."""
        end_s = self.timers.read_monotonic() + seconds
        held_s = []
        while self.timers.read_monotonic() < end_s:
            if await lease.renew_or_acquire():
                held_s.append(self.timers.read_monotonic())
            await self.timers.sleep(0.5)
        return held_s


def run(scenario):
    async def main():
        return await scenario(Harness())

    return virtualloop.run(main())


def test_only_one_of_two_contenders_holds_the_lease():
    async def scenario(harness):
        first, second = harness.leases
        await first.renew_or_acquire()
        await harness.poll(first, 30.0)
        await second.renew_or_acquire()
        return first.is_held(), second.is_held(), first.fence > 0

    assert run(scenario) == (True, False, True)


def test_expired_lease_is_taken_with_a_higher_fence():
    async def scenario(harness):
        first, second = harness.leases
        await first.renew_or_acquire()
        started_s = harness.timers.read_monotonic()
        held_s = await harness.poll(second, 12.0)
        waited_s = held_s[0] - started_s
        return first.is_held(), waited_s > 6.0, second.fence > first.fence

    assert run(scenario) == (False, True, True)


def test_holder_stops_before_a_contender_starts():
    async def scenario(harness):
        first, second = harness.leases
        await harness.poll(first, 5.0)
        both = 0
        for _ in range(200):
            await second.renew_or_acquire()
            both += first.is_held() and second.is_held()
            await harness.timers.sleep(0.05)
        return both, second.is_held()

    assert run(scenario) == (0, True)


def test_released_lease_can_be_taken_at_once():
    async def scenario(harness):
        first, second = harness.leases
        await first.renew_or_acquire()
        await first.release()
        return first.is_held(), await second.renew_or_acquire()

    assert run(scenario) == (False, True)


def test_paused_holder_sees_that_its_lease_expired():
    async def scenario(harness):
        first, second = harness.leases
        await first.renew_or_acquire()
        await harness.poll(second, 10.0)
        # The first instance made no calls meanwhile and checks before it acts.
        seen = first.is_held()
        again = await first.renew_or_acquire()
        return seen, again, second.is_held()

    assert run(scenario) == (False, False, True)


@pytest.mark.parametrize("fault", ["lose_answers_next", "lose_before_next"])
def test_lease_is_acquired_despite_a_lost_response(fault):
    async def scenario(harness):
        first = harness.leases[0]
        setattr(harness.platform.faults, fault, 1)
        held = [await first.renew_or_acquire(), await first.renew_or_acquire()]
        stored = await harness.platform.read("leases/" + NAME)
        return held[-1], first.fence <= leases.make_fence(stored.version)

    assert run(scenario) == (True, True)


@pytest.mark.parametrize("fault", ["lose_answers_next", "lose_before_next"])
def test_lease_is_renewed_despite_a_lost_response(fault):
    async def scenario(harness):
        first = harness.leases[0]
        await first.renew_or_acquire()
        fence = first.fence
        await harness.timers.sleep(1.0)
        setattr(harness.platform.faults, fault, 1)
        await first.renew_or_acquire()
        held_s = await harness.poll(first, 20.0)
        return len(held_s) > 30, first.fence == fence

    assert run(scenario) == (True, True)


def test_lease_expires_during_platform_outage():
    async def scenario(harness):
        first, second = harness.leases
        await first.renew_or_acquire()
        harness.platform.faults.start_outage()
        held_s = await harness.poll(first, 20.0)
        harness.platform.faults.end_outage()
        fence = first.fence
        # No other instance took the lease, but acquiring it again must still
        # increase the fence.
        await harness.poll(first, 10.0)
        return held_s[-1] < 4.1, first.is_held(), first.fence > fence

    assert run(scenario) == (True, True, True)


def test_fence_requires_a_position_without_era():
    assert leases.make_fence(positions.Position(0, 7)) == 7
    with pytest.raises(ValueError, match="era 1"):
        leases.make_fence(positions.Position(1, 7))
