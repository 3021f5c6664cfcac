"""Lets aiohttp open connections to endpoints within a connect timeout."""

import asyncio
import collections
import logging
from typing import Any

import aiohttp
from aiohttp import connector as aiohttp_connector

from rhubarblock.exchange import connection as connections
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import pathwatch
from rhubarblock.exchange import sockets
from rhubarblock.httpclient import connector as answer_connector

# Longest connect timeout in seconds: a hundred times the latency between two
# data centres.
CONNECT_TIMEOUT_S = 0.25
# Passes of the event loop between the kernel's word that a connection is open
# and the use of it, with a margin: a timeout is checked again after them.
CONNECT_PASSES = 8

_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)

_logger = logging.getLogger(__name__)


class ConnectLimit:
    """Ends the opening of a connection that takes too long.

    A process that was blocked finds timers due before it has handled the
    connections that opened meanwhile. They get some passes of the event loop
    before the limit applies, so that no endpoint is blamed for the pause.
    """

    __slots__ = ("_handle", "_loop", "_timeout")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timeout: asyncio.Timeout,
        limit_s: float,
    ):
        """Starts the limit.

        Args:
          loop: the running event loop.
          timeout: an entered timeout without a time; it ends at the limit.
          limit_s: seconds until the limit.
        """
        self._loop = loop
        self._timeout = timeout
        self._handle: asyncio.Handle = loop.call_later(
            limit_s, self._check, CONNECT_PASSES
        )

    def cancel(self) -> None:
        """Removes the limit."""
        self._handle.cancel()

    def _check(self, passes: int) -> None:
        if passes:
            self._handle = self._loop.call_soon(self._check, passes - 1)
        else:
            self._timeout.reschedule(self._loop.time())


class EndpointConnector(answer_connector.AnswerConnector):
    """Opens connections within the connect timeout, and keeps them for reuse.

    A request is never sent twice on one connection: a late copy of the answer
    to its first send would pass for the answer to the second one.

    Attributes:
      attempt_header: name of the header with the id of a request.
      dialer: opens the sockets; None for aiohttp's own way.
      make_socket: makes the socket of a direct connection.
    """

    attempt_header: str = ""
    dialer: dialers.Dialer | None = None
    make_socket: sockets.SocketFactory = staticmethod(sockets.make_socket)

    async def _get(
        self, key: Any, traces: list[Any]
    ) -> aiohttp_connector.Connection | None:
        # aiohttp has no public way to choose among idle connections.
        sending = pathwatch.current.get()
        idle = self._conns.get(key)
        if sending is None or idle is None:
            return await super()._get(key, traces)
        used = [x for x in idle if sending.history.has_used(x[0])]
        if not used:
            return await super()._get(key, traces)
        self._conns[key] = collections.deque(x for x in idle if x not in used)
        try:
            return await super()._get(key, traces)
        finally:
            self._conns[key].extendleft(reversed(used))

    async def _wrap_create_connection(
        self,
        *args: Any,
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        **kwargs: Any,
    ) -> Any:
        # aiohttp has no public way to replace its own timeout.
        loop = asyncio.get_running_loop()
        limit_s = timeout.sock_connect or CONNECT_TIMEOUT_S
        async with asyncio.timeout(None) as limited:
            limit = ConnectLimit(loop, limited, limit_s)
            try:
                if self.dialer is not None:
                    return await self._dial(self.dialer, req)
                return await super()._wrap_create_connection(
                    *args, req=req, timeout=_NO_TIMEOUT, **kwargs
                )
            finally:
                limit.cancel()

    async def _dial(
        self, dialer: dialers.Dialer, req: aiohttp.ClientRequest
    ) -> tuple[asyncio.Transport, connections.EndpointProtocol]:
        address = f"{req.url.raw_host}:{req.port}"
        try:
            opened = await dialer.connect(address, self.make_socket)
            loop = asyncio.get_running_loop()
            transport, protocol = await loop.create_connection(
                self._factory, sock=opened.sock
            )
        except OSError as error:
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        assert isinstance(protocol, connections.EndpointProtocol)
        if opened.peer:
            protocol.set_relayed(opened.end_mark)
            _logger.debug(
                "connected through a peer",
                extra={
                    "request": req.headers.get(self.attempt_header, ""),
                    "address": address,
                    "peer": opened.peer,
                },
            )
        else:
            protocol.set_direct(dialer.paths.find(address))
        return transport, protocol
