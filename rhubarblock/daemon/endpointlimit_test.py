"""Complete instances with endpoints that announce a rate limit."""

import asyncio
import contextlib
import random

import aiohttp

from rhubarblock.daemon import exchangeinstance
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.platform import names

INSTANCE_COUNT = 3
# The limit that an endpoint announces, in requests a second.
LIMIT_PER_S = 1.0
# Requests that may arrive in a burst, and the factor by which the rate may
# exceed the limit, before the test fails.
BURST_ALLOWANCE = 5
LIMIT_TOLERANCE = 1.5


class CountingEndpoint(fakes.ScriptedEndpoint):
    """Answers each request at once, with an additional header.

    Attributes:
      field: header line that its responses carry.
      arrived_s: times at which requests arrived, in seconds of the loop's
        clock.
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


class FleetStore(instancefixtures.FakeStore):
    """A store that lists several endpoints."""

    def __init__(self, *endpoints):
        super().__init__(endpoints[0])
        entry = self.objects["servers/e1"]
        for number, endpoint in enumerate(endpoints, 1):
            self.objects[f"servers/e{number}"] = {
                **entry,
                "address": endpoint.address,
            }


@contextlib.asynccontextmanager
async def open_fleet(*endpoints, count=INSTANCE_COUNT):
    """Runs instances that share a store; yields a session and their URLs."""
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.open())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        store = FleetStore(*endpoints)
        stop = asyncio.Event()
        urls = []
        running = []
        for number in range(count):
            settings = instancefixtures.make_settings(f"i{number}")
            instance = exchangeinstance.ExchangeInstance(
                settings,
                instancefixtures.FakeDialect(),
                lambda session, metrics, eras: store,
                lambda session: fakes.NoLeases(),
                names.ATTEMPT_ID,
                random.Random(number),
            )
            running.append(asyncio.ensure_future(instance.run(stop)))
            while await instancefixtures.ask_ready(session, settings) != 200:
                assert not running[-1].done(), running
                await asyncio.sleep(0.01)
            urls.append(f"http://{settings.callers}/a/x")
        try:
            yield session, urls
        finally:
            stop.set()
            await asyncio.gather(*running)


async def ask(session, url):
    async with session.post(url, headers=instancefixtures.HEADERS) as answer:
        await answer.read()
        return answer.status


def test_instances_together_keep_within_the_rate_limit_of_an_endpoint(
    monkeypatch,
):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.0)

    async def main():
        limited = CountingEndpoint(f"{names.LIMIT}: {LIMIT_PER_S}\r\n")
        async with open_fleet(limited, CountingEndpoint()) as (session, urls):
            # Each instance gets a response that announces the limit.
            for url in urls:
                for _ in range(4):
                    await ask(session, url)
            limit_known_s = asyncio.get_running_loop().time()
            for _ in range(20):
                statuses = [await ask(session, url) for url in urls]
                assert statuses == [200] * INSTANCE_COUNT
            length_s = asyncio.get_running_loop().time() - limit_known_s
            later = [at_s for at_s in limited.arrived_s if at_s > limit_known_s]
            return len(later), length_s

    arrived, length_s = asyncio.run(main())
    assert arrived <= LIMIT_TOLERANCE * LIMIT_PER_S * length_s + BURST_ALLOWANCE
