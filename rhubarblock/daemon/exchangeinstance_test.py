"""A complete instance over real sockets, with a store in memory."""

import asyncio
import contextlib
import dataclasses
import io
import itertools
import json
import random
import socket

import aiohttp
import rich.console

from rhubarblock.core import position as positions
from rhubarblock.core import route as routes
from rhubarblock.daemon import exchangeinstance
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import dialect as exchange_dialects
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import dialect as dialects
from rhubarblock.platform import names
from rhubarblock.scripts import status as status_command
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import store as stores

HEADERS = {
    "Host": "desk.example",
    names.ATTEMPT_ID: "q1",
    names.CREDENTIAL: "secret",
}


class FakeDialect(dialects.PlatformDialect):
    """Decodes the store content of these tests into a fixed routing table."""

    def split_configuration(self, value):
        del value
        return exchange_dialects.ConfigurationText(1, {})

    def change_table(self, before, document, difference):
        route = fakes.make_route(routes.RouteKind.NON_IDEMPOTENT, timeout_s=5.0)
        return routes.RoutingTable(
            1,
            routes.RouteIndex([route]),
            {"desk": fakes.SERVICE},
            {"secret": routes.Workspace("members", None)},
            routes.CallerBounds(),
        )


class FakeStore(stores.ObjectStore):
    """Holds objects in memory, and can be restored from an older copy.

    Attributes:
      objects: decoded values by name.
      eras: trackers that get the era with each call, as from the responses of
        the real store.
      refused_name: name of an object that can't be written.
    """

    def __init__(self, endpoint):
        entry = {
            "service": "desk",
            "address": endpoint.address,
            "zone": "osu-hall",
            "slots": 8,
            "state": "ready",
            "sequence": 1,
        }
        self.objects = {"config/main": {}, "servers/e1": entry}
        self.eras = []
        self.era = 0
        self.refused_name = None

    def restore_older_copy(self, objects):
        """Starts a new era with older objects."""
        self.objects = dict(objects)
        self.era += 1

    def report_era(self):
        for eras in self.eras:
            eras.validate(self.era or None)
        return positions.Position(self.era, 1)

    async def read(self, name):
        self.report_era()
        if name not in self.objects:
            raise stores.StoreError(stores.StoreErrorKind.NOT_FOUND)
        value = json.dumps(self.objects[name]).encode()
        return stores.StoredObject(name, self.report_era(), value)

    async def list_objects(self, prefix):
        found = [n for n in self.objects if n.startswith(prefix)]
        return stores.Page(
            tuple([await self.read(n) for n in found]), self.report_era()
        )

    async def write(self, name, value, expected_version):
        if name == self.refused_name:
            raise stores.StoreError(stores.StoreErrorKind.UNAVAILABLE)
        self.objects[name] = json.loads(value)
        return stores.StoredObject(name, self.report_era(), value)

    async def delete(self, name, expected_version):
        del self.objects[name]

    async def watch(self, prefix, after, wait_s=None):
        await asyncio.Event().wait()
        yield


# Below the ports that the kernel gives to outgoing connections and to
# listeners without a port, which could take one before an instance listens.
PORTS = range(10_000, 32_000)
_ports = itertools.cycle(random.SystemRandom().sample(PORTS, len(PORTS)))


