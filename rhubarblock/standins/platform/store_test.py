"""Tests of the stand-in object API: its guarantees, limits and faults."""

import asyncio
import random

import pytest

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


def at(revision: int) -> positions.Position:
    return positions.Position(0, revision)


def make_store(**settings) -> platform.MemoryStore:
    return platform.MemoryStore(
        timer_service.LoopTimers(wall_offset_s=0.0),
        random.Random(1),
        platform.PlatformSettings(**settings),
    )


async def catch_error_kind(awaitable) -> stores.StoreErrorKind:
    with pytest.raises(stores.StoreError) as caught:
        await awaitable
    return caught.value.kind


async def take_events(
    events, count: int
) -> list[tuple[str, positions.Position]]:
    taken = []
    async for answer in events:
        taken += [(stored.name, stored.version) for stored in answer.objects]
        if len(taken) == count:
            break
    return taken


def test_writes_and_deletes_need_the_current_version() -> None:
    async def main() -> None:
        store = make_store()
        first = await store.write("a/1", b"x", positions.NOWHERE)
        assert first == stores.StoredObject("a/1", at(1), b"x")
        assert (
            await catch_error_kind(store.write("a/1", b"y", positions.NOWHERE))
            is _Kind.CONFLICT
        )
        second = await store.write("a/1", b"y", at(1))
        assert second.version == at(2)
        assert (
            await catch_error_kind(store.delete("a/1", at(1))) is _Kind.CONFLICT
        )
        await store.delete("a/1", at(2))
        assert await catch_error_kind(store.read("a/1")) is _Kind.NOT_FOUND
        assert (
            await catch_error_kind(store.delete("a/1", at(2)))
            is _Kind.NOT_FOUND
        )
        assert (
            await store.write("a/1", b"z", positions.NOWHERE)
        ).version == at(4)

    virtualloop.run(main())


def test_one_of_two_concurrent_writes_wins() -> None:
    async def main() -> None:
        store = make_store()
        outcomes = await asyncio.gather(
            store.connect("a").write("a/1", b"a", positions.NOWHERE),
            store.connect("b").write("a/1", b"b", positions.NOWHERE),
            return_exceptions=True,
        )
        errors = [o for o in outcomes if isinstance(o, stores.StoreError)]
        assert [e.kind for e in errors] == [_Kind.CONFLICT]

    virtualloop.run(main())


def test_value_over_the_size_limit_is_refused() -> None:
    async def main() -> None:
        store = make_store()
        await store.write("a/1", bytes(1_000_000), positions.NOWHERE)
        too_large = store.write("a/2", bytes(1_000_001), positions.NOWHERE)
        assert await catch_error_kind(too_large) is _Kind.TOO_LARGE

    virtualloop.run(main())


def test_listing_is_sorted_and_has_the_latest_version() -> None:
    async def main() -> None:
        store = make_store()
        await store.write("a/2", b"", positions.NOWHERE)
        await store.write("a/1", b"", positions.NOWHERE)
        await store.write("b/1", b"", positions.NOWHERE)
        page = await store.list_objects("a/")
        assert [o.name for o in page.objects] == ["a/1", "a/2"]
        assert page.version == at(3)

    virtualloop.run(main())


def test_watch_yields_past_and_new_events_without_a_gap() -> None:
    async def main() -> None:
        store = make_store()
        await store.write("a/1", b"", positions.NOWHERE)
        await store.write("a/2", b"", positions.NOWHERE)
        watching = asyncio.ensure_future(
            take_events(store.watch("a/", at(1)), 3)
        )
        await asyncio.sleep(1)
        await store.write("b/1", b"", positions.NOWHERE)
        await store.write("a/3", b"", positions.NOWHERE)
        await store.delete("a/2", at(2))
        assert await watching == [
            ("a/2", at(2)),
            ("a/3", at(4)),
            ("a/2", at(5)),
        ]

    virtualloop.run(main())


def test_watch_from_before_the_event_window_is_refused() -> None:
    async def main() -> None:
        store = make_store(events_limit=2)
        for number in range(5):
            await store.write(f"a/{number}", b"", positions.NOWHERE)
        assert (
            await catch_error_kind(
                take_events(store.watch("a/", positions.NOWHERE), 1)
            )
            is _Kind.NOT_FOUND
        )
        assert await take_events(store.watch("a/", at(3)), 2) == [
            ("a/3", at(4)),
            ("a/4", at(5)),
        ]

    virtualloop.run(main())


def test_rate_limits_are_shared_by_all_clients() -> None:
    async def main() -> None:
        store = make_store(writes_per_s=2, latency_s=0.0)
        one = store.connect("one")
        two = store.connect("two")
        await one.write("a/1", b"", positions.NOWHERE)
        await two.write("a/2", b"", positions.NOWHERE)
        assert (
            await catch_error_kind(one.write("a/3", b"", positions.NOWHERE))
            is _Kind.RATE_LIMITED
        )
        await asyncio.sleep(0.5)
        await two.write("a/3", b"", positions.NOWHERE)
        assert store.counters["write.rate_limited"] == 1

    virtualloop.run(main())


