"""Candidates as endpoints join, leave, fail and cool down."""

import asyncio
import dataclasses
import random

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange import candidates
from rhubarblock.exchange import coldroom
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths
from rhubarblock.routing.coldstart import coldbound
from rhubarblock.routing.coldstart import recentcounts

COLD = dataclasses.replace(fakes.SERVICE, cold_start_s=15.0, cold_per_s=1.0)

REGIONS = {"osu-hall": "accra", "tema-hall": "accra", "oda-hall": "kumasi"}


class Instance:
    def __init__(self, count, regions=REGIONS, has_bounds=False):
        timers = timer_service.LoopTimers()
        self.directory = directories.Directory(timers)
        self.health = healths.Health("osu-hall")
        self.limits = fakes.make_limits(timers)
        self.cooldowns = cooldowns.Cooldowns(metric_store.Metrics())
        self.placed = recentcounts.RecentCounts()
        self.room = coldroom.ColdRoom(
            coldbound.ColdBound(1.5, 5.0),
            self.placed,
            lambda endpoint_id: 1.0,
            lambda endpoint_id: 1,
            timers,
            random.Random(1),
        )
        self.candidates = candidates.Candidates(
            self.directory,
            self.health,
            subsets.Subsets(self.directory),
            self.limits,
            self.cooldowns,
            "i1",
            "osu-hall",
            timers,
            random.Random(1),
            regions,
            self.room if has_bounds else None,
        )
        for number in range(count):
            self.directory.update(fakes.make_endpoint(number))

    def add(self, number, data_centre):
        endpoint = fakes.make_endpoint(number)
        self.directory.update(
            dataclasses.replace(endpoint, data_centre=data_centre)
        )

    def list_for(self, tokens=0, avoid=(), homes=None):
        exchange = fakes.make_exchange(prompt_tokens=tokens, home_regions=homes)
        found = self.candidates.list_for(exchange, set(avoid))
        return [endpoint.endpoint_id for endpoint in found]


def run(step, count=3):
    async def main():
        return await step(Instance(count))

    return virtualloop.run(main())


def test_draining_endpoint_is_no_candidate():
    async def step(instance):
        seen = [instance.list_for()]
        leaving = dataclasses.replace(fakes.make_endpoint(1), draining=True)
        instance.directory.update(leaving)
        seen.append(instance.list_for())
        instance.directory.remove("e0")
        seen.append(instance.list_for())
        instance.directory.update(fakes.make_endpoint(3))
        seen.append(instance.list_for())
        return seen

    assert run(step) == [
        ["e0", "e1", "e2"],
        ["e0", "e2"],
        ["e2"],
        ["e2", "e3"],
    ]


def test_failed_endpoint_is_probed_by_short_prompts():
    async def step(instance):
        now_s = asyncio.get_running_loop().time()
        instance.health.note_unreachable("e1", "osu-hall", now_s)
        seen = [instance.list_for()]
        await asyncio.sleep(healths.INITIAL_BACKOFF_S)
        seen.append(instance.list_for(candidates.MAX_PROBE_TOKENS))
        seen.append(instance.list_for(candidates.MAX_PROBE_TOKENS + 1))
        return seen

    assert run(step) == [["e0", "e2"], ["e0", "e1", "e2"], ["e0", "e2"]]


def test_all_are_candidates_if_none_is_healthy():
    async def step(instance):
        now_s = asyncio.get_running_loop().time()
        for name in ("e0", "e1"):
            instance.health.note_unreachable(name, "osu-hall", now_s)
        return instance.list_for(), instance.list_for(avoid=["e1"])

    assert run(step, 2) == (["e0", "e1"], ["e0"])


def note_cooldown(instance, name, length_s=3.0):
    instance.cooldowns.note(name, length_s, asyncio.get_running_loop().time())


def test_endpoint_in_cooldown_is_no_candidate():
    async def step(instance):
        note_cooldown(instance, "e1")
        now_s = asyncio.get_running_loop().time()
        seen = [
            instance.list_for(),
            instance.list_for(candidates.MAX_PROBE_TOKENS + 1),
        ]
        # It is none even if all others failed.
        instance.health.note_unreachable("e0", "osu-hall", now_s)
        instance.health.note_unreachable("e2", "osu-hall", now_s)
        seen.append(instance.list_for())
        seen.append(instance.list_for(avoid=["e0", "e2"]))
        return seen

    assert run(step) == [["e0", "e2"], ["e0", "e2"], ["e0", "e2"], []]