def find_port():
    """Returns an address with a free port, another one at each call.

    A port is free until its instance listens, so that two draws of the same
    port would both find it free.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return settings_lib.SocketAddress("127.0.0.1", port)


def make_settings(instance_id="i1", bounds=fakes.BOUNDS):
    return settings_lib.ExchangeSettings(
        instance_id=instance_id,
        data_centre="osu-hall",
        callers=find_port(),
        readiness=find_port(),
        peers=find_port(),
        metrics=find_port(),
        store=find_port(),
        bounds=bounds,
    )


@contextlib.asynccontextmanager
async def run_instance(settings, dialect, store):
    """Runs an instance; yields it, a session, its stop event and its task."""
    instance = exchangeinstance.ExchangeInstance(
        settings,
        dialect,
        lambda session, metrics, eras: store,
        lambda session: fakes.NoLeases(),
        names.ATTEMPT_ID,
        random.Random(1),
    )
    stop = asyncio.Event()
    running = asyncio.ensure_future(instance.run(stop))
    async with aiohttp.ClientSession() as session:
        while await ask_ready(session, settings) != 200:
            assert not running.done(), running
            await asyncio.sleep(0.01)
        try:
            yield instance, session, stop, running
        finally:
            stop.set()
            await running


@contextlib.asynccontextmanager
async def open_instance(endpoint, evacuated=(), bounds=fakes.BOUNDS):
    settings = make_settings(bounds=bounds)
    store = FakeStore(endpoint)
    store.objects |= {f"evacuations/{name}": {} for name in evacuated}
    async with run_instance(settings, FakeDialect(), store) as (
        _,
        session,
        stop,
        running,
    ):
        yield settings, session, stop, running


async def ask_ready(session, settings):
    try:
        async with session.get(f"http://{settings.readiness}/ready") as answer:
            return answer.status
    except aiohttp.ClientConnectorError:
        return None


def test_two_listeners_never_get_the_same_port():
    drawn = [find_port().port for _ in range(2000)]
    assert len(set(drawn)) == len(drawn)


def test_planned_stop_finishes_requests_and_closes_idle_connections(
    monkeypatch,
):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.2)
    release = asyncio.Event()

    async def wait(head, writer):
        await release.wait()
        await fakes.whole(b"late")(head, writer)

    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole(b"first"), wait)
        async with (
            endpoint.open(),
            open_instance(endpoint) as (settings, session, stop, running),
        ):
            url = f"http://{settings.callers}/a/x"
            async with session.post(url, headers=HEADERS) as answer:
                first = await answer.read()
            idle = await asyncio.open_connection(
                settings.callers.host, settings.callers.port
            )
            in_flight = asyncio.ensure_future(
                session.post(url, headers=HEADERS)
            )
            while len(endpoint.heads) < 2:
                await asyncio.sleep(0.01)
            stop.set()
            while await ask_ready(session, settings) == 200:
                await asyncio.sleep(0.01)
            # An idle connection is closed without a response.
            closed = await idle[0].read()
            idle[1].close()
            release.set()
            answer = await in_flight
            last = await answer.read()
            await running
            return first, closed, last

    assert asyncio.run(main()) == (b"first", b"", b"late")


def test_instance_registers_in_the_instance_list():
    async def main():
        endpoint = fakes.ScriptedEndpoint()
        store = None

        async with endpoint.open():
            store = FakeStore(endpoint)
            settings = make_settings()
            instance = exchangeinstance.ExchangeInstance(
                settings,
                FakeDialect(),
                lambda session, metrics, eras: store,
                lambda session: fakes.NoLeases(),
                names.ATTEMPT_ID,
                random.Random(1),
            )
            stop = asyncio.Event()
            running = asyncio.ensure_future(instance.run(stop))
            while "instances/i1" not in store.objects:
                assert not running.done(), running
                await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            return store.objects["instances/i1"]["address"], settings

    address, settings = asyncio.run(main())
    assert address == str(settings.peers)


def test_record_that_the_store_lost_is_written_again():
    async def main():
        endpoint = fakes.ScriptedEndpoint()
        async with endpoint.open():
            store = FakeStore(endpoint)
            store.era = 1

            def make_store(session, metrics, eras):
                store.eras.append(eras)
                return store

            instance = exchangeinstance.ExchangeInstance(
                make_settings(),
                FakeDialect(),
                make_store,
                lambda session: fakes.NoLeases(),
                names.ATTEMPT_ID,
                random.Random(1),
            )
            before = dict(store.objects)
            running = asyncio.ensure_future(instance.run(asyncio.Event()))
            while "instances/i1" not in store.objects:
                assert not running.done(), running
                await asyncio.sleep(0.01)
            record = store.objects["instances/i1"]
            store.restore_older_copy(before)
            async with asyncio.timeout(10.0):
                while store.objects.get("instances/i1") != record:
                    await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            return instance.eras.current

    assert asyncio.run(main()) == 2


def test_evacuated_instance_refuses_with_a_time_and_shows_its_status():
    async def main():
        endpoint = fakes.ScriptedEndpoint(fakes.whole())
        bounds = dataclasses.replace(fakes.BOUNDS, evacuate_s=5.0)
        async with (
            endpoint.open(),
            open_instance(endpoint, ["osu-hall"], bounds) as opened,
        ):
            settings, session, _, _ = opened
            url = f"http://{settings.callers}/a/x"
            async with session.post(url, headers=HEADERS) as answer:
                refusal = answer.status, float(answer.headers["Retry-After"])
            url = f"http://{settings.metrics}"
            async with session.get(f"{url}/admin/v1/status") as answer:
                status = await answer.json()
            async with session.get(f"{url}/metrics") as answer:
                metrics = await answer.text()
            return refusal, status, metrics, endpoint.heads

    (code, after_s), status, metrics, heads = asyncio.run(main())
    assert (code, heads) == (503, [])
    assert 1.0 <= after_s <= 2.0
    assert [e["data_centre"] for e in status["evacuations"]] == ["osu-hall"]
    assert "rhubarblock_evacuations_in_force 1" in metrics
    console = rich.console.Console(file=io.StringIO())
    status_command.print_status(status, console)
    assert "osu-hall" in console.file.getvalue().partition("Evacuations")[2]


def test_restart_of_an_endpoint_forgets_its_speed():
    """A restarted endpoint may run on other hardware under the same id."""
    instance = exchangeinstance.ExchangeInstance(
        make_settings(),
        FakeDialect(),
        lambda session, metrics, eras: FakeStore(None),
        lambda session: fakes.NoLeases(),
        names.ATTEMPT_ID,
        random.Random(1),
    )
    learned = instance.job_tracker.speeds
    for _ in range(3):
        learned.note_pass("e1", 2.0, 0.0)
    for endpoint_id, taken_s in {"e1": 2.0, "e2": 0.1, "e3": 0.1}.items():
        for _ in range(20):
            instance.call_times.note("desk", endpoint_id, taken_s, 0.0)
    assert learned.find("e1").deviates
    assert instance.call_times.find_factor("desk", "e1", 0.0) > 2.0

    class NoLimits:
        def forget(self, endpoint_id):
            pass

    instance._reset_endpoint("e1", NoLimits())
    assert not learned.find("e1").deviates
    assert instance.call_times.find_factor("desk", "e1", 0.0) == 1.0
