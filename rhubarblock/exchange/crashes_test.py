"""Quarantine of requests that crash endpoints, over several instances."""

import asyncio
import contextlib
import socket

import pytest

from rhubarblock.core import failure as failures
from rhubarblock.exchange import crashes
from rhubarblock.exchange import dialer as dialers
from rhubarblock.exchange import fakeparts_test as fakes
from rhubarblock.exchange import paths as endpoint_paths
from rhubarblock.exchange import quarantine as quarantines
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.quarantine import partregistry


class GroupPeers(quarantines.QuarantinePeers):
    """Delivers announcements to all other quarantines of a group at once."""

    def __init__(self, group):
        self.quarantine = None
        self.group = group
        group.append(self)

    @property
    def others(self):
        return [p.quarantine for p in self.group if p is not self]

    def announce_crash(self, endpoint_id, requests, served_ages, ages):
        for other in self.others:
            served = other.receive_part_crash(
                endpoint_id, requests, served_ages
            )
            for listener in self.group:
                listener.quarantine.receive_served(served)
            other.receive_request_crash(endpoint_id, ages)

    def announce_served(self, ages):
        for other in self.others:
            other.receive_served(ages)

    def announce_records(self, records):
        for other in self.others:
            other.receive_records(records)

    def is_first(self, key):
        return self.group[0] is self


async def crash(address):
    return True


async def stay_up(address):
    return False


class Detector:
    """A detector with its quarantine."""

    def __init__(self, group, probe, is_evacuated=lambda data_centre: False):
        timers = timer_service.LoopTimers(0.0)
        peers = GroupPeers(group)
        self.quarantine = peers.quarantine = quarantines.ExchangeQuarantine(
            peers, timers, metric_store.Metrics()
        )
        self.detector = crashes.CrashDetector(
            self.quarantine, timers, probe, is_evacuated
        )
        self.note_running = self.detector.note_running
        self.note_broken = self.detector.note_broken
        self.check = self.quarantine.check
        self.note_served = self.quarantine.note_served


def make_detectors(count, probe=crash):
    group = []
    return [Detector(group, probe) for _ in range(count)]


def make_requests(count, part):
    """Returns different requests that share a prompt part."""
    return [
        fakes.make_exchange(digest=f"{n}" * 32, prompt_parts=(part,))
        for n in range(count)
    ]


async def run_and_crash(detector, exchange, number):
    endpoint = fakes.make_endpoint(number)
    with detector.note_running(exchange, endpoint):
        await asyncio.sleep(0.1)
        detector.note_broken(endpoint)
    await asyncio.sleep(0.1)


def test_second_crash_quarantines_a_request_at_all_instances():
    async def main():
        first, second, third = make_detectors(3)
        poison = fakes.make_exchange(digest="p" * 32)
        await run_and_crash(first, poison, 1)
        second.check(poison)
        await asyncio.sleep(3.0)
        await run_and_crash(second, poison, 2)
        with pytest.raises(failures.FailureError) as raised:
            third.check(poison)
        return raised.value.failure

    failure = virtualloop.run(main())
    assert failure.http_status == 503
    assert failure.retry_after_s == 60.0


def test_crash_line_names_the_shared_parts_of_the_requests_under_it(caplog):
    async def main():
        (detector,) = make_detectors(1)
        first = fakes.make_exchange(digest="p" * 32, prompt_parts=("5c", "bad"))
        second = fakes.make_exchange(digest="q" * 32, prompt_parts=("5c",))
        with detector.note_running(second, fakes.make_endpoint(1)):
            await run_and_crash(detector, first, 1)

    virtualloop.run(main())
    (line,) = [r for r in caplog.records if r.message == "endpoint crashed"]
    assert line.under == ["p" * 32, "q" * 32]
    assert line.parts == [["desk/5c", "desk/bad"], ["desk/5c"]]
    assert line.concluded == ["isolate", "isolate"]


def test_request_cut_by_a_poisoned_part_twice_is_not_quarantined():
    async def main():
        first, second, third = make_detectors(3)
        innocent = fakes.make_exchange(digest="i" * 32)
        for number, detector in ((1, first), (2, second)):
            poisoned = fakes.make_exchange(
                digest=f"{number}" * 32, prompt_parts=("bad",)
            )
            endpoint = fakes.make_endpoint(number)
            with detector.note_running(innocent, endpoint):
                await run_and_crash(detector, poisoned, number)
            await asyncio.sleep(3.0)
        for detector in (first, second, third):
            detector.check(innocent)
            with pytest.raises(failures.FailureError) as raised:
                detector.check(
                    fakes.make_exchange(
                        digest="3" * 32, prompt_parts=("bad", "5c")
                    )
                )
        return raised.value.failure

    failure = virtualloop.run(main())
    assert failure.http_status == 503
    # No other time would help the caller.
    assert failure.retry_after_s is None


