"""State that goes from one instance to another, over real sockets."""

import asyncio
import contextlib
import dataclasses
import json
import types

import aiohttp
from aiohttp import web
import pytest

from rhubarblock.core import document as documents
from rhubarblock.core import listed
from rhubarblock.core import position as positions
from rhubarblock.core import route as routes
from rhubarblock.exchange import dialect as exchange_dialects
from rhubarblock.exchange.state import changelog
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import differencewire
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import feed as statefeed
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.platform import dialect as dialects
from rhubarblock.store import era as era_lib
from rhubarblock.store import store as stores

SUBSET_SIZE = 5


class Dialect(dialects.PlatformDialect):
    """A table is its version and its keys; an entry is its state."""

    def split_configuration(self, value):
        fields = json.loads(value)
        pieces = dict.fromkeys(fields["keys"], "")
        return exchange_dialects.ConfigurationText(fields["version"], pieces)

    def change_table(self, before, document, difference):
        keys = {k: routes.Workspace("w", None) for k in document.pieces}
        version = document.identity.version
        return routes.RoutingTable(
            version, routes.RouteIndex(), {}, keys, routes.CallerBounds()
        )

    def decode_endpoint(self, stored):
        name = stored.name.partition("/")[2]
        is_draining = stored.value == b"draining"
        return listed.ListedEndpoint(name, "a:1", "osu", "pool", 8, is_draining)


class Side:
    """One instance's state, on a lease clock of its own."""

    def __init__(self, name, clock, timers=None, engines=SUBSET_SIZE):
        self.clock = clock
        self.config_lease = config_leases.ConfigurationLease(
            5.0, lambda: clock.now_s
        )
        timers = timers or timer_service.LoopTimers()
        self.directory = directories.Directory(timers)
        self.replica = replicas.StateReplica(
            Dialect(), self.config_lease, self.directory, timers
        )
        self.eras = era_lib.EraTracker(metric_store.Metrics())
        self.eras.listen(self.replica.begin_era)
        self.subsets = subsets.Subsets(self.directory, engines)
        self.server = statefeed.StateServer(
            self.replica,
            self.config_lease,
            self.directory,
            self.subsets,
            name,
            metric_store.Metrics(),
            self.eras,
        )
        self.timers = timers

    def usable(self):
        found = self.directory.list_usable("pool")
        return sorted(e.endpoint_id for e in found)


class Clock:
    now_s = 100.0


def table(version, *keys):
    return json.dumps({"version": version, "keys": keys}).encode()


def entry(name, value=b"ready", deleted=False, version=1, era=0):
    version = positions.Position(era, version)
    return stores.StoredObject(f"servers/{name}", version, value, deleted)


@contextlib.asynccontextmanager
async def open_pair():
    clock = Clock()
    reader, asker = Side("r.1", clock), Side("a.1", clock)
    asked = []

    async def handle(request):
        asked.append(dict(request.query))
        return await reader.server.handle(request)

    server = web.Server(handle)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        client = statefeed.StateClient(
            session,
            "a",
            "osu",
            asker.replica,
            asker.directory,
            asker.config_lease,
            asker.timers,
            asker.eras,
        )
        yield reader, asker, client, f"127.0.0.1:{port}", asked
    listener.close()
    await server.shutdown(0.1)


def run(step):
    async def main():
        async with open_pair() as pair:
            return await step(*pair)

    return asyncio.run(main())


def test_state_comes_whole_and_then_by_its_changes():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a"), entry("b")])
        await client.ask(address, 0.0)
        first = asker.usable()
        reader.replica.take_change(entry("b", b"draining"))
        reader.replica.take_change(entry("c"))
        await client.ask(address, 0.0)
        second = asker.usable()
        reader.replica.take_change(entry("a", b"", deleted=True))
        await client.ask(address, 0.0)
        return asker.config_lease.version, first, second, asker.usable(), asked

    version, first, second, third, asked = run(step)
    assert version == 3
    assert (first, second, third) == (["a", "b"], ["a", "c"], ["c"])
    assert [q["number"] for q in asked] == ["0", "2", "4"]


def test_age_counts_from_the_asking():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 98.0)
        reader.replica.take_listing([entry("a")])
        await client.ask(address, 0.0)
        return asker.config_lease.age_s

    assert run(step) == 2.0


