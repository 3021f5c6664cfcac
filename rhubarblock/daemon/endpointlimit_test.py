"""Whole instances before endpoints that name a rate limit."""

import asyncio
import contextlib
import random

import aiohttp

from rhubarblock.daemon import exchangeinstance
from rhubarblock.daemon import exchangeinstance_test as wholes
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import names

INSTANCES = 3
# The limit that the endpoint in need names, in requests a second.
LIMIT_PER_S = 1.0
# Requests that may come besides at any moment, and how much more than the limit
# allows, before it counts as broken.
SLACK = 5
EXCESS = 1.5


class CountingEndpoint(fakes.ScriptedEndpoint):
    """Answers each request at once, with a field of its own.

    Attributes:
      field: line of the head of its answers.
      arrived_s: moments at which requests came.
    """

    def __init__(self, field=""):
        super().__init__()
        self.field = field
        self.arrived_s = []

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.arrived_s.append(asyncio.get_running_loop().time())
                script = fakes.whole(b"ok", extra=self.field)
                await script(head, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class FleetStore(wholes.FakeStore):
    """Lists several endpoints."""

    def __init__(self, *endpoints):
        super().__init__(endpoints[0])
        entry = self.objects["servers/e1"]
        for number, endpoint in enumerate(endpoints, 1):
            self.objects[f"servers/e{number}"] = {
                **entry,
                "address": endpoint.address,
            }


@contextlib.asynccontextmanager
async def open_fleet(*endpoints, count=INSTANCES):
    """Opens instances that share a store; gives a session and their URLs."""
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.open())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        store = FleetStore(*endpoints)
        stop = asyncio.Event()
        urls = []
        running = []
        for number in range(count):
            settings = wholes.make_settings(f"i{number}")
            instance = exchangeinstance.ExchangeInstance(
                settings,
                wholes.FakeDialect(),
                lambda session, metrics, eras: store,
                lambda session: fakes.NoLeases(),
                names.ATTEMPT_ID,
                random.Random(number),
            )
            running.append(asyncio.ensure_future(instance.run(stop)))
            while await wholes.ask_ready(session, settings) != 200:
                assert not running[-1].done(), running
                await asyncio.sleep(0.01)
            urls.append(f"http://{settings.callers}/a/x")
        try:
            yield session, urls
        finally:
            stop.set()
            await asyncio.gather(*running)


async def ask(session, url):
    async with session.post(url, headers=wholes.HEADERS) as answer:
        await answer.read()
        return answer.status


def test_endpoint_gets_no_more_than_its_limit_from_all_instances(monkeypatch):
    monkeypatch.setattr(plannedstop, "LEAVE_S", 0.0)

    async def main():
        needy = CountingEndpoint(f"{names.LIMIT}: {LIMIT_PER_S}\r\n")
        async with open_fleet(needy, CountingEndpoint()) as (session, urls):
            # Each instance passes on an answer that names the limit.
            for url in urls:
                for _ in range(4):
                    await ask(session, url)
            told_s = asyncio.get_running_loop().time()
            for _ in range(20):
                statuses = [await ask(session, url) for url in urls]
                assert statuses == [200] * INSTANCES
            length_s = asyncio.get_running_loop().time() - told_s
            later = [at_s for at_s in needy.arrived_s if at_s > told_s]
            return len(later), length_s

    arrived, length_s = asyncio.run(main())
    assert arrived <= EXCESS * LIMIT_PER_S * length_s + SLACK
