"""Tests the client of the object API against a small server."""

import asyncio
import contextlib
import json

from aiohttp import web
import pytest

from rhubarblock.core import position as positions
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.platform import names
from rhubarblock.platform import objectstore
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

_Kind = stores.StoreErrorKind


def make_item(name, revision, specification):
    return {
        "metadata": {"name": name, "revision": revision},
        "specification": specification,
    }


def at(revision, era=0):
    return positions.Position(era, revision)


class Text(str):
    """A body that is sent as it is."""


@contextlib.asynccontextmanager
async def open_store(answer, count_call=lambda name: None, eras=None):
    """Opens a client of a server.

    ``answer`` returns the status and body of a call and, if any, its headers;
    None aborts the connection.
    """
    calls = []

    async def handle(request):
        body = await request.text()
        call = (request.method, request.path_qs, body)
        calls.append(call)
        result = answer(len(calls), *call)
        if result is None:
            request.transport.abort()
            return web.Response()
        status, body, *headers = result
        text = body if isinstance(body, Text) else json.dumps(body)
        return web.Response(status=status, text=text, headers=dict(*headers))

    server = web.Server(handle)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with fakes.open_plain_session() as session:
        store = objectstore.PlatformStore(
            session,
            f"127.0.0.1:{port}",
            count_call,
            eras or era_lib.EraTracker(metric_store.Metrics()),
        )
        yield store, calls
    listener.close()
    await server.shutdown(0.1)


def run(answer, step):
    async def main():
        async with open_store(answer) as (store, calls):
            try:
                return await step(store), calls
            except stores.StoreError as error:
                return error.kind, calls

    return asyncio.run(main())


def test_object_is_read():
    found, calls = run(
        lambda *call: (200, make_item("main", 7, {"version": 3})),
        lambda store: store.read("config/main"),
    )
    assert found == stores.StoredObject("config/main", at(7), b'{"version": 3}')
    assert calls == [("GET", "/objects/config/main", "")]


def test_listing_continues_after_the_last_name_of_a_page():
    def answer(number, *call):
        name = "a" if number == 1 else "b"
        page = {
            "items": [make_item(name, number, {})],
            "hasMore": number == 1,
            "storeRevision": 9,
        }
        return 200, page

    page, calls = run(answer, lambda store: store.list_objects("servers/"))
    assert [o.name for o in page.objects] == ["servers/a", "servers/b"]
    assert page.version == at(9)
    assert calls[1][1] == "/objects/servers?after=a"


def test_change_between_two_pages_of_a_listing_is_not_missed():
    """An entry of the first page changes before the second one is read."""

    def answer(number, *call):
        if number == 1:
            items = [make_item("a", 3, {"state": "ready"})]
            return 200, {"items": items, "hasMore": True, "storeRevision": 9}
        if number == 2:
            items = [make_item("b", 12, {})]
            return 200, {"items": items, "hasMore": False, "storeRevision": 12}
        event = {"removed": False, "object": make_item("a", 11, {})}
        return 200, {"events": [event], "storeRevision": 12}

    async def step(store):
        page = await store.list_objects("servers/")
        return await anext(store.watch("servers/", page.version))

    page, calls = run(answer, step)
    (stored,) = page.objects
    assert (stored.name, stored.version) == ("servers/a", at(11))
    assert page.version == at(12)
    assert calls[2][1] == "/objects/servers?watch=9&waitMs=4000"


def test_watch_continues_from_the_stores_revision():
    def answer(number, *call):
        events = [
            {"removed": False, "object": make_item("a", 11, {"x": 1})},
            {"removed": True, "object": make_item("b", 12, None)},
        ]
        if number == 2:
            return 410, {}
        return 200, {"events": events, "storeRevision": 12}

    async def step(store):
        seen = []
        with contextlib.suppress(stores.StoreError):
            async for answer in store.watch("servers/", at(10)):
                seen += [(o.name, o.deleted) for o in answer.objects]
        return seen

    seen, calls = run(answer, step)
    assert seen == [("servers/a", False), ("servers/b", True)]
    assert [call[1] for call in calls] == [
        "/objects/servers?watch=10&waitMs=4000",
        "/objects/servers?watch=12&waitMs=4000",
    ]