def test_confirmation_without_news_extends_the_lease():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])
        await client.ask(address, 0.0)
        reader.clock.now_s = 104.0
        reader.replica.take_configuration(table(3, "k"), 103.5)
        await client.ask(address, 0.0)
        return asker.config_lease.age_s

    assert run(step) == 0.5


def test_frozen_answer_does_not_make_the_state_younger():
    # The asker stands still while the answer is on its way.
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])

        class Frozen(statefeed.StateClient):
            async def _fetch(self, *arguments):
                fields = await super()._fetch(*arguments)
                reader.clock.now_s += 7.0
                return fields

        frozen = Frozen(
            client._session,
            "a",
            "osu",
            asker.replica,
            asker.directory,
            asker.config_lease,
            asker.timers,
            asker.eras,
        )
        await frozen.ask(address, 0.0)
        return asker.config_lease.find_valid()

    assert run(step) is None


def test_state_that_is_too_old_brings_no_endpoint_back():
    # The reader lost the store before "a" was removed there.
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 98.0)
        reader.replica.take_listing([entry("a"), entry("b")])
        asker.replica.take_listing([entry("b")])
        with pytest.raises(statefeed.OldStateError):
            await client.ask(address, 0.0, 1.3)
        before = asker.usable()
        await client.ask(address, 0.0, 2.5)
        return before, asker.usable(), asker.config_lease.version

    assert run(step) == (["b"], ["a", "b"], 3)


def test_change_wakes_a_question_that_waits():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])
        await client.ask(address, 0.0)
        waiting = asyncio.ensure_future(client.ask(address, 0.7))
        while len(asked) < 2:
            await asyncio.sleep(0.001)
        reader.replica.take_configuration(table(4), 100.0)
        await waiting
        return asker.config_lease.version

    assert run(step) == 4


def test_older_state_of_a_peer_does_not_revert():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])
        asker.replica.take_configuration(table(4), 95.5)
        await client.ask(address, 0.0)
        return asker.config_lease.version, asker.config_lease.age_s

    assert run(step) == (4, 4.5)


def test_restarted_peer_gives_its_whole_list():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3), 100.0)
        reader.replica.take_listing([entry("a"), entry("b")])
        await client.ask(address, 0.0)
        again = Side("r.2", reader.clock)
        again.replica.take_configuration(table(3), 100.0)
        again.replica.take_listing([entry("c"), entry("b"), entry("d")])
        reader.server = again.server
        await client.ask(address, 0.0)
        return asker.usable()

    assert run(step) == ["b", "c", "d"]


def test_peer_without_state_gives_none():
    async def step(reader, asker, client, address, asked):
        with pytest.raises(statefeed.FeedError):
            await client.ask(address, 0.0)
        return asker.config_lease.table

    assert run(step) is None


def test_peer_that_is_gone_gives_none():
    async def step(reader, asker, client, address, asked):
        with pytest.raises(statefeed.FeedError):
            await client.ask("127.0.0.1:1", 0.0)

    run(step)


def test_change_that_is_no_longer_kept_brings_the_whole_list():
    async def main():
        side = Side("r.1", Clock())
        for number in range(changelog.KEPT_CHANGES + 5):
            side.replica.take_change(entry(f"e{number}"))
        old = side.replica.list_news(4)
        recent = side.replica.list_news(changelog.KEPT_CHANGES)
        return old.whole, len(old.objects), recent.whole, len(recent.objects)

    kept = changelog.KEPT_CHANGES
    assert asyncio.run(main()) == (True, kept + 5, False, 5)


def make_pool(count):
    return [entry(f"e{number:02}") for number in range(count)]


def test_of_a_long_list_only_what_the_asker_uses_is_passed_on():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing(make_pool(50))
        await client.ask(address, 0.0)
        used = [
            f"e{number:02}"
            for number in range(50)
            if reader.subsets.uses("a", "osu", f"e{number:02}")
        ]
        return asker, used

    asker, used = run(step)
    assert asker.usable() == used
    assert 0 < len(used) < 20
    assert asker.directory.count("pool") == 50
    assert not asker.replica.complete


