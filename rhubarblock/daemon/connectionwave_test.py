"""Complete instances, one of which gets nearly all new connections."""

import asyncio
import contextlib
import dataclasses
import random
import time

import aiohttp
import pytest

from rhubarblock.core import route as routes
from rhubarblock.daemon import endpointlimit_test as fleetparts
from rhubarblock.daemon import exchangeinstance_test as instancefixtures
from rhubarblock.daemon import partition_test as fleetfixtures
from rhubarblock.daemon import plannedstop
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.experiments import loopthread

INSTANCE_COUNT = 3
REQUESTS = 120
# Seconds between two requests before the wave, and within it.
CALM_GAP_S = 0.02
WAVE_GAP_S = 0.01
# Smallest share of the first tries that are served in the wave, of the share
# before it.
MIN_RATIO = 3 / 4

# Processor seconds of a request at a slow instance, and seconds between two
# requests that ask for twice as much as it can do.
SLOW_REQUEST_S = 0.02
OVERLOAD_GAP_S = 0.01
# Seconds of the wave until the rule holds, and for which it then lasts.
SETTLE_S = 3.0
OVERLOAD_S = 6.0
# Seconds after which callers give up.
PATIENCE_S = 1.0

# Seconds after which a removed key is refused; the configuration's lease ends
# sooner.
REVOKE_S = 5.0
# Seconds for which an instance is isolated: more than its lease.
ISOLATED_S = 1.6 * REVOKE_S
KIND = routes.RouteKind.IDEMPOTENT


@dataclasses.dataclass(slots=True)
class Tries:
    """What became of requests at the instances that they were first sent to.

    Attributes:
      served: served there.
      unread: closed there without an answer.
      failures: statuses of failures there, None for answers not in time.
    """

    served: int = 0
    unread: int = 0
    failures: list[int | None] = dataclasses.field(default_factory=list)

    @property
    def failed(self):
        """Number of failures."""
        return len(self.failures)

    async def send(self, session, settings):
        """Sends a request on a connection of its own."""
        url = f"http://{settings.callers}/a/x"
        headers = {**instancefixtures.HEADERS, "Connection": "close"}
        try:
            async with session.post(url, headers=headers) as answer:
                await answer.read()
                status = answer.status
        except TimeoutError:
            status = None
        except (aiohttp.ClientError, OSError):
            self.unread += 1
            return
        if status == 200:
            self.served += 1
        else:
            self.failures.append(status)


async def count_served(fleet, instances, gap_s):
    """Returns how many requests with own connections are served."""
    rng = random.Random(1)
    tries = Tries()
    asking = []
    for _ in range(REQUESTS):
        settings = fleet.instances[rng.choice(instances)].settings
        asking.append(asyncio.create_task(tries.send(fleet.session, settings)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*asking)
    return tries.served


class SlowDialect(fleetfixtures.KindDialect):
    """Makes each request cost processor time."""

    def read_caller(self, headers):
        time.sleep(SLOW_REQUEST_S)
        return super().read_caller(headers)


@contextlib.asynccontextmanager
async def open_slow_instance(endpoint):
    """Runs an instance with a slow processor; yields its settings."""
    settings = instancefixtures.make_settings()

    def run():
        return instancefixtures.run_instance(
            settings, SlowDialect(KIND), fleetparts.FleetStore(endpoint)
        )

    async with (
        loopthread.open_thread("slow") as thread,
        loopthread.open_in_thread(thread, run),
    ):
        yield settings


@pytest.fixture(autouse=True)
def set_times(monkeypatch):
    monkeypatch.setattr(plannedstop, "LAME_DUCK_S", 0.05)


def test_instance_that_gets_most_connections_serves_as_often_as_before():
    async def main():
        async with fleetfixtures.open_fleet(KIND, INSTANCE_COUNT) as fleet:
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


def test_instance_with_too_slow_a_processor_serves_what_it_reads():
    async def main():
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        endpoint = fleetparts.CountingEndpoint()
        async with (
            endpoint.open(),
            open_slow_instance(endpoint) as settings,
            aiohttp.ClientSession(timeout=timeout) as session,
        ):
            early, late = Tries(), Tries()
            begun_s = time.monotonic()
            asking = []
            while (past_s := time.monotonic() - begun_s) < OVERLOAD_S:
                tries = early if past_s < SETTLE_S else late
                asking.append(
                    asyncio.create_task(tries.send(session, settings))
                )
                await asyncio.sleep(OVERLOAD_GAP_S)
            await asyncio.gather(*asking)
            return late

    late = asyncio.run(main())
    # Nobody comes again here, so about half is left unread.
    assert late.served >= MIN_RATIO * (late.served + late.failed)
    assert late.served >= MIN_RATIO * (OVERLOAD_S - SETTLE_S) / (
        2 * SLOW_REQUEST_S
    )


def test_isolated_instance_reads_nothing_that_it_cannot_serve():
    async def main():
        async with fleetfixtures.open_fleet(KIND, 0) as fleet:
            bounds = dataclasses.replace(fakes.BOUNDS, revoke_s=REVOKE_S)
            for centre in ("osu-hall", "tema-hall", "tema-hall"):
                await fleet.start(KIND, centre, bounds=bounds)
            settings = fleet.instances[0].settings
            fleet.networks[0].is_isolated = True
            tries, readiness = Tries(), []
            begun_s = time.monotonic()
            while time.monotonic() - begun_s < ISOLATED_S:
                await tries.send(fleet.session, settings)
                ready = await instancefixtures.ask_ready(
                    fleet.session, settings
                )
                readiness.append((time.monotonic() - begun_s, ready))
                await asyncio.sleep(CALM_GAP_S)
            fleet.networks[0].is_isolated = False
            while True:
                ready = await instancefixtures.ask_ready(
                    fleet.session, settings
                )
                if ready == 200:
                    break
                await asyncio.sleep(CALM_GAP_S)
            return tries, readiness, await fleet.count_served(0, REQUESTS)

    tries, readiness, served = asyncio.run(main())
    assert tries.failed == 0
    assert tries.served and tries.unread
    # A load balancer needs two failed checks, one second apart.
    ready_s = max(at_s for at_s, status in readiness if status == 200)
    assert ready_s < REVOKE_S - 2.0
    assert served == REQUESTS