def test_part_that_is_answered_anywhere_is_let_go_everywhere():
    async def main():
        first, second, third = make_detectors(3)
        requests = make_requests(4, "91")
        await run_and_crash(first, requests[0], 1)
        with third.note_running(requests[2], fakes.make_endpoint(3)):
            await asyncio.sleep(1.0)
            await run_and_crash(second, requests[1], 2)
            with pytest.raises(failures.FailureError):
                first.check(requests[3])
        third.note_served(requests[2])
        for detector in (first, second, third):
            detector.check(requests[3])

    virtualloop.run(main())


def test_request_that_waits_is_abandoned_when_its_part_is_quarantined():
    async def main():
        first, second = make_detectors(2)
        requests = make_requests(4, "bad")
        abandoned = []
        with (
            second.note_running(requests[2], fakes.make_endpoint(3)) as waiting,
            second.note_running(requests[3], fakes.make_endpoint(4)) as begun,
        ):
            waiting.abandon = lambda: abandoned.append("waiting")
            begun.abandon = lambda: abandoned.append("begun")
            begun.begun_s = asyncio.get_running_loop().time()
            await run_and_crash(first, requests[0], 1)
            await asyncio.sleep(1.0)
            await run_and_crash(first, requests[1], 2)
        return abandoned

    assert virtualloop.run(main()) == ["waiting"]


def test_quarantined_part_is_tried_once_by_one_instance():
    async def main():
        first, second = make_detectors(2)
        requests = make_requests(5, "bad")
        for number in range(2):
            await run_and_crash(first, requests[number], number)
            await asyncio.sleep(3.0)
        await asyncio.sleep(partregistry.TRIAL_S)
        with pytest.raises(failures.FailureError):
            second.check(requests[2])
        assert first.check(requests[2])
        with pytest.raises(failures.FailureError):
            first.check(requests[3])
        await run_and_crash(first, requests[2], 5)
        await asyncio.sleep(1.5 * partregistry.TRIAL_S)
        for detector in (first, second):
            with pytest.raises(failures.FailureError):
                detector.check(requests[4])

    virtualloop.run(main())


def test_innocent_request_at_the_same_endpoint_is_not_quarantined():
    async def main():
        first, second = make_detectors(2)
        poison = fakes.make_exchange(digest="p" * 32)
        innocent = fakes.make_exchange(digest="i" * 32)
        endpoint = fakes.make_endpoint(1)
        with first.note_running(innocent, endpoint):
            await run_and_crash(first, poison, 1)
        await asyncio.sleep(3.0)
        await run_and_crash(second, poison, 2)
        first.check(innocent)
        with pytest.raises(failures.FailureError):
            first.check(poison)

    virtualloop.run(main())


def test_request_that_succeeds_is_cleared():
    async def main():
        (detector,) = make_detectors(1)
        exchange = fakes.make_exchange(digest="i" * 32)
        await run_and_crash(detector, exchange, 1)
        detector.note_served(exchange)
        await asyncio.sleep(3.0)
        await run_and_crash(detector, exchange, 2)
        detector.check(exchange)

    virtualloop.run(main())


def test_broken_connection_to_a_live_endpoint_is_no_crash():
    async def main():
        (detector,) = make_detectors(1, stay_up)
        exchange = fakes.make_exchange(digest="i" * 32)
        for number in range(1, 5):
            await run_and_crash(detector, exchange, number)
            await asyncio.sleep(3.0)
        detector.check(exchange)

    virtualloop.run(main())


ENDPOINTS = [fakes.make_endpoint(1), fakes.make_endpoint(2)]


class PeerDetours(dialers.Detours):
    """Reaches endpoints that refuse this instance."""

    async def open(self, address):
        return dialers.Opened(socket.socket(), "i2")


def make_dialer(detours=None, endpoints=ENDPOINTS):
    paths = endpoint_paths.EndpointPaths(
        lambda address: None,
        lambda service: endpoints,
        timer_service.LoopTimers(),
        metric_store.Metrics(),
    )
    return dialers.Dialer(paths, detours)


async def find_closed_address():
    endpoint = fakes.ScriptedEndpoint()
    async with endpoint.open():
        pass
    await asyncio.sleep(0.01)
    return endpoint.address


