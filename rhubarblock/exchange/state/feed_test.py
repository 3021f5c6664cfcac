"""Replication of state between instances over real sockets."""

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
    """Encodes a table as its version and keys, and an entry as its state."""

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


class Instance:
    """One instance's state with its own lease clock."""

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
        self.eras.add_listener(self.replica.begin_era)
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
    reader, requester = Instance("r.1", clock), Instance("a.1", clock)
    queries = []

    async def handle(request):
        queries.append(dict(request.query))
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
            requester.replica,
            requester.directory,
            requester.config_lease,
            requester.timers,
            requester.eras,
        )
        yield reader, requester, client, f"127.0.0.1:{port}", queries
    listener.close()
    await server.shutdown(0.1)


def run(step):
    async def main():
        async with open_pair() as pair:
            return await step(*pair)

    return asyncio.run(main())


def test_first_answer_is_whole_and_later_ones_are_deltas():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a"), entry("b")])
        await client.poll(address, 0.0)
        first = requester.usable()
        reader.replica.apply_change(entry("b", b"draining"))
        reader.replica.apply_change(entry("c"))
        await client.poll(address, 0.0)
        second = requester.usable()
        reader.replica.apply_change(entry("a", b"", deleted=True))
        await client.poll(address, 0.0)
        return (
            requester.config_lease.version,
            first,
            second,
            requester.usable(),
            queries,
        )

    version, first, second, third, queries = run(step)
    assert version == 3
    assert (first, second, third) == (["a", "b"], ["a", "c"], ["c"])
    assert [q["number"] for q in queries] == ["0", "2", "4"]


def test_age_counts_from_the_request():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 98.0)
        reader.replica.apply_listing([entry("a")])
        await client.poll(address, 0.0)
        return requester.config_lease.age_s

    assert run(step) == 2.0


def test_confirmation_without_changes_extends_the_lease():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])
        await client.poll(address, 0.0)
        reader.clock.now_s = 104.0
        reader.replica.apply_configuration(table(3, "k"), 103.5)
        await client.poll(address, 0.0)
        return requester.config_lease.age_s

    assert run(step) == 0.5


def test_freeze_while_an_answer_is_in_flight_does_not_refresh_the_state():
    # The requester is frozen while the answer is in flight.
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])

        class Frozen(statefeed.StateClient):
            async def _fetch(self, *arguments):
                fields = await super()._fetch(*arguments)
                reader.clock.now_s += 7.0
                return fields

        frozen = Frozen(
            client._session,
            "a",
            "osu",
            requester.replica,
            requester.directory,
            requester.config_lease,
            requester.timers,
            requester.eras,
        )
        await frozen.poll(address, 0.0)
        return requester.config_lease.find_valid()

    assert run(step) is None


def test_stale_state_does_not_restore_removed_endpoints():
    # The reader lost the store before "a" was removed there.
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 98.0)
        reader.replica.apply_listing([entry("a"), entry("b")])
        requester.replica.apply_listing([entry("b")])
        with pytest.raises(statefeed.StaleStateError):
            await client.poll(address, 0.0, 1.3)
        before = requester.usable()
        await client.poll(address, 0.0, 2.5)
        return before, requester.usable(), requester.config_lease.version

    assert run(step) == (["b"], ["a", "b"], 3)


def test_change_wakes_a_waiting_request():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])
        await client.poll(address, 0.0)
        waiting = asyncio.ensure_future(client.poll(address, 0.7))
        while len(queries) < 2:
            await asyncio.sleep(0.001)
        reader.replica.apply_configuration(table(4), 100.0)
        await waiting
        return requester.config_lease.version

    assert run(step) == 4


def test_older_state_of_a_peer_does_not_revert_the_configuration():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])
        requester.replica.apply_configuration(table(4), 95.5)
        await client.poll(address, 0.0)
        return requester.config_lease.version, requester.config_lease.age_s

    assert run(step) == (4, 4.5)


def test_restarted_peer_sends_its_whole_list():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3), 100.0)
        reader.replica.apply_listing([entry("a"), entry("b")])
        await client.poll(address, 0.0)
        restarted = Instance("r.2", reader.clock)
        restarted.replica.apply_configuration(table(3), 100.0)
        restarted.replica.apply_listing([entry("c"), entry("b"), entry("d")])
        reader.server = restarted.server
        await client.poll(address, 0.0)
        return requester.usable()

    assert run(step) == ["b", "c", "d"]


def test_peer_without_state_is_an_error():
    async def step(reader, requester, client, address, queries):
        with pytest.raises(statefeed.FeedError):
            await client.poll(address, 0.0)
        return requester.config_lease.table

    assert run(step) is None


def test_unreachable_peer_is_an_error():
    async def step(reader, requester, client, address, queries):
        with pytest.raises(statefeed.FeedError):
            await client.poll("127.0.0.1:1", 0.0)

    run(step)


