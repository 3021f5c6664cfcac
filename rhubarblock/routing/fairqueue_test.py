"""Tests of the queue's order, fairness and bounds, and of returned tokens."""

import asyncio

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.kernel import virtualloop
from rhubarblock.routing import fairqueue

_Code = failures.FailureCode


class Harness:
    """A queue that dispatches requests into a window of prompt tokens."""

    def __init__(self, window=1_000, weights=None, **settings):
        self.window = window
        self.weights = weights or {}
        self.queue = fairqueue.FairQueue(
            fairqueue.QueueSettings(**settings), self.weigh, lambda: self.window
        )
        self.dispatched = []
        self.permits = {}
        self.tasks = []

    def weigh(self, request):
        return self.weights.get(request.workspace, 1.0)

    def send(self, name, tokens=1_000, workspace="a/a", start_s=1e6):
        """Queues a request; it holds its window tokens until it is released."""
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
            async with self.queue.acquire(request, start_s) as permit:
                self.dispatched.append(name)
                self.permits[name] = permit
                await asyncio.get_running_loop().create_future()

        # The event loop keeps only weak references to tasks.
        self.tasks.append(asyncio.ensure_future(take()))
        return self.tasks[-1]

    async def release(self, name):
        """Ends the prefill of a dispatched request."""
        self.permits[name].release()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def run(body):
    async def main():
        return await body()

    return virtualloop.run(main())


async def release_all(harness, count):
    """Releases one request after another; returns their dispatch order."""
    for position in range(count):
        await harness.release(harness.dispatched[position])
    return harness.dispatched[:count]


def test_no_request_waits_while_it_fits_into_the_window():
    async def body():
        harness = Harness(window=2_000)
        for name in "abc":
            harness.send(name)
        await asyncio.sleep(0)
        return list(harness.dispatched), harness.queue.waiting

    assert run(body) == (["a", "b"], 1)


def test_flows_share_the_window_by_tokens_and_not_by_requests():
    """One flow sends prompts of 4,000 tokens, the other of 1,000."""

    async def body():
        harness = Harness(window=4_000)
        for number in range(5):
            harness.send(f"L{number}", 4_000, "a/long")
        for number in range(16):
            harness.send(f"s{number}", 1_000, "a/short")
        await asyncio.sleep(0)
        order = await release_all(harness, 15)
        return [name[0] for name in order].count("L")

    # 15 requests of equal shares: 3 of 4,000 tokens and 12 of 1,000.
    assert run(body) == 3


def test_changed_weights_apply_at_once():
    async def body():
        harness = Harness(weights={"a/a": 1.0, "a/b": 1.0})
        for number in range(20):
            harness.send(f"a{number}", workspace="a/a")
            harness.send(f"b{number}", workspace="a/b")
        await asyncio.sleep(0)
        equal = await release_all(harness, 8)
        harness.weights["a/b"] = 3.0
        harness.send("b+", workspace="a/b")
        await asyncio.sleep(0)
        # Charges from before the change are balanced within two requests.
        await release_all(harness, 10)
        weighted = (await release_all(harness, 22))[10:]
        return [
            [name[0] for name in names].count("b")
            for names in (equal, weighted)
        ]

    assert run(body) == [4, 9]


def test_least_slack_goes_first_within_a_flow():
    async def body():
        harness = Harness()
        for name, start_s in (("a", 9.0), ("b", 8.0), ("c", 5.0), ("d", 6.0)):
            harness.send(name, start_s=start_s)
        await asyncio.sleep(0)
        return await release_all(harness, 4)

    assert run(body) == ["a", "c", "d", "b"]


def test_long_prompt_is_not_starved_by_short_ones():
    """Short prompts keep arriving and would fit beside the dispatched ones."""

    async def body():
        harness = Harness(window=4_000)
        for number in range(4):
            harness.send(f"s{number}", workspace="a/short")
        await asyncio.sleep(0)
        harness.send("L", 100_000, "a/long")
        released = 0
        while "L" not in harness.dispatched:
            harness.send(f"t{released}", workspace="a/short")
            await harness.release(harness.dispatched[released])
            released += 1
        return released

    # It goes as soon as the four dispatched before it are computed.
    assert run(body) == 4


