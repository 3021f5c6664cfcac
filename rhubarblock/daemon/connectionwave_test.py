"""Complete instances, one of which gets nearly all new connections."""

import asyncio
import random

import aiohttp
import pytest

from rhubarblock.core import route as routes
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import partition_test as fleetfixtures
from rhubarblock.daemon import plannedstop

INSTANCE_COUNT = 3
REQUESTS = 120
# Seconds between two requests before the wave, and within it.
CALM_GAP_S = 0.02
WAVE_GAP_S = 0.01
# Smallest share of the first tries that are served in the wave, of the share
# before it.
MIN_RATIO = 3 / 4


async def count_served(fleet, instances, gap_s):
    """Returns how many requests with own connections are served."""

    async def ask(number):
        url = f"http://{fleet.instances[number].settings.callers}/a/x"
        headers = {**instancefixtures.HEADERS, "Connection": "close"}
        try:
            async with fleet.session.post(url, headers=headers) as answer:
                await answer.read()
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    rng = random.Random(1)
    asking = []
    for _ in range(REQUESTS):
        asking.append(asyncio.create_task(ask(rng.choice(instances))))
        await asyncio.sleep(gap_s)
    return sum(await asyncio.gather(*asking))


@pytest.fixture(autouse=True)
def set_times(monkeypatch):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.05)


def test_instance_that_gets_most_connections_serves_as_often_as_before():
    async def main():
        kind = routes.RouteKind.IDEMPOTENT
        async with fleetfixtures.open_fleet(kind, INSTANCE_COUNT) as fleet:
            everywhere = range(INSTANCE_COUNT)
            before = await count_served(fleet, everywhere, CALM_GAP_S)
            waves = [
                await count_served(fleet, [number], WAVE_GAP_S)
                for number in (0, 1)
            ]
            return before, waves

    before, waves = asyncio.run(main())
    assert before == REQUESTS
    assert min(waves) >= MIN_RATIO * before
