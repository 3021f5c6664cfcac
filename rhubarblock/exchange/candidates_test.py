"""Which endpoints an exchange may go to, as they come, leave and fail."""

import asyncio
import dataclasses
import random

from rhubarblock.core import ratelimit as ratelimits
from rhubarblock.exchange import candidates
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import cooldowns
from rhubarblock.routing import health as healths


class Side:
    def __init__(self, count):
        timers = timer_service.LoopTimers()
        self.directory = directories.Directory(timers)
        self.health = healths.Health("osu-hall")
        self.limits = fakes.make_limits(timers)
        self.rests = cooldowns.Cooldowns(metric_store.Metrics())
        self.candidates = candidates.Candidates(
            self.directory,
            self.health,
            subsets.Subsets(self.directory),
            self.limits,
            self.rests,
            "i1",
            "osu-hall",
            timers,
            random.Random(1),
        )
        for number in range(count):
            self.directory.update(fakes.make_endpoint(number))

    def list_for(self, tokens=0, avoid=()):
        exchange = fakes.make_exchange(prompt_tokens=tokens)
        found = self.candidates.list_for(exchange, set(avoid))
        return [endpoint.endpoint_id for endpoint in found]


def run(step, count=3):
    async def main():
        return await step(Side(count))

    return virtualloop.run(main())


def test_endpoint_that_leaves_is_no_candidate_from_that_moment():
    async def step(side):
        seen = [side.list_for()]
        leaving = dataclasses.replace(fakes.make_endpoint(1), draining=True)
        side.directory.update(leaving)
        seen.append(side.list_for())
        side.directory.remove("e0")
        seen.append(side.list_for())
        side.directory.update(fakes.make_endpoint(3))
        seen.append(side.list_for())
        return seen

    assert run(step) == [
        ["e0", "e1", "e2"],
        ["e0", "e2"],
        ["e2"],
        ["e2", "e3"],
    ]


def test_endpoint_that_failed_comes_back_with_short_work():
    async def step(side):
        now_s = asyncio.get_running_loop().time()
        side.health.note_unreachable("e1", "osu-hall", now_s)
        seen = [side.list_for()]
        await asyncio.sleep(healths.FIRST_S)
        seen.append(side.list_for(candidates.TRIAL_TOKENS))
        seen.append(side.list_for(candidates.TRIAL_TOKENS + 1))
        return seen

    assert run(step) == [["e0", "e2"], ["e0", "e1", "e2"], ["e0", "e2"]]


def test_all_are_candidates_where_none_is_sound():
    async def step(side):
        now_s = asyncio.get_running_loop().time()
        for name in ("e0", "e1"):
            side.health.note_unreachable(name, "osu-hall", now_s)
        return side.list_for(), side.list_for(avoid=["e1"])

    assert run(step, 2) == (["e0", "e1"], ["e0"])


def note_rest(side, name, length_s=3.0):
    side.rests.note(name, length_s, asyncio.get_running_loop().time())


def test_endpoint_that_asked_for_rest_is_no_candidate_for_any_work():
    async def step(side):
        note_rest(side, "e1")
        now_s = asyncio.get_running_loop().time()
        seen = [side.list_for(), side.list_for(candidates.TRIAL_TOKENS + 1)]
        # Not even if all others failed.
        side.health.note_unreachable("e0", "osu-hall", now_s)
        side.health.note_unreachable("e2", "osu-hall", now_s)
        seen.append(side.list_for())
        seen.append(side.list_for(avoid=["e0", "e2"]))
        return seen

    assert run(step) == [["e0", "e2"], ["e0", "e2"], ["e0", "e2"], []]


def test_one_request_tries_an_endpoint_after_its_rest():
    async def step(side):
        note_rest(side, "e1")
        await asyncio.sleep(3.0)
        seen = [side.list_for()]
        side.rests.note_chosen("e1", asyncio.get_running_loop().time())
        seen.append(side.list_for())
        # It is used where nothing else is left.
        seen.append(side.list_for(avoid=["e0", "e2"]))
        side.rests.note_accepted("e1")
        seen.append(side.list_for())
        return seen

    everything = ["e0", "e1", "e2"]
    assert run(step) == [everything, ["e0", "e2"], ["e1"], everything]


def test_rest_outlasts_an_entry_that_is_not_listed_for_a_moment():
    async def step(side):
        note_rest(side, "e1")
        side.directory.remove("e1")
        side.directory.update(fakes.make_endpoint(1))
        return side.list_for()

    assert run(step) == ["e0", "e2"]


def test_caller_is_told_when_the_first_rest_ends():
    async def step(side):
        exchange = fakes.make_exchange()
        seen = [side.candidates.find_return(exchange, set())]
        note_rest(side, "e0", 5.0)
        seen.append(side.candidates.find_return(exchange, set()))
        note_rest(side, "e1", 3.0)
        predicted_s = side.candidates.predict_opening(exchange, set())
        opening = side.candidates.find_return(exchange, set())
        return seen, predicted_s, opening

    seen, predicted_s, opening = run(step, 2)
    assert (seen, predicted_s) == ([None, None], 3.0)
    assert 3.0 <= opening.after_s <= 3.0 + candidates.REST_SPREAD_S
    assert opening.reason == "endpoints ask for rest"


def test_first_of_a_rest_and_a_rate_limit_opens():
    async def step(side):
        note_rest(side, "e0", 5.0)
        now_s = asyncio.get_running_loop().time()
        limit = ratelimits.StatedLimit(0.01)
        side.limits.note_answer("e1", limit, now_s)
        exchange = fakes.make_exchange()
        for _ in range(3):
            side.list_for()
            side.limits.take("e1")
        return (
            side.candidates.predict_opening(exchange, set()),
            side.candidates.find_return(exchange, set()).reason,
        )

    assert run(step, 2) == (5.0, "endpoints ask for rest")
