"""Keeps the HTTP client library from sending a request twice by itself.

aiohttp sends GET, PUT and DELETE requests again when the connection breaks
before the response. A conditional write would then see its own effect as a
conflict, and a call that is not idempotent would run twice.
"""

import aiohttp


class ConnectionCutError(aiohttp.ClientError):
    """The connection broke during a call, which may have run."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that sends a request at most once."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionCutError(str(error)) from error
