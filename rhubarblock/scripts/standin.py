"""``rhubarblock standin``: runs stand-ins for external systems."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import signal

import aiohttp
import click

from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import position as positions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.standins import instancelist
from rhubarblock.standins import service
from rhubarblock.standins import serviceserver
from rhubarblock.standins.engine import engine as engines
from rhubarblock.standins.engine import server as engineserver
from rhubarblock.standins.engine import settings as enginesettings
from rhubarblock.standins.platform import server as platformserver
from rhubarblock.standins.platform import store as platform
from rhubarblock.store import httpstore
from rhubarblock.store import instances

_port_option = click.option(
    "--port", default=0, show_default=True, help="Port; 0 takes a free one."
)
_host_option = click.option("--host", default="127.0.0.1", show_default=True)
_seed_option = click.option("--seed", default=1, show_default=True)
_platform_option = click.option(
    "--platform", "url", help="Platform in whose list to appear."
)
_id_option = click.option("--id", "name", required=True)
_service_option = click.option("--service", "service_name", required=True)
_data_centre_option = click.option("--data-centre", required=True)


@click.group("standin")
def standin_group() -> None:
    """Runs a stand-in for an external system until it is stopped."""


@standin_group.command("platform")
@_host_option
@_port_option
@_seed_option
@click.option("--lag-s", default=5.0, show_default=True)
def platform_command(host: str, port: int, seed: int, lag_s: float) -> None:
    """Runs the platform's object API and its delayed instance list."""

    async def run() -> None:
        timers = timer_service.LoopTimers()
        store = platform.MemoryStore(timers, random.Random(seed))
        listed = instancelist.InstanceList(
            store, instancelist.InstanceListSettings(lag_s)
        )
        async with platformserver.run_server(store, listed, host, port) as url:
            await _serve_until_stopped(url)

    asyncio.run(run())


@standin_group.command("engine")
@_host_option
@_port_option
@_seed_option
@_id_option
@_service_option
@_data_centre_option
@_platform_option
@click.option(
    "--role",
    type=click.Choice([role.value for role in endpoints.Role]),
    default=endpoints.Role.BOTH.value,
    show_default=True,
)
@click.option("--model", "models", multiple=True, default=("default@1",))
@click.option("--ignore-fencing", is_flag=True)
def engine_command(
    host: str,
    port: int,
    seed: int,
    name: str,
    service_name: str,
    data_centre: str,
    url: str | None,
    role: str,
    models: tuple[str, ...],
    ignore_fencing: bool,
) -> None:
    """Runs a model engine."""
    settings = enginesettings.EngineSettings(
        role=endpoints.Role(role),
        models=models,
        checks_fencing=not ignore_fencing,
    )

    async def run() -> None:
        timers = timer_service.LoopTimers()
        engine = engines.Engine(name, "", timers, random.Random(seed), settings)
        async with engineserver.run_engine_server(
            engine, timers, host, port
        ) as address:
            listed = instances.ListedInstance(
                name,
                address,
                data_centre,
                service_name,
                instances.InstanceKind.ENGINE,
            )
            async with _register(url, listed):
                await _serve_until_stopped(address)

    asyncio.run(run())


@standin_group.command("service")
@_host_option
@_port_option
@_id_option
@_service_option
@_data_centre_option
@_platform_option
def service_command(
    host: str,
    port: int,
    name: str,
    service_name: str,
    data_centre: str,
    url: str | None,
) -> None:
    """Runs one endpoint of a plain service."""

    async def run() -> None:
        plain_service = service.PlainService(name, timer_service.LoopTimers())
        async with serviceserver.run_server(
            plain_service, host, port
        ) as address:
            listed = instances.ListedInstance(
                name,
                address,
                data_centre,
                service_name,
                instances.InstanceKind.SERVICE,
            )
            async with _register(url, listed):
                await _serve_until_stopped(address)

    asyncio.run(run())


@contextlib.asynccontextmanager
async def _register(
    url: str | None, listed: instances.ListedInstance
) -> AsyncIterator[None]:
    """Registers an instance in the platform's list while the context is open.

    Args:
      url: URL of the platform; None registers nothing.
      listed: the entry in the list.
    """
    if url is None:
        yield
        return
    name = instances.name_object(listed.instance_id)
    async with aiohttp.ClientSession() as session:
        store = httpstore.HttpStore(session, url, listed.instance_id)
        stored = await store.write(
            name, instances.encode_instance(listed), positions.NOWHERE
        )
        try:
            yield
        finally:
            await store.delete(name, stored.version)


async def _serve_until_stopped(address: str) -> None:
    click.echo(address)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
