"""Complete instances whose callers share a prompt part that crashes engines."""

import asyncio
import contextlib
import itertools
import random

import aiohttp
import pytest

from rhubarblock.core import route as routes
from rhubarblock.daemon import partition_test as fleetfixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.daemon import statuspages
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import quarantinestore
from rhubarblock.platform import names

ENDPOINT_COUNT = 12
INSTANCE_COUNT = 3
POISONED = "bad0"
SHARED = "5c1e"
# Seconds until an answer begins, until its engine crashes, and until that is
# back.
READ_S = 0.03
CRASH_S = 0.05
DOWN_S = 0.5
# Requests of each kind, and seconds between two of them.
REQUESTS = 40
QUICK_REQUESTS = 8
GAP_S = 0.1
# Most endpoints that may end under one part.
MAX_CRASHES = 5
# Smallest share of the sound requests that are served meanwhile.
MIN_SOUND_SHARE = 1 / 2


async def begin_answer(writer):
    """Writes an answer up to the middle of its first event."""
    writer.write(
        f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: q1\r\n{names.SEAL}: s\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    fakes.write_chunk(writer, b"id")
    await writer.drain()


class CrashingEndpoint(fakes.ScriptedEndpoint):
    """Crashes when it has begun to write an answer on the poisoned part.

    Attributes:
      crashes: number of its crashes.
      poisoned: number of requests with the part that it received.
    """

    def __init__(self):
        super().__init__()
        self.crashes = 0
        self.poisoned = 0
        self._writers = set()
        self._restarts = set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                is_poisoned = f"{POISONED}:" in head
                self.poisoned += is_poisoned
                await asyncio.sleep(READ_S)
                if is_poisoned:
                    await begin_answer(writer)
                    await asyncio.sleep(CRASH_S)
                    self.crash()
                    return
                await fakes.events(0, 1, 2)(head, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def crash(self):
        """Closes all connections and refuses new ones for a while."""
        if not self.server.is_serving():
            return
        self.crashes += 1
        self.server.close()
        for writer in self._writers:
            writer.transport.abort()
        restart = asyncio.create_task(self._restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self):
        await asyncio.sleep(DOWN_S)
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, port)


class PoisonedFleet:
    """Instances before crashing endpoints, and callers of both kinds."""

    def __init__(self, fleet):
        self.fleet = fleet
        self._numbers = itertools.count()
        self._rng = random.Random(1)

    @property
    def crashes(self):
        return sum(e.crashes for e in self.fleet.endpoints)

    @property
    def poisoned(self):
        return sum(e.poisoned for e in self.fleet.endpoints)

    async def ask(self, *parts, instance=None):
        """Sends a request of its own with some parts; returns its status."""
        if instance is None:
            instance = self._rng.randrange(len(self.fleet.instances))
        settings = self.fleet.instances[instance].settings
        number = next(self._numbers)
        own = [*parts, f"{number:08x}"]
        headers = {
            "Host": "desk.example",
            names.ATTEMPT_ID: "q1",
            names.CREDENTIAL: "secret",
            names.PROMPT_PREFIX: ",".join(f"{part}:40" for part in own),
        }
        url = f"http://{settings.callers}/a/{number}"
        try:
            async with self.fleet.session.post(url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, OSError):
            return None

    async def ask_often(self, *parts, count=REQUESTS, gap_s=GAP_S):
        """Sends requests at a rate; returns their statuses."""
        asking = []
        for _ in range(count):
            asking.append(asyncio.create_task(self.ask(*parts)))
            await asyncio.sleep(gap_s)
        return await asyncio.gather(*asking)

    async def wait_stored(self):
        """Waits until the store has what is quarantined."""
        while quarantinestore.OBJECT_NAME not in self.fleet.store.objects:
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_poisoned_fleet():
    endpoints = [CrashingEndpoint() for _ in range(ENDPOINT_COUNT)]
    async with fleetfixtures.open_fleet(
        routes.RouteKind.STREAMING, INSTANCE_COUNT, endpoints
    ) as fleet:
        poisoned = PoisonedFleet(fleet)
        for number in range(INSTANCE_COUNT):
            await poisoned.ask(SHARED, instance=number)
        yield poisoned


@pytest.fixture(autouse=True)
def set_times(monkeypatch):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.05)


def test_requests_that_share_a_poisoned_part_crash_few_endpoints():
    async def main():
        async with open_poisoned_fleet() as fleet:
            _, sound = await asyncio.gather(
                fleet.ask_often(SHARED, POISONED), fleet.ask_often(SHARED)
            )
            return fleet.crashes, sound

    crashes, sound = asyncio.run(main())
    assert crashes <= MAX_CRASHES
    # Sound requests with the same key and first part are served meanwhile.
    assert sound.count(200) >= MIN_SOUND_SHARE * REQUESTS


def test_poisoned_part_is_refused_after_all_instances_have_restarted():
    async def main():
        async with open_poisoned_fleet() as fleet:
            await fleet.ask_often(SHARED, POISONED, count=QUICK_REQUESTS)
            await fleet.wait_stored()
            await fleet.fleet.stop_all()
            await fleet.fleet.start(routes.RouteKind.STREAMING, peer_count=0)
            before = fleet.poisoned
            new = len(fleet.fleet.instances) - 1
            refused = await fleet.ask(SHARED, POISONED, instance=new)
            served = await fleet.ask(SHARED, instance=new)
            return fleet.poisoned - before, refused, served

    assert asyncio.run(main()) == (0, 503, 200)


def test_instance_that_starts_learns_from_its_peers_what_is_poisoned():
    async def main():
        async with open_poisoned_fleet() as fleet:
            fleet.fleet.store.refused_name = quarantinestore.OBJECT_NAME
            await fleet.ask_often(SHARED, POISONED, count=QUICK_REQUESTS)
            await fleet.fleet.start(routes.RouteKind.STREAMING)
            before = fleet.poisoned
            new = len(fleet.fleet.instances) - 1
            refused = await fleet.ask(SHARED, POISONED, instance=new)
            settings = fleet.fleet.instances[new].settings
            url = f"http://{settings.metrics}{statuspages.STATUS_PATH}"
            async with fleet.fleet.session.get(url) as answer:
                status = await answer.json()
            listed = [entry["digest"] for entry in status["quarantines"]]
            return fleet.poisoned - before, refused, listed

    assert asyncio.run(main()) == (0, 503, [f"desk/{POISONED}"])