def test_one_request_probes_an_endpoint_after_its_cooldown():
    async def step(instance):
        note_cooldown(instance, "e1")
        await asyncio.sleep(3.0)
        seen = [instance.list_for()]
        instance.cooldowns.note_chosen("e1", asyncio.get_running_loop().time())
        seen.append(instance.list_for())
        # It is used if no other endpoint is left.
        seen.append(instance.list_for(avoid=["e0", "e2"]))
        instance.cooldowns.note_accepted("e1")
        seen.append(instance.list_for())
        return seen

    everything = ["e0", "e1", "e2"]
    assert run(step) == [everything, ["e0", "e2"], ["e1"], everything]


def test_cooldown_outlasts_a_short_gap_in_the_list():
    async def step(instance):
        note_cooldown(instance, "e1")
        instance.directory.remove("e1")
        instance.directory.update(fakes.make_endpoint(1))
        return instance.list_for()

    assert run(step) == ["e0", "e2"]


def test_retry_after_is_the_end_of_the_first_cooldown():
    async def step(instance):
        exchange = fakes.make_exchange()
        seen = [instance.candidates.find_retry_after(exchange, set())]
        note_cooldown(instance, "e0", 5.0)
        seen.append(instance.candidates.find_retry_after(exchange, set()))
        note_cooldown(instance, "e1", 3.0)
        predicted_s = instance.candidates.predict_availability(exchange, set())
        advice = instance.candidates.find_retry_after(exchange, set())
        return seen, predicted_s, advice

    seen, predicted_s, advice = run(step, 2)
    assert (seen, predicted_s) == ([None, None], 3.0)
    assert 3.0 <= advice.after_s <= 3.0 + candidates.COOLDOWN_SPREAD_S
    assert advice.reason == "endpoints ask for rest"


def test_earlier_of_cooldown_and_rate_limit_counts():
    async def step(instance):
        note_cooldown(instance, "e0", 5.0)
        now_s = asyncio.get_running_loop().time()
        limit = ratelimits.StatedLimit(0.01)
        instance.limits.note_answer("e1", limit, now_s)
        exchange = fakes.make_exchange()
        for _ in range(3):
            instance.list_for()
            instance.limits.take("e1")
        return (
            instance.candidates.predict_availability(exchange, set()),
            instance.candidates.find_retry_after(exchange, set()).reason,
        )

    assert run(step, 2) == (5.0, "endpoints ask for rest")


def test_callers_of_an_evacuated_service_get_a_time():
    async def step(instance):
        exchange = fakes.make_exchange()
        before = instance.candidates.find_retry_after(exchange, set())
        seen = [instance.list_for()]
        instance.directory.set_evacuated(frozenset({"osu-hall"}))
        seen.append(instance.list_for())
        return (
            before,
            seen,
            instance.candidates.find_retry_after(exchange, set()),
        )

    before, seen, advice = run(step)
    assert (before, seen) == (None, [["e0", "e1", "e2"], []])
    assert 1.0 <= advice.after_s <= 2.0
    assert "evacuated" in advice.reason


ACCRA = frozenset({"accra"})
KUMASI = frozenset({"kumasi"})


def test_home_regions_bind_each_kind_of_selection():
    async def step(instance):
        instance.add(1, "oda-hall")
        instance.add(2, "nowhere-hall")
        long = candidates.MAX_PROBE_TOKENS + 1
        seen = [
            instance.list_for(homes=ACCRA),
            instance.list_for(long, homes=KUMASI),
            instance.list_for(homes=ACCRA | KUMASI),
            instance.list_for(homes=frozenset()),
            instance.list_for(),
        ]
        # No failure or cool-down leads out of the regions.
        now_s = asyncio.get_running_loop().time()
        instance.health.note_unreachable("e0", "osu-hall", now_s)
        seen.append(instance.list_for(homes=ACCRA))
        seen.append(instance.list_for(avoid=["e0"], homes=ACCRA))
        note_cooldown(instance, "e1")
        seen.append(instance.list_for(homes=KUMASI))
        return seen

    assert run(step) == [
        ["e0"],
        ["e1"],
        ["e0", "e1"],
        [],
        ["e0", "e1", "e2"],
        ["e0"],
        [],
        [],
    ]


