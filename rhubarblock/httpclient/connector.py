"""Opens client connections whose answers are validated."""

import asyncio
from collections.abc import Callable
import functools
import math
from typing import Any

import aiohttp

from rhubarblock.httpclient import protocol as protocols

ProtocolFactory = Callable[..., protocols.AnswerProtocol]


class AnswerConnector(aiohttp.TCPConnector):
    """Opens connections that pass on only valid answers."""

    def __init__(
        self,
        make_protocol: ProtocolFactory = protocols.AnswerProtocol,
        max_body_bytes: float = math.inf,
        **options: Any,
    ):
        """Creates a connector in a running event loop.

        Args:
          make_protocol: makes the protocol of a connection.
          max_body_bytes: longest body of an answer in bytes.
          options: options of ``aiohttp.TCPConnector``.
        """
        super().__init__(**options)
        # aiohttp has no public way to choose the class of its connections.
        self._factory = functools.partial(  # type: ignore[assignment]
            make_protocol,
            loop=asyncio.get_running_loop(),
            max_body_bytes=max_body_bytes,
        )
