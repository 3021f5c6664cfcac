import random

import pytest

from rhubarblock.core import position as positions
from rhubarblock.fleet import lease as leases
from rhubarblock.kernel import timers as timers_lib
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.platform import store as platform

NAME = "orders/a/pool"


class Bench:
    """Two instances that pursue one lease."""

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

    async def pursue(self, lease, seconds):
        """Pursues a lease for a while; returns the moments when it is held."""
        end_s = self.timers.read_monotonic() + seconds
        held_s = []
        while self.timers.read_monotonic() < end_s:
            if await lease.pursue():
                held_s.append(self.timers.read_monotonic())
            await self.timers.sleep(0.5)
        return held_s


def run(scene):
    async def main():
        return await scene(Bench())

    return virtualloop.run(main())


def test_one_of_two_holds_it():
    async def scene(bench):
        first, second = bench.leases
        await first.pursue()
        await bench.pursue(first, 30.0)
        await second.pursue()
        return first.is_held(), second.is_held(), first.fence > 0

    assert run(scene) == (True, False, True)


def test_lease_that_is_not_renewed_passes_on_with_a_higher_fence():
    async def scene(bench):
        first, second = bench.leases
        await first.pursue()
        started_s = bench.timers.read_monotonic()
        held_s = await bench.pursue(second, 12.0)
        waited_s = held_s[0] - started_s
        return first.is_held(), waited_s > 6.0, second.fence > first.fence

    assert run(scene) == (False, True, True)


def test_holder_stops_before_another_can_begin():
    async def scene(bench):
        first, second = bench.leases
        await bench.pursue(first, 5.0)
        both = 0
        for _ in range(200):
            await second.pursue()
            both += first.is_held() and second.is_held()
            await bench.timers.sleep(0.05)
        return both, second.is_held()

    assert run(scene) == (0, True)


def test_released_lease_is_free_at_once():
    async def scene(bench):
        first, second = bench.leases
        await first.pursue()
        await first.release()
        return first.is_held(), await second.pursue()

    assert run(scene) == (False, True)


def test_holder_that_was_paused_knows_that_its_lease_lapsed():
    async def scene(bench):
        first, second = bench.leases
        await first.pursue()
        await bench.pursue(second, 10.0)
        # The first one slept all the while, and looks before it acts.
        seen = first.is_held()
        again = await first.pursue()
        return seen, again, second.is_held()

    assert run(scene) == (False, False, True)


@pytest.mark.parametrize("fault", ["lose_answers_next", "lose_before_next"])
def test_lost_answer_while_taking(fault):
    async def scene(bench):
        first = bench.leases[0]
        setattr(bench.platform.faults, fault, 1)
        held = [await first.pursue(), await first.pursue()]
        stored = await bench.platform.read("leases/" + NAME)
        return held[-1], first.fence <= leases.make_fence(stored.version)

    assert run(scene) == (True, True)


@pytest.mark.parametrize("fault", ["lose_answers_next", "lose_before_next"])
def test_lost_answer_while_renewing(fault):
    async def scene(bench):
        first = bench.leases[0]
        await first.pursue()
        fence = first.fence
        await bench.timers.sleep(1.0)
        setattr(bench.platform.faults, fault, 1)
        await first.pursue()
        held_s = await bench.pursue(first, 20.0)
        return len(held_s) > 30, first.fence == fence

    assert run(scene) == (True, True)


def test_platform_down_ends_the_lease():
    async def scene(bench):
        first, second = bench.leases
        await first.pursue()
        bench.platform.faults.start_outage()
        held_s = await bench.pursue(first, 20.0)
        bench.platform.faults.end_outage()
        fence = first.fence
        # Nobody else took it, but it is taken anew, with another fence.
        await bench.pursue(first, 10.0)
        return held_s[-1] < 4.1, first.is_held(), first.fence > fence

    assert run(scene) == (True, True, True)


def test_fence_is_made_of_positions_of_one_era():
    assert leases.make_fence(positions.Position(0, 7)) == 7
    with pytest.raises(ValueError, match="era 1"):
        leases.make_fence(positions.Position(1, 7))
