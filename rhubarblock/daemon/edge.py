"""The daemon of an exchange instance on the users' platform.

It imports only what it needs to serve: the users' platform charges for the cost
of each start, and no caller is served until the start is complete.
"""

import asyncio
import logging
import pathlib
import random
import signal
import sys
import time

import aiohttp
from returns import result

from rhubarblock.daemon import exchangeinstance
from rhubarblock.kernel import logs
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.platform import dialect as dialects
from rhubarblock.platform import leaseclient
from rhubarblock.platform import names
from rhubarblock.platform import objectstore
from rhubarblock.platform import settings as settings_loader
from rhubarblock.settings import exchange as settings_lib
from rhubarblock.store import store as stores

# Seconds between two reads of invalid settings.
SETTINGS_POLL_S = 1.0

_logger = logging.getLogger(__name__)


def run(path: pathlib.Path) -> None:
    """Serves until SIGTERM, then drains.

    Args:
      path: settings file.
    """
    logs.configure("DEBUG", sys.stdout)
    asyncio.run(serve(wait_for_settings(path)))


def wait_for_settings(path: pathlib.Path) -> settings_lib.ExchangeSettings:
    """Returns the settings once they are valid.

    Until then nothing listens, so the instance is not ready. If the process
    exited instead, the platform would restart it again and again.

    Args:
      path: settings file.
    """
    logged: list[settings_lib.SettingError] = []
    while True:
        loaded = settings_loader.load_settings(path)
        if isinstance(loaded, result.Success):
            return loaded.unwrap()
        errors = loaded.failure()
        if errors != logged:
            logged = errors
            for error in errors:
                _logger.error("setting refused", extra={"error": str(error)})
        time.sleep(SETTINGS_POLL_S)


async def serve(settings: settings_lib.ExchangeSettings) -> None:
    """Runs an instance until SIGTERM or SIGINT, then drains.

    Args:
      settings: validated settings.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Settings are read at the start only, so SIGHUP is just logged.
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: _logger.info("SIGHUP ignored: settings are read at the start"),
    )

    def make_store(
        session: aiohttp.ClientSession,
        metrics: metric_store.Metrics,
        eras: stores.Eras,
    ) -> objectstore.PlatformStore:
        return objectstore.PlatformStore(
            session, str(settings.store), metrics.count, eras
        )

    instance = exchangeinstance.ExchangeInstance(
        settings,
        dialects.PlatformDialect(),
        make_store,
        leaseclient.PlatformLeaseClient,
        names.ATTEMPT_ID,
        random.Random(),
    )
    await instance.run(stop)