def test_object_is_created_and_replaced():
    def answer(number, *call):
        return 200, make_item("i1", 20 + number, {})

    async def step(store):
        created = await store.write(
            "instances/i1", b'{"a": 1}', positions.NOWHERE
        )
        await store.write("instances/i1", b'{"a": 2}', created.version)

    _, calls = run(answer, step)
    assert calls == [
        (
            "POST",
            "/objects/instances",
            '{"metadata": {"name": "i1"}, "specification": {"a": 1}}',
        ),
        (
            "PUT",
            "/objects/instances/i1",
            '{"metadata": {"name": "i1", "revision": 21}, '
            '"specification": {"a": 2}}',
        ),
    ]


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (404, _Kind.NOT_FOUND),
        (409, _Kind.CONFLICT),
        (429, _Kind.RATE_LIMITED),
        (503, _Kind.UNAVAILABLE),
    ],
)
def test_error_statuses_map_to_kinds(status, kind):
    found, _ = run(
        lambda *call: (status, {}), lambda store: store.read("config/main")
    )
    assert found is kind


def test_write_without_an_answer_is_unsure_and_sent_once():
    found, calls = run(
        lambda *call: None,
        lambda store: store.write("instances/i1", b"{}", at(4)),
    )
    assert found is _Kind.UNSURE
    assert len(calls) == 1


def test_read_without_an_answer_is_sent_once():
    found, calls = run(
        lambda *call: None, lambda store: store.read("config/main")
    )
    assert found is _Kind.UNAVAILABLE
    assert len(calls) == 1


def test_calls_are_counted_by_operation_and_by_error():
    counted = []

    def answer(number, method, path, body):
        if method == "POST":
            return 409, {}
        return (429, {}) if path.startswith("/objects/servers") else (404, {})

    async def main():
        async with open_store(answer, counted.append) as (store, _):
            for call in (
                store.read("config/main"),
                store.list_objects("servers/"),
                store.write("instances/i1", b"{}", positions.NOWHERE),
                anext(store.watch("servers/", at(7))),
            ):
                with pytest.raises(stores.StoreError):
                    await call

    asyncio.run(main())
    assert counted == [
        "store.read.config",
        "store.answers.not_found",
        "store.list.servers",
        "store.answers.rate_limited",
        "store.write.instances",
        "store.answers.conflict",
        "store.watch.servers",
        "store.answers.rate_limited",
    ]


def in_era(era, body, status=200):
    return status, body, {names.STORE_ERA: str(era)}


def run_eras(answers, step):
    """Serves the answers in turn; returns the result, calls and the era."""
    eras = era_lib.EraTracker(metric_store.Metrics())

    async def main():
        answer = lambda number, *call: answers[number - 1]  # noqa: E731
        async with open_store(answer, eras=eras) as (store, calls):
            try:
                found = await step(store)
            except stores.StoreError as error:
                found = error.kind
            return found, len(calls), eras.current

    return asyncio.run(main())


def test_position_holds_the_era_of_the_answer():
    found, _, era = run_eras(
        [in_era(4, make_item("main", 7, {}))],
        lambda store: store.read("config/main"),
    )
    assert (found.version, era) == (at(7, 4), 4)


def test_era_is_read_from_an_error_response():
    found, _, era = run_eras(
        [in_era(4, {}, 503)], lambda store: store.read("config/main")
    )
    assert (found, era) == (_Kind.UNAVAILABLE, 4)


def test_listing_across_two_eras_is_a_conflict():
    page = {"items": [make_item("a", 1, {})], "storeRevision": 9}
    found, _, era = run_eras(
        [in_era(4, page | {"hasMore": True}), in_era(5, page)],
        lambda store: store.list_objects("servers/"),
    )
    assert (found, era) == (_Kind.CONFLICT, 5)


