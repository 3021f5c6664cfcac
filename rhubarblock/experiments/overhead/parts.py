"""The parts of the relay measurement: its environment and the instance.

The environment is a stand-in platform and cheap token sources; the instance is
the complete daemon behind its sockets. Each runs in its own process, or in its
own thread if everything runs in one process.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import hashlib
import random

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import position as positions
from rhubarblock.core import request as requests
from rhubarblock.daemon import server
from rhubarblock.experiments.overhead import source as overheadsource
from rhubarblock.fleet import httpengine
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import entry as settings_lib
from rhubarblock.settings import kinds
from rhubarblock.standins import instancelist
from rhubarblock.standins.platform import server as platformserver
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import instances

MODEL = "reader"
POOL = "pool"
DATA_CENTRE = "osu-hall"
SECRET = "measurement"
LIST_LAG_S = 0.2
# A node's share of the servers of the target size: 5,800 over 370 nodes.
ENGINES = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Environment:
    """The environment of an instance.

    Attributes:
      platform_url: URL of the stand-in platform.
      engines: addresses of the token sources.
    """

    platform_url: str
    engines: tuple[str, ...]


@contextlib.asynccontextmanager
async def run_environment(
    engines: int, gap_s: float, port: int = 0
) -> AsyncIterator[Environment]:
    """Runs platform and token sources while the context is open.

    Args:
      engines: number of sources.
      gap_s: seconds between two tokens of a stream.
      port: port of the platform; 0 takes a free one.

    Yields:
      Their addresses.
    """
    timers = timer_service.LoopTimers()
    store = platform.MemoryStore(timers, random.Random(1))
    listed = instancelist.InstanceList(
        store, instancelist.InstanceListSettings(LIST_LAG_S)
    )
    store.state.write(
        archive.CURRENT_OBJECT,
        codec.encode(make_catalogue()),
        positions.NOWHERE,
        timers.read_monotonic(),
    )
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for number in range(engines):
            name = f"engine-{number}"
            address = await stack.enter_async_context(
                overheadsource.run_engine(name, gap_s, timers)
            )
            addresses.append(address)
            listed.put(
                instances.ListedInstance(
                    name,
                    address,
                    DATA_CENTRE,
                    POOL,
                    instances.InstanceKind.ENGINE,
                )
            )
        url = await stack.enter_async_context(
            platformserver.run_server(store, listed, port=port)
        )
        await timers.sleep(LIST_LAG_S)
        yield Environment(url, tuple(addresses))


def make_catalogue() -> catalogues.Catalogue:
    """Returns a catalogue of one workspace and one model, without limits."""
    owner = "measurement"
    unlimited = catalogues.Limits()
    return catalogues.Catalogue(
        revision=1,
        institutions={
            "adwoa": catalogues.Institution("adwoa", owner, unlimited)
        },
        workspaces={
            "adwoa/claims": catalogues.Workspace(
                "adwoa/claims",
                owner,
                "adwoa",
                requests.RequestClass.INTERACTIVE,
                unlimited,
            )
        },
        models={MODEL: catalogues.Model(MODEL, owner, "v1", POOL, 1_002_000)},
        services={
            POOL: catalogues.Service(
                POOL,
                owner,
                endpoints.EndpointKind.ENGINE,
                kv_tokens=400_000,
                decode_share=0.0,
            )
        },
        places={DATA_CENTRE: catalogues.Place(DATA_CENTRE, owner, "accra")},
        credentials={
            "caller": catalogues.Credential(
                "caller",
                owner,
                hashlib.sha256(SECRET.encode()).hexdigest(),
                catalogues.CredentialRole.CALLER,
                "adwoa",
                "adwoa/claims",
            )
        },
    )


@contextlib.asynccontextmanager
async def run_entry(
    platform_url: str,
    name: str,
    streaming: httpengine.StreamSettings | None,
    port: int = 0,
) -> AsyncIterator[server.Server]:
    """Runs an instance on real sockets while the context is open.

    Args:
      platform_url: URL of the stand-in platform.
      name: name of the instance.
      streaming: how it relays streams; None for the product's defaults.
      port: port for callers; 0 takes a free one.

    Yields:
      The running instance.
    """
    free = kinds.Address("127.0.0.1", 0)
    settings = settings_lib.EntrySettings(
        instance=settings_lib.InstanceSettings(
            id=name,
            data_centre=DATA_CENTRE,
            region="accra",
            listen=kinds.Address("127.0.0.1", port),
            admin_listen=free,
            peer_listen=free,
        ),
        platform=settings_lib.PlatformSettings(url=platform_url),
        drain=settings_lib.DrainSettings(deadline_s=10.0),
    )
    async with server.run_server(settings) as running:
        engines = running.instance.clients.engines
        if streaming is not None:
            assert isinstance(engines, httpengine.HttpEngineClient)
            engines.set_streaming(streaming)
        yield running
