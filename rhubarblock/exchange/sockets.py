"""TCP sockets that notice when the remote machine is lost."""

import asyncio
from collections.abc import Callable
import socket
from typing import Any

# Milliseconds after which unacknowledged data breaks a connection, so that a
# dead one does not hold its request until the deadline.
UNACKED_TIMEOUT_MS = 2_000
# Idle time and interval in seconds of TCP keep-alive probes. On Linux the bound
# above decides when they give up: they detect a lost machine after two seconds,
# before the memory leases of its request must be free.
KEEPALIVE_PROBE_S = 1
# Address family, type and protocol, as in an entry of ``getaddrinfo``.
IPV4 = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)

SocketFactory = Callable[[Any], socket.socket]


def make_socket(address: Any) -> socket.socket:
    """Returns a socket for an entry of ``getaddrinfo``."""
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS
    )
    return sock


def make_probed_socket(address: Any) -> socket.socket:
    """Returns a socket that detects a lost machine while it is idle."""
    sock = make_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_KEEPCNT,
        UNACKED_TIMEOUT_MS // 1000 // KEEPALIVE_PROBE_S,
    )
    return sock


async def connect(
    host: str,
    port: int,
    make: SocketFactory = make_probed_socket,
    source: str = "",
) -> socket.socket:
    """Returns a connected socket.

    Args:
      host: IPv4 address.
      port: port.
      make: makes the socket.
      source: own IPv4 address to connect from; empty for any.

    Raises:
      OSError: the connection failed.
    """
    sock = make(IPV4)
    try:
        sock.setblocking(False)
        if source:
            sock.bind((source, 0))
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return sock
