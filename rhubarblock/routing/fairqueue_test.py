"""The queue: order, fairness, bounds, and what is given back."""

import asyncio

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import fairqueue

_Code = failures.FailureCode


class Bench:
    """A queue whose requests are let out into a window of prompt tokens."""

    def __init__(self, window=1_000, weights=None, **settings):
        self.window = window
        self.weights = weights or {}
        self.queue = fairqueue.FairQueue(
            fairqueue.QueueSettings(**settings), self.weigh, lambda: self.window
        )
        self.out = []
        self.turns = {}
        self.tasks = []

    def weigh(self, request):
        return self.weights.get(request.workspace, 1.0)

    def send(self, name, tokens=1_000, workspace="a/a", start_s=1e6):
        """Lets a request wait; it keeps its room until it is released."""
        request = requests.PromptRequest(
            name,
            workspace.partition("/")[0],
            workspace,
            "reader",
            requests.RequestClass.INTERACTIVE,
            tokens,
            0,
            start_s,
            name,
            prompt="four",
        )

        async def take():
            async with self.queue.acquire(request, start_s) as turn:
                self.out.append(name)
                self.turns[name] = turn
                await asyncio.get_running_loop().create_future()

        # The loop itself keeps no task alive.
        self.tasks.append(asyncio.ensure_future(take()))
        return self.tasks[-1]

    async def release(self, name):
        """Ends the prefill of a request that is out."""
        self.turns[name].release()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def run(body):
    async def main():
        return await body()

    return virtualloop.run(main())


async def release_all(bench, count):
    """Releases request after request; returns the order they went out in."""
    for position in range(count):
        await bench.release(bench.out[position])
    return bench.out[:count]


def test_nobody_waits_while_the_window_is_open():
    async def body():
        bench = Bench(window=2_000)
        for name in "abc":
            bench.send(name)
        await asyncio.sleep(0)
        return list(bench.out), bench.queue.waiting

    assert run(body) == (["a", "b"], 1)


def test_flows_share_by_tokens_and_not_by_requests():
    """One sends prompts of 4,000 tokens, the other of 1,000."""

    async def body():
        bench = Bench(window=4_000)
        for number in range(5):
            bench.send(f"L{number}", 4_000, "a/long")
        for number in range(16):
            bench.send(f"s{number}", 1_000, "a/short")
        await asyncio.sleep(0)
        order = await release_all(bench, 15)
        return [name[0] for name in order].count("L")

    # 15 requests of equal shares: 3 of 4,000 tokens and 12 of 1,000.
    assert run(body) == 3


def test_weights_hold_from_the_moment_they_change():
    async def body():
        bench = Bench(weights={"a/a": 1.0, "a/b": 1.0})
        for number in range(20):
            bench.send(f"a{number}", workspace="a/a")
            bench.send(f"b{number}", workspace="a/b")
        await asyncio.sleep(0)
        equal = await release_all(bench, 8)
        bench.weights["a/b"] = 3.0
        bench.send("b+", workspace="a/b")
        await asyncio.sleep(0)
        # What was charged before the change is paid within two requests.
        await release_all(bench, 10)
        weighted = (await release_all(bench, 22))[10:]
        return [
            [name[0] for name in names].count("b")
            for names in (equal, weighted)
        ]

    assert run(body) == [4, 9]


def test_least_slack_goes_first_within_a_flow():
    async def body():
        bench = Bench()
        for name, start_s in (("a", 9.0), ("b", 8.0), ("c", 5.0), ("d", 6.0)):
            bench.send(name, start_s=start_s)
        await asyncio.sleep(0)
        return await release_all(bench, 4)

    assert run(body) == ["a", "c", "d", "b"]


