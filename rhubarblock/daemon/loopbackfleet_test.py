"""A small fleet on loopback sockets, for tests of the callers' APIs."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import hashlib
import json
import random
from typing import Any

from rhubarblock.catalogue import archive
from rhubarblock.catalogue import codec
from rhubarblock.core import catalogue as catalogues
from rhubarblock.core import position as positions
from rhubarblock.daemon import server
from rhubarblock.experiments import demofleet
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

SECRET = "adwoa-caller"
OPERATOR_SECRET = "adwoa-operator"
UNLISTED_WORKSPACE_SECRET = "adwoa-stray"
TIMEOUT_S = 20.0
_ROLE = catalogues.CredentialRole


def make_catalogue(
    context_tokens: int = 10_000, decode_share: float = 0.0
) -> catalogues.Catalogue:
    """Returns the demo's catalogue with the credentials of these tests.

    The workspace of ``UNLISTED_WORKSPACE_SECRET`` is not in the catalogue.
    """
    catalogue = codec.decode(demofleet.make_catalogue())
    models, services = dict(catalogue.models), dict(catalogue.services)
    models["reader"] = dataclasses.replace(
        models["reader"], context_tokens=context_tokens
    )
    services["pool"] = dataclasses.replace(
        services["pool"], decode_share=decode_share
    )
    roles = {
        SECRET: (_ROLE.CALLER, "adwoa/claims"),
        UNLISTED_WORKSPACE_SECRET: (_ROLE.CALLER, "adwoa/closed"),
        OPERATOR_SECRET: (_ROLE.OPERATOR, ""),
    }
    credentials = {
        secret: catalogues.Credential(
            secret,
            "it",
            hashlib.sha256(secret.encode()).hexdigest(),
            role,
            "adwoa",
            workspace,
        )
        for secret, (role, workspace) in roles.items()
    }
    return dataclasses.replace(
        catalogue, models=models, services=services, credentials=credentials
    )


@dataclasses.dataclass(slots=True)
class Fleet:
    """A running fleet, with helpers for tests."""

    url: str
    engine: engines.Engine
    desk: service.PlainService
    servers: list[server.Server]

    @property
    def address(self) -> str:
        return self.servers[0].caller_address

    async def assert_idle(self) -> None:
        """Waits until no resources are held for any caller."""
        await wait_until(lambda: not self.engine.kv_held())
        for running in self.servers:
            parts = running.instance.parts
            await wait_until(
                lambda parts=parts: (
                    not parts.lifecycle.in_flight
                    and not parts.queue.waiting
                    and not any(x.grants for x in parts.table.list_all())
                )
            )


@contextlib.asynccontextmanager
async def run_fleet(
    count: int = 1, limits: settings_lib.LimitsSettings | None = None
) -> AsyncIterator[Fleet]:
    """Runs one engine, one plain service and ``count`` instances."""
    timers = timer_service.LoopTimers()
    store = platform.MemoryStore(timers, random.Random(1))
    listed = instancelist.InstanceList(
        store, instancelist.InstanceListSettings(lag_s=0.0)
    )
    store.state.write(
        archive.CURRENT_OBJECT,
        codec.encode(make_catalogue()),
        positions.NOWHERE,
        0.0,
    )
    engine = engines.Engine(
        "engine-0",
        "",
        timers,
        random.Random(2),
        enginesettings.EngineSettings(models=("reader@v1",), load_lag_s=0.0),
    )
    desk = service.PlainService("desk-0", timers)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        url = await enter(platformserver.run_server(store, listed))
        engine_address = await enter(
            engineserver.run_engine_server(engine, timers)
        )
        desk_address = await enter(serviceserver.run_server(desk))
        for name, address, pool, kind in (
            ("engine-0", engine_address, "pool", instances.InstanceKind.ENGINE),
            ("desk-0", desk_address, "desk", instances.InstanceKind.SERVICE),
        ):
            listed.put(
                instances.ListedInstance(name, address, "osu-hall", pool, kind)
            )
        servers = [
            await enter(server.run_server(make_settings(number, url, limits)))
            for number in range(count)
        ]
        yield Fleet(url, engine, desk, servers)


def make_settings(
    number: int, url: str, limits: settings_lib.LimitsSettings | None = None
) -> settings_lib.EntrySettings:
    """Returns settings of an instance that listens on free ports."""
    free = kinds.Address("127.0.0.1", 0)
    return settings_lib.EntrySettings(
        instance=settings_lib.InstanceSettings(
            id=f"entry-{number}",
            data_centre="osu-hall",
            region="accra",
            listen=free,
            admin_listen=free,
            peer_listen=free,
        ),
        platform=settings_lib.PlatformSettings(url=url),
        limits=limits or settings_lib.LimitsSettings(),
        drain=settings_lib.DrainSettings(deadline_s=TIMEOUT_S),
    )


@dataclasses.dataclass(slots=True)
class RawAnswer:
    """An HTTP response as received from the socket."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def fields(self) -> Any:
        return json.loads(self.body)


def make_request(
    body: bytes,
    path: str = "/v1/completions",
    method: str = "POST",
    **headers: str,
) -> bytes:
    """Returns a request as curl would send it; ``_`` stands for ``-``."""
    lines = {
        "Host": "entry",
        "User-Agent": "curl/8.5.0",
        "Accept": "*/*",
        "Authorization": f"Bearer {SECRET}",
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines |= {name.replace("_", "-"): text for name, text in headers.items()}
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {text}\r\n" for name, text in lines.items() if text
    )
    return head.encode("latin-1") + b"\r\n" + body


async def exchange(address: str, data: bytes) -> RawAnswer:
    """Sends bytes on a new connection, reads one response and closes it."""
    reader, writer = await connect(address)
    writer.write(data)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await read_answer(reader)
    finally:
        writer.close()


async def connect(
    address: str, **options: Any
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to ``host:port``."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), **options)


async def read_answer(reader: asyncio.StreamReader) -> RawAnswer:
    """Reads one response with a known length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await _read_chunks(reader)
    return RawAnswer(int(head[0].split()[1]), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    return b"".join(parts)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition; the timeout only ends a test that hangs."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
