"""Clients of the outside over real sockets, for the daemon."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp

from rhubarblock.daemon import outside as outsides
from rhubarblock.fleet import httpengine
from rhubarblock.fleet import httpservice
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import entry as settings_lib
from rhubarblock.store import httpstore
from rhubarblock.store import instances

# Connections to engines are bounded by the queue, not by the pool.
NO_CONNECTION_LIMIT = 0


@contextlib.asynccontextmanager
async def open_outside(
    settings: settings_lib.EntrySettings,
) -> AsyncIterator[outsides.Outside]:
    """Opens the clients of one instance and closes them at the end.

    Args:
      settings: where the platform is, and how long to wait for it.

    Yields:
      The clients.
    """
    timers = timer_service.LoopTimers()
    url = settings.platform.url
    name = settings.instance.id
    connector = aiohttp.TCPConnector(limit=NO_CONNECTION_LIMIT)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        yield outsides.Outside(
            timers=timers,
            store=httpstore.HttpStore(
                session, url, name, settings.platform.timeout_s
            ),
            source=instances.HttpInstanceSource(session, url, name),
            engines=httpengine.HttpEngineClient(
                session, streaming=httpengine.DAEMON_STREAMING
            ),
            services=httpservice.HttpServiceClient(session, timers),
        )
