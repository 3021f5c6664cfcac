"""``rhubarblock edge``: the daemon of an instance on the users' platform.

Run as a module of its own it imports only what it needs: a start is charged.
"""

import asyncio
import logging
import pathlib
import random
import signal
import sys

import aiohttp
import click
from returns import result

from rhubarblock.daemon import exchangeinstance
from rhubarblock.kernel import logs
from rhubarblock.platform import dialect as dialects
from rhubarblock.platform import names
from rhubarblock.platform import objectstore
from rhubarblock.platform import orders
from rhubarblock.platform import settings as settings_loader
from rhubarblock.settings import exchange as settings_lib

CONFIG_STATUS = 2

_logger = logging.getLogger(__name__)


@click.command("edge")
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help="settings file; else the platform's variable names it",
)
def edge_command(path: pathlib.Path | None) -> None:
    """Serves on the users' platform until SIGTERM, then drains."""
    logs.configure("INFO", sys.stdout)
    loaded = settings_loader.load_settings(path or settings_loader.find_path())
    if isinstance(loaded, result.Failure):
        for error in loaded.failure():
            click.echo(str(error), err=True)
        sys.exit(CONFIG_STATUS)
    asyncio.run(serve(loaded.unwrap()))


async def serve(settings: settings_lib.ExchangeSettings) -> None:
    """Runs an instance until a signal asks it to stop.

    Args:
      settings: checked settings.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Nothing in the settings is changed while the process runs; the next
    # start reads them anew.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: _logger.info("settings changed")
    )

    def make_store(
        session: aiohttp.ClientSession,
    ) -> objectstore.PlatformStore:
        return objectstore.PlatformStore(session, str(settings.store))

    instance = exchangeinstance.ExchangeInstance(
        settings,
        dialects.PlatformDialect(),
        make_store,
        orders.PlatformLeases,
        names.ATTEMPT_ID,
        random.Random(),
    )
    await instance.run(stop)


if __name__ == "__main__":
    edge_command()
