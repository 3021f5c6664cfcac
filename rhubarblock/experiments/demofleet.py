"""The embedded fleet of the demo, in one process over loopback.

It has stand-ins of the platform, six engines and one plain service, and three
entry instances in two data centres, all behind real sockets on free ports.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import hashlib
import random

from returns import result

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.catalogue import files
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import position as positions
from rhubarblock.daemon import server
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import entry as settings_lib
from rhubarblock.settings import kinds
from rhubarblock.standins import instancelist
from rhubarblock.standins import service
from rhubarblock.standins import serviceserver
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import server as engineserver
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.platform import server as platformserver
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances

DATA_CENTRES = ("osu-hall", "tema-hall")
MODEL = "reader"
POOL = "pool"
DESK = "desk"
INSTANCES = 3
ENGINE_ROLES = (
    endpoints.Role.PREFILL,
    endpoints.Role.PREFILL,
    endpoints.Role.PREFILL,
    endpoints.Role.PREFILL,
    endpoints.Role.DECODE,
    endpoints.Role.DECODE,
)
LIST_LAG_S = 1.0
SECRETS = {"adwoa": "adwoa-demo", "hofbauer": "hofbauer-demo"}

_CATALOGUE = """
[institution adwoa]
owner = demo

[institution hofbauer]
owner = demo

[workspace adwoa/claims]
owner = demo
class = interactive

[workspace hofbauer/dispatch]
owner = demo
class = interactive

[model reader]
owner = demo
version = v1
service = pool
context_tokens = 1100000

[service pool]
owner = demo
kind = engine
kv_tokens = 400000

[service desk]
owner = demo
kind = service
idempotent_paths = /status

[place osu-hall]
owner = demo
region = accra

[place tema-hall]
owner = demo
region = accra

[credential adwoa-caller]
owner = demo
sha256 = {adwoa}
role = caller
institution = adwoa
workspace = adwoa/claims

[credential hofbauer-caller]
owner = demo
sha256 = {hofbauer}
role = caller
institution = hofbauer
workspace = hofbauer/dispatch
"""


@dataclasses.dataclass(slots=True)
class DemoFleet:
    """The parts of the fleet that the demo uses.

    Attributes:
      instances: the entry instances.
      engines: the engine stand-ins.
      runs: log of the calls that the plain service ran.
    """

    instances: list[server.Server]
    engines: list[engines.Engine]
    runs: service.RunLog


@contextlib.asynccontextmanager
async def run_fleet(seed: int) -> AsyncIterator[DemoFleet]:
    """Runs the fleet while the context is open.

    Args:
      seed: seed of the stand-ins.

    Yields:
      The running fleet, ready for callers.
    """
    timers = timer_service.LoopTimers()
    store = platform.MemoryStore(timers, random.Random(seed))
    listed = instancelist.InstanceList(
        store, instancelist.InstanceListSettings(LIST_LAG_S)
    )
    async with contextlib.AsyncExitStack() as stack:
        url = await stack.enter_async_context(
            platformserver.run_server(store, listed)
        )
        store.state.write(
            archive.CURRENT_OBJECT,
            make_catalogue(),
            positions.NOWHERE,
            timers.read_monotonic(),
        )
        found = [
            await stack.enter_async_context(_run_engine(number, seed, listed))
            for number in range(len(ENGINE_ROLES))
        ]
        runs = service.RunLog()
        await stack.enter_async_context(_run_service(runs, listed))
        await timers.sleep(LIST_LAG_S)
        running = [
            await stack.enter_async_context(_run_instance(number, url))
            for number in range(INSTANCES)
        ]
        yield DemoFleet(running, found, runs)


def make_catalogue() -> bytes:
    """Returns the demo's catalogue as the platform stores it."""
    digests = {
        name: hashlib.sha256(secret.encode()).hexdigest()
        for name, secret in SECRETS.items()
    }
    text = _CATALOGUE.format(**digests)
    parsed = files.parse_catalogue(text, "demo")
    if isinstance(parsed, result.Failure):
        raise ValueError("; ".join(map(str, parsed.failure())))
    return codec.encode(dataclasses.replace(parsed.unwrap(), revision=1))


@contextlib.asynccontextmanager
async def _run_engine(
    number: int, seed: int, listed: instancelist.InstanceList
) -> AsyncIterator[engines.Engine]:
    timers = timer_service.LoopTimers()
    name = f"engine-{number}"
    settings = enginesettings.EngineSettings(
        role=ENGINE_ROLES[number], models=(f"{MODEL}@v1",)
    )
    engine = engines.Engine(
        name, "", timers, random.Random(seed + number), settings
    )
    async with engineserver.run_engine_server(engine, timers) as address:
        listed.put(
            instances.ListedInstance(
                name,
                address,
                DATA_CENTRES[number % len(DATA_CENTRES)],
                POOL,
                instances.InstanceKind.ENGINE,
            )
        )
        yield engine


@contextlib.asynccontextmanager
async def _run_service(
    runs: service.RunLog, listed: instancelist.InstanceList
) -> AsyncIterator[None]:
    plain = service.PlainService("desk-0", timer_service.LoopTimers(), runs)
    async with serviceserver.run_server(plain) as address:
        listed.put(
            instances.ListedInstance(
                "desk-0",
                address,
                DATA_CENTRES[0],
                DESK,
                instances.InstanceKind.SERVICE,
            )
        )
        yield


@contextlib.asynccontextmanager
async def _run_instance(number: int, url: str) -> AsyncIterator[server.Server]:
    free = kinds.Address("127.0.0.1", 0)
    settings = settings_lib.EntrySettings(
        instance=settings_lib.InstanceSettings(
            id=f"entry-{number}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            region="accra",
            listen=free,
            admin_listen=free,
            peer_listen=free,
        ),
        platform=settings_lib.PlatformSettings(url=url),
        drain=settings_lib.DrainSettings(deadline_s=30.0),
    )
    async with server.run_server(settings) as running:
        yield running
