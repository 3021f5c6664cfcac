"""``rhubarblock serve``: the daemon of an entry instance."""

import asyncio
import logging
import signal
import sys

import click
from returns import result

from rhubarblock.daemon import server
from rhubarblock.kernel import logs
from rhubarblock.kernel import registry as registries
from rhubarblock.routing.placement import policy as policies
from rhubarblock.settings import entry as settings_lib
from rhubarblock.settings import loader

CONFIG_STATUS = 2
ADDRESS_STATUS = 3

_logger = logging.getLogger(__name__)


@click.command("serve")
@click.option(
    "-c", "--config", "path", required=True, metavar="FILE", help="entry.ini"
)
def serve_command(path: str) -> None:
    """Runs an entry instance until SIGTERM, then drains it."""
    registry = registries.Registry()
    registry.load(registries.default_modules())
    loaded = loader.load_entry_settings(
        path, registry.list_names(policies.PLUGIN_GROUP)
    )
    if isinstance(loaded, result.Failure):
        for error in loaded.failure():
            click.echo(str(error), err=True)
        sys.exit(CONFIG_STATUS)
    settings = loaded.unwrap()
    logs.configure(settings.logs.level, sys.stderr)
    try:
        asyncio.run(serve(settings))
    except OSError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(ADDRESS_STATUS)


async def serve(settings: settings_lib.EntrySettings) -> None:
    """Runs an instance until SIGTERM or SIGINT.

    Args:
      settings: validated settings.

    Raises:
      OSError: the instance cannot listen on an address.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with server.run_server(settings) as running:
        _logger.info(
            "listening",
            extra={
                "callers": running.caller_address,
                "operators": running.admin_address,
            },
        )
        await stop.wait()