def test_endpoint_that_leaves_is_told_whoever_uses_it():
    # The pool grew since the list was passed on, so the parts were drawn anew.
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing(make_pool(50))
        await client.ask(address, 0.0)
        for number in range(50, 300):
            reader.directory.update(
                listed.ListedEndpoint(f"n{number}", "a", "o", "pool", 8, False)
            )
        for endpoint_id in asker.usable():
            reader.replica.take_change(entry(endpoint_id, b"draining"))
        await client.ask(address, 0.0)
        return asker.usable()

    assert run(step) == []


def test_instance_with_a_part_of_the_list_takes_nothing_away_from_another():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing(make_pool(30), {"pool": {"osu": 50}})
        asker.replica.take_listing([entry("b")])
        await client.ask(address, 0.0)
        return asker.usable(), reader.subsets

    usable, used = run(step)
    taken = [f"e{n:02}" for n in range(30) if used.uses("a", "osu", f"e{n:02}")]
    assert usable == ["b", *taken]
    assert taken


def test_peer_that_is_behind_brings_nothing_back_that_was_removed():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        asker.replica.take_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        asker.replica.take_change(entry("b", b"", deleted=True, version=5))
        asker.replica.take_change(entry("a", b"draining", version=6))
        await client.ask(address, 0.0)
        return asker.usable()

    assert run(step) == []


def test_entry_that_came_back_in_the_store_is_used_again():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        asker.replica.take_listing([entry("b", version=4)])
        asker.replica.take_change(entry("b", b"", deleted=True, version=5))
        reader.replica.take_listing([entry("b", version=7)])
        await client.ask(address, 0.0)
        return asker.usable()

    assert run(step) == ["b"]


def test_entry_that_only_a_listing_lacked_may_come_back_as_it_was():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        await client.ask(address, 0.0)
        reader.replica.take_listing([entry("a", version=4)])
        await client.ask(address, 0.0)
        between = asker.usable()
        reader.replica.take_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        await client.ask(address, 0.0)
        return between, asker.usable()

    assert run(step) == (["a"], ["a", "b"])


def test_changes_that_do_not_fit_are_followed_by_the_whole():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])
        await client.ask(address, 0.0)
        reader.replica.take_configuration(table(4, "k", "l"), 100.0)
        find = reader.replica.find_difference

        def lose_a_piece(known):
            change = find(known)
            if known == documents.NOTHING:
                return change
            return dataclasses.replace(change, changed={})

        reader.server._replica = types.SimpleNamespace(
            find_difference=lose_a_piece,
            **{
                name: getattr(reader.replica, name)
                for name in (
                    "era",
                    "identity",
                    "list_news",
                    "listed",
                    "complete",
                    "number",
                    "wait_news",
                )
            },
        )
        with pytest.raises(statefeed.FeedError):
            await client.ask(address, 0.0)
        between = asker.config_lease.version
        await client.ask(address, 0.0)
        return between, asker.config_lease.version, asked

    between, version, asked = run(step)
    assert (between, version) == (3, 4)
    assert [q["version"] for q in asked] == ["0", "3", "0"]


def test_many_askers_cost_one_encoding(monkeypatch):
    encoded = []
    encode = differencewire.encode

    def count(change):
        encoded.append(change.before.version)
        return encode(change)

    monkeypatch.setattr(differencewire, "encode", count)

    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])
        await client.ask(address, 0.0)
        for number in range(4):
            side = Side(f"b{number}", reader.clock)
            other = statefeed.StateClient(
                client._session,
                f"b{number}",
                "osu",
                side.replica,
                side.directory,
                side.config_lease,
                side.timers,
                side.eras,
            )
            await other.ask(address, 0.0)
        reader.replica.take_configuration(table(4, "k", "l"), 100.0)
        await client.ask(address, 0.0)

    run(step)
    assert encoded == [0, 3]


def test_instance_of_another_release_gets_no_state():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])
        async with client._session.get(f"http://{address}/state") as answer:
            return answer.status

    assert run(step) == 404


def read_both(reader, era, *entries, version=3):
    """Lets the reader read the store in an era."""
    reader.eras.take(era)
    reader.replica.take_configuration(table(version, "k"), 100.0, era)
    reader.replica.take_listing(entries, at=positions.Position(era, 50))