@pytest.mark.parametrize("revision", [7, 12])
def test_watch_ends_when_the_era_changes(revision):
    """The new era's revision may be above the last one that was seen."""

    async def step(store):
        async for _ in store.watch("servers/", at(10, 4)):
            pass

    found, calls, era = run_eras(
        [
            in_era(4, {"events": [], "storeRevision": 11}),
            in_era(5, {"events": [], "storeRevision": revision}),
        ],
        step,
    )
    assert (found, calls, era) == (_Kind.CONFLICT, 2, 5)


def test_answer_of_an_ended_era_is_dropped():
    async def step(store):
        await store.read("config/main")
        return await store.read("config/main")

    item = make_item("main", 7, {})
    found, _, era = run_eras([in_era(5, item), in_era(4, item)], step)
    assert (found, era) == (_Kind.OUTDATED, 5)


@pytest.mark.parametrize("text", ["", "five", "-1", "9" * 30])
def test_answer_without_an_era_is_rejected_once_an_era_is_known(text):
    async def step(store):
        await store.read("config/main")
        return await store.read("config/main")

    item = make_item("main", 7, {})
    found, _, era = run_eras([in_era(5, item), in_era(text, item)], step)
    assert (found, era) == (_Kind.UNAVAILABLE, 5)


def test_expected_version_of_an_ended_era_is_not_sent():
    """Another write may have got the same revision in the new era."""

    async def step(store):
        first = await store.read("instances/i1")
        await store.read("instances/i1")
        await store.write("instances/i1", b"{}", first.version)

    item = make_item("i1", 7, {})
    found, calls, _ = run_eras([in_era(4, item), in_era(5, item)], step)
    assert (found, calls) == (_Kind.CONFLICT, 2)


def test_watch_waits_as_long_as_asked_and_reports_evacuations():
    # An entry that is being deleted still counts until it is removed.
    deleting = make_item("osu", 11, None)
    deleting["metadata"]["deletionRequested"] = True

    def answer(number, *call):
        events = [{"removed": False, "object": deleting}]
        if number == 2:
            return 410, {}
        return 200, {"events": events, "storeRevision": 12}

    async def step(store):
        seen = []
        with contextlib.suppress(stores.StoreError):
            async for answer in store.watch("evacuations/", at(10), 1.5):
                seen += [(o.name, o.deleted) for o in answer.objects]
        return seen

    seen, calls = run(answer, step)
    assert seen == [("evacuations/osu", False)]
    assert calls[0][1] == "/objects/evacuations?watch=10&waitMs=1500"


def test_entry_that_is_nested_too_deeply_leaves_the_others_readable():
    async def main(depth):
        nested = "[" * depth + "]" * depth
        items = [make_item("a", 1, ["nested"]), make_item("b", 2, {})]
        text = json.dumps({"items": items, "storeRevision": 2})
        body = text.replace('"nested"', nested)
        async with open_store(lambda *call: (200, Text(body))) as (store, _):
            page = await store.list_objects("servers/")
            return [(o.name, o.value) for o in page.objects]

    for depth in range(100, 3_000, 29):
        (first, _), second = asyncio.run(main(depth))
        assert first == "servers/a"
        assert second == ("servers/b", b"{}")


@pytest.mark.parametrize(
    "body",
    [
        {},
        [],
        None,
        7,
        {"items": 7, "storeRevision": 1},
        {"items": [7], "storeRevision": 1},
        {"items": [{}], "storeRevision": 1},
        {"items": [], "storeRevision": []},
        {"items": [], "storeRevision": 10**30},
        {"events": [{}], "storeRevision": 1},
        {"events": 7, "storeRevision": 1},
        {"metadata": 7},
    ],
)
def test_answer_without_its_fields_is_an_error_of_the_store(body):
    def answer(*call):
        return 200, body

    async def watch(store):
        return await anext(store.watch("servers/", at(1)))

    for step in (
        lambda store: store.read("config/main"),
        lambda store: store.list_objects("servers/"),
        watch,
    ):
        assert run(answer, step)[0] is _Kind.UNAVAILABLE
    found, _ = run(answer, lambda store: store.write("a/b", b"{}", at(1)))
    assert found is _Kind.UNSURE
