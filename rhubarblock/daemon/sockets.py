"""Opens the daemon's clients of platform and endpoints over real sockets."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp

from rhubarblock.daemon import clients as clients_lib
from rhubarblock.fleet import httpengine
from rhubarblock.fleet import httpservice
from rhubarblock.httpclient import connector as connectors
from rhubarblock.httpclient import sessions
from rhubarblock.kernel import timers as timer_service
from rhubarblock.settings import entry as settings_lib
from rhubarblock.store import httpstore
from rhubarblock.store import instances

# aiohttp's value for an unlimited connection pool: the fair queue bounds the
# requests to engines.
NO_CONNECTION_LIMIT = 0


@contextlib.asynccontextmanager
async def open_clients(
    settings: settings_lib.EntrySettings,
) -> AsyncIterator[clients_lib.Clients]:
    """Opens the clients of one instance while the context is open.

    Args:
      settings: settings of the instance: its id, and URL and timeout of the
        platform.

    Yields:
      The clients.
    """
    timers = timer_service.LoopTimers()
    url = settings.platform.url
    name = settings.instance.id
    connector = connectors.AnswerConnector(limit=NO_CONNECTION_LIMIT)
    timeout = aiohttp.ClientTimeout(total=None)
    async with sessions.open_session(connector, timeout=timeout) as session:
        yield clients_lib.Clients(
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
