"""What is held for a caller that reads slowly, and when it is cut."""

import asyncio
import contextlib

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.exchange import callerbuffer
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import memoryaccount
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop

LIMIT = 10_000_000
ANSWERS = memoryaccount.Kind.ANSWERS


class SlowSink(fakes.MemorySink):
    """A caller that takes a number of bytes a second."""

    def __init__(self, bytes_per_s):
        super().__init__()
        self.bytes_per_s = bytes_per_s
        self.cuts = 0

    def fits(self, size):
        return self.bytes_per_s > 1e9

    async def write(self, data):
        if self.bytes_per_s == 0:
            raise asyncio.CancelledError
        await asyncio.sleep(len(data) / self.bytes_per_s)
        await super().write(data)

    def cut(self):
        self.cuts += 1


def run(step, bytes_per_s):
    """Runs a step with a buffer; returns its result and the parts."""

    async def main():
        metrics = metric_store.Metrics()
        account = memoryaccount.MemoryAccount(LIMIT, metrics)
        sink = SlowSink(bytes_per_s)
        timers = timer_service.LoopTimers()
        with (
            account.open_share() as share,
            callerbuffer.open_buffer(
                sink, share, "q1", timers, metrics
            ) as buffer,
        ):
            await buffer.begin(200, (), None)
            result = await step(buffer)
        return result, sink, account, metrics

    return virtualloop.run(main())


async def write_all(buffer, count, size=50_000):
    longest_s = 0.0
    loop = asyncio.get_running_loop()
    for number in range(count):
        begun_s = loop.time()
        await buffer.write(bytes([number]) * size)
        longest_s = max(longest_s, loop.time() - begun_s)
    return longest_s


def test_slow_caller_gets_all_in_order_and_the_endpoint_is_read_in_time():
    async def step(buffer):
        longest_s = await write_all(buffer, 20)
        await buffer.finish()
        return longest_s

    longest_s, sink, account, metrics = run(step, 20_000)
    assert longest_s <= callerbuffer.READ_DELAY_S
    assert sink.body == b"".join(bytes([n]) * 50_000 for n in range(20))
    assert (sink.finished, sink.cuts, account.total) == (True, 0, 0)
    assert metrics.counts == {"memory.callers_behind": 1}


def test_caller_whose_share_is_used_up_is_cut_and_not_finished():
    async def step(buffer):
        with pytest.raises(failures.FailureError) as caught:
            await write_all(buffer, 100)
        return caught.value.failure, buffer._share.held[ANSWERS]

    (failure, held), sink, account, metrics = run(step, 1_000)
    assert failure.code is failures.FailureCode.STREAM_CUT
    assert 2_000_000 <= held <= memoryaccount.KIND_FRACTION * LIMIT
    assert (sink.finished, sink.cuts, account.total) == (False, 1, 0)
    assert metrics.counts["memory.callers_cut"] == 1


def test_caller_with_a_slower_link_than_the_endpoint_is_not_cut():
    # Without delays, 5 MB at once would exceed the share of 3 MB.
    async def step(buffer):
        await write_all(buffer, 100)
        await buffer.finish()

    _, sink, _, _ = run(step, 3_000_000)
    assert (len(sink.body), sink.finished) == (5_000_000, True)


def test_fast_caller_holds_nothing():
    async def step(buffer):
        await write_all(buffer, 5)
        await buffer.finish()

    _, sink, _, metrics = run(step, 1e12)
    assert (len(sink.body), metrics.counts) == (250_000, {})


def test_disconnect_of_a_slow_caller_cancels_its_exchange():
    async def step(buffer):
        with contextlib.suppress(asyncio.CancelledError):
            await write_all(buffer, 3)
            return "went on"
        return "cancelled"

    result, _, account, _ = run(step, 0)
    assert (result, account.total) == ("cancelled", 0)


def test_buffered_answer_is_refused_beyond_the_bound():
    async def step(buffer):
        seen = [await buffer.reserve(2_500_000)]
        seen.append(await buffer.reserve(2_500_000))
        return seen

    assert run(step, 1e12)[0] == [True, False]
