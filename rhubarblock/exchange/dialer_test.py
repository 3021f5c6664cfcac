import asyncio
import socket

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import sockets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop

ADDRESS = "10.0.0.1:80"
ENDPOINTS = [
    listed.ListedEndpoint("e1", ADDRESS, "osu-hall", "pool", 8, False),
    listed.ListedEndpoint("e2", "10.0.0.2:80", "osu-hall", "pool", 8, False),
]


class Way:
    """One way to an endpoint.

    Attributes:
      opened: sockets that it opened.
      started_s: when it was tried, in seconds of the loop's clock.
    """

    def __init__(self, delay_s, error=None):
        self._delay_s = delay_s
        self._error = error
        self.opened = []
        self.started_s = []

    async def connect(self):
        self.started_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._delay_s)
        if self._error is not None:
            raise self._error
        self.opened.append(socket.socket())
        return self.opened[-1]


class Detours(dialers.Detours):
    def __init__(self, way):
        self._way = way

    async def open(self, address):
        return dialers.Opened(await self._way.connect(), "i2")


@pytest.fixture
def connect(monkeypatch):
    """Returns a function that connects once, over two ways.

    It returns the name of the peer or the error, and the paths.
    """

    def connect_once(direct, detour, *, is_lost=False, cancel_s=None):
        async def connect_directly(host, port, make):
            return await direct.connect()

        monkeypatch.setattr(sockets, "connect", connect_directly)

        async def main():
            table = endpoint_paths.EndpointPaths(
                {e.address: e for e in ENDPOINTS}.get,
                lambda service: ENDPOINTS,
                timer_service.LoopTimers(),
                metric_store.Metrics(),
            )
            paths = table.find(ADDRESS)
            if is_lost:
                paths.note_detoured(ADDRESS)
            dialer = dialers.Dialer(table, Detours(detour))
            try:
                async with asyncio.timeout(cancel_s):
                    opened = await dialer.connect(ADDRESS)
            except OSError as error:
                return error, paths.may_detour(ADDRESS)
            # Lets the attempt that is not needed end.
            await asyncio.sleep(1.0)
            return opened.peer, paths.is_suspect(ADDRESS)

        return virtualloop.run(main())

    return connect_once


def test_direct_connection_needs_no_peer(connect):
    detour = Way(0.0)
    assert connect(Way(0.02), detour) == ("", False)
    assert not detour.started_s


def test_peer_is_asked_after_the_head_start(connect):
    detour = Way(0.01)
    assert connect(Way(60.0), detour) == ("i2", True)
    assert detour.started_s == pytest.approx([dialers.HEAD_START_S])


def test_peer_is_asked_at_once_after_a_refusal(connect):
    detour = Way(0.01)
    refused = ConnectionRefusedError()
    assert connect(Way(0.001, refused), detour) == ("i2", True)
    assert detour.started_s == pytest.approx([0.001])


def test_both_ways_are_tried_at_once_on_a_lost_path(connect):
    direct, detour = Way(0.02), Way(0.01)
    assert connect(direct, detour, is_lost=True) == ("i2", True)
    assert direct.started_s == detour.started_s


def test_return_of_a_lost_path_is_noticed(connect):
    assert connect(Way(0.01), Way(0.02), is_lost=True) == ("", False)


def test_connection_that_is_not_needed_is_closed(connect):
    direct, detour = Way(0.02), Way(0.02)
    connect(direct, detour, is_lost=True)
    (one,), (other,) = direct.opened, detour.opened
    assert sorted([one.fileno() < 0, other.fileno() < 0]) == [False, True]


def test_error_of_the_direct_connection_is_raised(connect):
    refused = ConnectionRefusedError()
    detour = Way(0.0, dialers.DetourError())
    error, may_detour = connect(Way(0.0, refused), detour)
    assert error is refused
    # No peer is asked for it again at once.
    assert not may_detour


@pytest.mark.parametrize(
    ("cancel_s", "is_failure"), [(0.01, False), (0.1, True)]
)
def test_connection_that_is_given_up_early_is_no_failure(
    connect, cancel_s, is_failure
):
    error, may_detour = connect(Way(60.0), Way(60.0), cancel_s=cancel_s)
    assert isinstance(error, TimeoutError)
    assert may_detour is not is_failure
