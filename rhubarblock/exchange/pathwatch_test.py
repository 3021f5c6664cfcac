import asyncio
import contextlib
import socket

import pytest

from rhubarblock.core import listed
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import pathwatch
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop

ADDRESS = "10.0.0.1:80"
OTHER = "10.0.0.2:80"
ENDPOINTS = [
    listed.ListedEndpoint("e1", ADDRESS, "osu-hall", "pool", 8, False),
    listed.ListedEndpoint("e2", OTHER, "tema-hall", "pool", 8, False),
]


class Dialer(dialers.Dialer):
    """Connects to nothing, over a path that is lost or not."""

    def __init__(self, paths, peer):
        super().__init__(paths)
        self.peer = peer
        self.addresses = []

    async def connect(self, address, make_socket=None):
        self.addresses.append(address)
        if self.peer:
            self.paths.find(address).note_detoured(address)
        else:
            self.paths.find(address).note_opened(address)
        return dialers.Opened(socket.socket(), self.peer)


def make_paths(timers):
    return endpoint_paths.EndpointPaths(
        {e.address: e for e in ENDPOINTS}.get,
        lambda service: ENDPOINTS,
        timers,
        metric_store.Metrics(),
    )


def watch(peer, *, length_s, data_s=None, is_direct=True):
    """Watches a request; returns the checked addresses and when it is lost.

    Args:
      peer: peer that connects; empty if the path is intact.
      length_s: seconds for which the request is under way.
      data_s: seconds between pieces from any endpoint; None for none.
      is_direct: whether the request was sent directly.
    """
    lost_s = []

    async def main():
        timers = timer_service.LoopTimers()
        paths = make_paths(timers)
        dialer = Dialer(paths, peer)
        path_watch = pathwatch.PathWatch(dialer, timers)
        sending = pathwatch.Sending(
            ADDRESS, lambda: lost_s.append(timers.read_monotonic())
        )
        sending.is_direct = is_direct
        with path_watch.watch(sending):
            for _ in range(round(length_s / (data_s or length_s))):
                await asyncio.sleep(data_s or length_s)
                if data_s:
                    paths.find(ADDRESS).note_received()
        await asyncio.sleep(10.0)
        return dialer.addresses

    return virtualloop.run(main()), lost_s


def test_request_on_a_lost_path_is_told():
    addresses, lost_s = watch("i2", length_s=0.5)
    assert addresses == [ADDRESS, OTHER]
    assert lost_s == pytest.approx([pathwatch.SILENCE_S], abs=0.01)


def test_further_requests_do_not_delay_the_check():
    lost_s = []

    async def main():
        timers = timer_service.LoopTimers()
        paths = make_paths(timers)
        dialer = Dialer(paths, "i2")
        path_watch = pathwatch.PathWatch(dialer, timers)
        with contextlib.ExitStack() as stack:
            for _ in range(10):
                sending = pathwatch.Sending(
                    ADDRESS, lambda: lost_s.append(timers.read_monotonic())
                )
                sending.is_direct = True
                stack.enter_context(path_watch.watch(sending))
                await asyncio.sleep(0.1)

    virtualloop.run(main())
    assert min(lost_s) == pytest.approx(pathwatch.SILENCE_S, abs=0.01)


def test_request_on_an_intact_path_goes_on():
    addresses, lost_s = watch("", length_s=3.1)
    # One check a second, as long as nothing else shows the path.
    assert addresses == [ADDRESS] * 3
    assert not lost_s


def test_no_path_is_checked_while_any_endpoint_sends():
    assert watch("i2", length_s=3.0, data_s=0.2) == ([], [])


def test_nothing_is_checked_for_requests_through_a_peer():
    assert watch("i2", length_s=3.0, is_direct=False) == ([], [])


def test_nothing_is_checked_after_the_last_request():
    assert watch("i2", length_s=0.2) == ([], [])