def test_cache_follows_the_directory_for_each_set_of_home_regions():
    # An endpoint whose data centre changed must not be used from the cache.
    async def step(instance):
        seen = [instance.list_for(homes=ACCRA), instance.list_for()]
        instance.add(0, "oda-hall")
        seen += [instance.list_for(homes=ACCRA), instance.list_for()]
        seen.append(instance.list_for(homes=KUMASI))
        return seen

    assert run(step, 1) == [["e0"], ["e0"], [], ["e0"], ["e0"]]


def test_unknown_regions_leave_a_bound_exchange_no_endpoint():
    async def step(instance):
        instance = Instance(1, {})
        exchange = fakes.make_exchange(home_regions=ACCRA)
        return (
            instance.list_for(homes=ACCRA),
            instance.list_for(),
            instance.candidates.find_home_shortage(exchange),
        )

    shortage = candidates.HomeShortage(is_final=False, listed=1, unknown=1)
    assert run(step) == ([], ["e0"], shortage)


def test_home_shortage_is_final_if_no_data_centre_is_in_the_regions():
    async def step(instance):
        found = []
        for homes in (None, ACCRA, KUMASI, frozenset({"tamale"}), frozenset()):
            exchange = fakes.make_exchange(home_regions=homes)
            shortage = instance.candidates.find_home_shortage(exchange)
            found.append(shortage and shortage.is_final)
        return found

    assert run(step) == [None, None, False, True, True]


def test_large_pool_is_searched_for_a_region_that_the_subset_lacks():
    async def step(instance):
        for number in range(subsets.SUBSET_SIZE + 50):
            instance.add(number, "osu-hall")
        instance.add(999, "oda-hall")
        return instance.list_for(homes=KUMASI)

    assert run(step, 0) == ["e999"]


def run_cold(step, count=2, has_bounds=True):
    async def main():
        return await step(Instance(count, has_bounds=has_bounds))

    return virtualloop.run(main())


def place(instance, endpoint_id, count):
    now_s = asyncio.get_running_loop().time()
    for _ in range(count):
        instance.placed.note(endpoint_id, now_s)


def list_cold(instance, service=COLD, tokens=0):
    exchange = fakes.make_exchange(service=service, prompt_tokens=tokens)
    found = instance.candidates.list_for(exchange, set())
    return [endpoint.endpoint_id for endpoint in found]


def test_endpoint_at_the_bound_for_cold_ones_is_left_out_for_a_second():
    async def step(instance):
        place(instance, "e0", 4)
        seen = [list_cold(instance)]
        # The instance's own plain calls count too.
        instance.candidates.note_called("e0")
        seen.append(list_cold(instance))
        seen.append(list_cold(instance, tokens=200_000))
        await asyncio.sleep(recentcounts.WINDOW_S)
        seen.append(list_cold(instance))
        return seen

    assert run_cold(step) == [["e0", "e1"], ["e1"], ["e1"], ["e0", "e1"]]


def test_endpoint_with_room_is_used_although_it_failed():
    async def step(instance):
        place(instance, "e0", 5)
        now_s = asyncio.get_running_loop().time()
        instance.health.note_unreachable("e1", "osu-hall", now_s)
        return list_cold(instance)

    assert run_cold(step) == ["e1"]


def test_exchange_waits_until_an_endpoint_is_below_the_bound():
    async def step(instance):
        for name in ("e0", "e1"):
            place(instance, name, 5)
            await asyncio.sleep(0.2)
        exchange = fakes.make_exchange(service=COLD)
        wait_s = instance.candidates.predict_availability(exchange, set())
        advice = instance.candidates.find_retry_after(exchange, set())
        listed = list_cold(instance)
        await asyncio.sleep(wait_s)
        later = instance.candidates.predict_availability(exchange, set())
        return listed, wait_s, advice, list_cold(instance), later

    listed, wait_s, advice, later, later_s = run_cold(step)
    assert listed == []
    assert round(wait_s, 3) == 0.7
    assert 0.7 <= advice.after_s <= 1.7
    assert advice.reason == "endpoints that may be cold have no room"
    assert (later, later_s) == (["e0"], None)


def test_bound_applies_only_with_bounds_and_a_cold_rate():
    async def step(instance):
        place(instance, "e0", 500)
        place(instance, "e1", 500)
        exchange = fakes.make_exchange(service=COLD)
        return (
            list_cold(instance),
            list_cold(instance, fakes.SERVICE),
            instance.candidates.predict_availability(exchange, set()),
        )

    assert run_cold(step, has_bounds=False) == (
        ["e0", "e1"],
        ["e0", "e1"],
        None,
    )
    assert run_cold(step)[:2] == ([], ["e0", "e1"])
