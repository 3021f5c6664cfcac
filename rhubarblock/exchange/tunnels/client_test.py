import asyncio
import contextlib
import random

import pytest

from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.exchange.tunnels import client as tunnel_client
from rhubarblock.exchange.tunnels import wire
from rhubarblock.kernel import timers as timer_service

ADDRESS = "10.0.0.1:80"


def reply(code):
    """Returns an answer of a peer."""
    return wire.encode_reply(code)


OPENED = reply(wire.Reply.OPENED)
UNAVAILABLE = reply(wire.Reply.UNAVAILABLE)
UNREACHABLE = reply(wire.Reply.UNREACHABLE)
# A release without tunnels answers like this.
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class Fleet:
    """Peers that give fixed answers.

    Attributes:
      asked: names of the peers in the order in which they were asked.
      tunnels: the client.
    """

    def __init__(self):
        timers = timer_service.LoopTimers()
        directory = directories.Directory(timers)
        directory.update(fakes.make_endpoint(1, ADDRESS))
        self.asked = []
        self.peers = peer_table.PeerTable("i0", "osu-hall", timers)
        self.tunnels = tunnel_client.PeerTunnels(
            directory,
            self.peers,
            subsets.Subsets(directory),
            "osu-hall",
            timers,
            random.Random(1),
        )

    async def add(self, stack, name, answer, data_centre="osu-hall"):
        async def serve(reader, writer):
            self.asked.append(name)
            await reader.readuntil(wire.HEAD_END)
            if answer is None:
                await reader.read()
            else:
                writer.write(answer)
                await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.peers.add("127.0.0.1", port, name, data_centre)

    async def open(self):
        """Opens a tunnel; returns the peer, or the error."""
        try:
            opened = await self.tunnels.open(ADDRESS)
        except dialers.DetourError as error:
            return error
        opened.sock.close()
        return opened.peer


def run(peers, count=1):
    """Opens tunnels one after the other; returns the results and the fleet.

    Args:
      peers: arguments of each peer.
      count: number of tunnels.
    """

    async def main():
        fleet = Fleet()
        async with contextlib.AsyncExitStack() as stack:
            for arguments in peers:
                await fleet.add(stack, *arguments)
            return [await fleet.open() for _ in range(count)], fleet

    return asyncio.run(main())


@pytest.mark.parametrize(
    "answer",
    [UNAVAILABLE, UNREACHABLE, NOT_FOUND, b"", b"what\r\n\r\n", None],
)
def test_another_peer_is_asked_if_one_opens_no_tunnel(answer):
    results, fleet = run([("near", answer), ("far", OPENED, "tema-hall")])
    assert results == ["far"]
    assert fleet.asked == ["near", "far"]


def test_peers_of_the_own_data_centre_come_first():
    results, _ = run([("far", OPENED, "tema-hall"), ("near", OPENED)], 5)
    assert results == ["near"] * 5


def test_peer_that_failed_is_asked_later():
    results, fleet = run(
        [("near", UNAVAILABLE), ("far", OPENED, "tema-hall")], 5
    )
    assert results == ["far"] * 5
    assert fleet.asked.count("near") == 1


def test_tunnels_are_spread_over_peers():
    results, _ = run([("a", OPENED), ("b", OPENED), ("c", OPENED)], 60)
    assert all(results.count(name) >= 10 for name in "abc")


@pytest.mark.parametrize(
    ("answer", "is_unreachable"), [(UNREACHABLE, True), (UNAVAILABLE, False)]
)
def test_error_tells_whether_a_peer_blames_the_endpoint(answer, is_unreachable):
    ((error,), _) = run([("a", answer), ("b", UNAVAILABLE)])
    assert isinstance(error, dialers.DetourError)
    assert error.is_unreachable is is_unreachable


def test_there_is_no_tunnel_without_peers():
    ((error,), _) = run([])
    assert not error.is_unreachable