def test_requester_behind_the_change_log_gets_the_whole_list():
    async def main():
        instance = Instance("r.1", Clock())
        for number in range(changelog.MAX_CHANGES + 5):
            instance.replica.apply_change(entry(f"e{number}"))
        old = instance.replica.list_changes(4)
        recent = instance.replica.list_changes(changelog.MAX_CHANGES)
        return old.whole, len(old.objects), recent.whole, len(recent.objects)

    kept = changelog.MAX_CHANGES
    assert asyncio.run(main()) == (True, kept + 5, False, 5)


def make_pool(count):
    return [entry(f"e{number:02}") for number in range(count)]


def test_long_list_is_reduced_to_the_requesters_subset():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing(make_pool(50))
        await client.poll(address, 0.0)
        used = [
            f"e{number:02}"
            for number in range(50)
            if reader.subsets.uses("a", "osu", f"e{number:02}")
        ]
        return requester, used

    requester, used = run(step)
    assert requester.usable() == used
    assert 0 < len(used) < 20
    assert requester.directory.count("pool") == 50
    assert not requester.replica.complete


def test_leaving_endpoint_is_sent_to_requesters_outside_its_subset():
    # The pool has grown since the list was sent, so the subsets have changed.
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing(make_pool(50))
        await client.poll(address, 0.0)
        for number in range(50, 300):
            reader.directory.update(
                listed.ListedEndpoint(f"n{number}", "a", "o", "pool", 8, False)
            )
        for endpoint_id in requester.usable():
            reader.replica.apply_change(entry(endpoint_id, b"draining"))
        await client.poll(address, 0.0)
        return requester.usable()

    assert run(step) == []


def test_partial_list_of_a_peer_removes_no_endpoints():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing(make_pool(30), {"pool": {"osu": 50}})
        requester.replica.apply_listing([entry("b")])
        await client.poll(address, 0.0)
        return requester.usable(), reader.subsets

    usable, used = run(step)
    taken = [f"e{n:02}" for n in range(30) if used.uses("a", "osu", f"e{n:02}")]
    assert usable == ["b", *taken]
    assert taken


def test_peer_that_is_behind_does_not_undo_removals():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        requester.replica.apply_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        requester.replica.apply_change(entry("b", b"", deleted=True, version=5))
        requester.replica.apply_change(entry("a", b"draining", version=6))
        await client.poll(address, 0.0)
        return requester.usable()

    assert run(step) == []


def test_entry_that_was_written_again_is_usable():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        requester.replica.apply_listing([entry("b", version=4)])
        requester.replica.apply_change(entry("b", b"", deleted=True, version=5))
        reader.replica.apply_listing([entry("b", version=7)])
        await client.poll(address, 0.0)
        return requester.usable()

    assert run(step) == ["b"]


def test_entry_missing_from_one_list_may_reappear_unchanged():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        await client.poll(address, 0.0)
        reader.replica.apply_listing([entry("a", version=4)])
        await client.poll(address, 0.0)
        between = requester.usable()
        reader.replica.apply_listing(
            [entry("a", version=4), entry("b", version=4)]
        )
        await client.poll(address, 0.0)
        return between, requester.usable()

    assert run(step) == (["a"], ["a", "b"])


def test_delta_that_does_not_apply_is_followed_by_the_whole_configuration():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])
        await client.poll(address, 0.0)
        reader.replica.apply_configuration(table(4, "k", "l"), 100.0)
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
                    "evacuations",
                    "identity",
                    "list_changes",
                    "listed",
                    "complete",
                    "number",
                    "wait_for_change",
                )
            },
        )
        with pytest.raises(statefeed.FeedError):
            await client.poll(address, 0.0)
        between = requester.config_lease.version
        await client.poll(address, 0.0)
        return between, requester.config_lease.version, queries

    between, version, queries = run(step)
    assert (between, version) == (3, 4)
    assert [q["version"] for q in queries] == ["0", "3", "0"]


def test_delta_is_encoded_once_for_many_requesters(monkeypatch):
    encoded = []
    encode = differencewire.encode

    def count(change):
        encoded.append(change.before.version)
        return encode(change)

    monkeypatch.setattr(differencewire, "encode", count)

    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])
        await client.poll(address, 0.0)
        for number in range(4):
            instance = Instance(f"b{number}", reader.clock)
            other = statefeed.StateClient(
                client._session,
                f"b{number}",
                "osu",
                instance.replica,
                instance.directory,
                instance.config_lease,
                instance.timers,
                instance.eras,
            )
            await other.poll(address, 0.0)
        reader.replica.apply_configuration(table(4, "k", "l"), 100.0)
        await client.poll(address, 0.0)

    run(step)
    assert encoded == [0, 3]