def test_long_prompt_is_not_starved_by_short_ones():
    """Short ones keep coming and would fit beside those that are out."""

    async def body():
        bench = Bench(window=4_000)
        for number in range(4):
            bench.send(f"s{number}", workspace="a/short")
        await asyncio.sleep(0)
        bench.send("L", 100_000, "a/long")
        released = 0
        while "L" not in bench.out:
            bench.send(f"t{released}", workspace="a/short")
            await bench.release(bench.out[released])
            released += 1
        return released

    # It goes as soon as the four that were out before it are computed.
    assert run(body) == 4


def test_long_prompt_does_not_close_the_window_for_others():
    async def body():
        bench = Bench(window=40_000)
        bench.send("L", 900_000)
        bench.send("s", 8_000)
        await asyncio.sleep(0)
        return bench.out

    assert run(body) == ["L", "s"]


def test_idle_flow_earns_no_credit():
    async def body():
        bench = Bench()
        for number in range(6):
            bench.send(f"a{number}", workspace="a/a")
        await asyncio.sleep(0)
        await release_all(bench, 4)
        for number in range(3):
            bench.send(f"b{number}", workspace="a/b")
        await asyncio.sleep(0)
        return (await release_all(bench, 8))[4:]

    assert run(body) == ["a4", "b0", "a5", "b1"]


@pytest.mark.parametrize("bounds", [{"entries": 2}, {"queued_bytes": 11}])
def test_full_queue_refuses(bounds):
    async def body():
        bench = Bench(**bounds)
        tasks = [bench.send(name) for name in "abcd"]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return bench.out, bench.queue.waiting, tasks[3].exception()

    out, waiting, error = run(body)
    assert (out, waiting) == (["a"], 2)
    assert error.failure.code is _Code.QUEUE_FULL
    assert error.failure.retry_after_s == 1.0


def test_request_that_waits_too_long_is_refused():
    async def body():
        bench = Bench()
        tasks = [bench.send("a"), bench.send("b", start_s=5.0)]
        await asyncio.sleep(6.0)
        return bench.queue.waiting, tasks[1].exception()

    waiting, error = run(body)
    assert waiting == 0
    assert error.failure.code is _Code.DEADLINE_UNREACHABLE
    assert error.failure.verdict.value == "NOT_RUN"


def test_room_of_those_that_go_away_is_given_back():
    """One that waits, one that was just let out, and one that is out."""

    async def body():
        bench = Bench()
        tasks = {name: bench.send(name) for name in "abcd"}
        await asyncio.sleep(0)
        tasks["b"].cancel()
        await asyncio.sleep(0)
        bench.turns["a"].release()
        tasks["c"].cancel()
        for _ in range(4):
            await asyncio.sleep(0)
        assert bench.out == ["a", "d"]
        tasks["d"].cancel()
        await asyncio.sleep(0)
        bench.send("e")
        await asyncio.sleep(0)
        return bench.out, bench.queue.waiting

    assert run(body) == (["a", "d", "e"], 0)


def test_room_is_not_given_to_one_that_goes_away_at_that_moment():
    """It is cancelled, but its task has not run since."""

    async def body():
        bench = Bench()
        tasks = {name: bench.send(name) for name in "abc"}
        await asyncio.sleep(0)
        tasks["b"].cancel()
        await bench.release("a")
        return bench.out, bench.queue.waiting

    assert run(body) == (["a", "c"], 0)


def test_those_behind_one_that_goes_away_are_let_out():
    """The head did not fit; what waits behind it does."""

    async def body():
        bench = Bench(window=3_000)
        bench.send("a", 2_000)
        large = bench.send("b", 2_000)
        await asyncio.sleep(0)
        bench.send("c", 1_000)
        await asyncio.sleep(0)
        assert bench.out == ["a"]
        large.cancel()
        for _ in range(4):
            await asyncio.sleep(0)
        return bench.out

    assert run(body) == ["a", "c"]


def test_predicted_wait_follows_what_waits():
    async def body():
        bench = Bench(window=1_000)
        before = bench.queue.predict_wait()
        for name in "abc":
            bench.send(name)
        await asyncio.sleep(0)
        return before, bench.queue.predict_wait() > 0

    assert run(body) == (0.0, True)