def test_only_a_refused_connection_is_a_crash():
    async def main():
        dialer = make_dialer()
        endpoint = fakes.ScriptedEndpoint()
        async with endpoint.open():
            up = await crashes.has_crashed(dialer, endpoint.address)
        await asyncio.sleep(0.01)
        return up, await crashes.has_crashed(dialer, endpoint.address)

    assert asyncio.run(main()) == (False, True)


def test_refused_connection_on_a_lost_path_is_no_crash():
    async def main():
        address = await find_closed_address()
        through_peer = make_dialer(PeerDetours())
        partitioned = make_dialer()
        for endpoint in ENDPOINTS:
            paths = partitioned.paths.find(address)
            paths.note_failed(endpoint.address, "refused")
        return [
            await crashes.has_crashed(dialer, address)
            for dialer in (through_peer, partitioned)
        ]

    assert asyncio.run(main()) == [False, False]


def make_silent_detector(probe, group=None):
    detector = Detector([] if group is None else group, stay_up)
    detector.detector._is_gone = probe
    return detector


async def run_into_silence(detector, exchange, number, answers=False):
    """Runs a request that gets no answer, and waits for the conclusion."""
    endpoint = fakes.make_endpoint(number)
    with detector.note_running(exchange, endpoint) as running:
        await asyncio.sleep(0.8)
        detector.detector.note_silent(endpoint, running)
    if answers:
        detector.detector.note_answered(endpoint)
    await asyncio.sleep(2.5)


@pytest.mark.parametrize(
    ("probe", "answers", "is_refused"),
    [(crash, False, True), (stay_up, False, False), (crash, True, False)],
    ids=["gone", "slow", "answers others"],
)
def test_request_under_which_endpoints_go_dark_is_quarantined(
    probe, answers, is_refused
):
    async def main():
        group = []
        first, second = (make_silent_detector(probe, group) for _ in range(2))
        exchange = fakes.make_exchange(digest="p" * 32)
        await run_into_silence(first, exchange, 1, answers)
        await run_into_silence(second, exchange, 2, answers)
        return [d.quarantine.is_quarantined(exchange) for d in (first, second)]

    assert virtualloop.run(main()) == [is_refused, is_refused]


def test_request_that_meets_a_dark_endpoint_later_is_not_blamed():
    async def main():
        detector = make_silent_detector(crash)
        cause = fakes.make_exchange(digest="p" * 32)
        other = fakes.make_exchange(digest="q" * 32)
        endpoint = fakes.make_endpoint(1)
        with detector.note_running(cause, endpoint) as running:
            await asyncio.sleep(0.8)
            detector.detector.note_silent(endpoint, running)
            await asyncio.sleep(2.5)
        # Its entry is still listed.
        await run_into_silence(detector, other, 1)
        await run_into_silence(detector, other, 2)
        return detector.quarantine.is_quarantined(other)

    assert not virtualloop.run(main())


@contextlib.contextmanager
def open_dark_address():
    """Yields an address that takes no connections, like a machine gone dark."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # The kernel drops what a full queue has no room for.
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def test_silent_endpoint_is_gone_only_if_a_neighbour_is_reached(monkeypatch):
    monkeypatch.setattr(crashes, "SILENCE_PAUSE_S", 0.01)
    endpoint = fakes.ScriptedEndpoint()

    async def main():
        found = []
        with open_dark_address() as dark, open_dark_address() as other:
            async with endpoint.open():
                sound = endpoint.address
                for addresses in (
                    [dark, sound],
                    [dark, other],
                    [dark],
                    [sound],
                ):
                    dialer = make_dialer(
                        endpoints=[
                            fakes.make_endpoint(number, address)
                            for number, address in enumerate(addresses)
                        ]
                    )
                    found.append(await crashes.is_gone(dialer, addresses[0]))
        return found

    assert asyncio.run(main()) == [True, False, False, False]


def test_endpoint_of_an_evacuated_data_centre_is_not_probed():
    async def main():
        probed = []

        async def probe(address):
            probed.append(address)
            return True

        evacuated = set()
        detector = Detector([], probe, evacuated.__contains__)
        await run_and_crash(detector, fakes.make_exchange(digest="p" * 32), 1)
        before = len(probed)
        evacuated.add("osu-hall")
        await run_and_crash(detector, fakes.make_exchange(digest="q" * 32), 1)
        return before, len(probed)

    assert virtualloop.run(main()) == (1, 1)
