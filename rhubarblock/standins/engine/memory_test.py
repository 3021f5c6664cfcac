from rhubarblock.standins.engine import cache as enginecache
from rhubarblock.standins.engine import memory as enginememory
from rhubarblock.standins.engine import settings as enginesettings


class Recorder:
    """Records what a cache stores and evicts."""

    def __init__(self):
        self.lines = []

    def record(self, block, stored):
        self.lines.append(f"{'+' if stored else '-'}{block}")


def make_memory(blocks):
    recorder = Recorder()
    cache = enginecache.PrefixCache(recorder.record)
    capacity = blocks * enginesettings.BLOCK_TOKENS
    return enginememory.KvMemory(capacity, cache), recorder


def test_a_shared_block_counts_once():
    memory, _ = make_memory(10)
    first = memory.reserve(1100, ("b0", "b1"))
    memory.pin_blocks(first, 2)
    second = memory.reserve(1200, ("b0", "b1"))

    assert second.pinned == 2
    assert memory.held_tokens == 1100 + 1200 - 1024


def test_a_block_computed_twice_concurrently_is_stored_once():
    memory, recorder = make_memory(10)
    first = memory.reserve(512, ("b0",))
    second = memory.reserve(512, ("b0",))
    memory.pin_blocks(first, 1)
    memory.pin_blocks(second, 1)

    assert memory.held_tokens == 512
    assert recorder.lines == ["+b0"]


def test_eviction_starts_with_the_last_block_of_the_oldest_prompt():
    memory, recorder = make_memory(4)
    for name in "ab":
        blocks = (f"{name}0", f"{name}1")
        reservation = memory.reserve(1024, blocks)
        memory.pin_blocks(reservation, 2)
        memory.release(reservation)
    recorder.lines.clear()
    memory.reserve(3 * 512, ())

    assert recorder.lines == ["-a1", "-a0", "-b1"]
    assert memory.held_tokens == 3 * 512


def test_pinned_blocks_are_never_evicted():
    memory, recorder = make_memory(3)
    first = memory.reserve(1024, ("b0", "b1"))
    memory.pin_blocks(first, 2)
    recorder.lines.clear()

    assert memory.reserve(1025 - 512 + 1, ()) is None
    # For the same prompt, only the tokens outside the shared blocks must fit.
    assert memory.reserve(1024 + 512, ("b0", "b1")) is not None
    assert recorder.lines == []


def test_reused_idle_blocks_count_against_the_capacity():
    memory, _ = make_memory(3)
    first = memory.reserve(1024, ("b0", "b1"))
    memory.pin_blocks(first, 2)
    memory.release(first)
    memory.reserve(512, ())

    assert memory.reserve(1025, ("b0", "b1")) is None
    assert memory.reserve(1024, ("b0", "b1")).pinned == 2
