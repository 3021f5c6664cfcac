"""Stops the HTTP client library from sending a call twice by itself.

aiohttp sends GET, PUT and DELETE a second time when the connection breaks
before an answer. A conditional write would then see its own effect as a
conflict, and a call that is not idempotent would run twice.
"""

import aiohttp


class ConnectionCutError(aiohttp.ClientError):
    """The connection broke after the call was begun; it may have run."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that lets one call go out at most once."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionCutError(str(error)) from error