def test_long_prompt_does_not_fill_the_window():
    async def body():
        harness = Harness(window=40_000)
        harness.send("L", 900_000)
        harness.send("s", 8_000)
        await asyncio.sleep(0)
        return harness.dispatched

    assert run(body) == ["L", "s"]


def test_idle_flow_accumulates_no_credit():
    async def body():
        harness = Harness()
        for number in range(6):
            harness.send(f"a{number}", workspace="a/a")
        await asyncio.sleep(0)
        await release_all(harness, 4)
        for number in range(3):
            harness.send(f"b{number}", workspace="a/b")
        await asyncio.sleep(0)
        return (await release_all(harness, 8))[4:]

    assert run(body) == ["a4", "b0", "a5", "b1"]


@pytest.mark.parametrize("bounds", [{"entries": 2}, {"queued_bytes": 11}])
def test_full_queue_refuses_requests(bounds):
    async def body():
        harness = Harness(**bounds)
        tasks = [harness.send(name) for name in "abcd"]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return harness.dispatched, harness.queue.waiting, tasks[3].exception()

    dispatched, waiting, error = run(body)
    assert (dispatched, waiting) == (["a"], 2)
    assert error.failure.code is _Code.QUEUE_FULL
    assert error.failure.retry_after_s == 1.0


def test_request_that_waits_too_long_is_refused():
    async def body():
        harness = Harness()
        tasks = [harness.send("a"), harness.send("b", start_s=5.0)]
        await asyncio.sleep(6.0)
        return harness.queue.waiting, tasks[1].exception()

    waiting, error = run(body)
    assert waiting == 0
    assert error.failure.code is _Code.DEADLINE_UNREACHABLE
    assert error.failure.verdict.value == "NOT_RUN"


def test_cancelled_requests_return_their_window_tokens():
    """Covers a waiting, a just dispatched and a running request."""

    async def body():
        harness = Harness()
        tasks = {name: harness.send(name) for name in "abcd"}
        await asyncio.sleep(0)
        tasks["b"].cancel()
        await asyncio.sleep(0)
        harness.permits["a"].release()
        tasks["c"].cancel()
        for _ in range(4):
            await asyncio.sleep(0)
        assert harness.dispatched == ["a", "d"]
        tasks["d"].cancel()
        await asyncio.sleep(0)
        harness.send("e")
        await asyncio.sleep(0)
        return harness.dispatched, harness.queue.waiting

    assert run(body) == (["a", "d", "e"], 0)


def test_waiter_that_is_cancelled_at_the_moment_of_dispatch_is_skipped():
    """Its future is cancelled, but its task has not run since."""

    async def body():
        harness = Harness()
        tasks = {name: harness.send(name) for name in "abc"}
        await asyncio.sleep(0)
        tasks["b"].cancel()
        await harness.release("a")
        return harness.dispatched, harness.queue.waiting

    assert run(body) == (["a", "c"], 0)


def test_waiters_behind_a_cancelled_one_are_dispatched():
    """The head of the queue did not fit; the request behind it does."""

    async def body():
        harness = Harness(window=3_000)
        harness.send("a", 2_000)
        large = harness.send("b", 2_000)
        await asyncio.sleep(0)
        harness.send("c", 1_000)
        await asyncio.sleep(0)
        assert harness.dispatched == ["a"]
        large.cancel()
        for _ in range(4):
            await asyncio.sleep(0)
        return harness.dispatched

    assert run(body) == ["a", "c"]


def test_predicted_wait_is_zero_only_without_waiters():
    async def body():
        harness = Harness(window=1_000)
        before = harness.queue.predict_wait()
        for name in "abc":
            harness.send(name)
        await asyncio.sleep(0)
        return before, harness.queue.predict_wait() > 0

    assert run(body) == (0.0, True)
