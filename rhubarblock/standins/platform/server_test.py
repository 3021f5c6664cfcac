"""Tests of the HTTP client of the object API against the stand-in's server."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

import aiohttp
import pytest

from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins import instancelist
from rhubarblock.standins import instancelist_test
from rhubarblock.standins.platform import server as platformserver
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import httpstore
from rhubarblock.store import instances
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


def at(revision: int) -> positions.Position:
    return positions.Position(0, revision)


@contextlib.asynccontextmanager
async def run_platform(
    **settings,
) -> AsyncIterator[tuple[platform.MemoryStore, httpstore.HttpStore, str]]:
    store = platform.MemoryStore(
        timer_service.LoopTimers(),
        random.Random(1),
        platform.PlatformSettings(latency_s=0.0, **settings),
    )
    store.faults.unsure_after_s = 0.0
    lagging = instancelist.InstanceList(
        store, instancelist.InstanceListSettings(lag_s=0.0)
    )
    async with (
        platformserver.run_server(store, lagging) as url,
        aiohttp.ClientSession() as session,
    ):
        yield store, httpstore.HttpStore(session, url, "one"), url


async def catch_error_kind(awaitable) -> stores.StoreErrorKind:
    with pytest.raises(stores.StoreError) as caught:
        await awaitable
    return caught.value.kind


def test_objects_are_written_read_listed_and_deleted() -> None:
    async def main() -> None:
        async with run_platform() as (_, client, _):
            written = await client.write(
                "a/x y", b"\x00\xff", positions.NOWHERE
            )
            assert written == stores.StoredObject("a/x y", at(1), b"\x00\xff")
            assert await client.read("a/x y") == written
            page = await client.list_objects("a/")
            assert page == stores.Page((written,), at(1))
            assert (
                await catch_error_kind(
                    client.write("a/x y", b"", positions.NOWHERE)
                )
                is _Kind.CONFLICT
            )
            await client.delete("a/x y", at(1))
            assert (
                await catch_error_kind(client.read("a/x y")) is _Kind.NOT_FOUND
            )

    asyncio.run(main())


def test_values_up_to_the_size_limit_pass_through_every_call() -> None:
    async def main() -> None:
        async with run_platform() as (_, client, _):
            value = bytes(range(250)) * 4000
            await client.write("a/1", value, positions.NOWHERE)
            too_large = client.write("a/2", value + b"x", positions.NOWHERE)
            assert await catch_error_kind(too_large) is _Kind.TOO_LARGE
            assert (await client.read("a/1")).value == value
            page = await client.list_objects("a/")
            assert page.objects[0].value == value
            events = client.watch("a/", positions.NOWHERE)
            assert (await anext(events)).objects[0].value == value
            await events.aclose()

    asyncio.run(main())


def test_write_with_a_lost_answer_is_unsure_and_not_retried() -> None:
    async def main() -> None:
        async with run_platform() as (store, client, _):
            await client.write("a/1", b"x", positions.NOWHERE)
            store.faults.lose_answers_next = 1
            assert (
                await catch_error_kind(client.write("a/1", b"y", at(1)))
                is _Kind.UNSURE
            )
            store.faults.lose_answers_next = 1
            assert (
                await catch_error_kind(client.delete("a/1", at(2)))
                is _Kind.UNSURE
            )
            assert store.counters["write"] == 2
            assert store.counters["delete"] == 1
            assert store.state.find("a/1") is None

    asyncio.run(main())


def test_unreachable_platform_is_unavailable() -> None:
    async def main() -> None:
        async with run_platform() as (_, client, _):
            await client.write("a/1", b"x", positions.NOWHERE)
        async with aiohttp.ClientSession() as session:
            client = httpstore.HttpStore(session, "http://127.0.0.1:9")
            assert (
                await catch_error_kind(
                    client.write("a/1", b"", positions.NOWHERE)
                )
                is _Kind.UNAVAILABLE
            )
            assert (
                await catch_error_kind(client.read("a/1")) is _Kind.UNAVAILABLE
            )

    asyncio.run(main())


def test_outage_and_rate_limit_have_their_error_kinds() -> None:
    async def main() -> None:
        async with run_platform(client_writes_per_s=1) as (store, client, _):
            await client.write("a/1", b"", positions.NOWHERE)
            over = client.write("a/2", b"", positions.NOWHERE)
            assert await catch_error_kind(over) is _Kind.RATE_LIMITED
            store.faults.start_outage()
            assert (
                await catch_error_kind(client.read("a/1")) is _Kind.UNAVAILABLE
            )
            watching = anext(client.watch("a/", positions.NOWHERE))
            assert await catch_error_kind(watching) is _Kind.UNAVAILABLE

    asyncio.run(main())


def test_watch_yields_events_and_reports_missing_ones() -> None:
    async def main() -> None:
        async with run_platform(events_limit=1) as (store, client, _):
            events = client.watch("a/", positions.NOWHERE)
            waiting = asyncio.ensure_future(anext(events))
            while not store.counters["watch"]:
                await asyncio.sleep(0.001)
            await client.write("a/1", b"x", positions.NOWHERE)
            assert (await waiting).objects[0].value == b"x"
            await client.delete("a/1", at(1))
            assert (await anext(events)).objects[0].deleted
            store.faults.start_outage()
            assert [e async for e in events] == []
            store.faults.end_outage()
            await client.write("a/2", b"x", positions.NOWHERE)
            late = anext(client.watch("a/", positions.NOWHERE))
            assert await catch_error_kind(late) is _Kind.NOT_FOUND

    asyncio.run(main())


def test_watch_of_a_disconnected_client_ends() -> None:
    async def main() -> None:
        async with run_platform(reads_per_s=1) as (store, client, url):
            async with aiohttp.ClientSession() as session:
                gone = httpstore.HttpStore(session, url, "gone")
                waiting = asyncio.ensure_future(
                    anext(gone.watch("a/", positions.NOWHERE))
                )
                while not store.counters["watch"]:
                    await asyncio.sleep(0.001)
                waiting.cancel()
            async with asyncio.timeout(5):
                while await read_error_kind(client.read("a/1")) is not (
                    _Kind.NOT_FOUND
                ):
                    await asyncio.sleep(0.05)

    asyncio.run(main())


async def read_error_kind(awaitable) -> stores.StoreErrorKind | None:
    try:
        await awaitable
    except stores.StoreError as error:
        return error.kind
    return None


def test_instances_are_served_and_faults_are_set_over_http() -> None:
    async def main() -> None:
        async with (
            run_platform() as (store, client, url),
            aiohttp.ClientSession() as session,
        ):
            instance = instancelist_test.SERVICE_INSTANCE
            await client.write(
                instances.name_object(instance.instance_id),
                instances.encode_instance(instance),
                positions.NOWHERE,
            )
            source = instances.HttpInstanceSource(session, url, "one")
            assert await source.fetch_instances() == [instance]
            faults_url = url + platformserver.FAULTS_PATH
            for fault, status in (({"outage": True}, 200), ({"x": 1}, 400)):
                async with session.post(faults_url, json=fault) as response:
                    assert response.status == status
            assert store.faults.outage
            assert (
                await catch_error_kind(source.fetch_instances())
                is _Kind.UNAVAILABLE
            )

    asyncio.run(main())
