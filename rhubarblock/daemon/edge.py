"""The daemon of an instance on the users' platform.

It imports only what it serves with: a start is charged, and until it is over
nobody is served.
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

# Seconds between two looks at settings that can't be used.
LOOK_AGAIN_S = 1.0

_logger = logging.getLogger(__name__)


def run(path: pathlib.Path) -> None:
    """Serves until SIGTERM, then drains.

    Args:
      path: settings file.
    """
    logs.configure("DEBUG", sys.stdout)
    asyncio.run(serve(wait_for_settings(path)))


def wait_for_settings(path: pathlib.Path) -> settings_lib.ExchangeSettings:
    """Returns the settings once they can be used.

    Until then nothing listens, so the instance isn't ready; ending would only
    make the platform start it again and again.
    """
    told: list[settings_lib.SettingError] = []
    while True:
        loaded = settings_loader.load_settings(path)
        if isinstance(loaded, result.Success):
            return loaded.unwrap()
        errors = loaded.failure()
        if errors != told:
            told = errors
            for error in errors:
                _logger.error("setting refused", extra={"error": str(error)})
        time.sleep(LOOK_AGAIN_S)


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