def test_client_rate_limit_applies_to_each_client() -> None:
    async def main() -> None:
        store = make_store(client_reads_per_s=1, latency_s=0.0)
        one = store.connect("one")
        await one.list_objects("a/")
        assert (
            await catch_error_kind(one.list_objects("a/")) is _Kind.RATE_LIMITED
        )
        await store.connect("two").list_objects("a/")

    virtualloop.run(main())


def test_open_watches_consume_the_read_rate() -> None:
    async def main() -> None:
        store = make_store(reads_per_s=4, latency_s=0.0)
        watching = [
            asyncio.ensure_future(
                take_events(store.watch("a/", positions.NOWHERE), 1)
            )
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        await store.list_objects("a/")
        await asyncio.sleep(1)
        await store.list_objects("a/")
        assert (
            await catch_error_kind(store.list_objects("a/"))
            is _Kind.RATE_LIMITED
        )
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        await asyncio.sleep(1)
        for _ in range(4):
            await store.list_objects("a/")

    virtualloop.run(main())


def test_lost_answers_and_lost_writes_are_unsure() -> None:
    async def main() -> None:
        store = make_store()
        store.faults.lose_answers_next = 1
        assert (
            await catch_error_kind(store.write("a/1", b"x", positions.NOWHERE))
            is _Kind.UNSURE
        )
        assert (await store.read("a/1")).value == b"x"
        store.faults.lose_before_next = 1
        assert (
            await catch_error_kind(store.write("a/1", b"y", at(1)))
            is _Kind.UNSURE
        )
        assert (await store.read("a/1")).value == b"x"
        await store.write("a/1", b"z", at(1))

    virtualloop.run(main())


def test_outage_refuses_calls_and_closes_watches() -> None:
    async def main() -> None:
        store = make_store()
        watching = asyncio.ensure_future(
            take_events(store.watch("a/", positions.NOWHERE), 1)
        )
        await asyncio.sleep(1)
        store.faults.start_outage()
        assert await watching == []
        assert await catch_error_kind(store.read("a/1")) is _Kind.UNAVAILABLE
        assert (
            await catch_error_kind(store.write("a/1", b"", positions.NOWHERE))
            is _Kind.UNAVAILABLE
        )
        store.faults.end_outage()
        await store.write("a/1", b"", positions.NOWHERE)

    virtualloop.run(main())


def test_client_that_is_cut_off_cannot_call_until_it_rejoins() -> None:
    async def main() -> None:
        store = make_store()
        one = store.connect("one")
        watching = asyncio.ensure_future(
            take_events(one.watch("a/", positions.NOWHERE), 1)
        )
        await asyncio.sleep(1)
        one.cut_off()
        assert await catch_error_kind(one.read("a/1")) is _Kind.UNAVAILABLE
        assert (
            await catch_error_kind(one.write("a/1", b"", positions.NOWHERE))
            is _Kind.UNSURE
        )
        await store.connect("two").write("a/1", b"", positions.NOWHERE)
        assert not watching.done()
        one.join()
        assert await watching == []
        assert (await one.read("a/1")).version == at(1)

    virtualloop.run(main())


def test_cutting_a_client_off_during_a_write_loses_the_answer() -> None:
    async def main() -> None:
        store = make_store(latency_s=1.0)
        one = store.connect("one")
        writing = asyncio.ensure_future(
            catch_error_kind(one.write("a/1", b"x", positions.NOWHERE))
        )
        while store.state.version == positions.NOWHERE:
            await asyncio.sleep(0.01)
        one.cut_off()
        assert await writing is _Kind.UNSURE
        assert store.state.find("a/1") is not None

    virtualloop.run(main())


def test_stale_reads_return_an_older_state() -> None:
    async def main() -> None:
        store = make_store()
        await store.write("a/1", b"old", positions.NOWHERE)
        await asyncio.sleep(10)
        await store.write("a/1", b"new", at(1))
        await store.write("a/2", b"new", positions.NOWHERE)
        store.faults.stale_s = 5
        assert (await store.read("a/1")).value == b"old"
        page = await store.list_objects("a/")
        assert page == stores.Page(
            (stores.StoredObject("a/1", at(1), b"old"),), at(1)
        )
        assert (
            await catch_error_kind(store.write("a/1", b"x", at(1)))
            is _Kind.CONFLICT
        )
        await asyncio.sleep(5)
        assert (await store.read("a/1")).value == b"new"

    virtualloop.run(main())


def test_watch_events_can_be_lost_and_reordered() -> None:
    async def main() -> None:
        store = make_store()
        watching = asyncio.ensure_future(
            take_events(store.watch("a/", positions.NOWHERE), 2)
        )
        await asyncio.sleep(1)
        store.faults.drop_events_share = 1.0
        await store.write("a/1", b"", positions.NOWHERE)
        store.faults.drop_events_share = 0.0
        store.faults.reorder_events_share = 1.0
        await store.write("a/2", b"", positions.NOWHERE)
        await store.write("a/3", b"", positions.NOWHERE)
        assert await watching == [("a/3", at(3)), ("a/2", at(2))]

    virtualloop.run(main())


def test_slow_fault_adds_its_time_to_a_call() -> None:
    async def main() -> float:
        store = make_store()
        store.faults.slow_s = 7.0
        await store.write("a/1", b"", positions.NOWHERE)
        return asyncio.get_running_loop().time()

    assert 7.0 < virtualloop.run(main()) < 7.1