def test_whole_list_of_a_later_era_with_lower_revisions_empties_nothing():
    async def step(reader, asker, client, address, asked):
        old = [entry(n, version=9, era=1) for n in ("a", "b")]
        read_both(reader, 1, *old)
        await client.ask(address, 0.0)
        new = [entry(n, version=2, era=2) for n in ("a", "b")]
        read_both(reader, 2, *new)
        await client.ask(address, 0.0)
        asker.directory.expire()
        seen = [asker.usable(), asker.eras.current]
        reader.replica.take_change(entry("b", b"draining", version=3, era=2))
        await client.ask(address, 0.0)
        return [*seen, asker.usable()]

    assert run(step) == [["a", "b"], 2, ["a"]]


def test_peer_that_is_behind_takes_no_entry_away():
    async def step(reader, asker, client, address, asked):
        read_both(reader, 1, entry("a", era=1), entry("b", era=1))
        await client.ask(address, 0.0)
        asker.replica.take_change(entry("b", version=5, era=1))
        client.forget()
        await client.ask(address, 0.0)
        await asyncio.sleep(directories.RETURN_S + 0.1)
        asker.directory.expire()
        return asker.usable()

    assert run(step) == ["a", "b"]


def test_state_of_an_ended_era_is_not_taken_in():
    async def step(reader, asker, client, address, asked):
        read_both(reader, 1, entry("a", era=1))
        await client.ask(address, 0.0)
        asker.eras.take(2)
        reader.replica.take_change(entry("a", b"", True, 9, 1))
        with pytest.raises(statefeed.FeedError):
            await client.ask(address, 0.0)
        return asker.usable(), asker.config_lease.version

    assert run(step) == (["a"], 3)


def test_list_of_an_ended_era_is_not_passed_on_as_one_of_the_present():
    """The reader knows of the era and has not listed anew yet."""

    async def step(reader, asker, client, address, asked):
        read_both(reader, 1, entry("a", era=1))
        reader.eras.take(2)
        asker.eras.take(2)
        with pytest.raises(statefeed.FeedError):
            await client.ask(address, 0.0)
        return asker.usable()

    assert run(step) == []


def test_peer_with_an_older_configuration_is_not_relied_on():
    async def step(reader, asker, client, address, asked):
        read_both(reader, 1, entry("a", era=1))
        await client.ask(address, 0.0)
        asker.replica.take_configuration(table(5, "k"), 100.0, 1)
        reader.clock.now_s += 2.0
        reader.replica.take_configuration(table(3, "k"), 102.0, 1)
        with pytest.raises(statefeed.OldStateError):
            await client.ask(address, 0.0, 1.3)
        return asker.config_lease.version, asker.config_lease.age_s >= 2.0

    assert run(step) == (5, True)


def test_peer_with_another_content_of_the_version_confirms_nothing():
    async def step(reader, asker, client, address, asked):
        read_both(reader, 1, entry("a", era=1))
        await client.ask(address, 0.0)
        reader.eras.take(2)
        reader.replica.take_configuration(table(3, "other"), 100.0, 2)
        reader.replica.take_listing(
            [entry("a", era=2)], at=positions.Position(2, 50)
        )
        await client.ask(address, 0.0)
        return list(asker.config_lease.table.keys)

    assert run(step) == ["other"]


async def ask_without_era(client, address):
    url = f"http://{address}{statefeed.PATH}?version=0&number=0"
    async with client._session.get(url) as answer:
        fields = await answer.json() if answer.status == 200 else {}
        return answer.status, sorted(o[1] for o in fields.get("objects", []))


def test_release_without_eras_gets_state_until_the_era_changes():
    async def step(reader, asker, client, address, asked):
        read_both(reader, 4, entry("a", version=7, era=4))
        before = await ask_without_era(client, address)
        read_both(reader, 5, entry("a", version=2, era=5))
        return before, await ask_without_era(client, address)

    assert run(step) == ((200, [7]), (503, []))


def test_state_of_a_release_without_eras_is_taken_until_the_era_changes():
    async def step(reader, asker, client, address, asked):
        reader.replica.take_configuration(table(3, "k"), 100.0)
        reader.replica.take_listing([entry("a")])
        asker.eras.take(4)
        await client.ask(address, 0.0)
        seen = asker.usable()
        asker.eras.take(5)
        with pytest.raises(statefeed.FeedError):
            await client.ask(address, 0.0)
        return seen

    assert run(step) == ["a"]
