"""Which endpoints an exchange may go to, as they come, leave and fail."""

import asyncio
import dataclasses

from rhubarblock.exchange import candidates
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import health as healths


class Side:
    def __init__(self, count):
        timers = timer_service.LoopTimers()
        self.directory = directories.Directory(timers)
        self.health = healths.Health("osu-hall")
        self.limits = fakes.make_limits(timers)
        self.candidates = candidates.Candidates(
            self.directory,
            self.health,
            subsets.Subsets(self.directory),
            self.limits,
            "i1",
            "osu-hall",
            timers,
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
        side.health.note_broken("e1", "osu-hall", now_s)
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
            side.health.note_broken(name, "osu-hall", now_s)
        return side.list_for(), side.list_for(avoid=["e1"])

    assert run(step, 2) == (["e0", "e1"], ["e0"])
