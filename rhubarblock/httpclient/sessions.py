"""Opens the HTTP sessions of the product."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import aiohttp

from rhubarblock.httpclient import connector as connectors


@contextlib.asynccontextmanager
async def open_session(
    connector: connectors.AnswerConnector | None = None, **options: Any
) -> AsyncIterator[aiohttp.ClientSession]:
    """Opens a session that accepts only valid answers.

    Args:
      connector: opens its connections; None opens them to any address.
      options: options of ``aiohttp.ClientSession``.

    Yields:
      The session; it is closed with the context.
    """
    async with aiohttp.ClientSession(
        connector=connector or connectors.AnswerConnector(), **options
    ) as session:
        yield session