def test_instance_of_another_release_gets_no_state():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])
        async with client._session.get(f"http://{address}/state") as answer:
            return answer.status

    assert run(step) == 404


def read_both(reader, era, *entries, version=3):
    """Lets the reader read the store in an era."""
    reader.eras.validate(era)
    reader.replica.apply_configuration(table(version, "k"), 100.0, era)
    reader.replica.apply_listing(entries, at=positions.Position(era, 50))


def test_whole_list_of_a_later_era_with_lower_revisions_removes_no_endpoint():
    async def step(reader, requester, client, address, queries):
        old = [entry(n, version=9, era=1) for n in ("a", "b")]
        read_both(reader, 1, *old)
        await client.poll(address, 0.0)
        new = [entry(n, version=2, era=2) for n in ("a", "b")]
        read_both(reader, 2, *new)
        await client.poll(address, 0.0)
        requester.directory.expire()
        seen = [requester.usable(), requester.eras.current]
        reader.replica.apply_change(entry("b", b"draining", version=3, era=2))
        await client.poll(address, 0.0)
        return [*seen, requester.usable()]

    assert run(step) == [["a", "b"], 2, ["a"]]


def test_list_of_a_peer_that_is_behind_removes_no_entry():
    async def step(reader, requester, client, address, queries):
        read_both(reader, 1, entry("a", era=1), entry("b", era=1))
        await client.poll(address, 0.0)
        requester.replica.apply_change(entry("b", version=5, era=1))
        client.forget()
        await client.poll(address, 0.0)
        await asyncio.sleep(directories.REREGISTER_S + 0.1)
        requester.directory.expire()
        return requester.usable()

    assert run(step) == ["a", "b"]


def test_state_of_an_ended_era_is_rejected():
    async def step(reader, requester, client, address, queries):
        read_both(reader, 1, entry("a", era=1))
        await client.poll(address, 0.0)
        requester.eras.validate(2)
        reader.replica.apply_change(entry("a", b"", True, 9, 1))
        with pytest.raises(statefeed.FeedError):
            await client.poll(address, 0.0)
        return requester.usable(), requester.config_lease.version

    assert run(step) == (["a"], 3)


def test_list_of_an_ended_era_is_not_served_as_current():
    """The reader knows the new era but has not read the list again."""

    async def step(reader, requester, client, address, queries):
        read_both(reader, 1, entry("a", era=1))
        reader.eras.validate(2)
        requester.eras.validate(2)
        with pytest.raises(statefeed.FeedError):
            await client.poll(address, 0.0)
        return requester.usable()

    assert run(step) == []


def test_peer_with_an_older_configuration_is_stale():
    async def step(reader, requester, client, address, queries):
        read_both(reader, 1, entry("a", era=1))
        await client.poll(address, 0.0)
        requester.replica.apply_configuration(table(5, "k"), 100.0, 1)
        reader.clock.now_s += 2.0
        reader.replica.apply_configuration(table(3, "k"), 102.0, 1)
        with pytest.raises(statefeed.StaleStateError):
            await client.poll(address, 0.0, 1.3)
        return (
            requester.config_lease.version,
            requester.config_lease.age_s >= 2.0,
        )

    assert run(step) == (5, True)


def test_other_content_of_the_same_version_does_not_confirm():
    async def step(reader, requester, client, address, queries):
        read_both(reader, 1, entry("a", era=1))
        await client.poll(address, 0.0)
        reader.eras.validate(2)
        reader.replica.apply_configuration(table(3, "other"), 100.0, 2)
        reader.replica.apply_listing(
            [entry("a", era=2)], at=positions.Position(2, 50)
        )
        await client.poll(address, 0.0)
        return list(requester.config_lease.table.keys)

    assert run(step) == ["other"]


async def poll_without_era(client, address):
    url = f"http://{address}{statefeed.PATH}?version=0&number=0"
    async with client._session.get(url) as answer:
        fields = await answer.json() if answer.status == 200 else {}
        return answer.status, sorted(o[1] for o in fields.get("objects", []))


def test_release_without_eras_is_served_until_the_era_changes():
    async def step(reader, requester, client, address, queries):
        read_both(reader, 4, entry("a", version=7, era=4))
        before = await poll_without_era(client, address)
        read_both(reader, 5, entry("a", version=2, era=5))
        return before, await poll_without_era(client, address)

    assert run(step) == ((200, [7]), (503, []))


def test_state_of_a_release_without_eras_is_accepted_until_the_era_changes():
    async def step(reader, requester, client, address, queries):
        reader.replica.apply_configuration(table(3, "k"), 100.0)
        reader.replica.apply_listing([entry("a")])
        requester.eras.validate(4)
        await client.poll(address, 0.0)
        seen = requester.usable()
        requester.eras.validate(5)
        with pytest.raises(statefeed.FeedError):
            await client.poll(address, 0.0)
        return seen

    assert run(step) == ["a"]
