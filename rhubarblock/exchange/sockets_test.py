import asyncio
import socket

import pytest

from rhubarblock.exchange import sockets

# Seconds for which a sound machine may be silent.
SILENCE_S = 1.5
# Seconds within which a lost machine must be noticed.
LOST_S = 3.0


def read(sock, name):
    return sock.getsockopt(socket.IPPROTO_TCP, name)


def predict_end(sock):
    """Returns when Linux gives up an idle connection, in seconds.

    Once a probe is unanswered, TCP_USER_TIMEOUT decides, if it is set, and not
    the number of probes.
    """
    idle_s = read(sock, socket.TCP_KEEPIDLE)
    interval_s = read(sock, socket.TCP_KEEPINTVL)
    timeout_s = read(sock, socket.TCP_USER_TIMEOUT) / 1e3
    at_s = idle_s + interval_s
    while at_s < timeout_s:
        at_s += interval_s
    return at_s


def test_probes_survive_a_short_silence_and_notice_a_lost_machine():
    with sockets.make_probed_socket(sockets.IPV4) as sock:
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert SILENCE_S < predict_end(sock) <= LOST_S


def test_unacknowledged_data_survives_a_short_silence():
    with sockets.make_socket(sockets.IPV4) as sock:
        timeout_s = read(sock, socket.TCP_USER_TIMEOUT) / 1e3
        assert SILENCE_S < timeout_s <= LOST_S
        # A healthy engine may be silent for long.
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 0


def test_socket_connects_from_the_given_address():
    async def main():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        async with server:
            sock = await sockets.connect(
                *server.sockets[0].getsockname(), source="127.0.0.9"
            )
            with sock:
                return sock.getsockname()[0]

    assert asyncio.run(main()) == "127.0.0.9"


def test_refused_connection_raises():
    async def main():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        server.close()
        await sockets.connect(*address)

    with pytest.raises(ConnectionRefusedError):
        asyncio.run(main())
